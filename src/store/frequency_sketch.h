// How often keys were asked for lately, roughly, in bounded memory: a count-min sketch of 4-bit counters
// whose counts halve once enough was counted (Cormode and Muthukrishnan, "An Improved Data Stream Summary",
// 2005; the halving as in Einziger, Friedman and Manes, "TinyLFU", 2017). It never tells less than was
// counted since the last halvings, and 15 at most.
//
// Package `store`; no I/O, no clock. Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "store/key.h"

namespace trailcourse::store {

class FrequencySketch {
 public:
  // `keys`: how many are told apart well; memory is 4 to 8 bytes a key.
  explicit FrequencySketch(std::size_t keys);

  void count(const Key& key);
  int estimate(const Key& key) const;
  std::size_t bytes() const { return words_.size() * sizeof(std::uint64_t); }
  // Counts since the last halving, and how many lead to one.
  std::uint64_t counted() const { return counted_; }
  std::uint64_t sample() const { return sample_; }

 private:
  static constexpr int kRows = 4;

  std::size_t place(const Key& key, int row) const;
  void halve();

  std::vector<std::uint64_t> words_;  // 16 counters each
  std::uint64_t mask_;
  std::uint64_t sample_;
  std::uint64_t counted_ = 0;
};

}  // namespace trailcourse::store
