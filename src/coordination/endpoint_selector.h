// Chooses which of a store's endpoints is called.
//
// Package `coordination`: no I/O, no clock; time is Micros of the caller's steady clock.
#pragma once

#include <trailcourse/decider.h>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace trailcourse::coordination {

// Prefers the endpoint that answered last and moves on to the next one after a failure. Once every endpoint
// has failed in a row, no endpoint is called for a backoff that doubles with each such round.
class EndpointSelector {
 public:
  // `count` endpoints are numbered from 0; none counts as one. `seed` draws the first endpoint and the
  // jitter.
  EndpointSelector(std::size_t count, Micros first_backoff, Micros max_backoff, std::uint64_t seed);

  // Starts with this endpoint instead of a drawn one. To be called before the first select().
  void start_with(std::size_t endpoint) { current_ = endpoint; }

  // Returns the endpoint to call now, or nothing during the backoff.
  std::optional<std::size_t> select(Micros now) const;
  // A call to the endpoint was answered.
  void on_success(std::size_t endpoint);
  // A call to the endpoint failed. A failure of an endpoint that is not the current one is ignored.
  void on_failure(std::size_t endpoint, Micros now);
  // Returns the end of the last backoff; 0 if there was none since the last success.
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
