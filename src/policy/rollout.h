// The record of a policy rollout: the state of a two-phase commit that moves all routers from one version of
// the policy to another, zone by zone or all at once.
//
//     preparing ──(all are ready)──> suspending ──(all suspended, or without lease)──> committed ──> done
//         │                              │                                                │
//         │                              │                      the next stage <────── watching
//         └──(rejected, timeout, command)┴──> aborted
//
// While a rollout is preparing, every router decides under the previous version. A router that is suspended
// decides under neither version alone: it rejects requests, or serves what both versions allow. The commit is
// one compare-and-set. At that time no router decides under the previous version, and no router can start to:
// a router without a lease has to join again, which fails unless it has observed the suspension. A router
// decides under the target version only after it has read the commit.
//
// Library `policy`: knows JSON; no I/O, no clock.
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
  kWatching,    // the coordinator watches the requests of the stage's zone before the next stage
  kDone,
  kAborted
};
// Returns the name of the state in the store and in messages for operators.
const char* to_string(RolloutState state);

// Identifies one stage of one rollout; later stages have larger numbers. 0 is no stage.
using StageId = std::uint64_t;

// The state of the latest rollout.
struct Rollout {
  std::uint64_t id = 0;  // increases with each rollout; 0: none
  std::uint64_t target_version = 0;
  std::uint64_t previous_version = 0;
  RolloutState state = RolloutState::kPreparing;
  bool urgent = false;
  std::vector<std::string> stages;  // one zone each, in order; a last stage includes all other zones
  std::uint64_t stage = 0;          // index of the current stage; stages.size() is the last one
  Micros watch_time{0};             // time to watch each stage but the last; a multiple of a millisecond
  double max_rejected_share = 1.0;  // of a watched stage's requests; above this the rollout is reverted
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

// Writes the record as JSON.
std::string write_rollout(const Rollout& rollout);
// Reads the record. Returns nothing if the text is not a valid record.
std::optional<Rollout> read_rollout(const std::string& text);

// A transition of a rollout.
struct RolloutStep {
  Rollout rollout;      // the record to write
  bool commit = false;  // whether to put the target version in force in the current stage's zones
  std::string audit;    // line of the audit log
};

}  // namespace trailcourse::policy
