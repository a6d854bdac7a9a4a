// The random numbers of the decision trace. Distributions of the standard library are not used, because they
// differ between its implementations.
#pragma once

#include <trailcourse/decider.h>

#include <cmath>
#include <cstdint>
#include <vector>

namespace trailcourse::decision_trace {

// A seeded random number generator (SplitMix64).
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}

  std::uint64_t next() {
    state_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t x = state_;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
  }
  // Returns a number from 0 to `bound` - 1.
  std::uint64_t below(std::uint64_t bound) { return next() % bound; }
  // Returns a number in [0, 1).
  double uniform() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }
  // Returns true with the given probability.
  bool chance(double probability) { return uniform() < probability; }
  // Returns an exponentially distributed duration.
  Micros exponential(Micros mean) {
    return Micros(static_cast<std::int64_t>(-std::log(1.0 - uniform()) * static_cast<double>(mean.count())));
  }
  // Returns one of the items, all with the same probability.
  template <typename Item>
  const Item& pick(const std::vector<Item>& items) {
    return items[below(items.size())];
  }

 private:
  std::uint64_t state_;
};

}  // namespace trailcourse::decision_trace
