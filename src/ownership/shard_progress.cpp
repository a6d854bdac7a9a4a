// Progress of owned shards in the lease manager: starts, checkpoints, and the parking of work whose owners
// crash.
#include <algorithm>
#include <utility>

#include "ownership/lease_manager.h"

namespace trailcourse::ownership {

// Queues the record of a start, which has to be stored before the task begins.
void LeaseManager::record_start(Micros now, const Work& work, Shard& shard) {
  const Progress& stored = shard.progress.stored().progress;
  if (stored.parked && stored.resumed >= work.resumed) {
    shard.phase = ShardPhase::kParked;
    return;
  }
  if (stored.term == shard.term && !stored.parked) {
    // The start under this term is stored already: the lease was uncertain, and its renewal is confirmed now.
    shard.start_at = now;
    shard.phase = ShardPhase::kDelayed;
    return;
  }
  Progress next = shard.progress.next_progress(shard.term, member_);
  next.starts = stored.parked ? 0 : stored.starts;
  next.parked = next.starts >= options_.max_starts;
  next.resumed = work.resumed;
  next.starts += next.parked ? 0 : 1;
  shard.progress.enqueue(std::move(next));
}

// Returns the delay of the next start after `starts` - 1 starts without a checkpoint.
Micros LeaseManager::restart_backoff(std::uint64_t starts) const {
  if (starts < 2) {
    return Micros(0);
  }
  Micros backoff = options_.restart_backoff;
  for (std::uint64_t i = 2; i < starts && backoff < options_.max_restart_backoff; ++i) {
    backoff *= 2;
  }
  return std::min(backoff, options_.max_restart_backoff);
}

void LeaseManager::on_write_result(Micros now, const ShardId& id, std::uint64_t call_id,
                                   const ProgressWriteResult& result) {
  Shard* const shard = find(id);
  if (shard == nullptr || shard->term == 0) {
    return;
  }
  const std::optional<Progress> attempted = shard->progress.on_response(call_id);
  if (!attempted) {
    return;
  }
  if (!result.owned) {
    ++counts_.rejected_writes;
    ++counts_.lost;
    end_ownership(now, id, *shard);
    return;
  }
  shard->progress.set_stored(result.stored);
  if (!result.written) {
    // An operator changed the record. A start is decided again by the changed record; a checkpoint is written
    // on top of it.
    ++counts_.rejected_writes;
    if (shard->phase != ShardPhase::kRecordingStart && !shard->progress.has_queued()) {
      shard->progress.enqueue(*attempted);
    }
    return;
  }
  if (attempted->done) {
    done_.insert(id);
  }
  if (shard->phase == ShardPhase::kRecordingStart) {
    on_start_written(now, *shard, *attempted);
  } else {
    on_checkpoint_written(*shard, *attempted);
  }
}

void LeaseManager::on_start_written(Micros now, Shard& shard, const Progress& written) {
  if (written.parked) {
    ++counts_.parked;
    shard.phase = ShardPhase::kParked;
    return;
  }
  shard.start_at = now + restart_backoff(written.starts);
  shard.phase = ShardPhase::kDelayed;
}

void LeaseManager::on_checkpoint_written(Shard& shard, const Progress& written) {
  ++counts_.checkpoints;
  // If the record of a start was in flight when the release began, the task does not start.
  const bool never_started = shard.phase == ShardPhase::kReleasing && !shard.task_started &&
                             !shard.task_finished && !shard.progress.has_queued();
  if (never_started && written.starts > 0 && !written.parked) {
    withdraw_start(shard);
  }
}

// Queues a record without the last start, which did not take place.
void LeaseManager::withdraw_start(Shard& shard) {
  Progress next = shard.progress.next_progress(shard.term, member_);
  --next.starts;
  shard.progress.enqueue(std::move(next));
}

void LeaseManager::on_no_write_response(Micros now, const ShardId& id, std::uint64_t call_id) {
  if (Shard* const shard = find(id)) {
    shard->progress.on_no_response(now, call_id, options_.lease.retry_backoff);
  }
}

void LeaseManager::on_checkpoint(Micros, const ShardId& id, Term term, std::string checkpoint, bool done) {
  Shard* const shard = find(id);
  if (shard == nullptr || term == 0 || shard->term != term || !shard->task_started) {
    return;
  }
  Progress next = shard->progress.next_progress(shard->term, member_);
  next.checkpoint = std::move(checkpoint);
  next.starts = 0;
  next.done = done;
  shard->progress.enqueue(std::move(next));
}

void LeaseManager::on_task_finished(Micros, const ShardId& id, Term term) {
  Shard* const shard = find(id);
  if (shard == nullptr || term == 0 || shard->term != term || !shard->task_started) {
    return;
  }
  shard->task_finished = true;
  shard->task_started = false;
  // The task ended normally, so its start does not count as failed.
  if (shard->progress.idle() && shard->progress.stored().progress.starts > 0) {
    Progress next = shard->progress.next_progress(shard->term, member_);
    next.starts = 0;
    shard->progress.enqueue(std::move(next));
  }
}

}  // namespace trailcourse::ownership
