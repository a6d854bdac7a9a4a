// The number of routers in the fleet, from which windows over the whole fleet are derived. The operator's
// figure goes before that of the platform's settings; without both it is learned from the number of
// connections that the discovery service reports.
//
// Package `startup`.
#pragma once

#include <algorithm>
#include <cstdint>

namespace trailcourse::startup {

// Holds what is known of the number of routers.
class FleetSize {
 public:
  // A figure of 0 or less means that it is not configured.
  FleetSize(std::int64_t by_operator, int by_settings)
      : configured_(by_operator > 0 ? static_cast<int>(std::min<std::int64_t>(by_operator, kMaxRouters))
                                    : by_settings) {}

  // Records a number of connections that the discovery service reported. A larger one counts at once, a
  // smaller one is approached slowly: after an outage of the service its clients come back one by one.
  void observe(std::int64_t reported_connections) {
    const int reported = static_cast<int>(std::clamp<std::int64_t>(reported_connections, 1, kMaxRouters));
    observed_ =
        reported >= observed_ ? reported : observed_ - std::max(1, (observed_ - reported) / kDecayDivisor);
  }

  // Returns the number of routers, 1 at least.
  int routers() const { return configured_ > 1 ? configured_ : std::max({1, configured_, observed_}); }

 private:
  static constexpr std::int64_t kMaxRouters = 1'000'000;
  static constexpr int kDecayDivisor = 16;

  int configured_;
  int observed_ = 1;
};

}  // namespace trailcourse::startup
