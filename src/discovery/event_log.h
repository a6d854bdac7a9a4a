// The events of a discovery service, by sequence number, as they are served to clients. The service reads
// them from its file, a relay from the pages that it received, and a snapshot from the disk. Each page is
// rendered once for all clients that poll from the same sequence number.
//
// Compaction replaces all changes of the endpoint list by one full list with the sequence number of the last
// change. It drops purge events from before a given time, by which connected caches have dropped the copies
// purged by them, but keeps a number of the latest: a cache that is cut off may still have such copies, and
// routers that know of the purge do not accept them. A client that polls from an older sequence number gets
// the full list and all remaining purge events.
//
// Library `discovery`. Not thread-safe.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <utility>

namespace trailcourse::discovery {

// A time of the system clock, at the resolution of the times in events.
using UnixTime = std::chrono::sys_time<std::chrono::milliseconds>;

// Thrown for a page that is not of the form {"rev":N,"notices":[{"rev":N,...},...]}; what() states the fault.
class PageFormatError : public std::invalid_argument {
 public:
  using std::invalid_argument::invalid_argument;
};

// Throws PageFormatError where the page is not of that form.
void validate_page(const nlohmann::json& page);

// Stores events by sequence number and renders them as pages.
class EventLog {
 public:
  using Page = std::shared_ptr<const std::string>;

  // `source_id` is the identifier of the service in its pages; where it is empty, pages have no identifier.
  explicit EventLog(std::string source_id = "") : source_id_(std::move(source_id)) {}

  // Replaces all events by those of the page. Throws PageFormatError, in which case the log is unchanged.
  void replace(const nlohmann::json& page);

  // Appends the events of the page with a higher sequence number than the last event. Throws PageFormatError,
  // in which case the log is unchanged.
  void append(const nlohmann::json& page);

  void set_source_id(const std::string& source_id);

  const std::string& source_id() const { return source_id_; }
  std::uint64_t last_sequence() const { return last_sequence_; }
  std::size_t size() const { return events_.size(); }

  // Returns the page with all events after `sequence`.
  Page page_after(std::uint64_t sequence);

  // Return the number of pages rendered, and requested, since the start.
  std::uint64_t rendered_pages() const { return rendered_pages_; }
  std::uint64_t requested_pages() const { return requested_pages_; }

  // Compacts the log if it has more than `max_events` events. Keeps the purge events since `purges_since`,
  // and of the earlier ones those that are among the `latest_purges` last.
  void compact(std::size_t max_events, UnixTime purges_since, std::size_t latest_purges = 0);

  // Returns the log as one compacted page: a full list, and the purge events that compact() keeps.
  nlohmann::json compacted_page(UnixTime purges_since, std::size_t latest_purges = 0) const;

 private:
  using Events = std::map<std::uint64_t, nlohmann::json>;  // by sequence number

  Events compacted_events(UnixTime purges_since, std::size_t latest_purges) const;
  std::uint64_t first_of_latest_purges(std::size_t count) const;
  nlohmann::json page_of(Events::const_iterator first, Events::const_iterator last) const;

  std::string source_id_;
  std::uint64_t last_sequence_ = 0;
  Events events_;
  std::map<std::uint64_t, Page> pages_;  // rendered, by the sequence number after which they begin
  std::uint64_t rendered_pages_ = 0;
  std::uint64_t requested_pages_ = 0;
};

}  // namespace trailcourse::discovery
