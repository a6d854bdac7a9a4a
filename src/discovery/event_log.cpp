#include "discovery/event_log.h"

#include <algorithm>

namespace trailcourse::discovery {

using nlohmann::json;

namespace {

constexpr std::size_t kMaxCachedPages = 256;  // clients poll from few different sequence numbers

bool is_list(const json& event) {
  return event.contains("pool") && event["pool"].is_object() && event["pool"].contains("endpoints") &&
         event["pool"]["endpoints"].is_array();
}

// Returns the time of a purge event; UnixTime::max(), so that it always binds, for an event without a time.
UnixTime purge_time(const json& event) {
  const auto flush = event.find("flush");
  const bool has_time = flush != event.end() && flush->is_object() && flush->contains("ms") &&
                        (*flush)["ms"].is_number_integer();
  return has_time ? UnixTime(std::chrono::milliseconds((*flush)["ms"].get<std::int64_t>())) : UnixTime::max();
}

using EndpointsByName = std::map<std::string, json>;

void apply_endpoint(EndpointsByName& endpoints, const json& entry) {
  const bool has_name = entry.is_object() && entry.contains("name") && entry["name"].is_string();
  if (!has_name) {
    return;
  }
  const auto name = entry["name"].get<std::string>();
  if (entry.contains("status") && entry["status"] == "removed") {
    endpoints.erase(name);
  } else {
    endpoints[name] = entry;
  }
}

void apply_list(EndpointsByName& endpoints, const json& pool) {
  if (pool.contains("snapshot") && pool["snapshot"] == true) {
    endpoints.clear();
  }
  for (const json& entry : pool["endpoints"]) {
    apply_endpoint(endpoints, entry);
  }
}

json full_list_event(std::uint64_t sequence, const json& index, const EndpointsByName& endpoints) {
  json list = json::array();
  for (const auto& [name, entry] : endpoints) {
    list.push_back(entry);
  }
  return {{"rev", sequence}, {"pool", {{"index", index}, {"snapshot", true}, {"endpoints", list}}}};
}

}  // namespace

void validate_page(const json& page) {
  const bool well_formed = page.is_object() && page.contains("rev") && page["rev"].is_number_unsigned() &&
                           page.contains("notices") && page["notices"].is_array();
  if (!well_formed) {
    throw PageFormatError("not of the form {\"rev\":N,\"notices\":[...]}");
  }
  for (const json& event : page["notices"]) {
    if (!event.is_object() || !event.contains("rev") || !event["rev"].is_number_unsigned()) {
      throw PageFormatError("an element of `notices` has no number `rev`");
    }
  }
}

void EventLog::replace(const json& page) {
  validate_page(page);
  events_.clear();
  for (const json& event : page["notices"]) {
    events_[event["rev"].get<std::uint64_t>()] = event;
  }
  last_sequence_ = page["rev"].get<std::uint64_t>();
  pages_.clear();
}

void EventLog::append(const json& page) {
  validate_page(page);
  const std::uint64_t before = last_sequence_;
  for (const json& event : page["notices"]) {
    const auto sequence = event["rev"].get<std::uint64_t>();
    if (sequence > before) {
      events_[sequence] = event;
    }
  }
  last_sequence_ = std::max(last_sequence_, page["rev"].get<std::uint64_t>());
  if (last_sequence_ != before) {
    pages_.clear();
  }
}

void EventLog::set_source_id(const std::string& source_id) {
  if (source_id != source_id_) {
    source_id_ = source_id;
    pages_.clear();
  }
}

json EventLog::page_of(Events::const_iterator first, Events::const_iterator last) const {
  json page{{"rev", last_sequence_}, {"notices", json::array()}};
  for (auto event = first; event != last; ++event) {
    page["notices"].push_back(event->second);
  }
  if (!source_id_.empty()) {
    page["board"] = source_id_;
  }
  return page;
}

EventLog::Page EventLog::page_after(std::uint64_t sequence) {
  ++requested_pages_;
  const auto found = pages_.find(sequence);
  if (found != pages_.end()) {
    return found->second;
  }
  const json page = page_of(events_.upper_bound(sequence), events_.end());
  if (pages_.size() >= kMaxCachedPages) {
    pages_.clear();
  }
  ++rendered_pages_;
  return pages_[sequence] = std::make_shared<const std::string>(page.dump());
}

// Returns the sequence number from which on the log has `count` purge events, or fewer if it has no more.
std::uint64_t EventLog::first_of_latest_purges(std::size_t count) const {
  std::uint64_t first = last_sequence_ + 1;
  for (auto event = events_.rbegin(); event != events_.rend() && count > 0; ++event) {
    if (!is_list(event->second)) {
      first = event->first;
      --count;
    }
  }
  return first;
}

EventLog::Events EventLog::compacted_events(UnixTime purges_since, std::size_t latest_purges) const {
  const std::uint64_t first_kept = first_of_latest_purges(latest_purges);
  EndpointsByName endpoints;
  json index;
  std::uint64_t list_sequence = 0;
  Events out;
  for (const auto& [sequence, event] : events_) {
    if (is_list(event)) {
      const json& pool = event["pool"];
      list_sequence = sequence;
      index = pool.contains("index") ? pool["index"] : json();
      apply_list(endpoints, pool);
    } else if (sequence >= first_kept || purge_time(event) >= purges_since) {
      out[sequence] = event;
    }
  }
  if (list_sequence > 0) {
    out[list_sequence] = full_list_event(list_sequence, index, endpoints);
  }
  return out;
}

json EventLog::compacted_page(UnixTime purges_since, std::size_t latest_purges) const {
  const Events compacted = compacted_events(purges_since, latest_purges);
  return page_of(compacted.begin(), compacted.end());
}

void EventLog::compact(std::size_t max_events, UnixTime purges_since, std::size_t latest_purges) {
  if (events_.size() <= max_events) {
    return;
  }
  events_ = compacted_events(purges_since, latest_purges);
  pages_.clear();
}

}  // namespace trailcourse::discovery
