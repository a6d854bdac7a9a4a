// Announced filling: which objects of a shard are asked for next, how often, and how far it has come. Each is
// asked for as a client would: where it goes, at which rank and whether it is refused is the decision
// module's choice, within the cold budgets.
//
// A checkpoint is the number of objects from the start that are all dealt with, and those beyond it that are:
// a successor asks for nothing again that was checkpointed. What was out when its owner ended is asked for
// again, which a cache that holds it answers as a hit.
//
// Package `tasks`: knows JSON; no I/O, no clock.
#pragma once

#include <trailcourse/decider.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace trailcourse::tasks {

// What staff announce: the params of work of kind `fill`.
struct PrefetchOrder {
  std::string request_class;
  std::int64_t at_ms = 0;      // Unix time before which nothing is asked for; 0: now
  double objects_per_s = 0.0;  // of each shard; 0: as they are answered
  // "ITEM" or "ITEM/PART", dealt out to the shards in turn. None: each shard's stand in the store by
  // themselves, so that not every router is told a long list.
  std::vector<std::string> objects;

  friend bool operator==(const PrefetchOrder&, const PrefetchOrder&) = default;
};
// Where the objects of one shard stand, one a line; under the prefix.
std::string prefetch_list_key(const std::string& work, std::uint64_t shard);
std::vector<std::string> read_prefetch_list(const std::string& text);
// Throws std::invalid_argument that names the field.
PrefetchOrder read_prefetch_order(const std::string& params);
std::string write_prefetch_order(const PrefetchOrder& order);

struct PrefetchOptions {
  std::size_t open = 4;
  int tries = 5;
  Micros retry{500'000};  // doubles
};

struct PrefetchProgress {
  std::uint64_t filled = 0;
  std::uint64_t held = 0;  // of those filled: the cache had them
  std::uint64_t failed = 0;
  std::uint64_t of = 0;
};

class PrefetchPlan {
 public:
  // The objects of one shard of so many. A checkpoint that cannot be read counts as none.
  PrefetchPlan(const PrefetchOrder& order, std::uint64_t shard, std::uint64_t shards,
               const PrefetchOptions& rules, const std::string& checkpoint);

  // The objects to ask for now, by their places; each counts as out until ended().
  std::vector<std::size_t> due(Micros now);
  const std::string& object(std::size_t place) const { return objects_.at(place); }
  enum class End { kFilled, kHeld, kRefused, kFailed, kGivenUp };
  // `retry_after`: as a refusal told.
  void ended(Micros now, std::size_t place, End end, Micros retry_after);
  std::optional<Micros> next(Micros now) const;

  bool done() const { return progress_.filled + progress_.failed == progress_.of; }
  bool idle() const { return out_.empty(); }
  std::string checkpoint() const;
  const PrefetchProgress& progress() const { return progress_; }

 private:
  struct Retry {
    int tries = 0;
    Micros at{0};
  };

  PrefetchOptions rules_;
  Micros pace_{0};
  std::vector<std::string> objects_;
  std::size_t next_ = 0;  // the first that was never asked for
  Micros pace_at_{0};
  std::set<std::size_t> out_;
  std::map<std::size_t, Retry> retries_;
  std::size_t all_before_ = 0;
  std::set<std::size_t> beyond_;  // dealt with, from all_before_ on
  PrefetchProgress progress_;
};

}  // namespace trailcourse::tasks
