// Plans the prefetching of one shard's objects: which are requested next, how often each is tried, and how
// far the work is. Each object is requested as a client would: cache, rank and rejection are the decision
// module's choice, within the budgets of slow start.
//
// Package `tasks`: knows JSON; no I/O, no clock; time is Micros of the caller's steady clock. Not
// thread-safe.
#pragma once

#include <trailcourse/decider.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tasks/prefetch_order.h"

namespace trailcourse::tasks {

struct PrefetchOptions {
  std::size_t max_in_flight = 4;
  int max_attempts = 5;           // of one object
  Micros retry_backoff{500'000};  // doubles with each attempt
};

// How many objects of the shard are done.
struct PrefetchProgress {
  std::uint64_t filled = 0;
  std::uint64_t already_cached = 0;  // of those filled
  std::uint64_t failed = 0;
  std::uint64_t total = 0;

  std::uint64_t finished() const { return filled + failed; }
};

enum class PrefetchResult { kFilled, kAlreadyCached, kRejected, kFailed };

class PrefetchPlan {
 public:
  // Plans the objects of `shard` out of `shards`. Work goes on from `checkpoint`; one that is malformed, or
  // of another list of objects, counts as none.
  PrefetchPlan(const PrefetchOrder& order, std::uint64_t shard, std::uint64_t shards,
               const PrefetchOptions& options, const std::string& checkpoint);

  // Returns the indices of the objects to request now. Each counts as in flight until on_result().
  std::vector<std::size_t> start_requests(Micros now);

  const std::string& object(std::size_t index) const { return objects_.at(index); }

  // Takes in the final answer for an object. `retry_after` is the wait that a rejection asked for.
  void on_result(Micros now, std::size_t index, PrefetchResult result, Micros retry_after);

  // Returns when start_requests() may return something by time alone, or nothing.
  std::optional<Micros> next_step_at(Micros now) const;

  bool done() const { return progress_.finished() == progress_.total; }

  // Returns the progress as JSON: the number of objects from the start that are all finished, and the indices
  // of those beyond it that are. A successor requests no object again that is in the checkpoint. One that was
  // in flight is requested again, which a cache that holds it answers as a hit.
  std::string checkpoint() const;

  const PrefetchProgress& progress() const { return progress_; }

 private:
  struct Retry {
    int attempts = 0;
    Micros not_before{0};
  };

  void restore(const std::string& checkpoint);
  bool has_capacity() const { return in_flight_.size() < options_.max_in_flight; }
  // Returns whether the object is to be requested again.
  bool schedule_retry(Micros now, std::size_t index, Micros retry_after);
  void finish(std::size_t index, bool success, bool already_cached);

  PrefetchOptions options_;
  Micros pacing_interval_{0};  // between two objects; 0: no limit
  std::vector<std::string> objects_;
  std::size_t next_index_ = 0;  // of the first object never requested
  Micros next_paced_at_{0};
  std::set<std::size_t> in_flight_;
  std::map<std::size_t, Retry> retries_;
  std::size_t finished_prefix_ = 0;        // all objects before it are finished
  std::set<std::size_t> finished_beyond_;  // finished objects from there on
  PrefetchProgress progress_;
};

}  // namespace trailcourse::tasks
