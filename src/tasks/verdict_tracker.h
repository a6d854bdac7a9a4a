// What a router makes of the verdicts on caches that the health checks of its zone publish.
//
// Package `tasks`: no I/O, no clock; time is Micros of the caller's steady clock. Not thread-safe.
#pragma once

#include <trailcourse/decider.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "tasks/verdict.h"

namespace trailcourse::tasks {

// Accepts each verdict once, and rejects one that is older in term or sequence than the last one accepted on
// that cache. A verdict is an observation among the router's own, and never replaces one.
class VerdictTracker {
 public:
  // A verdict is valid for this long after it was accepted.
  explicit VerdictTracker(Micros validity) : validity_(validity) {}

  // Takes in a verdict. Returns the result for the decision module, or nothing if the verdict is a duplicate
  // or out of date.
  std::optional<HealthCheckResult> on_verdict(Micros now, const Verdict& verdict);

  // Invalidates the last verdict on the cache. Its term and sequence are still compared with later ones, so
  // that a late verdict of an earlier owner is rejected.
  void on_withdrawn(const std::string& cache);

  // Returns whether the cache is healthy by the verdict that is valid now, or nothing if none is.
  std::optional<bool> valid_verdict(Micros now, const std::string& cache) const;

 private:
  struct Accepted {
    ownership::Term term = 0;
    std::uint64_t sequence = 0;
    bool healthy = false;
    std::optional<Micros> accepted_at;  // nothing once withdrawn
  };

  Micros validity_;
  std::map<std::string, Accepted> last_accepted_;  // by cache
};

}  // namespace trailcourse::tasks
