#include "policy/holder.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace trailcourse::policy {

using ownership::LeaseCall;
using ownership::LeaseCallKind;
using ownership::LeasePhase;

namespace {

std::uint64_t version_of(const std::string& text) { return std::strtoull(text.c_str(), nullptr, 10); }

}  // namespace

const char* to_string(Standing standing) {
  switch (standing) {
    case Standing::kOutside:
      return "outside";
    case Standing::kCurrent:
      return "current";
    case Standing::kPrepared:
      return "prepared";
    case Standing::kInDoubt:
      return "in doubt";
    case Standing::kSwitching:
      break;
  }
  return "switching";
}

Known read_known(const EntryOf& entry_of) {
  const coordination::Entry change = entry_of(kChangeKey);
  const coordination::Entry current = entry_of(kCurrentKey);
  Known out;
  out.change = read_change(change.value);
  out.change_modified = change.modified;
  out.version = version_of(current.value);
  out.current_modified = current.modified;
  const coordination::Entry acknowledgement = entry_of(kAcknowledgedKey);
  out.acknowledgement = read_acknowledgement(acknowledgement.value).value_or(Acknowledgement{});
  out.acknowledgement_modified = acknowledgement.modified;
  return out;
}

Known known_in_zone(Known known, const EntryOf& entry_of, const std::string& zone) {
  const coordination::Entry own = entry_of(kZones + zone);
  known.zone_modified = own.modified;
  known.version = own.modified > 0 ? version_of(own.value) : known.version;
  return known;
}

std::vector<coordination::Compare> join_conditions(const std::string& prefix, const Known& known,
                                                   const std::string& zone) {
  return {coordination::unchanged(prefix + kChangeKey, known.change_modified),
          coordination::unchanged(prefix + kCurrentKey, known.current_modified),
          coordination::unchanged(prefix + kAcknowledgedKey, known.acknowledgement_modified),
          coordination::unchanged(prefix + kZones + zone, known.zone_modified)};
}

Holder::Holder(std::string incarnation, std::string zone, const HolderRules& rules, Judge judge)
    : incarnation_(std::move(incarnation)),
      zone_(std::move(zone)),
      rules_(rules),
      judge_(std::move(judge)),
      lease_(rules.lease) {
  documents_[0] = "";
  kept_[0] = true;
}

// ---- What the store tells ----

void Holder::told(Micros now, const Known& known) {
  // Answers and watches may overtake each other: what is older than what is known says nothing.
  const auto newest = [](const Known& one) {
    return std::max(
        {one.change_modified, one.current_modified, one.zone_modified, one.acknowledgement_modified});
  };
  if (is_told_ && newest(known) < newest(known_)) {
    return;
  }
  is_told_ = true;
  known_ = known;
  consider(now);
}

void Holder::heard(Micros, bool heard) { heard_ = heard; }

void Holder::document(Micros now, std::uint64_t version) {
  documents_[version] = judge_(version);
  consider(now);
}

void Holder::kept(Micros now, std::uint64_t version, const std::string& why) {
  if (why.empty()) {
    kept_[version] = true;
    unkept_.erase(version);
  } else {
    kept_.erase(version);
    unkept_[version] = why;
  }
  consider(now);
}

void Holder::took_in(Micros now, const BoardPosition& position) {
  position_ = position;
  consider(now);
}

void Holder::count(std::uint64_t requests, std::uint64_t refused) {
  requests_ = requests;
  refused_ = refused;
}

void Holder::consider(Micros) {
  const Acknowledgement& asked = known_.acknowledgement;
  if (asked.round > acknowledged_ && position_.covers(asked.asked)) {
    acknowledged_ = asked.round;
  }
  // Texts that nothing refers to any more are forgotten, so that a long life does not gather them.
  const auto needed = [this](std::uint64_t version) {
    return version == 0 || version == known_.version || version == last_version_ ||
           (known_.change && (version == known_.change->version || version == known_.change->before));
  };
  std::erase_if(documents_,
                [&](const auto& one) { return !needed(one.first) && one.first < known_.version; });
  std::erase_if(kept_, [&](const auto& one) { return !needed(one.first) && one.first < known_.version; });
  std::erase_if(unkept_, [&](const auto& one) { return !needed(one.first); });
}

bool Holder::has(std::uint64_t version) const {
  const auto kept = kept_.find(version);
  return documents_.contains(version) && kept != kept_.end() && kept->second;
}

// A stage of a change that concerns this router is being held.
bool Holder::holds() const {
  return known_.change && known_.change->state == ChangeState::kHolding && known_.change->concerns(zone_) &&
         known_.version != known_.change->version;
}

// ---- The permit ----

Permit Holder::wanted() const {
  Permit out;
  out.incarnation = incarnation_;
  out.zone = zone_;
  out.version = known_.version;
  out.requests = requests_;
  out.refused = refused_;
  out.acknowledged = acknowledged_;
  const std::optional<Change>& change = known_.change;
  if (!change || !change->open() || !change->concerns(zone_)) {
    return out;
  }
  const std::uint64_t step = step_of(*change);
  const bool asked = change->state == ChangeState::kPreparing || change->state == ChangeState::kHolding;
  if (!asked) {
    return out;
  }
  if (known_.version == change->version) {
    // It decides under it already: nothing is to be held.
    out.ready = step;
    out.held = change->state == ChangeState::kHolding ? step : 0;
    return out;
  }
  const auto text = documents_.find(change->version);
  const auto unkept = unkept_.find(change->version);
  if (text != documents_.end() && !text->second.empty()) {
    out.no = step;
    out.why = text->second;
  } else if (unkept != unkept_.end()) {
    out.no = step;
    out.why = unkept->second;
  } else if (has(change->version)) {
    out.ready = step;
  }
  // From the moment that the record says so nobody decides under the old version alone, ready or not.
  out.held = change->state == ChangeState::kHolding ? step : 0;
  return out;
}

// ---- What it decides ----

Standing Holder::standing(Micros now) const {
  if (!joined_ || !lease_.may_act(now) || !is_told_ || !has(known_.version)) {
    return Standing::kOutside;
  }
  if (holds()) {
    return Standing::kInDoubt;
  }
  if (said_.version != known_.version || said_.held != 0) {
    return Standing::kSwitching;
  }
  return said_.ready != 0 ? Standing::kPrepared : Standing::kCurrent;
}

Ruling Holder::ruling(Micros now) const {
  const Standing now_is = standing(now);
  if (now_is != Standing::kOutside && now_is != Standing::kInDoubt) {
    return {Ruling::Kind::kVersion, known_.version, known_.version};
  }
  // What both allow is only known where both are: the last that was decided under, and the one that may be in
  // force.
  if (!rules_.both || !is_told_ || !known_.change) {
    return {};
  }
  const std::uint64_t before = known_.change->before;
  const std::uint64_t after = known_.change->version;
  const bool between = holds() && known_.version == before;
  // Beyond the end of its permission further changes may have come that it has not heard of.
  if (now_is == Standing::kInDoubt && between && documents_.contains(before) && documents_.contains(after) &&
      documents_.at(after).empty()) {
    return {Ruling::Kind::kBoth, before, after};
  }
  return {};
}

bool Holder::ready(Micros now) const { return standing(now) != Standing::kOutside; }

// ---- Answers ----

void Holder::joined(Micros now, std::uint64_t number, bool joined) {
  if (!joined) {
    lease_.on_rejected(now, number);
    saying_.reset();
    return;
  }
  lease_.on_granted(now, number, 1);
  if (lease_.term() != 0) {
    joined_ = true;
    said_ = saying_.value_or(said_);
    saying_.reset();
    last_version_ = said_.version;
  }
}

void Holder::renewed(Micros now, std::uint64_t number, bool alive) {
  if (alive) {
    lease_.on_granted(now, number, 1);
    return;
  }
  lease_.on_rejected(now, number);
  if (lease_.term() == 0) {
    joined_ = false;
    say_out_ = false;
    saying_.reset();
  }
}

void Holder::released(Micros now, std::uint64_t number) {
  lease_.on_granted(now, number, 0);
  joined_ = joined_ && !lease_.released();
}

void Holder::lost(Micros now, std::uint64_t number) {
  lease_.on_no_response(now, number);
  if (!joined_) {
    saying_.reset();  // the permit may stand there or not: it joins anew, which is seen
  }
}

void Holder::said(Micros now, std::uint64_t number, bool done) {
  if (!say_out_ || number != say_number_) {
    return;
  }
  say_out_ = false;
  if (done && saying_) {
    said_ = *saying_;
    last_version_ = said_.version;
  } else {
    say_after_ = now + rules_.lease.retry_backoff;  // it may have been done: the same is said again
  }
  saying_.reset();
}

void Holder::stop(Micros now) { lease_.stop(now); }

// ---- Orders ----

bool Holder::may_ask(Micros now) const {
  const LeasePhase phase = lease_.phase(now);
  if (phase == LeasePhase::kStopped) {
    return true;
  }
  // Nobody comes in behind the events that are asked for.
  const bool is_up_to_date = is_told_ && has(known_.version) && acknowledged_ >= known_.acknowledgement.round;
  return heard_ && (phase != LeasePhase::kCandidate || is_up_to_date);
}

std::vector<HolderOrder> Holder::due(Micros now) {
  std::vector<HolderOrder> out;
  // A text that is to be lived by is kept first.
  for (const std::uint64_t version :
       {known_.version, known_.change && known_.change->open() ? known_.change->version : 0}) {
    const auto text = documents_.find(version);
    const bool usable = text != documents_.end() && text->second.empty();
    if (usable && !kept_.contains(version) && !unkept_.contains(version)) {
      kept_[version] = false;
      out.push_back(KeepDocument{version});
    }
  }
  if (may_ask(now)) {
    if (const std::optional<LeaseCall> order = lease_.step(now)) {
      AskPermission ask;
      ask.order = *order;
      if (order->kind == LeaseCallKind::kAcquire) {
        joined_ = false;
        say_out_ = false;
        saying_ = wanted();
        ask.permit = *saying_;
        ask.permit.number = ++say_number_;
        ask.known = known_;
      }
      out.push_back(std::move(ask));
    }
  }
  const Permit want = wanted();
  Permit said = said_;
  // Counts alone are worth a write only while somebody watches.
  const bool watched =
      known_.change && known_.change->state == ChangeState::kWatched && known_.change->concerns(zone_);
  if (!watched) {
    said.requests = want.requests;
    said.refused = want.refused;
  }
  if (joined_ && !say_out_ && !saying_ && lease_.may_act(now) && now >= say_after_ && !(said == want)) {
    say_out_ = true;
    saying_ = want;
    say_after_ = watched ? now + rules_.lease.retry_backoff : now;
    SayPermit say{++say_number_, want};
    say.permit.number = say.number;
    out.push_back(std::move(say));
  }
  return out;
}

// While it may not ask, only news can change that.
std::optional<Micros> Holder::next(Micros now) const {
  std::optional<Micros> out = may_ask(now) ? lease_.next_step_at(now) : std::nullopt;
  if (lease_.may_act(now)) {
    out = std::min(out.value_or(lease_.valid_until()), lease_.valid_until());
  }
  if (say_after_ > now) {
    out = std::min(out.value_or(say_after_), say_after_);
  }
  return out;
}

}  // namespace trailcourse::policy
