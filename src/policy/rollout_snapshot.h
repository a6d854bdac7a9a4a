// The state of a rollout in the store at one revision: all that its coordinator decides by.
//
// Package `policy`: no I/O, no clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/types.h"
#include "policy/participant_report.h"
#include "policy/rollout.h"

namespace trailcourse::policy {

struct RolloutSnapshot {
  std::optional<Rollout> rollout;
  coordination::Revision rollout_revision = 0;  // of its last write; 0: there is no record
  std::uint64_t current_version = 0;
  coordination::Revision current_revision = 0;         // of its last write
  std::map<std::string, std::uint64_t> zone_versions;  // of zones where it is not `current_version`
  ParticipantReports reports;

  // Returns the reports of the current stage's zones. There has to be a rollout.
  ParticipantReports reports_of_stage() const;
};

// Reads all parts of a snapshot at one revision.
coordination::Transaction snapshot_transaction(const std::string& prefix);
// Returns the snapshot of such a transaction's outcome.
RolloutSnapshot read_snapshot(const std::string& prefix, const coordination::Outcome& outcome);

// Describes for operators which participants an open rollout is waiting for, one line each.
std::vector<std::string> describe_pending(const RolloutSnapshot& snapshot);

}  // namespace trailcourse::policy
