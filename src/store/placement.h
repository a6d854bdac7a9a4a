// Decides which copies are written to disk, and bounds how much is written: writes wear out flash, and delay
// the reads of a spinning disk. Admission depends on the keep rank of the request, the number of requests for
// the key (also while no copy is stored), the size of the copy, the free capacity and a write budget.
//
// The rules, in order:
//   1. A copy of rank 0 is not stored. A copy above `max_share` of the tier is not stored, since it would
//      evict too much at once.
//   2. A copy that was requested once is stored only if the tier has free capacity for it and half of the
//      write burst is left afterwards. A scan therefore cannot evict the content of a full tier.
//   3. From the second request on a copy of any size is stored while the budget is positive; the copy itself
//      may overdraw the budget. A newly popular large object is stored at its second request at the latest.
//   4. A frequently requested copy is stored until the budget is overdrawn by a complete burst.
// The top rank counts as one additional request: a router that sends it has seen the object at other nodes.
//
// Library `store`; no I/O, no clock. Not thread-safe.
#pragma once

#include <cstdint>

#include "store/frequency_sketch.h"
#include "store/key.h"

namespace trailcourse::store {

// A token bucket of bytes. It may be overdrawn, and is then refilled from the negative level.
class WriteBudget {
 public:
  // `bytes_per_s` 0: unlimited.
  WriteBudget(std::int64_t bytes_per_s, std::int64_t burst_bytes)
      : rate_(bytes_per_s), burst_(burst_bytes), level_(burst_bytes) {}

  // Refills the bucket up to `now_ms` (on a steady clock) and returns the bytes left; negative if the
  // budget is overdrawn.
  std::int64_t left(std::int64_t now_ms);
  void spend(std::int64_t bytes) { level_ -= rate_ == 0 ? 0 : bytes; }
  std::int64_t burst() const { return burst_; }

 private:
  std::int64_t rate_;
  std::int64_t burst_;
  std::int64_t level_;
  std::int64_t filled_ms_ = -1;
};

// The result of admission: the copy is written, or the first rule that rejects it.
enum class PlacementDecision { kAdmit, kNoRank, kTooLarge, kNoCapacity, kNoBudget };

// A copy that may be written to disk.
struct Candidate {
  Key key;
  std::uint64_t bytes = 0;  // as written
  int rank = 0;
  bool replaces_stored = false;  // an older copy is on disk, whose capacity the new copy reuses
};

// The admission rules with their state: the request counts and the write budget.
class Placement {
 public:
  struct Options {
    std::uint64_t tier_bytes = 0;  // capacity of the disk tier for live records
    double max_share = 0.25;       // of the tier, for one copy
    std::int64_t write_bytes_per_s = 0;
    std::int64_t write_burst_bytes = 64 << 20;
    std::size_t sketch_keys = 1 << 16;
  };

  explicit Placement(const Options& options);

  // Counts a request for a key, whether or not a copy is stored.
  void record_request(const Key& key) { sketch_.increment(key); }
  // Returns the estimated number of recent requests for a key.
  int request_count(const Key& key) const { return sketch_.estimate(key); }

  // Decides whether a candidate is written to disk; `used` is the number of bytes stored in the tier. Charges
  // an admitted candidate to the write budget.
  PlacementDecision admit(const Candidate& candidate, std::uint64_t used, std::int64_t now_ms);

  // Returns whether a record of a segment that is being cleared should be rewritten to another segment. That
  // is so if it was used at least twice or has the top rank, and the budget is positive. Charges an admitted
  // record to the write budget.
  bool admit_move(std::uint64_t bytes, int rank, std::uint32_t uses, std::int64_t now_ms);

  // Returns whether a copy is admitted to a full memory tier, where `victim_uses` is the use count of the
  // entry that would be evicted. A copy requested once does not evict one that was used again.
  bool admits_to_memory(const Key& key, int rank, std::uint32_t victim_uses) const;

  const Options& options() const { return options_; }
  WriteBudget& budget() { return budget_; }

 private:
  int weighted_requests(const Key& key, int rank) const;

  Options options_;
  FrequencySketch sketch_;
  WriteBudget budget_;
};

}  // namespace trailcourse::store
