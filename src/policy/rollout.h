// The record of a policy rollout: the state of a two-phase commit that takes all routers from one version of
// the policy to another, zone by zone or all at once.
//
//     preparing ──(all are ready)──> suspending ──(all suspended, or without lease)──> committed ──> done
//         │                              │                                                │
//         │                              │                      the next stage <────── watching
//         └──(rejected, timeout, command)┴──> aborted
//
// While a rollout is preparing, every router decides under the previous version. A router that has suspended
// decides under neither version alone: it rejects requests, or serves what both versions allow. At the
// commit, which is one compare-and-set, no router therefore decides under the previous version, and none can
// start to: a router without a lease has to join again, which the commit would detect. A router that decides
// under the target version has read the commit.
//
// Package `policy`: knows JSON; no I/O, no clock.
#pragma once

#include <trailcourse/decider.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace trailcourse::policy {

enum class RolloutState {
  kPreparing,   // participants read, check and store the target version
  kSuspending,  // participants stop deciding under the previous version
  kCommitted,   // the target version is in force in the stage's zones
  kWatching,    // the requests of the stage's zone are watched before the next stage starts
  kDone,
  kAborted
};
// Returns the name that stands in the store and that operators read.
const char* to_string(RolloutState state);

// Identifies one stage of one rollout; later stages have larger numbers. 0 is no stage.
using StageId = std::uint64_t;

struct Rollout {
  std::uint64_t id = 0;  // grows with each rollout; 0: none
  std::uint64_t target_version = 0;
  std::uint64_t previous_version = 0;
  RolloutState state = RolloutState::kPreparing;
  bool urgent = false;
  std::vector<std::string> stages;  // zones, one after the other; all other zones follow in a last stage
  std::uint64_t stage = 0;          // index of the current stage; stages.size() is the last one
  Micros watch_time{0};  // how long each stage but the last is watched; a multiple of a millisecond
  double max_rejected_share = 1.0;  // of a watched stage's requests; above it the rollout is reverted
  std::string reason;               // of an abort or a revert, for operators
  std::string author;

  // Returns whether the rollout has neither finished nor been aborted.
  bool is_open() const { return state != RolloutState::kDone && state != RolloutState::kAborted; }
  bool is_last_stage() const { return stage >= stages.size(); }
  // Returns whether the current stage includes the zone.
  bool applies_to(const std::string& zone) const;
  friend bool operator==(const Rollout&, const Rollout&) = default;
};

// Returns the identifier of the rollout's current stage.
StageId stage_id(const Rollout& rollout);

std::string write_rollout(const Rollout& rollout);
// Returns nothing if the text is not a valid record.
std::optional<Rollout> read_rollout(const std::string& text);

// A transition of a rollout: the record as it is to be written.
struct RolloutStep {
  Rollout rollout;
  bool commit = false;  // puts the target version in force in the current stage's zones
  std::string audit;    // line of the audit log
};

}  // namespace trailcourse::policy
