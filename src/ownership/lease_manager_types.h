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

// The members that may be given work: the zone of each by its name.
using MemberZones = std::map<std::string, std::string>;

struct LeaseManagerOptions {
  LeaseOptions lease;
  Micros candidate_slot{200'000};        // a candidate waits so long for each one that ranks before it
  Micros max_candidate_wait{2'000'000};  // and no longer than that in all
  Micros handover_delay{10'000'000};     // a preferred owner has to be present so long to be given the shard
  Micros release_timeout{500'000};       // time for the last checkpoint when a shard is released
  Micros cooldown{5'000'000};            // after a requested release this router does not acquire so long
  std::uint64_t max_starts = 3;          // starts in a row without a checkpoint; then the shard is parked
  Micros restart_backoff{1'000'000};     // before the second start in a row; doubles with each further one
  Micros max_restart_backoff{60'000'000};
  std::size_t max_owned = 64;  // shards of one router
};

// State of a shard at this router, see lease_manager.h.
enum class ShardPhase { kUnassigned, kAcquiring, kRecordingStart, kDelayed, kRunning, kReleasing, kParked };

// Returns the phase as words for logs.
const char* to_string(ShardPhase phase);

// Makes a lease call to the store.
struct LeaseCallAction {
  ShardId id;
  LeaseCall call;
};
// Writes progress under the term, on top of the record of revision `modified`.
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
// Asks the task to come to an end and to report its last checkpoint.
struct StopTaskAction {
  ShardId id;
  Term term = 0;
};
// Aborts the task at once: the shard is not owned any more, or its ownership cannot be determined.
struct AbortTaskAction {
  ShardId id;
  Term term = 0;
};
using LeaseManagerAction =
    std::variant<LeaseCallAction, WriteProgressAction, StartTaskAction, StopTaskAction, AbortTaskAction>;

// A shard as staff see it.
struct ShardStatus {
  ShardId id;
  ShardPhase phase = ShardPhase::kUnassigned;
  LeasePhase lease_phase = LeasePhase::kCandidate;
  Owner owner;  // as the store reported last
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
