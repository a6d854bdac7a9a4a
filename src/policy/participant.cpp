#include "policy/participant.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace trailcourse::policy {

using ownership::Ask;
using ownership::Order;
using ownership::Phase;

namespace {

std::uint64_t version_of(const std::string& text) { return std::strtoull(text.c_str(), nullptr, 10); }

}  // namespace

const char* to_string(ParticipantState state) {
  switch (state) {
    case ParticipantState::kNoLease:
      return "outside";
    case ParticipantState::kCurrent:
      return "current";
    case ParticipantState::kPrepared:
      return "prepared";
    case ParticipantState::kInDoubt:
      return "in doubt";
    case ParticipantState::kSwitching:
      break;
  }
  return "switching";
}

ObservedState read_observed_state(const EntryLookup& entry_of) {
  const coordination::Entry change = entry_of(kRolloutKey);
  const coordination::Entry current = entry_of(kCurrentKey);
  ObservedState out;
  out.rollout = read_rollout(change.value);
  out.rollout_revision = change.modified;
  out.version = version_of(current.value);
  out.current_revision = current.modified;
  const coordination::Entry acknowledgement = entry_of(kAcknowledgedKey);
  out.acknowledgement = read_acknowledgement(acknowledgement.value).value_or(Acknowledgement{});
  out.acknowledgement_revision = acknowledgement.modified;
  return out;
}

ObservedState observed_in_zone(ObservedState known, const EntryLookup& entry_of, const std::string& zone) {
  const coordination::Entry own = entry_of(kZonePrefix + zone);
  known.zone_revision = own.modified;
  known.version = own.modified > 0 ? version_of(own.value) : known.version;
  return known;
}

std::vector<coordination::Compare> join_conditions(const std::string& prefix, const ObservedState& known,
                                                   const std::string& zone) {
  return {coordination::unchanged(prefix + kRolloutKey, known.rollout_revision),
          coordination::unchanged(prefix + kCurrentKey, known.current_revision),
          coordination::unchanged(prefix + kAcknowledgedKey, known.acknowledgement_revision),
          coordination::unchanged(prefix + kZonePrefix + zone, known.zone_revision)};
}

Participant::Participant(std::string incarnation, std::string zone, const ParticipantOptions& rules,
                         Judge judge)
    : incarnation_(std::move(incarnation)),
      zone_(std::move(zone)),
      rules_(rules),
      judge_(std::move(judge)),
      lease_(rules.lease) {
  documents_[0] = "";
  kept_[0] = true;
}

// ---- What the store tells ----

void Participant::on_observed_state(Micros now, const ObservedState& known) {
  // Answers and watches may overtake each other: what is older than what is known says nothing.
  const auto newest = [](const ObservedState& one) {
    return std::max(
        {one.rollout_revision, one.current_revision, one.zone_revision, one.acknowledgement_revision});
  };
  if (is_told_ && newest(known) < newest(observed_)) {
    return;
  }
  is_told_ = true;
  observed_ = known;
  consider(now);
}

void Participant::set_connected(Micros, bool connected) { connected_ = connected; }

void Participant::on_document(Micros now, std::uint64_t version) {
  documents_[version] = judge_(version);
  consider(now);
}

void Participant::on_persist_result(Micros now, std::uint64_t version, const std::string& why) {
  if (why.empty()) {
    kept_[version] = true;
    unkept_.erase(version);
  } else {
    kept_.erase(version);
    unkept_[version] = why;
  }
  consider(now);
}

void Participant::on_events_applied(Micros now, const DiscoveryPosition& position) {
  position_ = position;
  consider(now);
}

void Participant::set_request_counts(std::uint64_t requests, std::uint64_t refused) {
  requests_ = requests;
  refused_ = refused;
}

void Participant::consider(Micros) {
  const Acknowledgement& asked = observed_.acknowledgement;
  if (asked.round > acknowledged_ && position_.covers(asked.requested)) {
    acknowledged_ = asked.round;
  }
  // Texts that nothing refers to any more are forgotten, so that a long life does not gather them.
  const auto needed = [this](std::uint64_t version) {
    return version == 0 || version == observed_.version || version == last_version_ ||
           (observed_.rollout &&
            (version == observed_.rollout->target_version || version == observed_.rollout->previous_version));
  };
  std::erase_if(documents_,
                [&](const auto& one) { return !needed(one.first) && one.first < observed_.version; });
  std::erase_if(kept_, [&](const auto& one) { return !needed(one.first) && one.first < observed_.version; });
  std::erase_if(unkept_, [&](const auto& one) { return !needed(one.first); });
}

bool Participant::has(std::uint64_t version) const {
  const auto kept = kept_.find(version);
  return documents_.contains(version) && kept != kept_.end() && kept->second;
}

// A stage of a change that concerns this router is being held.
bool Participant::holds() const {
  return observed_.rollout && observed_.rollout->state == RolloutState::kSuspending &&
         observed_.rollout->applies_to(zone_) && observed_.version != observed_.rollout->target_version;
}

// ---- The permit ----

ParticipantReport Participant::wanted() const {
  ParticipantReport out;
  out.incarnation = incarnation_;
  out.zone = zone_;
  out.version = observed_.version;
  out.requests = requests_;
  out.failed_requests = refused_;
  out.acknowledged_round = acknowledged_;
  const std::optional<Rollout>& change = observed_.rollout;
  if (!change || !change->is_open() || !change->applies_to(zone_)) {
    return out;
  }
  const std::uint64_t step = stage_id(*change);
  const bool asked = change->state == RolloutState::kPreparing || change->state == RolloutState::kSuspending;
  if (!asked) {
    return out;
  }
  if (observed_.version == change->target_version) {
    // It decides under it already: nothing is to be held.
    out.ready_stage = step;
    out.suspended_stage = change->state == RolloutState::kSuspending ? step : 0;
    return out;
  }
  const auto text = documents_.find(change->target_version);
  const auto unkept = unkept_.find(change->target_version);
  if (text != documents_.end() && !text->second.empty()) {
    out.rejected_stage = step;
    out.rejection_reason = text->second;
  } else if (unkept != unkept_.end()) {
    out.rejected_stage = step;
    out.rejection_reason = unkept->second;
  } else if (has(change->target_version)) {
    out.ready_stage = step;
  }
  // From the moment that the record says so nobody decides under the old version alone, ready or not.
  out.suspended_stage = change->state == RolloutState::kSuspending ? step : 0;
  return out;
}

// ---- What it decides ----

ParticipantState Participant::state(Micros now) const {
  if (!joined_ || !lease_.may_act(now) || !is_told_ || !has(observed_.version)) {
    return ParticipantState::kNoLease;
  }
  if (holds()) {
    return ParticipantState::kInDoubt;
  }
  if (said_.version != observed_.version || said_.suspended_stage != 0) {
    return ParticipantState::kSwitching;
  }
  return said_.ready_stage != 0 ? ParticipantState::kPrepared : ParticipantState::kCurrent;
}

EffectivePolicy Participant::effective_policy(Micros now) const {
  const ParticipantState now_is = state(now);
  if (now_is != ParticipantState::kNoLease && now_is != ParticipantState::kInDoubt) {
    return {EffectivePolicy::Kind::kSingle, observed_.version, observed_.version};
  }
  // What both allow is only known where both are: the last that was decided under, and the one that may be in
  // force.
  if (!rules_.serve_intersection || !is_told_ || !observed_.rollout) {
    return {};
  }
  const std::uint64_t before = observed_.rollout->previous_version;
  const std::uint64_t after = observed_.rollout->target_version;
  const bool between = holds() && observed_.version == before;
  // Beyond the end of its permission further changes may have come that it has not heard of.
  if (now_is == ParticipantState::kInDoubt && between && documents_.contains(before) &&
      documents_.contains(after) && documents_.at(after).empty()) {
    return {EffectivePolicy::Kind::kIntersection, before, after};
  }
  return {};
}

bool Participant::ready(Micros now) const { return state(now) != ParticipantState::kNoLease; }

// ---- Answers ----

void Participant::on_join_result(Micros now, std::uint64_t number, bool joined) {
  if (!joined) {
    lease_.refused(now, number);
    saying_.reset();
    return;
  }
  lease_.granted(now, number, 1);
  if (lease_.term() != 0) {
    joined_ = true;
    said_ = saying_.value_or(said_);
    saying_.reset();
    last_version_ = said_.version;
  }
}

void Participant::on_renew_result(Micros now, std::uint64_t number, bool alive) {
  if (alive) {
    lease_.granted(now, number, 1);
    return;
  }
  lease_.refused(now, number);
  if (lease_.term() == 0) {
    joined_ = false;
    say_out_ = false;
    saying_.reset();
  }
}

void Participant::on_release_result(Micros now, std::uint64_t number) {
  lease_.granted(now, number, 0);
  joined_ = joined_ && !lease_.over();
}

void Participant::on_no_response(Micros now, std::uint64_t number) {
  lease_.lost(now, number);
  if (!joined_) {
    saying_.reset();  // the permit may stand there or not: it joins anew, which is seen
  }
}

void Participant::on_report_result(Micros now, std::uint64_t number, bool done) {
  if (!say_out_ || number != say_number_) {
    return;
  }
  say_out_ = false;
  if (done && saying_) {
    said_ = *saying_;
    last_version_ = said_.version;
  } else {
    say_after_ = now + rules_.lease.retry;  // it may have been done: the same is said again
  }
  saying_.reset();
}

void Participant::stop(Micros now) { lease_.stop(now); }

// ---- Orders ----

bool Participant::may_ask(Micros now) const {
  const Phase phase = lease_.phase(now);
  if (phase == Phase::kStopped) {
    return true;
  }
  // Nobody comes in behind the events that are asked for.
  const bool is_up_to_date =
      is_told_ && has(observed_.version) && acknowledged_ >= observed_.acknowledgement.round;
  return connected_ && (phase != Phase::kCandidate || is_up_to_date);
}

std::vector<ParticipantAction> Participant::step(Micros now) {
  std::vector<ParticipantAction> out;
  // A text that is to be lived by is kept first.
  for (const std::uint64_t version :
       {observed_.version,
        observed_.rollout && observed_.rollout->is_open() ? observed_.rollout->target_version : 0}) {
    const auto text = documents_.find(version);
    const bool usable = text != documents_.end() && text->second.empty();
    if (usable && !kept_.contains(version) && !unkept_.contains(version)) {
      kept_[version] = false;
      out.push_back(PersistDocumentAction{version});
    }
  }
  if (may_ask(now)) {
    if (const std::optional<Order> order = lease_.due(now)) {
      LeaseAction ask;
      ask.order = *order;
      if (order->ask == Ask::kAcquire) {
        joined_ = false;
        say_out_ = false;
        saying_ = wanted();
        ask.report = *saying_;
        ask.report.sequence = ++say_number_;
        ask.observed = observed_;
      }
      out.push_back(std::move(ask));
    }
  }
  const ParticipantReport want = wanted();
  ParticipantReport said = said_;
  // Counts alone are worth a write only while somebody watches.
  const bool watched = observed_.rollout && observed_.rollout->state == RolloutState::kWatching &&
                       observed_.rollout->applies_to(zone_);
  if (!watched) {
    said.requests = want.requests;
    said.failed_requests = want.failed_requests;
  }
  if (joined_ && !say_out_ && !saying_ && lease_.may_act(now) && now >= say_after_ && !(said == want)) {
    say_out_ = true;
    saying_ = want;
    say_after_ = watched ? now + rules_.lease.retry : now;
    ReportAction say{++say_number_, want};
    say.report.sequence = say.call_id;
    out.push_back(std::move(say));
  }
  return out;
}

// While it may not ask, only news can change that.
std::optional<Micros> Participant::next_step_at(Micros now) const {
  std::optional<Micros> out = may_ask(now) ? lease_.next(now) : std::nullopt;
  if (lease_.may_act(now)) {
    out = std::min(out.value_or(lease_.until()), lease_.until());
  }
  if (say_after_ > now) {
    out = std::min(out.value_or(say_after_), say_after_);
  }
  return out;
}

}  // namespace trailcourse::policy
