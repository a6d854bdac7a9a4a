#include "tasks/fleet_report.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace trailcourse::tasks {

using nlohmann::json;

namespace {

// Skips values that are not unsigned numbers.
CounterValues values_from_json(const json& object) {
  CounterValues values;
  if (!object.is_object()) {
    return values;
  }
  for (const auto& [name, value] : object.items()) {
    if (value.is_number_unsigned()) {
      values[name] = value.get<std::uint64_t>();
    }
  }
  return values;
}

json counters_to_json(const Counters& counters) {
  return {{"incarnation", counters.incarnation}, {"values", counters.values}};
}

std::optional<Counters> counters_from_json(const json& object) {
  if (!object.is_object() || !object.contains("incarnation") || !object["incarnation"].is_string()) {
    return std::nullopt;
  }
  return Counters{object["incarnation"].get<std::string>(),
                  values_from_json(object.value("values", json::object()))};
}

}  // namespace

std::string write_counters(const Counters& counters) { return counters_to_json(counters).dump(); }

std::optional<Counters> read_counters(const std::string& value) {
  return counters_from_json(json::parse(value, nullptr, false));
}

FleetReport::FleetReport(const std::string& checkpoint) {
  const json saved = json::parse(checkpoint, nullptr, false);
  if (!saved.is_object()) {
    return;
  }
  sums_ = values_from_json(saved.value("sums", json::object()));
  const json last = saved.value("last", json::object());
  if (!last.is_object()) {
    return;
  }
  for (const auto& [router, record] : last.items()) {
    if (auto counters = counters_from_json(record)) {
      last_counters_[router] = std::move(*counters);
    }
  }
}

void FleetReport::update(const std::map<std::string, Counters>& routers) {
  router_count_ = routers.size();
  for (const auto& [router, counters] : routers) {
    Counters& previous = last_counters_[router];
    add_increase(previous, counters);
    previous = counters;
  }
}

// A counter of another incarnation, or one that decreased, has started again at 0.
void FleetReport::add_increase(const Counters& previous, const Counters& current) {
  const bool same_start = previous.incarnation == current.incarnation;
  for (const auto& [name, value] : current.values) {
    const auto before = previous.values.find(name);
    const bool continued = same_start && before != previous.values.end() && before->second <= value;
    sums_[name] += value - (continued ? before->second : 0);
  }
}

std::string FleetReport::checkpoint() const {
  json last = json::object();
  for (const auto& [router, counters] : last_counters_) {
    last[router] = counters_to_json(counters);
  }
  return json{{"sums", sums_}, {"last", last}}.dump();
}

}  // namespace trailcourse::tasks
