// The numbered events of a discovery service as they are served to clients: by the service from its file, by
// a relay from what it received, and by a snapshot from what it stored. Each page is rendered once for all
// clients that poll from the same sequence number.
//
// Old events are compacted: changes of the endpoint list into one full list at the number of the last of
// them, and purges that bind no longer are dropped. A client that polls from a number before that gets the
// full list and every purge that still binds, which means the same.
//
// Package `discovery`. Not thread-safe.
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

// A moment of the system clock, at the resolution that events have.
using UnixTime = std::chrono::sys_time<std::chrono::milliseconds>;

// A page is not of the form {"rev":N,"notices":[{"rev":N,...},...]}; the text says what is wrong with it.
class PageFormatError : public std::invalid_argument {
 public:
  using std::invalid_argument::invalid_argument;
};

// Throws PageFormatError where the page is not of that form.
void validate_page(const nlohmann::json& page);

// Holds events by sequence number and renders pages of them.
class EventLog {
 public:
  using Page = std::shared_ptr<const std::string>;

  // `source_id` identifies the service in its pages. Where it is empty the pages bear none.
  explicit EventLog(std::string source_id = "") : source_id_(std::move(source_id)) {}

  // Replaces all events by those of the page. Throws PageFormatError; nothing has changed then.
  void replace(const nlohmann::json& page);

  // Appends the events of the page that are later than the last one. Throws PageFormatError; nothing has
  // changed then.
  void append(const nlohmann::json& page);

  void set_source_id(const std::string& source_id);

  const std::string& source_id() const { return source_id_; }
  std::uint64_t last_sequence() const { return last_sequence_; }
  std::size_t size() const { return events_.size(); }

  // Returns the page with all events that are later than `sequence`.
  Page page_after(std::uint64_t sequence);

  // Return how many pages were rendered, and how many were requested.
  std::uint64_t rendered_pages() const { return rendered_pages_; }
  std::uint64_t requested_pages() const { return requested_pages_; }

  // Compacts the log where it has more than `max_events`. Purges from before `binding_since` are dropped.
  void compact(std::size_t max_events, UnixTime binding_since);

  // Returns the whole log as one compacted page: a full list, and the purges since `binding_since`.
  nlohmann::json compacted_page(UnixTime binding_since) const;

 private:
  using Events = std::map<std::uint64_t, nlohmann::json>;  // by sequence number

  Events compacted_events(UnixTime binding_since) const;
  nlohmann::json page_of(Events::const_iterator first, Events::const_iterator last) const;

  std::string source_id_;
  std::uint64_t last_sequence_ = 0;
  Events events_;
  std::map<std::uint64_t, Page> pages_;  // by the number polled from, up to the last event
  std::uint64_t rendered_pages_ = 0;
  std::uint64_t requested_pages_ = 0;
};

}  // namespace trailcourse::discovery
