#include "aggregation/report_summary.h"

#include <algorithm>

namespace trailcourse::aggregation {

using policy::ObservedState;
using policy::ParticipantReport;
using policy::Rollout;
using policy::RolloutState;

namespace {

// Returns the current stage of the open rollout if it includes the zone, otherwise 0.
std::uint64_t open_stage(const ObservedState& observed, const std::string& zone) {
  const std::optional<Rollout>& rollout = observed.rollout;
  return rollout && rollout->is_open() && rollout->applies_to(zone) ? policy::stage_id(*rollout) : 0;
}

// Returns the report of a router that has completed all requested actions.
ParticipantReport completed_report(const ObservedState& observed, const std::string& zone) {
  ParticipantReport out;
  out.zone = zone;
  out.version = observed.version;
  const std::uint64_t stage = open_stage(observed, zone);
  if (stage == 0) {
    return out;
  }
  const RolloutState state = observed.rollout->state;
  const bool suspending = state == RolloutState::kSuspending;
  out.ready_stage = suspending || state == RolloutState::kPreparing ? stage : 0;
  out.suspended_stage = suspending ? stage : 0;
  return out;
}

bool is_complete(const ParticipantReport& report, const ParticipantReport& completed) {
  return report.version == completed.version && report.suspended_stage == completed.suspended_stage &&
         (completed.ready_stage == 0 || report.ready_stage == completed.ready_stage);
}

// The version that a router decides under and the stage that it is suspended for. A summary takes both from
// the same report.
struct VersionAndStage {
  std::uint64_t version = 0;
  std::uint64_t suspended_stage = 0;

  friend bool operator==(const VersionAndStage&, const VersionAndStage&) = default;
};
VersionAndStage version_and_stage_of(const ParticipantReport& report) {
  return {report.version, report.suspended_stage};
}

// Returns whether the aggregator has observed the commit or the abort of the stage.
bool is_settled(const ObservedState& observed, std::uint64_t stage) {
  if (!observed.rollout || stage == 0) {
    return false;
  }
  const std::uint64_t observed_stage = policy::stage_id(*observed.rollout);
  const RolloutState state = observed.rollout->state;
  const bool settled = state != RolloutState::kPreparing && state != RolloutState::kSuspending;
  return stage < observed_stage || (stage == observed_stage && settled);
}

// Returns whether the coordinator draws no wrong conclusion if the report of this router represents all
// routers. A router may have observed a stage that the aggregator has not, and a router that joins later
// starts from the aggregator's state.
bool may_represent_all(const ObservedState& observed, const std::string& zone,
                       const ParticipantReport& report) {
  if (report.suspended_stage != 0) {
    return is_settled(observed, report.suspended_stage);
  }
  const bool is_target =
      open_stage(observed, zone) != 0 && report.version == observed.rollout->target_version;
  return report.version == observed.version && !is_target;
}

VersionAndStage common_version_and_stage(const ObservedState& observed, const ParticipantReport& completed,
                                         const RouterReports& routers) {
  VersionAndStage out = version_and_stage_of(completed);
  bool all_complete = true;
  for (const auto& [lease, router] : routers) {
    const VersionAndStage reported = version_and_stage_of(router.report);
    if (reported == version_and_stage_of(completed)) {
      continue;
    }
    if (may_represent_all(observed, completed.zone, router.report)) {
      return reported;
    }
    out.version = all_complete ? reported.version : out.version;
    out.suspended_stage = kRoutersDiffer;
    all_complete = false;
  }
  return out;
}

// Adds one router's report to the summary.
void merge(ParticipantReport& summary, const RouterReport& router, const ParticipantReport& completed,
           std::uint64_t round) {
  const ParticipantReport& report = router.report;
  // The value is 0, never an earlier stage, so that the coordinator does not treat the rollout as prepared
  // too early.
  summary.ready_stage = report.ready_stage == completed.ready_stage ? summary.ready_stage : 0;
  // Includes the rejection of a stage that the aggregator has not observed yet, since a rejection must not be
  // delayed.
  if (report.rejected_stage > summary.rejected_stage) {
    summary.rejected_stage = report.rejected_stage;
    summary.rejection_reason = router.router + ": " + report.rejection_reason;
  }
  summary.acknowledged_round = std::min(summary.acknowledged_round, report.acknowledged_round);
  const bool is_pending = !is_complete(report, completed) || report.acknowledged_round < round;
  if (summary.waiting_for.empty() && is_pending) {
    summary.waiting_for = router.router;
  }
}

}  // namespace

ParticipantReport summarize(const ObservedState& observed, const std::string& zone,
                            const RouterReports& routers) {
  const ParticipantReport completed = completed_report(observed, zone);
  const VersionAndStage common = common_version_and_stage(observed, completed, routers);
  ParticipantReport out = completed;
  out.version = common.version;
  out.suspended_stage = common.suspended_stage;
  out.acknowledged_round = observed.acknowledgement.round;
  for (const auto& [lease, router] : routers) {
    merge(out, router, completed, observed.acknowledgement.round);
  }
  out.represented_routers = routers.size();
  return out;
}

}  // namespace trailcourse::aggregation
