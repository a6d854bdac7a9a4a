// A router's handling of the verdicts on caches that the health checks of its zone publish.
//
// Library `tasks`: no I/O, no clock; time is Micros of the caller's steady clock. Not thread-safe.
#pragma once

#include <trailcourse/decider.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "tasks/verdict.h"

namespace trailcourse::tasks {

// Accepts each verdict once, and rejects a verdict with an earlier term or sequence number than the last one
// that was accepted on the cache. A verdict adds to the router's own observations and never replaces them.
class VerdictTracker {
 public:
  // A verdict is valid for `validity` from its acceptance.
  explicit VerdictTracker(Micros validity) : validity_(validity) {}

  // Processes a verdict. Returns the result for the decision module, or nothing if the verdict is a duplicate
  // or out of date.
  std::optional<HealthCheckResult> on_verdict(Micros now, const Verdict& verdict);

  // Invalidates the last verdict on the cache. Its term and sequence number are still compared with later
  // verdicts, so that a late verdict of an earlier owner is rejected.
  void on_withdrawn(const std::string& cache);

  // Returns whether the verdict that is valid now finds the cache healthy, or nothing if there is none.
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
