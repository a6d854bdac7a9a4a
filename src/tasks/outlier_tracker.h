// Detects the caches with several consecutive failures at this router, so that the health checks of its zone
// include them.
//
// Library `tasks`: no I/O, no clock. Not thread-safe.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

namespace trailcourse::tasks {

// A cache that this router has begun or ceased to suspect.
struct SuspicionChange {
  std::string cache;
  bool suspected = false;

  friend bool operator==(const SuspicionChange&, const SuspicionChange&) = default;
};

// Counts consecutive failures per cache. The caller must not pass results that do not depend on the cache,
// such as a failure of its source or of this router.
class OutlierTracker {
 public:
  // A cache becomes a suspect after `failure_threshold` consecutive failures.
  explicit OutlierTracker(int failure_threshold) : failure_threshold_(failure_threshold) {}

  // Counts the result of an attempt. A success ends the suspicion.
  void on_attempt_result(const std::string& cache, bool success);

  // Ends the suspicion because health checks find the cache healthy: the fault may be on the path between
  // this router and the cache. The cache is suspected again after `failure_threshold` further failures.
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
