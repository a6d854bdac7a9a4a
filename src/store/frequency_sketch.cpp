#include "store/frequency_sketch.h"

#include <algorithm>
#include <bit>

namespace trailcourse::store {
namespace {

constexpr std::uint64_t kMost = 15;
constexpr std::size_t kInWord = 16;
constexpr std::uint64_t kHalves = 0x7777777777777777U;
constexpr std::uint64_t kSampleOfKeys = 10;

}  // namespace

FrequencySketch::FrequencySketch(std::size_t keys) {
  const std::size_t counters = std::bit_ceil(std::max<std::size_t>(keys, 64) * 8);
  words_.resize(counters / kInWord);
  mask_ = counters - 1;
  sample_ = kSampleOfKeys * std::max<std::size_t>(keys, 64);
}

std::size_t FrequencySketch::place(const Key& key, int row) const {
  // Two independent halves make as many rows as are wanted (Kirsch and Mitzenmacher, 2006).
  std::uint64_t mixed = key.high + static_cast<std::uint64_t>(row) * (key.low | 1U);
  mixed ^= mixed >> 32U;
  return mixed & mask_;
}

void FrequencySketch::count(const Key& key) {
  const int now = estimate(key);
  if (static_cast<std::uint64_t>(now) < kMost) {
    // Only the smallest counters grow, which keeps what shares the others from being told too often.
    for (int row = 0; row < kRows; ++row) {
      const std::size_t at = place(key, row);
      const unsigned shift = static_cast<unsigned>(at % kInWord) * 4U;
      std::uint64_t& word = words_[at / kInWord];
      if (((word >> shift) & kMost) == static_cast<std::uint64_t>(now)) {
        word += std::uint64_t{1} << shift;
      }
    }
  }
  if (++counted_ >= sample_) {
    halve();
  }
}

int FrequencySketch::estimate(const Key& key) const {
  std::uint64_t least = kMost;
  for (int row = 0; row < kRows; ++row) {
    const std::size_t at = place(key, row);
    least = std::min(least, (words_[at / kInWord] >> (at % kInWord * 4U)) & kMost);
  }
  return static_cast<int>(least);
}

void FrequencySketch::halve() {
  for (std::uint64_t& word : words_) {
    word = (word >> 1U) & kHalves;
  }
  counted_ /= 2;
}

}  // namespace trailcourse::store
