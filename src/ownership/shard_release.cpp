// Release of shards by the lease manager: the reasons for a release, the wait for the last checkpoint, and
// the loss of ownership.
#include <string>

#include "ownership/lease_manager.h"
#include "ownership/shard_assignment.h"

namespace trailcourse::ownership {

// Removes an operator's request that this router release the shard. Returns whether there was one.
bool LeaseManager::consume_release_request(const ShardId& id) {
  const auto request = release_requests_.find(id);
  if (request == release_requests_.end() || request->second != member_) {
    return false;
  }
  release_requests_.erase(request);
  return true;
}

// Returns whether this router has to release the shard without the handover delay.
bool LeaseManager::must_release(const ShardId& id, const Work* work) const {
  if (work == nullptr || work->paused || draining_ || superseded_ || done_.contains(id)) {
    return true;
  }
  return !work->zone.empty() && work->zone != zone_;
}

// Begins the release of the shard if this router should not own it any more.
void LeaseManager::check_assignment(Micros now, const ShardId& id, Shard& shard, const Work* work) {
  if (consume_release_request(id)) {
    shard.acquire_not_before = now + options_.cooldown;
    begin_release(now, id, shard);
    return;
  }
  if (must_release(id, work)) {
    begin_release(now, id, shard);
    return;
  }
  const std::string preferred = preferred_owner(id.work, id.shard, candidates(*work));
  if (preferred.empty() || preferred == member_ || !connected_) {
    shard.preferred_elsewhere_since.reset();
  } else if (!shard.preferred_elsewhere_since) {
    shard.preferred_elsewhere_since = now;
  } else if (now - *shard.preferred_elsewhere_since >= options_.handover_delay &&
             shard.phase != ShardPhase::kParked) {
    begin_release(now, id, shard);
  }
}

void LeaseManager::begin_release(Micros now, const ShardId& id, Shard& shard) {
  if (shard.phase == ShardPhase::kReleasing) {
    return;
  }
  const Progress& stored = shard.progress.stored().progress;
  const bool start_recorded = stored.term == shard.term && !stored.parked && stored.starts > 0;
  if (!shard.task_started && start_recorded && !shard.progress.has_unconfirmed()) {
    withdraw_start(shard);
  }
  shard.phase = ShardPhase::kReleasing;
  shard.releasing_since = now;
  if (shard.task_started) {
    actions_.push_back(StopTaskAction{id, shard.term});
  }
}

// Releases the lease when the last checkpoint is written, or after the release timeout.
void LeaseManager::step_releasing(Micros now, const ShardId& id, Shard& shard) {
  const bool timed_out = now >= shard.releasing_since.value_or(now) + options_.release_timeout;
  const bool task_and_writes_ended = !shard.task_started && shard.progress.idle();
  if (!task_and_writes_ended && !timed_out) {
    return;
  }
  if (shard.task_started) {
    abort_task(id, shard);
  }
  shard.lease.stop(now);
}

void LeaseManager::on_release_result(Micros now, const ShardId& id, std::uint64_t call_id) {
  Shard* const shard = find(id);
  if (shard == nullptr) {
    return;
  }
  shard->lease.on_granted(now, call_id, 0);
  if (!shard->lease.released()) {
    return;
  }
  if (shard->term != 0) {
    ++counts_.released;
    end_ownership(now, id, *shard);
  }
  shard->lease.restart();
}

void LeaseManager::abort_task(const ShardId& id, Shard& shard) {
  actions_.push_back(AbortTaskAction{id, shard.term});
  shard.task_started = false;
}

// Ends the ownership of the shard. If the lease has not ended yet, it is released.
void LeaseManager::end_ownership(Micros now, const ShardId& id, Shard& shard) {
  if (shard.task_started) {
    abort_task(id, shard);
  }
  if (shard.lease.term() != 0) {
    shard.lease.stop(now);
  }
  shard.term = 0;
  shard.phase = ShardPhase::kUnassigned;
  shard.task_finished = false;
  shard.progress.cancel();
  shard.releasing_since.reset();
  shard.preferred_elsewhere_since.reset();
}

}  // namespace trailcourse::ownership
