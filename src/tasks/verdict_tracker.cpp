#include "tasks/verdict_tracker.h"

#include <tuple>

namespace trailcourse::tasks {

std::optional<HealthCheckResult> VerdictTracker::on_verdict(Micros now, const Verdict& verdict) {
  Accepted& last = last_accepted_[verdict.cache];
  if (std::tie(verdict.term, verdict.sequence) <= std::tie(last.term, last.sequence)) {
    return std::nullopt;
  }
  last = Accepted{verdict.term, verdict.sequence, verdict.healthy, now};
  return HealthCheckResult{verdict.cache, verdict.healthy, validity_};
}

void VerdictTracker::on_withdrawn(const std::string& cache) {
  const auto found = last_accepted_.find(cache);
  if (found != last_accepted_.end()) {
    found->second.accepted_at.reset();
  }
}

std::optional<bool> VerdictTracker::valid_verdict(Micros now, const std::string& cache) const {
  const auto found = last_accepted_.find(cache);
  if (found == last_accepted_.end() || !found->second.accepted_at) {
    return std::nullopt;
  }
  const bool valid = now - *found->second.accepted_at < validity_;
  return valid ? std::optional<bool>(found->second.healthy) : std::nullopt;
}

}  // namespace trailcourse::tasks
