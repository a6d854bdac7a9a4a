// Which copies go to disk, and how much is written for that. Admission weighs the rank sent, how often the
// key was asked for (also while it was not held), the size, the room there is, and a write budget: flash
// wears by the bytes written to it, and a spinning disk that writes all the time does not read.
//
// The rule, in order:
//   1. Rank 0 says not to keep it. A copy over `most_share` of the tier would push out too much at once.
//   2. A copy asked for once is kept only where there is room for it and at least half of the write burst is
//   left: a
//      scan finds no room in a full tier and so cannot wash it out.
//   3. From the second request on it is kept, whatever its size, as long as the budget is not overdrawn; it
//   may overdraw
//      it by itself. So a new hot large object is kept at its second request at the latest.
//   4. What is asked for often may overdraw the budget by a whole burst.
// The top rank counts as one request more: a router that sends it has seen the object elsewhere.
//
// Package `store`; no I/O, no clock. Not thread-safe.
#pragma once

#include <cstdint>

#include "store/frequency_sketch.h"
#include "store/key.h"

namespace trailcourse::store {

// A bucket of bytes that fills at a steady rate. It may be overdrawn, and then fills up first.
class WriteBudget {
 public:
  // `bytes_per_s` 0: no bound.
  WriteBudget(std::int64_t bytes_per_s, std::int64_t burst_bytes)
      : rate_(bytes_per_s), burst_(burst_bytes), level_(burst_bytes) {}

  // What is left at `now_ms` (any steady milliseconds); negative where it is overdrawn.
  std::int64_t left(std::int64_t now_ms);
  void spend(std::int64_t bytes) { level_ -= rate_ == 0 ? 0 : bytes; }
  std::int64_t burst() const { return burst_; }

 private:
  std::int64_t rate_;
  std::int64_t burst_;
  std::int64_t level_;
  std::int64_t filled_ms_ = -1;
};

enum class Verdict { kKeep, kNoRank, kTooLarge, kNoRoom, kNoBudget };

struct Candidate {
  Key key;
  std::uint64_t bytes = 0;  // as written
  int rank = 0;
  bool held = false;  // an older copy of it is on disk: the new one takes its room
};

class Placement {
 public:
  struct Options {
    std::uint64_t tier_bytes = 0;
    double most_share = 0.25;  // of the tier, for one copy
    std::int64_t write_bytes_per_s = 0;
    std::int64_t write_burst_bytes = 64 << 20;
    std::size_t sketch_keys = 1 << 16;
  };

  explicit Placement(const Options& options);

  // A key was asked for, held or not.
  void seen(const Key& key) { sketch_.count(key); }
  int times_seen(const Key& key) const { return sketch_.estimate(key); }

  // Whether a candidate goes to disk, where `used` of the tier's bytes are taken. What is kept is counted as
  // written.
  Verdict admit(const Candidate& candidate, std::uint64_t used, std::int64_t now_ms);

  // Whether a copy in a part of the disk that is to be cleared is worth writing anew: it must have been used
  // again, and the budget must not be overdrawn. What is moved is counted as written.
  bool worth_moving(std::uint64_t bytes, int rank, std::uint32_t uses, std::int64_t now_ms);

  // Whether a copy goes to memory where there is no free room and `victim_uses` is how often its victim was
  // used: one asked for once does not push out what was asked for again.
  bool into_memory(const Key& key, int rank, std::uint32_t victim_uses) const;

  const Options& options() const { return options_; }
  WriteBudget& budget() { return budget_; }

 private:
  int counted(const Key& key, int rank) const;

  Options options_;
  FrequencySketch sketch_;
  WriteBudget budget_;
};

}  // namespace trailcourse::store
