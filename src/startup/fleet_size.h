// How many routers there are: what windows over the whole fleet are made from. Told by the platform's
// settings, else by the operator's file, else learned from what the board says of its askers.
//
// Package `startup`.
#pragma once

#include <algorithm>
#include <cstdint>

namespace trailcourse::startup {

class FleetSize {
 public:
  // Either may be 0 or less: not told. The operator's figure goes before the platform's.
  FleetSize(std::int64_t by_operator, int by_settings)
      : told_(by_operator > 0 ? static_cast<int>(std::min<std::int64_t>(by_operator, kMost)) : by_settings) {}

  // The board's figure counts only where nobody told one. It is taken at once where it is higher, and slowly
  // where it is lower: after a fall of the board its askers come back one by one.
  void heard(std::int64_t askers) {
    const int now = static_cast<int>(std::clamp<std::int64_t>(askers, 1, kMost));
    heard_ = now >= heard_ ? now : heard_ - std::max(1, (heard_ - now) / kSlowness);
  }

  int routers() const { return told_ > 1 ? told_ : std::max({1, told_, heard_}); }
  bool learned() const { return told_ <= 1 && heard_ > 1; }

 private:
  static constexpr std::int64_t kMost = 1'000'000;
  static constexpr int kSlowness = 16;

  int told_;
  int heard_ = 1;
};

}  // namespace trailcourse::startup
