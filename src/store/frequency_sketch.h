// Estimates how often keys were requested recently, in bounded memory: a count-min sketch of 4-bit counters
// that are halved after a number of increments (Cormode and Muthukrishnan, "An Improved Data Stream Summary",
// 2005; the halving as in Einziger, Friedman and Manes, "TinyLFU", 2017). An estimate is at most 15. Up to
// that it is never below the true count, except that halvings lower it.
//
// Library `store`; no I/O, no clock. Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "store/key.h"

namespace trailcourse::store {

// A count-min sketch of keys.
class FrequencySketch {
 public:
  // `keys`: the number of keys that are counted with good accuracy; memory is 4 to 8 bytes per key.
  explicit FrequencySketch(std::size_t keys);

  // Counts one request for a key.
  void increment(const Key& key);
  // Returns the estimated number of recent requests, from 0 to 15.
  int estimate(const Key& key) const;
  // Returns the memory of the counters.
  std::size_t bytes() const { return words_.size() * sizeof(std::uint64_t); }
  // Returns the number of increments; each halving of the counters also halves it.
  std::uint64_t increments() const { return increments_; }
  // Returns the value of increments() at which the counters are halved.
  std::uint64_t halving_threshold() const { return halving_threshold_; }

 private:
  static constexpr int kRows = 4;

  std::size_t counter_index(const Key& key, int row) const;
  void halve();

  std::vector<std::uint64_t> words_;  // 16 counters each
  std::uint64_t mask_;
  std::uint64_t halving_threshold_;
  std::uint64_t increments_ = 0;
};

}  // namespace trailcourse::store
