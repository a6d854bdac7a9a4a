// Options, actions and status of the lease manager (lease_manager.h).
//
// Library `ownership`: no I/O and no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <variant>

#include "ownership/lease.h"
#include "ownership/work_records.h"

namespace trailcourse::ownership {

// The members that may own work: zones by member name.
using MemberZones = std::map<std::string, std::string>;

// Timing and limits of the lease manager.
struct LeaseManagerOptions {
  LeaseOptions lease;
  Micros candidate_slot{200'000};        // wait of a candidate for each candidate with a better rank
  Micros max_candidate_wait{2'000'000};  // maximum total wait of a candidate
  Micros handover_delay{10'000'000};  // time for which another member is preferred before the owner releases
  Micros release_timeout{500'000};    // time for the last checkpoint of a shard that is released
  Micros cooldown{5'000'000};         // after a requested release, before this router may acquire again
  std::uint64_t max_starts = 3;       // starts without a checkpoint, after which the shard is parked
  Micros restart_backoff{1'000'000};  // before the second start; doubles with each further start
  Micros max_restart_backoff{60'000'000};
  std::size_t max_owned = 64;  // maximum number of shards that one router owns
};

// State of a shard at this router; lease_manager.h describes each.
enum class ShardPhase { kUnassigned, kAcquiring, kRecordingStart, kDelayed, kRunning, kReleasing, kParked };

// Returns the name of the phase for logs.
const char* to_string(ShardPhase phase);

// Makes a lease call to the store.
struct LeaseCallAction {
  ShardId id;
  LeaseCall call;
};
// Writes progress under the term, if the stored record still has the revision `modified`.
struct WriteProgressAction {
  ShardId id;
  std::uint64_t call_id = 0;
  Term term = 0;
  coordination::Revision modified = 0;
  Progress progress;
};
// Starts the task from this checkpoint.
struct StartTaskAction {
  ShardId id;
  Term term = 0;
  std::string checkpoint;
};
// Requests the task to report its last checkpoint and to end.
struct StopTaskAction {
  ShardId id;
  Term term = 0;
};
// Aborts the task at once, because the shard is not owned any more or its ownership is unknown.
struct AbortTaskAction {
  ShardId id;
  Term term = 0;
};
using LeaseManagerAction =
    std::variant<LeaseCallAction, WriteProgressAction, StartTaskAction, StopTaskAction, AbortTaskAction>;

// The state of a shard, as shown to operators.
struct ShardStatus {
  ShardId id;
  ShardPhase phase = ShardPhase::kUnassigned;
  LeasePhase lease_phase = LeasePhase::kCandidate;
  Owner owner;  // as last reported by the store
  bool done = false;
  std::uint64_t starts = 0;
};

// Counters since the start of the process.
struct LeaseManagerCounts {
  std::uint64_t acquired = 0;
  std::uint64_t lost = 0;
  std::uint64_t released = 0;
  std::uint64_t parked = 0;
  std::uint64_t checkpoints = 0;
  std::uint64_t rejected_writes = 0;
};

}  // namespace trailcourse::ownership
