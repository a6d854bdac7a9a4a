// Sizes and durations of the simulated region.
#pragma once

#include <trailcourse/decider.h>

#include <array>
#include <chrono>
#include <cstdint>

namespace trailcourse::aggregation {

constexpr std::array<const char*, 3> kZoneNames{"edge", "west", "north"};
constexpr int kRouters = 10;
constexpr int kAggregators = 3;

constexpr Micros kRouterTtl{3'000'000};
constexpr Micros kAggregatorTtl{4'000'000};
constexpr Micros kLeaseMargin{20'000};
constexpr Micros kRetryBackoff{200'000};
constexpr Micros kWatchTimeout{1'000'000};  // without a heartbeat, after which a watch counts as broken
constexpr Micros kStepPeriod{40'000};       // of each process

constexpr Micros kFaultsEnd = std::chrono::seconds(45);
constexpr Micros kEnd = std::chrono::seconds(75);

constexpr int kMaxDriftPartsPerMillion = 950;
constexpr Micros kMaxClockOffset = std::chrono::seconds(50);

}  // namespace trailcourse::aggregation
