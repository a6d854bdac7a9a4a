#include "policy/rollout_coordinator.h"

#include <algorithm>

namespace trailcourse::policy {

namespace {

// With fewer requests the rejected share is not significant.
constexpr std::uint64_t kMinWatchedRequests = 20;

RolloutStep move_to(const Rollout& rollout, RolloutState state, const std::string& audit) {
  RolloutStep out;
  out.rollout = rollout;
  out.rollout.state = state;
  out.audit = audit;
  return out;
}

RolloutStep abort_with(const Rollout& rollout, const std::string& reason) {
  RolloutStep out = move_to(rollout, RolloutState::kAborted, "aborted: " + reason);
  out.rollout.reason = reason;
  return out;
}

// Aborts if a participant cannot apply the target version. A participant may join, or detect the error, at
// any time.
std::optional<RolloutStep> abort_if_rejected(const Rollout& rollout, const ParticipantReports& reports) {
  for (const auto& [name, report] : reports) {
    if (report.rejected_stage == stage_id(rollout)) {
      return abort_with(rollout, router_of(name) + " says no: " + report.rejection_reason);
    }
  }
  return std::nullopt;
}

// Returns the routers whose reports have another stage than the current one in `field`, as a list for
// operators.
std::string routers_behind(const Rollout& rollout, const ParticipantReports& reports,
                           StageId ParticipantReport::* field) {
  std::string out;
  for (const auto& [name, report] : reports) {
    if (report.*field != stage_id(rollout)) {
      out += (out.empty() ? "" : ", ") + router_of(name);
    }
  }
  return out;
}

std::string commit_audit(const Rollout& rollout) {
  if (!rollout.is_last_stage()) {
    return "committed in zone " + rollout.stages[rollout.stage];
  }
  return rollout.stages.empty() ? "committed" : "committed in all zones";
}

// Returns a new rollout that moves the zones that have switched back to the previous version.
RolloutStep revert(const Rollout& rollout, std::uint64_t requests, std::uint64_t failed) {
  RolloutStep out;
  out.rollout = rollout;
  out.rollout.id = rollout.id + 1;
  out.rollout.target_version = rollout.previous_version;
  out.rollout.previous_version = rollout.target_version;
  out.rollout.state = RolloutState::kPreparing;
  out.rollout.stages = {};
  out.rollout.stage = 0;
  out.rollout.watch_time = Micros(0);
  out.rollout.max_rejected_share = 1.0;
  out.rollout.reason = "turned back: " + std::to_string(failed) + " of " + std::to_string(requests) +
                       " requests refused or failed in zone " + rollout.stages[rollout.stage];
  out.audit = out.rollout.reason;
  return out;
}

}  // namespace

std::optional<RolloutStep> RolloutCoordinator::step(Micros now, const RolloutSnapshot& snapshot) {
  next_step_at_.reset();
  if (!snapshot.rollout || !snapshot.rollout->is_open()) {
    return std::nullopt;
  }
  record_state(now, *snapshot.rollout);
  switch (snapshot.rollout->state) {
    case RolloutState::kPreparing:
      return step_preparing(now, snapshot);
    case RolloutState::kSuspending:
      return step_suspending(now, snapshot);
    case RolloutState::kCommitted:
      return step_committed(snapshot);
    case RolloutState::kWatching:
      return step_watching(now, snapshot);
    case RolloutState::kDone:
    case RolloutState::kAborted:
      break;
  }
  return std::nullopt;
}

// Starts the timeouts when this coordinator first observes a state of a stage.
void RolloutCoordinator::record_state(Micros now, const Rollout& rollout) {
  if (stage_ == stage_id(rollout) && state_ == rollout.state) {
    return;
  }
  stage_ = stage_id(rollout);
  state_ = rollout.state;
  state_since_ = now;
  initial_counts_.clear();
}

std::optional<RolloutStep> RolloutCoordinator::abort_at(Micros now, Micros deadline, const Rollout& rollout,
                                                        const std::string& reason) {
  if (now >= deadline) {
    return abort_with(rollout, reason);
  }
  next_step_at_ = deadline;
  return std::nullopt;
}

std::optional<RolloutStep> RolloutCoordinator::step_preparing(Micros now, const RolloutSnapshot& snapshot) {
  const Rollout& rollout = *snapshot.rollout;
  const ParticipantReports reports = snapshot.reports_of_stage();
  if (auto aborted = abort_if_rejected(rollout, reports)) {
    return aborted;
  }
  const std::string missing = routers_behind(rollout, reports, &ParticipantReport::ready_stage);
  if (missing.empty()) {
    return move_to(rollout, RolloutState::kSuspending, "all are ready; routers hold");
  }
  const Micros deadline = state_since_ + timeouts_.prepare_timeout;
  return abort_at(now, deadline, rollout, "not ready in time: " + missing);
}

std::optional<RolloutStep> RolloutCoordinator::step_suspending(Micros now, const RolloutSnapshot& snapshot) {
  const Rollout& rollout = *snapshot.rollout;
  const ParticipantReports reports = snapshot.reports_of_stage();
  if (auto aborted = abort_if_rejected(rollout, reports)) {
    return aborted;
  }
  const std::string missing = routers_behind(rollout, reports, &ParticipantReport::suspended_stage);
  if (missing.empty()) {
    RolloutStep out = move_to(rollout, RolloutState::kCommitted, commit_audit(rollout));
    out.commit = true;
    return out;
  }
  const Micros deadline = state_since_ + timeouts_.suspend_timeout;
  return abort_at(now, deadline, rollout, "do not hold, and are there: " + missing);
}

// Waits until all participants decide under the target version. There is no timeout, since the participants
// that have not switched are still suspended.
std::optional<RolloutStep> RolloutCoordinator::step_committed(const RolloutSnapshot& snapshot) {
  const Rollout& rollout = *snapshot.rollout;
  for (const auto& [name, report] : snapshot.reports_of_stage()) {
    if (report.version != rollout.target_version || report.suspended_stage != 0) {
      return std::nullopt;
    }
  }
  if (rollout.is_last_stage()) {
    return move_to(rollout, RolloutState::kDone, "done: all decide under it");
  }
  return move_to(rollout, RolloutState::kWatching,
                 "zone " + rollout.stages[rollout.stage] + " decides under it and is watched");
}

// Counts only the requests since this coordinator first observed each process.
RolloutCoordinator::RequestCounts RolloutCoordinator::counts_while_watching(const RolloutSnapshot& snapshot) {
  RequestCounts out;
  for (const auto& [name, report] : snapshot.reports_of_stage()) {
    const std::string process = name + "/" + report.incarnation;
    const RequestCounts reported{report.requests, report.failed_requests};
    const RequestCounts& initial = initial_counts_.try_emplace(process, reported).first->second;
    out.requests += reported.requests - std::min(reported.requests, initial.requests);
    out.failed += reported.failed - std::min(reported.failed, initial.failed);
  }
  return out;
}

std::optional<RolloutStep> RolloutCoordinator::step_watching(Micros now, const RolloutSnapshot& snapshot) {
  const Rollout& rollout = *snapshot.rollout;
  const RequestCounts counts = counts_while_watching(snapshot);
  const double share =
      counts.requests > 0 ? static_cast<double>(counts.failed) / static_cast<double>(counts.requests) : 0.0;
  if (counts.requests >= kMinWatchedRequests && share > rollout.max_rejected_share) {
    return revert(rollout, counts.requests, counts.failed);
  }
  const Micros end = state_since_ + rollout.watch_time;
  if (now < end) {
    next_step_at_ = end;
    return std::nullopt;
  }
  RolloutStep out =
      move_to(rollout, RolloutState::kPreparing, "within its limits; the next stage is prepared");
  ++out.rollout.stage;
  return out;
}

}  // namespace trailcourse::policy
