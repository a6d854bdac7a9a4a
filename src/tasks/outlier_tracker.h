// Detects the caches that failed this router several times in a row, so that the health checks of its zone
// look at them.
//
// Package `tasks`: no I/O, no clock. Not thread-safe.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

namespace trailcourse::tasks {

// A cache that this router began to suspect, or suspects no longer.
struct SuspicionChange {
  std::string cache;
  bool suspected = false;

  friend bool operator==(const SuspicionChange&, const SuspicionChange&) = default;
};

// Counts consecutive failures per cache. Results that say nothing about the cache (a failure of its source,
// or of this router) must not be given to it.
class OutlierTracker {
 public:
  // A cache becomes a suspect after `failure_threshold` consecutive failures.
  explicit OutlierTracker(int failure_threshold) : failure_threshold_(failure_threshold) {}

  // Takes in the result of an attempt. A success ends the suspicion.
  void on_attempt_result(const std::string& cache, bool success);

  // Ends the suspicion because health checks find the cache healthy: the fault may lie on this router's own
  // path. The cache is suspected again after as many further failures.
  void on_healthy_verdict(const std::string& cache);

  // Returns the changes since the last call, each cache at most once.
  std::vector<SuspicionChange> take_changes();

 private:
  void reset(const std::string& cache);

  int failure_threshold_;
  std::map<std::string, int> consecutive_failures_;
  std::set<std::string> suspects_;
  std::set<std::string> reported_;  // the suspects as of the last take_changes()
};

}  // namespace trailcourse::tasks
