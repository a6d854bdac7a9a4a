// Selection of the store endpoint that is called.
//
// Library `coordination`: no I/O, no clock; time is Micros of the caller's steady clock.
#pragma once

#include <trailcourse/decider.h>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace trailcourse::coordination {

// Keeps the endpoint that responded last, and switches to the next one after a failure. When all endpoints
// have failed one after the other, no endpoint is called during a backoff, which doubles with each such
// round.
class EndpointSelector {
 public:
  // Endpoints are numbered from 0 to `count` - 1; a count of 0 is taken as 1. `seed` determines the first
  // endpoint and the jitter.
  EndpointSelector(std::size_t count, Micros first_backoff, Micros max_backoff, std::uint64_t seed);

  // Starts with this endpoint instead of a random one. Has to be called before the first select().
  void start_with(std::size_t endpoint) { current_ = endpoint; }

  // Returns the endpoint to call now, or nothing during the backoff.
  std::optional<std::size_t> select(Micros now) const;
  // Records that the endpoint responded to a call.
  void on_success(std::size_t endpoint);
  // Records that a call to the endpoint failed. Ignored if it is not the current endpoint.
  void on_failure(std::size_t endpoint, Micros now);
  // Returns when the last backoff ends; 0 if there was none since the last success.
  Micros backoff_until() const { return backoff_until_; }

 private:
  Micros next_backoff();

  std::size_t count_;
  Micros first_backoff_;
  Micros max_backoff_;
  std::uint64_t random_;
  std::size_t current_;
  std::size_t consecutive_failures_ = 0;
  int failed_rounds_ = 0;  // rounds in which every endpoint failed, since the last success
  Micros backoff_until_{0};
};

}  // namespace trailcourse::coordination
