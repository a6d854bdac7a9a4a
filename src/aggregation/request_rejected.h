// The error of a router's call that an aggregator rejects.
//
// Package `aggregation`: no I/O, no clock.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>

namespace trailcourse::aggregation {

// Thrown where a router's call is rejected. Nothing has changed then. what() is one line for the caller.
class RequestRejected : public std::runtime_error {
 public:
  enum class Reason {
    kNoUpstreamLease,  // the aggregator has no snapshot yet, or its own lease ends before the router's would
    kTooManyRouters,   // the aggregator serves as many routers as it may
    kLeaseNotFound,
    kOutOfOrder,   // a report numbered no higher than the one before, or acknowledging an earlier round
    kMalformed,    // a request that cannot be read, or that contradicts an earlier one under the same lease
    kTooLarge,     // a report over the limit of bytes
    kUnknownZone,  // a report of a zone that the aggregator does not serve
    kUnsupported   // a call that the store takes and an aggregator does not
  };
  static constexpr std::size_t kReasons = 8;

  RequestRejected(Reason reason, const std::string& text) : std::runtime_error(text), reason_(reason) {}
  Reason reason() const { return reason_; }

 private:
  Reason reason_;
};

// Returns the reason as it stands in counters: lower case, words joined by '_'.
const char* to_string(RequestRejected::Reason reason);

// Returns whether another aggregator may accept the call that this one rejected for `reason`.
bool is_retryable_elsewhere(RequestRejected::Reason reason);

}  // namespace trailcourse::aggregation
