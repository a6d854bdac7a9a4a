#include "discovery/event_log.h"

#include <stdexcept>
#include <utility>
#include <vector>

namespace trailcourse::board {

using nlohmann::json;

namespace {

constexpr std::size_t kMostPages = 256;  // kept at once; askers are at a few numbers

bool is_list(const json& event) {
  return event.contains("pool") && event["pool"].is_object() && event["pool"].contains("endpoints") &&
         event["pool"]["endpoints"].is_array();
}

std::int64_t purge_ms(const json& event) {
  const auto flush = event.find("flush");
  const bool timed = flush != event.end() && flush->is_object() && flush->contains("ms") &&
                     (*flush)["ms"].is_number_integer();
  return timed ? (*flush)["ms"].get<std::int64_t>() : INT64_MAX;
}

}  // namespace

void check_page(const json& page) {
  const bool formed = page.is_object() && page.contains("rev") && page["rev"].is_number_unsigned() &&
                      page.contains("notices") && page["notices"].is_array();
  if (!formed) {
    throw std::invalid_argument("not of the form {\"rev\":N,\"notices\":[...]}");
  }
  for (const json& event : page["notices"]) {
    if (!event.is_object() || !event.contains("rev") || !event["rev"].is_number_unsigned()) {
      throw std::invalid_argument("a notice without its number `rev`");
    }
  }
}

void PageLog::replace(const json& page) {
  check_page(page);
  events_.clear();
  for (const json& event : page["notices"]) {
    events_[event["rev"].get<std::uint64_t>()] = event;
  }
  last_ = page["rev"].get<std::uint64_t>();
  pages_.clear();
}

void PageLog::append(const json& page) {
  check_page(page);
  const std::uint64_t before = last_;
  for (const json& event : page["notices"]) {
    const auto number = event["rev"].get<std::uint64_t>();
    if (number > before) {
      events_[number] = event;
    }
  }
  last_ = std::max(last_, page["rev"].get<std::uint64_t>());
  if (last_ != before) {
    pages_.clear();
  }
}

void PageLog::rename(const std::string& id) {
  if (id != id_) {
    id_ = id;
    pages_.clear();
  }
}

PageLog::Page PageLog::later_than(std::uint64_t number) {
  ++asked_;
  const auto found = pages_.find(number);
  if (found != pages_.end()) {
    return found->second;
  }
  json out{{"rev", last_}, {"notices", json::array()}};
  for (auto event = events_.upper_bound(number); event != events_.end(); ++event) {
    out["notices"].push_back(event->second);
  }
  if (!id_.empty()) {
    out["board"] = id_;
  }
  if (pages_.size() >= kMostPages) {
    pages_.clear();
  }
  ++rendered_;
  return pages_[number] = std::make_shared<const std::string>(out.dump());
}

json PageLog::folded_list(const std::map<std::uint64_t, json>& events, std::uint64_t& last_list) {
  std::map<std::string, json> entries;
  json index;
  last_list = 0;
  for (const auto& [number, event] : events) {
    if (!is_list(event)) {
      continue;
    }
    const json& pool = event["pool"];
    last_list = number;
    index = pool.contains("index") ? pool["index"] : json();
    if (pool.contains("snapshot") && pool["snapshot"] == true) {
      entries.clear();
    }
    for (const json& entry : pool["endpoints"]) {
      const bool named = entry.is_object() && entry.contains("name") && entry["name"].is_string();
      if (!named) {
        continue;
      }
      const auto name = entry["name"].get<std::string>();
      if (entry.contains("status") && entry["status"] == "removed") {
        entries.erase(name);
      } else {
        entries[name] = entry;
      }
    }
  }
  json list = json::array();
  for (auto& [name, entry] : entries) {
    list.push_back(std::move(entry));
  }
  return {{"rev", last_list}, {"pool", {{"index", index}, {"snapshot", true}, {"endpoints", list}}}};
}

json PageLog::whole(std::int64_t binds_from_ms) const {
  std::uint64_t last_list = 0;
  json list = folded_list(events_, last_list);
  std::map<std::uint64_t, json> kept;
  for (const auto& [number, event] : events_) {
    if (!is_list(event) && purge_ms(event) >= binds_from_ms) {
      kept[number] = event;
    }
  }
  if (last_list > 0) {
    kept[last_list] = std::move(list);
  }
  json out{{"rev", last_}, {"notices", json::array()}};
  for (auto& [number, event] : kept) {
    out["notices"].push_back(std::move(event));
  }
  if (!id_.empty()) {
    out["board"] = id_;
  }
  return out;
}

void PageLog::fold(std::size_t most, std::int64_t binds_from_ms) {
  if (events_.size() <= most) {
    return;
  }
  const json folded = whole(binds_from_ms);
  std::map<std::uint64_t, json> events;
  for (const json& event : folded["notices"]) {
    events[event["rev"].get<std::uint64_t>()] = event;
  }
  events_ = std::move(events);
  pages_.clear();
}

}  // namespace trailcourse::board
