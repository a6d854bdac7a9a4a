// The state of a rollout in the store at one revision, which is the input of its coordinator.
//
// Library `policy`: no I/O, no clock.
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

// The records of the store that the coordinator reads in one transaction.
struct RolloutSnapshot {
  std::optional<Rollout> rollout;
  coordination::Revision rollout_revision = 0;  // of its last write; 0: there is no record
  std::uint64_t current_version = 0;
  coordination::Revision current_revision = 0;         // of its last write
  std::map<std::string, std::uint64_t> zone_versions;  // of zones with a version of their own
  ParticipantReports reports;

  // Returns the reports of the current stage's zones. Requires a rollout.
  ParticipantReports reports_of_stage() const;
};

// Returns the transaction that reads all parts of a snapshot at one revision.
coordination::Transaction snapshot_transaction(const std::string& prefix);
// Returns the snapshot from the outcome of snapshot_transaction().
RolloutSnapshot read_snapshot(const std::string& prefix, const coordination::TransactionResult& outcome);

// Describes for operators the participants that an open rollout is waiting for, one line each.
std::vector<std::string> describe_pending(const RolloutSnapshot& snapshot);

}  // namespace trailcourse::policy
