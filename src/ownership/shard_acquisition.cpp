// Acquisition of shards by the lease manager: the order of candidates, and the result of the call.
#include <algorithm>
#include <string>
#include <vector>

#include "ownership/lease_manager.h"
#include "ownership/shard_assignment.h"

namespace trailcourse::ownership {

// Returns the members that may own the work, sorted by name.
std::vector<std::string> LeaseManager::candidates(const Work& work) const {
  std::vector<std::string> out;
  for (const auto& [member, zone] : member_zones_) {
    if (work.zone.empty() || zone == work.zone) {
      out.push_back(member);
    }
  }
  return out;
}

// Returns how many shards this router owns or is acquiring.
std::size_t LeaseManager::reserved_shards() const {
  return static_cast<std::size_t>(std::count_if(shards_.begin(), shards_.end(), [](const auto& entry) {
    return entry.second.term != 0 || entry.second.phase == ShardPhase::kAcquiring;
  }));
}

bool LeaseManager::may_acquire(const ShardId& id, const Shard& shard, const Work& work) const {
  const bool router_available = !draining_ && !superseded_ && connected_;
  // The time does not matter: whether a lease is a candidate depends only on its term and on stop().
  const bool shard_idle = shard.phase == ShardPhase::kUnassigned && shard.term == 0 &&
                          shard.lease.phase(Micros(0)) == LeasePhase::kCandidate;
  return router_available && shard_idle && !work.paused && !owners_.contains(id) && !done_.contains(id);
}

// Returns when this router may try to acquire the shard, or nothing if it must not.
std::optional<Micros> LeaseManager::acquire_at(const ShardId& id, const Shard& shard) const {
  const Work* const work = active_work(id);
  if (work == nullptr || !may_acquire(id, shard, *work)) {
    return std::nullopt;
  }
  const std::vector<std::string> members = candidates(*work);
  const bool is_candidate = std::binary_search(members.begin(), members.end(), member_);
  if (!is_candidate || reserved_shards() >= options_.max_owned) {
    return std::nullopt;
  }
  const std::size_t rank = candidate_rank(id.work, id.shard, member_, members);
  const Micros wait = candidate_wait(rank, options_.candidate_slot, options_.max_candidate_wait);
  return std::max(shard.unowned_since + wait, shard.acquire_not_before);
}

void LeaseManager::on_acquire_result(Micros now, const ShardId& id, std::uint64_t call_id,
                                     const AcquireResult& result) {
  Shard* const shard = find(id);
  if (shard == nullptr || shard->phase != ShardPhase::kAcquiring) {
    return;
  }
  if (result.term == 0) {
    shard->lease.on_rejected(now, call_id);
    shard->phase = ShardPhase::kUnassigned;
    // The watch has not reported this owner yet. Until it does, the shard counts as owned.
    owners_[id] = result.current_owner;
    return;
  }
  shard->lease.on_granted(now, call_id, result.term);
  if (shard->lease.term() != result.term) {
    return;  // the response belongs to another call
  }
  ++counts_.acquired;
  shard->term = result.term;
  shard->progress.set_stored(result.stored);
  shard->phase = ShardPhase::kRecordingStart;
  shard->preferred_elsewhere_since.reset();
  shard->releasing_since.reset();
  shard->task_started = false;
  shard->task_finished = false;
  owners_[id] = Owner{member_, incarnation_, result.term};
  if (result.done) {
    done_.insert(id);
  }
}

}  // namespace trailcourse::ownership
