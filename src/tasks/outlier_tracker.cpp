#include "tasks/outlier_tracker.h"

namespace trailcourse::tasks {

void OutlierTracker::on_attempt_result(const std::string& cache, bool success) {
  if (success) {
    reset(cache);
  } else if (++consecutive_failures_[cache] >= failure_threshold_) {
    suspects_.insert(cache);
  }
}

void OutlierTracker::on_healthy_verdict(const std::string& cache) { reset(cache); }

void OutlierTracker::reset(const std::string& cache) {
  consecutive_failures_.erase(cache);
  suspects_.erase(cache);
}

std::vector<SuspicionChange> OutlierTracker::take_changes() {
  std::vector<SuspicionChange> changes;
  for (const std::string& cache : suspects_) {
    if (!reported_.contains(cache)) {
      changes.push_back({cache, true});
    }
  }
  for (const std::string& cache : reported_) {
    if (!suspects_.contains(cache)) {
      changes.push_back({cache, false});
    }
  }
  reported_ = suspects_;
  return changes;
}

}  // namespace trailcourse::tasks
