#include "ownership/lease_manager.h"

#include <algorithm>
#include <utility>

namespace trailcourse::ownership {

const char* to_string(ShardPhase phase) {
  switch (phase) {
    case ShardPhase::kAway:
      return "away";
    case ShardPhase::kAsking:
      return "asking";
    case ShardPhase::kRecording:
      return "recording";
    case ShardPhase::kDelayed:
      return "delayed";
    case ShardPhase::kRunning:
      return "running";
    case ShardPhase::kYielding:
      return "yielding";
    case ShardPhase::kParked:
      break;
  }
  return "parked";
}

LeaseManager::LeaseManager(std::string self, std::string incarnation, std::string zone,
                           std::set<std::string> kinds, const LeaseManagerRules& rules)
    : self_(std::move(self)),
      incarnation_(std::move(incarnation)),
      zone_(std::move(zone)),
      kinds_(std::move(kinds)),
      rules_(rules) {}

// ---- What the store told ----

void LeaseManager::members(Micros, std::map<std::string, std::string> members) {
  members_ = std::move(members);
}

void LeaseManager::work(Micros now, const std::string& name, std::optional<Work> work) {
  if (!work) {
    works_.erase(name);
    return;  // its shards are let go by their steps
  }
  const std::uint64_t count = kinds_.contains(work->kind) ? work->shards : 0;
  works_[name] = std::move(*work);
  for (std::uint64_t i = 0; i < count; ++i) {
    const auto [found, added] = shards_.try_emplace(ShardId{name, i}, rules_.lease);
    if (added) {
      found->second.vacant_since = now;
    }
  }
}

void LeaseManager::owner(Micros now, const ShardId& id, std::optional<Owner> owner,
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
    shard->vacant_since = now;
  }
  // The store has given it to another, or ended it: what this router believes is over. What was told of
  // before its own term says nothing.
  const bool over = shard->term != 0 && revision > shard->term && (!owner || owner->term != shard->term);
  if (over) {
    ++counts_.lost;
    leave(now, id, *shard);
  }
}

void LeaseManager::done(Micros, const ShardId& id, bool done) {
  if (done) {
    done_.insert(id);
  } else {
    done_.erase(id);
  }
}

void LeaseManager::release_asked(Micros, const ShardId& id, const std::string& from) {
  if (from.empty()) {
    releases_.erase(id);
  } else {
    releases_[id] = from;
  }
}

void LeaseManager::allow(Micros now, std::optional<std::set<std::string>> kinds) {
  allowed_ = std::move(kinds);
  for (const auto& [name, known] : std::map<std::string, Work>(works_)) {
    work(now, name, known);  // its shards may have been forgotten meanwhile
  }
}

void LeaseManager::shadowed(Micros, bool shadowed) { shadowed_ = shadowed; }
void LeaseManager::heard(Micros, bool heard) { heard_ = heard; }
void LeaseManager::drain(Micros) { draining_ = true; }

bool LeaseManager::drained() const {
  return std::all_of(shards_.begin(), shards_.end(), [](const auto& one) {
    return one.second.term == 0 && one.second.phase == ShardPhase::kAway;
  });
}

// ---- Answers ----

void LeaseManager::acquired(Micros now, const ShardId& id, std::uint64_t number, const Acquired& acquired) {
  Shard* const shard = find(id);
  if (shard == nullptr || shard->phase != ShardPhase::kAsking) {
    return;
  }
  if (acquired.term == 0) {
    shard->lease.refused(now, number);
    shard->phase = ShardPhase::kAway;
    // A watch that is behind will tell of it yet; until then nobody is asked again.
    owners_[id] = acquired.other;
    return;
  }
  shard->lease.granted(now, number, acquired.term);
  if (shard->lease.term() != acquired.term) {
    return;  // of another call
  }
  ++counts_.acquired;
  shard->term = acquired.term;
  shard->kept = acquired.kept;
  shard->phase = ShardPhase::kRecording;
  shard->better_since = Micros(-1);
  shard->yield_since = Micros(-1);
  shard->begun = false;
  shard->ended = false;
  owners_[id] = Owner{self_, incarnation_, acquired.term};
  if (acquired.done) {
    done_.insert(id);
  }
}

void LeaseManager::renewed(Micros now, const ShardId& id, std::uint64_t number, bool alive) {
  Shard* const shard = find(id);
  if (shard == nullptr) {
    return;
  }
  if (alive) {
    shard->lease.granted(now, number, shard->term);
    return;
  }
  shard->lease.refused(now, number);
  if (shard->term != 0 && shard->lease.term() == 0) {
    ++counts_.lost;
    leave(now, id, *shard);
  }
}

void LeaseManager::released(Micros now, const ShardId& id, std::uint64_t number) {
  Shard* const shard = find(id);
  if (shard == nullptr) {
    return;
  }
  shard->lease.granted(now, number, 0);
  if (shard->lease.over()) {
    if (shard->term != 0) {
      ++counts_.yielded;
      leave(now, id, *shard);
    }
    shard->lease.start_again();
  }
}

void LeaseManager::lost(Micros now, const ShardId& id, std::uint64_t number) {
  if (Shard* const shard = find(id)) {
    shard->lease.lost(now, number);
    if (shard->phase == ShardPhase::kAsking) {
      shard->phase = ShardPhase::kAway;
    }
  }
}

void LeaseManager::recorded(Micros now, const ShardId& id, std::uint64_t number, const Recorded& recorded) {
  Shard* const shard = find(id);
  if (shard == nullptr || !shard->write_out || shard->write_number != number || shard->term == 0) {
    return;
  }
  shard->write_out = false;
  const Progress wrote = *std::exchange(shard->writing, std::nullopt);
  if (!recorded.owned) {
    ++counts_.refused_writes;
    ++counts_.lost;
    leave(now, id, *shard);
    return;
  }
  shard->kept = recorded.kept;
  if (!recorded.written) {
    // Staff wrote in between. The start is judged anew; a checkpoint goes on top of what stands.
    ++counts_.refused_writes;
    if (shard->phase != ShardPhase::kRecording && !shard->waiting) {
      shard->waiting = wrote;
    }
    return;
  }
  if (wrote.done) {
    done_.insert(id);
  }
  if (shard->phase != ShardPhase::kRecording) {
    ++counts_.checkpoints;
    // The start that was on its way when it was let go comes to nothing: it is taken back.
    if (shard->phase == ShardPhase::kYielding && !shard->begun && !shard->ended && !shard->waiting &&
        wrote.starts > 0 && !wrote.parked) {
      shard->waiting = next_progress(*shard);
      --shard->waiting->starts;
    }
    return;
  }
  if (wrote.parked) {
    ++counts_.parked;
    shard->phase = ShardPhase::kParked;
    return;
  }
  shard->begin_at = now + pause_after(wrote.starts);
  shard->phase = ShardPhase::kDelayed;
}

void LeaseManager::record_lost(Micros now, const ShardId& id, std::uint64_t number) {
  Shard* const shard = find(id);
  if (shard != nullptr && shard->write_out && shard->write_number == number) {
    shard->write_out = false;  // the same is written again: where it was done, that shows
    shard->write_after = now + rules_.lease.retry;
  }
}

// ---- The task's words ----

void LeaseManager::checkpoint(Micros, const ShardId& id, Term term, std::string checkpoint, bool done) {
  Shard* const shard = find(id);
  if (shard == nullptr || term == 0 || shard->term != term || !shard->begun) {
    return;
  }
  Progress next = next_progress(*shard);
  next.checkpoint = std::move(checkpoint);
  next.starts = 0;
  next.done = done;
  shard->waiting = std::move(next);
}

void LeaseManager::finished(Micros, const ShardId& id, Term term) {
  Shard* const shard = find(id);
  if (shard == nullptr || term == 0 || shard->term != term || !shard->begun) {
    return;
  }
  shard->ended = true;
  shard->begun = false;
  // It came to a good end: it did not die of the work.
  if (!shard->waiting && !shard->writing && shard->kept.progress.starts > 0) {
    shard->waiting = next_progress(*shard);
    shard->waiting->starts = 0;
  }
}

bool LeaseManager::may_act(Micros now, const ShardId& id, Term term) const {
  const auto found = shards_.find(id);
  if (found == shards_.end() || term == 0) {
    return false;
  }
  const Shard& shard = found->second;
  return shard.term == term && shard.begun && !shadowed_ && shard.lease.may_act(now);
}

// ---- Steps ----

LeaseManager::Shard* LeaseManager::find(const ShardId& id) {
  const auto found = shards_.find(id);
  return found == shards_.end() ? nullptr : &found->second;
}

const Work* LeaseManager::work_of(const ShardId& id) const {
  const auto found = works_.find(id.work);
  const bool known = found != works_.end() && id.shard < found->second.shards &&
                     kinds_.contains(found->second.kind) &&
                     (!allowed_ || allowed_->contains(found->second.kind));
  return known ? &found->second : nullptr;
}

std::vector<std::string> LeaseManager::candidates(const Work& work) const {
  std::vector<std::string> out;
  for (const auto& [name, zone] : members_) {
    if (work.zone.empty() || zone == work.zone) {
      out.push_back(name);
    }
  }
  return out;
}

std::size_t LeaseManager::held() const {
  return static_cast<std::size_t>(std::count_if(shards_.begin(), shards_.end(), [](const auto& one) {
    return one.second.term != 0 || one.second.phase == ShardPhase::kAsking;
  }));
}

std::optional<Micros> LeaseManager::ask_at(const ShardId& id, const Shard& shard) const {
  const Work* const work = work_of(id);
  const bool open = work != nullptr && !work->paused && !draining_ && !shadowed_ && heard_ &&
                    shard.phase == ShardPhase::kAway && shard.term == 0 &&
                    shard.lease.phase(Micros(0)) == Phase::kCandidate && !owners_.contains(id) &&
                    !done_.contains(id);
  if (!open) {
    return std::nullopt;
  }
  const std::vector<std::string> names = candidates(*work);
  if (!std::binary_search(names.begin(), names.end(), self_) || held() >= rules_.most_owned) {
    return std::nullopt;
  }
  const Micros wait =
      wait_for_slot(slot_of(id.work, id.shard, self_, names), rules_.slot, rules_.longest_slot);
  return std::max(shard.vacant_since + wait, shard.not_before);
}

Micros LeaseManager::pause_after(std::uint64_t starts) const {
  if (starts < 2) {
    return Micros(0);
  }
  Micros out = rules_.poison_pause;
  for (std::uint64_t i = 2; i < starts && out < rules_.longest_poison_pause; ++i) {
    out *= 2;
  }
  return std::min(out, rules_.longest_poison_pause);
}

Progress LeaseManager::next_progress(const Shard& shard) const {
  Progress out = shard.writing ? *shard.writing : shard.kept.progress;
  out.writes = out.term == shard.term ? out.writes + 1 : 1;
  out.term = shard.term;
  out.by = self_;
  return out;
}

// It is not owned any more, whoever said so. A lease that stands is given back.
void LeaseManager::leave(Micros now, const ShardId& id, Shard& shard) {
  if (shard.begun) {
    out_.push_back(Abandon{id, shard.term});
  }
  if (shard.lease.term() != 0) {
    shard.lease.stop(now);
  }
  shard.term = 0;
  shard.phase = ShardPhase::kAway;
  shard.begun = false;
  shard.ended = false;
  shard.writing.reset();
  shard.waiting.reset();
  shard.write_out = false;
  shard.yield_since = Micros(-1);
  shard.better_since = Micros(-1);
}

void LeaseManager::begin_yield(Micros now, const ShardId& id, Shard& shard) {
  if (shard.phase == ShardPhase::kYielding) {
    return;
  }
  // A start that was written and came to nothing is taken back.
  const bool recorded = shard.kept.progress.term == shard.term && !shard.kept.progress.parked;
  if (!shard.begun && recorded && shard.kept.progress.starts > 0 && !shard.writing) {
    shard.waiting = next_progress(shard);
    --shard.waiting->starts;
  }
  shard.phase = ShardPhase::kYielding;
  shard.yield_since = now;
  if (shard.begun) {
    out_.push_back(Finish{id, shard.term});
  }
}

// Whether this router is still the one to own it.
void LeaseManager::judge_place(Micros now, const ShardId& id, Shard& shard, const Work* work) {
  const auto asked = releases_.find(id);
  if (asked != releases_.end() && asked->second == self_) {
    releases_.erase(asked);
    shard.not_before = now + rules_.stand_back;
    begin_yield(now, id, shard);
    return;
  }
  const bool unwanted = work == nullptr || work->paused || draining_ || shadowed_ || done_.contains(id) ||
                        (!work->zone.empty() && work->zone != zone_);
  if (unwanted) {
    begin_yield(now, id, shard);
    return;
  }
  const std::string best = owner_of(id.work, id.shard, candidates(*work));
  if (best.empty() || best == self_ || !heard_) {
    shard.better_since = Micros(-1);
  } else if (shard.better_since < Micros(0)) {
    shard.better_since = now;
  } else if (now - shard.better_since >= rules_.settle && shard.phase != ShardPhase::kParked) {
    begin_yield(now, id, shard);
  }
}

// The start has to be in the store before the task begins.
void LeaseManager::record_start(Micros now, const Work& work, Shard& shard) {
  const Progress& kept = shard.kept.progress;
  if (kept.parked && kept.resumed >= work.resumed) {
    shard.phase = ShardPhase::kParked;
    return;
  }
  if (kept.term == shard.term && !kept.parked) {
    // After a doubt that a renewal ended: it began under this term before.
    shard.begin_at = now;
    shard.phase = ShardPhase::kDelayed;
    return;
  }
  Progress next = next_progress(shard);
  next.starts = kept.parked ? 0 : kept.starts;
  next.parked = next.starts >= rules_.most_starts;
  next.resumed = work.resumed;
  next.starts += next.parked ? 0 : 1;
  shard.waiting = std::move(next);
}

void LeaseManager::write_next(Micros now, const ShardId& id, Shard& shard) {
  if (shard.write_out || now < shard.write_after || !shard.lease.may_act(now)) {
    return;
  }
  if (!shard.writing) {
    if (!shard.waiting) {
      return;
    }
    shard.writing = std::exchange(shard.waiting, std::nullopt);
  }
  shard.write_out = true;
  out_.push_back(Write{id, ++shard.write_number, shard.term, shard.kept.modified, *shard.writing});
}

void LeaseManager::step_owned(Micros now, const ShardId& id, Shard& shard) {
  const Work* const work = work_of(id);
  if (shard.lease.phase(now) == Phase::kDoubtful) {
    if (shard.begun) {
      out_.push_back(Abandon{id, shard.term});
      shard.begun = false;
      shard.waiting.reset();
      shard.phase = shard.phase == ShardPhase::kYielding ? shard.phase : ShardPhase::kRecording;
    }
    if (shard.phase == ShardPhase::kYielding) {
      shard.lease.stop(now);
    }
    return;
  }
  if (shard.phase != ShardPhase::kYielding) {
    judge_place(now, id, shard, work);
  }
  switch (shard.phase) {
    case ShardPhase::kRecording:
      if (!shard.writing && !shard.waiting && work != nullptr) {
        record_start(now, *work, shard);
      }
      break;
    case ShardPhase::kDelayed:
      if (now >= shard.begin_at && shard.lease.may_act(now)) {
        shard.phase = ShardPhase::kRunning;
        shard.begun = true;
        shard.ended = false;
        out_.push_back(Begin{id, shard.term, shard.kept.progress.checkpoint});
      }
      break;
    case ShardPhase::kParked:
      if (work != nullptr && work->resumed > shard.kept.progress.resumed) {
        shard.phase = ShardPhase::kRecording;
        record_start(now, *work, shard);
      }
      break;
    case ShardPhase::kYielding: {
      const bool late = now >= shard.yield_since + rules_.yield_most;
      const bool settled = !shard.begun && !shard.writing && !shard.waiting;
      if (settled || late) {
        if (shard.begun) {
          out_.push_back(Abandon{id, shard.term});
          shard.begun = false;
        }
        shard.lease.stop(now);
      }
      break;
    }
    case ShardPhase::kRunning:
    case ShardPhase::kAsking:
    case ShardPhase::kAway:
      break;
  }
  write_next(now, id, shard);
}

void LeaseManager::step(Micros now, const ShardId& id, Shard& shard) {
  if (shard.term != 0 && shard.lease.phase(now) != Phase::kStopped) {
    step_owned(now, id, shard);
  }
  const bool owned = shard.lease.term() != 0 || shard.lease.phase(now) == Phase::kStopped;
  const std::optional<Micros> ask = owned ? std::nullopt : ask_at(id, shard);
  if (!owned && (!ask || now < *ask)) {
    return;
  }
  if (const std::optional<Order> order = shard.lease.due(now)) {
    if (order->ask == Ask::kAcquire) {
      shard.phase = ShardPhase::kAsking;
    }
    out_.push_back(AskLease{id, *order});
  } else if (shard.lease.over()) {
    // It had nothing to tell the store.
    leave(now, id, shard);
    shard.lease.start_again();
  }
}

std::vector<LeaseManagerOrder> LeaseManager::due(Micros now) {
  for (auto& [id, shard] : shards_) {
    step(now, id, shard);
  }
  std::erase_if(shards_, [this](const auto& one) {
    const Shard& shard = one.second;
    return work_of(one.first) == nullptr && shard.term == 0 && shard.phase == ShardPhase::kAway &&
           shard.lease.phase(Micros(0)) == Phase::kCandidate;
  });
  return std::exchange(out_, {});
}

std::optional<Micros> LeaseManager::next(Micros now) const {
  std::optional<Micros> out;
  const auto add = [&out, now](std::optional<Micros> when) {
    if (when) {
      out = std::min(out.value_or(Micros::max()), std::max(*when, now));
    }
  };
  for (const auto& [id, shard] : shards_) {
    if (shard.lease.term() != 0 || shard.lease.phase(now) == Phase::kStopped) {
      add(shard.lease.next(now));
    }
    if (shard.term == 0) {
      if (const auto ask = ask_at(id, shard)) {
        add(std::max(*ask, shard.lease.next(now).value_or(*ask)));
      }
      continue;
    }
    if (shard.lease.phase(now) == Phase::kOwner || shard.lease.phase(now) == Phase::kRenewing) {
      add(shard.lease.until());
    }
    if (shard.phase == ShardPhase::kDelayed) {
      add(shard.begin_at);
    }
    if (shard.phase == ShardPhase::kYielding && shard.lease.phase(now) != Phase::kStopped) {
      add(shard.yield_since + rules_.yield_most);
    }
    if (shard.better_since >= Micros(0) && shard.phase != ShardPhase::kParked) {
      add(shard.better_since + rules_.settle);
    }
    if ((shard.writing || shard.waiting) && !shard.write_out && shard.lease.may_act(now)) {
      add(shard.write_after);
    }
  }
  return out;
}

std::vector<ShardSeen> LeaseManager::all(Micros now) const {
  std::vector<ShardSeen> out;
  for (const auto& [id, shard] : shards_) {
    const auto owner = owners_.find(id);
    out.push_back(ShardSeen{id, shard.phase, shard.lease.phase(now),
                            owner == owners_.end() ? Owner{} : owner->second, done_.contains(id),
                            shard.kept.progress.starts});
  }
  return out;
}

}  // namespace trailcourse::ownership
