// States of a policy rollout in the store, for tests of aggregators.
#pragma once

#include <cstdint>

#include "policy/participant.h"
#include "policy/rollout.h"

namespace trailcourse::aggregation {

constexpr std::uint64_t kOldVersion = 7;
constexpr std::uint64_t kNewVersion = 8;
constexpr std::uint64_t kRolloutId = 3;

// Returns a rollout of all zones from the old version to the new one.
inline policy::Rollout rollout_in(policy::RolloutState state, std::uint64_t id = kRolloutId) {
  policy::Rollout out;
  out.id = id;
  out.target_version = kNewVersion;
  out.previous_version = kOldVersion;
  out.state = state;
  return out;
}

inline std::uint64_t stage_in(policy::RolloutState state) { return policy::stage_id(rollout_in(state)); }

inline bool is_committed(policy::RolloutState state) {
  using policy::RolloutState;
  return state == RolloutState::kCommitted || state == RolloutState::kWatching ||
         state == RolloutState::kDone;
}

// Returns the state of the store while that rollout is in `state`.
inline policy::ObservedState observed_in(policy::RolloutState state, std::uint64_t id = kRolloutId) {
  policy::ObservedState out;
  out.rollout = rollout_in(state, id);
  out.version = is_committed(state) ? kNewVersion : kOldVersion;
  return out;
}

}  // namespace trailcourse::aggregation
