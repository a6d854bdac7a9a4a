// Plans the prefetching of one shard's objects: the order of requests, the retries of each object, and the
// progress of the work. Objects are requested as clients request them: the decision module selects the cache
// and the rank or rejects the request, within the budgets of slow start.
//
// Library `tasks`: knows JSON; no I/O, no clock; time is Micros of the caller's steady clock. Not
// thread-safe.
#pragma once

#include <trailcourse/decider.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tasks/prefetch_parameters.h"

namespace trailcourse::tasks {

// Limits of the requests of one shard.
struct PrefetchOptions {
  std::size_t max_in_flight = 4;
  int max_attempts = 5;           // for one object
  Micros retry_backoff{500'000};  // after the first attempt; doubles with each further one
};

// Numbers of objects of the shard.
struct PrefetchProgress {
  std::uint64_t filled = 0;
  std::uint64_t already_cached = 0;  // included in `filled`
  std::uint64_t failed = 0;
  std::uint64_t total = 0;

  std::uint64_t finished() const { return filled + failed; }
};

// The final result of one request.
enum class PrefetchResult { kFilled, kAlreadyCached, kRejected, kFailed };

// The state of one shard's work.
class PrefetchPlan {
 public:
  // Plans the objects of `shard` out of `shards`. Continues from `checkpoint`. A checkpoint that is
  // malformed, or of another list of objects, is ignored.
  PrefetchPlan(const PrefetchParameters& parameters, std::uint64_t shard, std::uint64_t shards,
               const PrefetchOptions& options, const std::string& checkpoint);

  // Returns the indices of the objects to request now. Each request counts as in flight until on_result().
  std::vector<std::size_t> start_requests(Micros now);

  const std::string& object(std::size_t index) const { return objects_.at(index); }

  // Processes the final result for an object. `retry_after` is the time that a rejection set, otherwise 0.
  void on_result(Micros now, std::size_t index, PrefetchResult result, Micros retry_after);

  // Returns when start_requests() has to be called next if no event occurs earlier, or nothing if only an
  // event can make a request due.
  std::optional<Micros> next_step_at(Micros now) const;

  bool done() const { return progress_.finished() == progress_.total; }

  // Returns the progress as JSON: the length of the prefix of finished objects, and the indices of the
  // finished objects after this prefix. A successor does not repeat requests for the objects in the
  // checkpoint. It repeats those that were in flight; a cache that already has the object answers with a hit.
  std::string checkpoint() const;

  const PrefetchProgress& progress() const { return progress_; }

 private:
  struct Retry {
    int attempts = 0;
    Micros not_before{0};
  };

  void restore(const std::string& checkpoint);
  bool has_capacity() const { return in_flight_.size() < options_.max_in_flight; }
  // Returns whether the object will be requested again.
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
  std::set<std::size_t> finished_beyond_;  // finished objects after the prefix
  PrefetchProgress progress_;
};

}  // namespace trailcourse::tasks
