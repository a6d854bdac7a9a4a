// The number of routers in the fleet, from which the windows for jitter are derived. The operator's file
// takes precedence over the platform's settings. Where neither states the number, it is estimated from the
// number of connections that the discovery service reports.
//
// Library `startup`.
#pragma once

#include <algorithm>
#include <cstdint>

namespace trailcourse::startup {

// Estimates the number of routers in the fleet.
class FleetSize {
 public:
  // `operator_routers` is from the operator's file, `settings_routers` from the platform's settings. A value
  // of 0 or less means that the number is not configured there.
  FleetSize(std::int64_t operator_routers, int settings_routers)
      : configured_(operator_routers > 0
                        ? static_cast<int>(std::min<std::int64_t>(operator_routers, kMaxRouters))
                        : settings_routers) {}

  // Records the number of connections that the discovery service reports. The estimate rises at once to a
  // larger number and falls slowly towards a smaller one, since the clients of the service reconnect one by
  // one after an outage.
  void observe(std::int64_t reported_connections) {
    const int reported = static_cast<int>(std::clamp<std::int64_t>(reported_connections, 1, kMaxRouters));
    observed_ =
        reported >= observed_ ? reported : observed_ - std::max(1, (observed_ - reported) / kDecayDivisor);
  }

  // Returns the number of routers, at least 1.
  int routers() const { return configured_ > 1 ? configured_ : std::max({1, configured_, observed_}); }

 private:
  static constexpr std::int64_t kMaxRouters = 1'000'000;
  static constexpr int kDecayDivisor = 16;

  int configured_;
  int observed_ = 1;
};

}  // namespace trailcourse::startup
