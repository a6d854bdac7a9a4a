// The error of a router's call that an aggregator rejects.
//
// Library `aggregation`: no I/O, no clock.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>

namespace trailcourse::aggregation {

// Thrown if a router's call is rejected. The call has changed nothing. what() is one line for the caller.
class RequestRejected : public std::runtime_error {
 public:
  enum class Reason {
    kNoUpstreamLease,  // the aggregator has no snapshot yet, or its own lease ends before the router's would
    kTooManyRouters,   // the aggregator serves its maximum number of routers
    kLeaseNotFound,
    kOutOfOrder,   // a report with a sequence number that is not higher, or with an earlier round
    kMalformed,    // a request that cannot be read, or that contradicts an earlier one under the same lease
    kTooLarge,     // a report above the size limit
    kUnknownZone,  // a report of a zone that the aggregator does not serve
    kUnsupported   // a call that the store supports and an aggregator does not
  };
  static constexpr std::size_t kReasonCount = 8;

  RequestRejected(Reason reason, const std::string& text) : std::runtime_error(text), reason_(reason) {}
  Reason reason() const { return reason_; }

 private:
  Reason reason_;
};

// Returns the name of the reason in counters, in snake case.
const char* to_string(RequestRejected::Reason reason);

// Returns whether another aggregator may accept a call that this one has rejected for `reason`.
bool is_retryable_elsewhere(RequestRejected::Reason reason);

}  // namespace trailcourse::aggregation
