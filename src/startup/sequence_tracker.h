// Decides whether a page of the discovery service continues what is known, is outdated, or comes from a
// service whose sequence numbers have started again. A page with a lower sequence number may come from a
// stale replica and changes nothing. A service that sends an identifier has started again when the identifier
// differs. One without is taken to have started again once it has sent only lower numbers for a stated time.
//
// Package `startup`.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "startup/options.h"

namespace trailcourse::startup {

// What to do with a page of events.
enum class PageVerdict {
  kApply,  // it continues what is known
  kStale,  // it is outdated: ignore it
  kReset   // the sequence has started again: forget what is known and poll from the beginning
};

// Tracks the identifier and the sequence numbers of the discovery service.
class SequenceTracker {
 public:
  // `reset_after`: how long a service without an identifier has to send only lower numbers for a reset.
  explicit SequenceTracker(Micros reset_after) : reset_after_(reset_after) {}

  // Sets the identifier that a snapshot or the configuration names.
  void restore(const std::string& source_id) { source_id_ = source_id; }

  // Judges a page whose last sequence number is `page_sequence`. `applied_sequence` is the last one that this
  // router has applied. An empty `page_source_id` means that the service sends no identifier.
  PageVerdict check(Micros now, std::uint64_t applied_sequence, std::uint64_t page_sequence,
                    const std::string& page_source_id);

  // Returns the identifier of the service; empty where none is known.
  const std::string& source_id() const { return source_id_; }

 private:
  Micros reset_after_;
  std::string source_id_;
  std::optional<Micros> lower_since_;
};

}  // namespace trailcourse::startup
