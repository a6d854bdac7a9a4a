// States of one policy rollout in the store, for tests of aggregators.
#pragma once

#include <cstdint>

#include "policy/change.h"
#include "policy/holder.h"

namespace trailcourse::aggregation {

constexpr std::uint64_t kOldVersion = 7;
constexpr std::uint64_t kNewVersion = 8;
constexpr std::uint64_t kRolloutId = 3;

// Returns a rollout of all zones from the old version to the new one.
inline policy::Change rollout_in(policy::ChangeState state, std::uint64_t id = kRolloutId) {
  policy::Change out;
  out.id = id;
  out.version = kNewVersion;
  out.before = kOldVersion;
  out.state = state;
  return out;
}

inline std::uint64_t step_in(policy::ChangeState state) { return policy::step_of(rollout_in(state)); }

inline bool is_committed(policy::ChangeState state) {
  using policy::ChangeState;
  return state == ChangeState::kCommitted || state == ChangeState::kWatched || state == ChangeState::kDone;
}

// Returns what is in the store while that rollout is in the state.
inline policy::Known observed_in(policy::ChangeState state, std::uint64_t id = kRolloutId) {
  policy::Known out;
  out.change = rollout_in(state, id);
  out.version = is_committed(state) ? kNewVersion : kOldVersion;
  return out;
}

}  // namespace trailcourse::aggregation
