#include "store/frequency_sketch.h"

#include <algorithm>
#include <bit>

namespace trailcourse::store {
namespace {

constexpr std::uint64_t kMaxCount = 15;
constexpr std::size_t kCountersPerWord = 16;
constexpr std::uint64_t kHalvingMask = 0x7777777777777777U;
constexpr std::uint64_t kIncrementsPerKey = 10;

}  // namespace

FrequencySketch::FrequencySketch(std::size_t keys) {
  const std::size_t counters = std::bit_ceil(std::max<std::size_t>(keys, 64) * 8);
  words_.resize(counters / kCountersPerWord);
  mask_ = counters - 1;
  halving_threshold_ = kIncrementsPerKey * std::max<std::size_t>(keys, 64);
}

std::size_t FrequencySketch::counter_index(const Key& key, int row) const {
  // The two independent halves of the key are combined into a hash for each row (Kirsch and Mitzenmacher,
  // 2006).
  std::uint64_t mixed = key.high + static_cast<std::uint64_t>(row) * (key.low | 1U);
  mixed ^= mixed >> 32U;
  return mixed & mask_;
}

void FrequencySketch::increment(const Key& key) {
  const int current = estimate(key);
  if (static_cast<std::uint64_t>(current) < kMaxCount) {
    // Only the smallest counters are incremented, which limits the error of keys that share the other
    // counters.
    for (int row = 0; row < kRows; ++row) {
      const std::size_t index = counter_index(key, row);
      const unsigned shift = static_cast<unsigned>(index % kCountersPerWord) * 4U;
      std::uint64_t& word = words_[index / kCountersPerWord];
      if (((word >> shift) & kMaxCount) == static_cast<std::uint64_t>(current)) {
        word += std::uint64_t{1} << shift;
      }
    }
  }
  if (++increments_ >= halving_threshold_) {
    halve();
  }
}

int FrequencySketch::estimate(const Key& key) const {
  std::uint64_t minimum = kMaxCount;
  for (int row = 0; row < kRows; ++row) {
    const std::size_t index = counter_index(key, row);
    minimum =
        std::min(minimum, (words_[index / kCountersPerWord] >> (index % kCountersPerWord * 4U)) & kMaxCount);
  }
  return static_cast<int>(minimum);
}

void FrequencySketch::halve() {
  for (std::uint64_t& word : words_) {
    word = (word >> 1U) & kHalvingMask;
  }
  increments_ /= 2;
}

}  // namespace trailcourse::store
