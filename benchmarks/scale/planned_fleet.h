// The size of the planned fleet (docs/CAPACITY.md), which the measurements use as input.
#pragma once

namespace trailcourse::scale {

constexpr int kPlannedRouters = 19'000;
constexpr int kPlannedRegions = 53;
constexpr int kPlannedZones = 203;

}  // namespace trailcourse::scale
