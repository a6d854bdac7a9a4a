// Decides whether a page of the discovery service is to be applied, is outdated, or follows a sequence reset,
// after which the service numbers its events from the beginning. A page with a lower sequence number may come
// from a stale replica and is ignored. Where the service sends an identifier, a different identifier means a
// sequence reset. Where it sends none, a reset is assumed once all its sequence numbers have been lower than
// the last applied one for a given time.
//
// Library `startup`.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "startup/options.h"

namespace trailcourse::startup {

// What to do with a page of events.
enum class PageVerdict {
  kApply,  // apply it
  kStale,  // ignore it: it is outdated
  kReset   // sequence reset: discard the applied state and poll from the beginning
};

// Tracks the identifier and the sequence numbers of the discovery service.
class SequenceTracker {
 public:
  // `reset_after` is the time after which a service without an identifier that sends only lower sequence
  // numbers is taken to be reset.
  explicit SequenceTracker(Micros reset_after) : reset_after_(reset_after) {}

  // Sets the identifier of the service from a snapshot or the configuration.
  void restore(const std::string& source_id) { source_id_ = source_id; }

  // Checks a page whose last sequence number is `page_sequence`. `applied_sequence` is the last sequence
  // number that this router has applied. `page_source_id` is empty where the service sends no identifier.
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
