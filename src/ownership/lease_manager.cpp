#include "ownership/lease_manager.h"

#include <algorithm>
#include <utility>

namespace trailcourse::ownership {

const char* to_string(ShardPhase phase) {
  switch (phase) {
    case ShardPhase::kUnassigned:
      return "unassigned";
    case ShardPhase::kAcquiring:
      return "acquiring";
    case ShardPhase::kRecordingStart:
      return "recording start";
    case ShardPhase::kDelayed:
      return "delayed";
    case ShardPhase::kRunning:
      return "running";
    case ShardPhase::kReleasing:
      return "releasing";
    case ShardPhase::kParked:
      break;
  }
  return "parked";
}

LeaseManager::LeaseManager(std::string member, std::string incarnation, std::string zone,
                           std::set<std::string> kinds, const LeaseManagerOptions& options)
    : member_(std::move(member)),
      incarnation_(std::move(incarnation)),
      zone_(std::move(zone)),
      kinds_(std::move(kinds)),
      options_(options) {}

// ---- Changes reported by the store and by the router ----

void LeaseManager::set_members(Micros, MemberZones zones) { member_zones_ = std::move(zones); }

void LeaseManager::set_work(Micros now, const std::string& name, std::optional<Work> work) {
  if (!work) {
    works_.erase(name);
    return;  // the next steps release its shards
  }
  const std::uint64_t count = kinds_.contains(work->kind) ? work->shards : 0;
  works_[name] = std::move(*work);
  for (std::uint64_t i = 0; i < count; ++i) {
    const auto [found, added] = shards_.try_emplace(ShardId{name, i}, options_.lease);
    if (added) {
      found->second.unowned_since = now;
    }
  }
}

void LeaseManager::on_owner(Micros now, const ShardId& id, std::optional<Owner> owner,
                            coordination::Revision revision) {
  if (owner) {
    owners_[id] = *owner;
  } else {
    owners_.erase(id);
  }
  Shard* const shard = find(id);
  if (shard == nullptr) {
    return;
  }
  if (!owner) {
    shard->unowned_since = now;
  }
  // A change after this router's own grant to another owner, or to none, ends its ownership. Earlier changes
  // are outdated.
  const bool lost = shard->term != 0 && revision > shard->term && (!owner || owner->term != shard->term);
  if (lost) {
    ++counts_.lost;
    end_ownership(now, id, *shard);
  }
}

void LeaseManager::on_done(Micros, const ShardId& id, bool done) {
  if (done) {
    done_.insert(id);
  } else {
    done_.erase(id);
  }
}

void LeaseManager::on_release_request(Micros, const ShardId& id, const std::string& member) {
  if (member.empty()) {
    release_requests_.erase(id);
  } else {
    release_requests_[id] = member;
  }
}

void LeaseManager::set_allowed_kinds(Micros now, std::optional<std::set<std::string>> kinds) {
  allowed_kinds_ = std::move(kinds);
  for (const auto& [name, work] : std::map<std::string, Work>(works_)) {
    set_work(now, name, work);  // adds shards that were removed while their kind was not allowed
  }
}

void LeaseManager::set_superseded(Micros, bool superseded) { superseded_ = superseded; }
void LeaseManager::set_connected(Micros, bool connected) { connected_ = connected; }
void LeaseManager::drain(Micros) { draining_ = true; }

bool LeaseManager::drained() const {
  return std::all_of(shards_.begin(), shards_.end(), [](const auto& entry) {
    return entry.second.term == 0 && entry.second.phase == ShardPhase::kUnassigned;
  });
}

// ---- Results of lease calls ----

void LeaseManager::on_renew_result(Micros now, const ShardId& id, std::uint64_t call_id, bool alive) {
  Shard* const shard = find(id);
  if (shard == nullptr) {
    return;
  }
  if (alive) {
    shard->lease.on_granted(now, call_id, shard->term);
    return;
  }
  shard->lease.on_rejected(now, call_id);
  if (shard->term != 0 && shard->lease.term() == 0) {
    ++counts_.lost;
    end_ownership(now, id, *shard);
  }
}

void LeaseManager::on_no_response(Micros now, const ShardId& id, std::uint64_t call_id) {
  Shard* const shard = find(id);
  if (shard == nullptr) {
    return;
  }
  shard->lease.on_no_response(now, call_id);
  if (shard->phase == ShardPhase::kAcquiring) {
    shard->phase = ShardPhase::kUnassigned;
  }
}

// ---- Queries ----

bool LeaseManager::may_act(Micros now, const ShardId& id, Term term) const {
  const auto found = shards_.find(id);
  if (found == shards_.end() || term == 0) {
    return false;
  }
  const Shard& shard = found->second;
  return shard.term == term && shard.task_started && !superseded_ && shard.lease.may_act(now);
}

LeaseManager::Shard* LeaseManager::find(const ShardId& id) {
  const auto found = shards_.find(id);
  return found == shards_.end() ? nullptr : &found->second;
}

// Returns the definition of the shard's work, or null if this router may not own it.
const Work* LeaseManager::active_work(const ShardId& id) const {
  const auto found = works_.find(id.work);
  if (found == works_.end() || id.shard >= found->second.shards) {
    return nullptr;
  }
  const std::string& kind = found->second.kind;
  const bool allowed = kinds_.contains(kind) && (!allowed_kinds_ || allowed_kinds_->contains(kind));
  return allowed ? &found->second : nullptr;
}

std::vector<ShardStatus> LeaseManager::shards(Micros now) const {
  std::vector<ShardStatus> out;
  for (const auto& [id, shard] : shards_) {
    const auto owner = owners_.find(id);
    ShardStatus status;
    status.id = id;
    status.phase = shard.phase;
    status.lease_phase = shard.lease.phase(now);
    status.owner = owner == owners_.end() ? Owner{} : owner->second;
    status.done = done_.contains(id);
    status.starts = shard.progress.stored().progress.starts;
    out.push_back(std::move(status));
  }
  return out;
}

// ---- Steps ----

std::vector<LeaseManagerAction> LeaseManager::step(Micros now) {
  for (auto& [id, shard] : shards_) {
    step_shard(now, id, shard);
  }
  std::erase_if(shards_, [this](const auto& entry) {
    const Shard& shard = entry.second;
    // The time does not matter: whether a lease is a candidate depends only on its term and on stop().
    return active_work(entry.first) == nullptr && shard.term == 0 && shard.phase == ShardPhase::kUnassigned &&
           shard.lease.phase(Micros(0)) == LeasePhase::kCandidate;
  });
  return std::exchange(actions_, {});
}

void LeaseManager::step_shard(Micros now, const ShardId& id, Shard& shard) {
  if (shard.term != 0 && shard.lease.phase(now) != LeasePhase::kStopped) {
    step_owned(now, id, shard);
  }
  const bool has_lease = shard.lease.term() != 0 || shard.lease.phase(now) == LeasePhase::kStopped;
  if (!has_lease) {
    const std::optional<Micros> at = acquire_at(id, shard);
    if (!at || now < *at) {
      return;
    }
  }
  step_lease(now, id, shard);
}

void LeaseManager::step_lease(Micros now, const ShardId& id, Shard& shard) {
  if (const std::optional<LeaseCall> call = shard.lease.step(now)) {
    if (call->kind == LeaseCallKind::kAcquire) {
      shard.phase = ShardPhase::kAcquiring;
    }
    actions_.push_back(LeaseCallAction{id, *call});
  } else if (shard.lease.released()) {
    // There was no grant to release.
    end_ownership(now, id, shard);
    shard.lease.restart();
  }
}

void LeaseManager::step_owned(Micros now, const ShardId& id, Shard& shard) {
  if (shard.lease.phase(now) == LeasePhase::kUncertain) {
    step_uncertain(now, id, shard);
    return;
  }
  const Work* const work = active_work(id);
  if (shard.phase != ShardPhase::kReleasing) {
    check_assignment(now, id, shard, work);
  }
  step_phase(now, id, shard, work);
  if (!shard.lease.may_act(now)) {
    return;
  }
  if (std::optional<WriteProgressAction> write = shard.progress.step(now, id, shard.term)) {
    actions_.push_back(std::move(*write));
  }
}

void LeaseManager::step_phase(Micros now, const ShardId& id, Shard& shard, const Work* work) {
  switch (shard.phase) {
    case ShardPhase::kRecordingStart:
      if (work != nullptr && shard.progress.idle()) {
        record_start(now, *work, shard);
      }
      break;
    case ShardPhase::kDelayed:
      step_delayed(now, id, shard);
      break;
    case ShardPhase::kParked:
      if (work != nullptr && work->resumed > shard.progress.stored().progress.resumed) {
        shard.phase = ShardPhase::kRecordingStart;
        record_start(now, *work, shard);
      }
      break;
    case ShardPhase::kReleasing:
      step_releasing(now, id, shard);
      break;
    case ShardPhase::kRunning:
    case ShardPhase::kAcquiring:
    case ShardPhase::kUnassigned:
      break;
  }
}

// The lease has expired, and it is unknown whether it was renewed. The task is aborted; it starts again under
// the same term if a later response confirms the renewal.
void LeaseManager::step_uncertain(Micros now, const ShardId& id, Shard& shard) {
  const bool releasing = shard.phase == ShardPhase::kReleasing;
  if (shard.task_started) {
    abort_task(id, shard);
    shard.progress.clear_queue();
    shard.phase = releasing ? ShardPhase::kReleasing : ShardPhase::kRecordingStart;
  }
  if (releasing) {
    shard.lease.stop(now);
  }
}

void LeaseManager::step_delayed(Micros now, const ShardId& id, Shard& shard) {
  if (now < shard.start_at || !shard.lease.may_act(now)) {
    return;
  }
  shard.phase = ShardPhase::kRunning;
  shard.task_started = true;
  shard.task_finished = false;
  actions_.push_back(StartTaskAction{id, shard.term, shard.progress.stored().progress.checkpoint});
}

std::optional<Micros> LeaseManager::next_step_at(Micros now) const {
  std::optional<Micros> earliest;
  for (const auto& [id, shard] : shards_) {
    for (const std::optional<Micros>& at :
         {next_lease_step_at(now, id, shard), next_owned_step_at(now, shard)}) {
      if (at) {
        earliest = std::min(earliest.value_or(Micros::max()), std::max(*at, now));
      }
    }
  }
  return earliest;
}

// Returns when the next call for the shard's lease is due.
std::optional<Micros> LeaseManager::next_lease_step_at(Micros now, const ShardId& id,
                                                       const Shard& shard) const {
  std::optional<Micros> earliest;
  if (shard.lease.term() != 0 || shard.lease.phase(now) == LeasePhase::kStopped) {
    earliest = shard.lease.next_step_at(now);
  }
  if (shard.term != 0) {
    return earliest;
  }
  if (const std::optional<Micros> acquire = acquire_at(id, shard)) {
    const Micros at = std::max(*acquire, shard.lease.next_step_at(now).value_or(*acquire));
    earliest = std::min(earliest.value_or(at), at);
  }
  return earliest;
}

// Returns when a timer of an owned shard expires next.
std::optional<Micros> LeaseManager::next_owned_step_at(Micros now, const Shard& shard) const {
  if (shard.term == 0) {
    return std::nullopt;
  }
  std::optional<Micros> earliest;
  const auto add = [&earliest](std::optional<Micros> at) {
    if (at) {
      earliest = std::min(earliest.value_or(*at), *at);
    }
  };
  const LeasePhase lease_phase = shard.lease.phase(now);
  if (lease_phase == LeasePhase::kOwner || lease_phase == LeasePhase::kRenewing) {
    add(shard.lease.valid_until());
  }
  if (shard.phase == ShardPhase::kDelayed) {
    add(shard.start_at);
  }
  if (shard.releasing_since && shard.phase == ShardPhase::kReleasing && lease_phase != LeasePhase::kStopped) {
    add(*shard.releasing_since + options_.release_timeout);
  }
  if (shard.preferred_elsewhere_since && shard.phase != ShardPhase::kParked) {
    add(*shard.preferred_elsewhere_since + options_.handover_delay);
  }
  if (shard.lease.may_act(now)) {
    add(shard.progress.next_step_at());
  }
  return earliest;
}

}  // namespace trailcourse::ownership
