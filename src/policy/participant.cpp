#include "policy/participant.h"

#include <algorithm>
#include <utility>

namespace trailcourse::policy {

using ownership::LeaseCall;
using ownership::LeaseCallKind;
using ownership::LeasePhase;

namespace {

// The terms that are passed to ownership::Lease, since a participant's lease has no term.
constexpr ownership::Term kGranted = 1;
constexpr ownership::Term kReleased = 0;

}  // namespace

const char* to_string(ParticipantState state) {
  switch (state) {
    case ParticipantState::kNotParticipating:
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

Participant::Participant(std::string incarnation, std::string zone, const ParticipantOptions& options,
                         DocumentCheck check_document)
    : incarnation_(std::move(incarnation)),
      zone_(std::move(zone)),
      options_(options),
      check_document_(std::move(check_document)),
      lease_(options.lease) {}

// ---- Events ----

void Participant::on_observed_state(Micros, const ObservedState& observed) {
  if (has_observed_ && observed.newest_revision() < observed_.newest_revision()) {
    return;
  }
  has_observed_ = true;
  observed_ = observed;
  update();
}

void Participant::set_connected(Micros, bool connected) { connected_ = connected; }

void Participant::on_document(Micros, std::uint64_t version) {
  documents_.set_checked(version, check_document_(version));
  update();
}

void Participant::on_persist_result(Micros, std::uint64_t version, PreparationResult result) {
  documents_.set_stored(version, std::move(result));
  update();
}

void Participant::on_events_applied(Micros, const DiscoveryPosition& position) {
  position_ = position;
  update();
}

void Participant::set_request_counts(std::uint64_t requests, std::uint64_t failed) {
  requests_ = requests;
  failed_requests_ = failed;
}

// Updates the state that is derived from events.
void Participant::update() {
  update_acknowledgement();
  forget_unused_documents();
}

void Participant::update_acknowledgement() {
  const Acknowledgement& record = observed_.acknowledgement;
  if (record.round > acknowledged_round_ && position_.covers(record.requested)) {
    acknowledged_round_ = record.round;
  }
}

void Participant::forget_unused_documents() {
  const auto is_needed = [this](std::uint64_t version) {
    const std::optional<Rollout>& rollout = observed_.rollout;
    return version == 0 || version == observed_.version || version == last_version_ ||
           (rollout && (version == rollout->target_version || version == rollout->previous_version));
  };
  documents_.forget_before(observed_.version, is_needed);
}

// ---- Report ----

// Returns whether a stage that includes this router's zone is suspending and has not taken effect there.
bool Participant::is_suspended() const {
  const std::optional<Rollout>& rollout = observed_.rollout;
  return rollout && rollout->state == RolloutState::kSuspending && rollout->applies_to(zone_) &&
         observed_.version != rollout->target_version;
}

bool Participant::is_watched() const {
  const std::optional<Rollout>& rollout = observed_.rollout;
  return rollout && rollout->state == RolloutState::kWatching && rollout->applies_to(zone_);
}

ParticipantReport Participant::desired_report() const {
  ParticipantReport out;
  out.incarnation = incarnation_;
  out.zone = zone_;
  out.version = observed_.version;
  out.requests = requests_;
  out.failed_requests = failed_requests_;
  out.acknowledged_round = acknowledged_round_;
  add_rollout_stages(out);
  return out;
}

void Participant::add_rollout_stages(ParticipantReport& report) const {
  const std::optional<Rollout>& rollout = observed_.rollout;
  if (!rollout || !rollout->applies_to(zone_)) {
    return;
  }
  const bool is_suspending = rollout->state == RolloutState::kSuspending;
  if (rollout->state != RolloutState::kPreparing && !is_suspending) {
    return;
  }
  const StageId stage = stage_id(*rollout);
  // A router that has observed the suspension does not decide under either version alone, so it reports the
  // stage as suspended even if it is not ready.
  report.suspended_stage = is_suspending ? stage : 0;
  const std::uint64_t target = rollout->target_version;
  const bool decides_under_target = observed_.version == target;
  const PreparationError* const error = documents_.error(target);
  if (!decides_under_target && error != nullptr) {
    report.rejected_stage = stage;
    report.rejection_reason = error->message;
  } else if (decides_under_target || documents_.is_prepared(target)) {
    report.ready_stage = stage;
  }
}

// ---- State ----

ParticipantState Participant::state(Micros now) const {
  if (!joined_ || !lease_.may_act(now) || !has_observed_ || !documents_.is_prepared(observed_.version)) {
    return ParticipantState::kNotParticipating;
  }
  if (is_suspended()) {
    return ParticipantState::kInDoubt;
  }
  if (reported_.version != observed_.version || reported_.suspended_stage != 0) {
    return ParticipantState::kSwitching;
  }
  return reported_.ready_stage != 0 ? ParticipantState::kPrepared : ParticipantState::kCurrent;
}

EffectivePolicy Participant::effective_policy(Micros now) const {
  const ParticipantState current = state(now);
  if (current != ParticipantState::kNotParticipating && current != ParticipantState::kInDoubt) {
    return {EffectivePolicy::Kind::kSingle, observed_.version, observed_.version};
  }
  // Without a valid lease and a prepared document no policy is in effect, since this router may have missed
  // later rollouts. During a suspension none is in effect either, unless `serve_intersection` is set.
  if (!options_.serve_intersection || current != ParticipantState::kInDoubt) {
    return {};
  }
  const std::uint64_t previous = observed_.rollout->previous_version;
  const std::uint64_t target = observed_.rollout->target_version;
  const bool are_both_available = documents_.is_received(previous) && documents_.is_applicable(target);
  if (observed_.version == previous && are_both_available) {
    return {EffectivePolicy::Kind::kIntersection, previous, target};
  }
  return {};
}

bool Participant::ready(Micros now) const { return state(now) != ParticipantState::kNotParticipating; }

// ---- Results of actions ----

void Participant::on_join_result(Micros now, std::uint64_t call_id, bool joined) {
  if (!joined) {
    lease_.on_rejected(now, call_id);
    pending_.reset();
    return;
  }
  lease_.on_granted(now, call_id, kGranted);
  if (lease_.term() != 0) {
    joined_ = true;
    reported_ = pending_.value_or(reported_);
    pending_.reset();
    last_version_ = reported_.version;
  }
}

void Participant::on_renew_result(Micros now, std::uint64_t call_id, bool valid) {
  if (valid) {
    lease_.on_granted(now, call_id, kGranted);
    return;
  }
  lease_.on_rejected(now, call_id);
  if (lease_.term() == 0) {
    joined_ = false;
    report_in_flight_ = false;
    pending_.reset();
  }
}

void Participant::on_release_result(Micros now, std::uint64_t call_id) {
  lease_.on_granted(now, call_id, kReleased);
  joined_ = joined_ && !lease_.released();
}

void Participant::on_no_response(Micros now, std::uint64_t call_id) {
  lease_.on_no_response(now, call_id);
  if (!joined_) {
    pending_.reset();  // whether or not the report was written, the router joins again under another lease
  }
}

void Participant::on_report_result(Micros now, std::uint64_t call_id, bool written) {
  if (!report_in_flight_ || call_id != last_report_id_) {
    return;
  }
  report_in_flight_ = false;
  if (written && pending_) {
    reported_ = *pending_;
    last_version_ = reported_.version;
  } else {
    report_not_before_ = now + options_.lease.retry_backoff;  // written again, since the outcome is unknown
  }
  pending_.reset();
}

void Participant::stop(Micros now) { lease_.stop(now); }

// ---- Actions ----

// Returns whether a lease call may be made now. A router that joins must have prepared the version in force
// and must have applied all requested events.
bool Participant::may_call_for_lease(Micros now) const {
  const LeasePhase phase = lease_.phase(now);
  if (phase == LeasePhase::kStopped) {
    return true;
  }
  const bool is_up_to_date = has_observed_ && documents_.is_prepared(observed_.version) &&
                             acknowledged_round_ >= observed_.acknowledgement.round;
  return connected_ && (phase != LeasePhase::kCandidate || is_up_to_date);
}

std::vector<ParticipantAction> Participant::step(Micros now) {
  std::vector<ParticipantAction> out;
  add_persist_actions(out);
  add_lease_action(now, out);
  add_report_action(now, out);
  return out;
}

// Stores the version in force and the target version of an open rollout.
void Participant::add_persist_actions(std::vector<ParticipantAction>& actions) {
  if (documents_.start_storing(observed_.version)) {
    actions.emplace_back(PersistDocumentAction{observed_.version});
  }
  const std::optional<Rollout>& rollout = observed_.rollout;
  if (rollout && rollout->is_open() && documents_.start_storing(rollout->target_version)) {
    actions.emplace_back(PersistDocumentAction{rollout->target_version});
  }
}

void Participant::add_lease_action(Micros now, std::vector<ParticipantAction>& actions) {
  if (!may_call_for_lease(now)) {
    return;
  }
  const std::optional<LeaseCall> call = lease_.step(now);
  if (!call) {
    return;
  }
  LeaseAction action;
  action.call = *call;
  if (call->kind == LeaseCallKind::kAcquire) {
    joined_ = false;
    report_in_flight_ = false;
    pending_ = desired_report();
    action.report = *pending_;
    action.report.sequence = ++last_report_id_;
    action.observed = observed_;
  }
  actions.emplace_back(std::move(action));
}

void Participant::add_report_action(Micros now, std::vector<ParticipantAction>& actions) {
  if (!joined_ || report_in_flight_ || pending_ || !lease_.may_act(now) || now < report_not_before_) {
    return;
  }
  const ParticipantReport desired = desired_report();
  ParticipantReport reported = reported_;
  const bool watched = is_watched();
  if (!watched) {
    // A change of the request counts alone does not cause a write.
    reported.requests = desired.requests;
    reported.failed_requests = desired.failed_requests;
  }
  if (reported == desired) {
    return;
  }
  report_in_flight_ = true;
  pending_ = desired;
  report_not_before_ = watched ? now + options_.lease.retry_backoff : now;
  ReportAction action{++last_report_id_, desired};
  action.report.sequence = action.call_id;
  actions.emplace_back(std::move(action));
}

// While no lease call may be made, the retry and renewal times of the lease are left out, since calls only
// become possible again after an event, such as a reconnect to the store. The expiry of the lease still
// counts.
std::optional<Micros> Participant::next_step_at(Micros now) const {
  std::optional<Micros> out = may_call_for_lease(now) ? lease_.next_step_at(now) : std::nullopt;
  if (lease_.may_act(now)) {
    out = std::min(out.value_or(lease_.valid_until()), lease_.valid_until());
  }
  if (report_not_before_ > now) {
    out = std::min(out.value_or(report_not_before_), report_not_before_);
  }
  return out;
}

}  // namespace trailcourse::policy
