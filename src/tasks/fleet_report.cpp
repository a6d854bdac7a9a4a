#include "tasks/fleet_report.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace trailcourse::tasks {

using nlohmann::json;

namespace {

std::map<std::string, std::uint64_t> values_of(const json& from) {
  std::map<std::string, std::uint64_t> out;
  if (from.is_object()) {
    for (const auto& [name, value] : from.items()) {
      if (value.is_number_unsigned()) {
        out[name] = value.get<std::uint64_t>();
      }
    }
  }
  return out;
}

json json_of(const Counters& counters) {
  return {{"incarnation", counters.incarnation}, {"values", counters.values}};
}

std::optional<Counters> counters_of(const json& from) {
  if (!from.is_object() || !from.contains("incarnation") || !from["incarnation"].is_string()) {
    return std::nullopt;
  }
  return Counters{from["incarnation"].get<std::string>(), values_of(from.value("values", json::object()))};
}

}  // namespace

std::string write_counters(const Counters& counters) { return json_of(counters).dump(); }

std::optional<Counters> read_counters(const std::string& value) {
  return counters_of(json::parse(value, nullptr, false));
}

FleetReport::FleetReport(const std::string& checkpoint) {
  const json from = json::parse(checkpoint, nullptr, false);
  if (!from.is_object()) {
    return;
  }
  sums_ = values_of(from.value("sums", json::object()));
  const json last = from.value("last", json::object());
  if (last.is_object()) {
    for (const auto& [name, value] : last.items()) {
      if (auto counters = counters_of(value)) {
        last_[name] = std::move(*counters);
      }
    }
  }
}

void FleetReport::take(const std::map<std::string, Counters>& routers) {
  present_ = routers.size();
  for (const auto& [name, counters] : routers) {
    Counters& before = last_[name];
    const bool same = before.incarnation == counters.incarnation;
    for (const auto& [key, value] : counters.values) {
      const auto old = before.values.find(key);
      const std::uint64_t from = same && old != before.values.end() && old->second <= value ? old->second : 0;
      sums_[key] += value - from;
    }
    before = counters;
  }
}

std::string FleetReport::checkpoint() const {
  json last = json::object();
  for (const auto& [name, counters] : last_) {
    last[name] = json_of(counters);
  }
  return json{{"sums", sums_}, {"last", last}}.dump();
}

}  // namespace trailcourse::tasks
