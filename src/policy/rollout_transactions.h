// The transactions that change a rollout in the store. Each of them compares the record and the version in
// force with a snapshot, so that a late write has no effect, and writes a line of the audit log.
//
// Library `policy`: no I/O, no clock.
#pragma once

#include <cstdint>
#include <string>
#include <tl/expected.hpp>

#include "coordination/types.h"
#include "policy/rollout.h"
#include "policy/rollout_snapshot.h"

namespace trailcourse::policy {

// The condition under which a new rollout may begin.
enum class RolloutStart {
  kIdle,       // no other rollout is open
  kSupersedes  // the new rollout replaces the open one, which has not committed in any zone
};

// The open rollout that prevents a new one.
struct RolloutInProgress {
  std::uint64_t id = 0;
  std::uint64_t target_version = 0;
  RolloutState state = RolloutState::kPreparing;
  bool urgent_requested = false;  // the new rollout is urgent, but the open one has committed
};
// Describes the open rollout for operators, with the possible actions.
std::string describe(const RolloutInProgress& in_progress);

// Checks whether a new rollout may begin: no rollout is open, or the new one is urgent and the open one has
// not committed in any zone.
tl::expected<RolloutStart, RolloutInProgress> check_can_begin(const RolloutSnapshot& snapshot, bool urgent);

// Returns the transaction that writes the record of a new rollout, and its document unless that is empty.
coordination::Transaction begin_transaction(const std::string& prefix, const RolloutSnapshot& snapshot,
                                            const Rollout& rollout, const std::string& document,
                                            const std::string& audit);
// Returns the transaction that writes a transition of the snapshot's rollout.
coordination::Transaction execute_transaction(const std::string& prefix, const RolloutSnapshot& snapshot,
                                              const RolloutStep& step);

}  // namespace trailcourse::policy
