#include "aggregation/report_summary.h"

#include <algorithm>

namespace trailcourse::aggregation {

using policy::Change;
using policy::ChangeState;
using policy::Known;
using policy::Permit;

namespace {

// The step of the open rollout that routers of the zone take part in; 0 if there is none.
std::uint64_t open_step(const Known& observed, const std::string& zone) {
  const std::optional<Change>& rollout = observed.change;
  return rollout && rollout->open() && rollout->concerns(zone) ? policy::step_of(*rollout) : 0;
}

// The report of a router that has done all that is requested.
Permit completed_report(const Known& observed, const std::string& zone) {
  Permit out;
  out.zone = zone;
  out.version = observed.version;
  const std::uint64_t step = open_step(observed, zone);
  if (step == 0) {
    return out;
  }
  const ChangeState state = observed.change->state;
  const bool suspending = state == ChangeState::kHolding;
  out.ready = suspending || state == ChangeState::kPreparing ? step : 0;
  out.held = suspending ? step : 0;
  return out;
}

bool is_complete(const Permit& report, const Permit& completed) {
  return report.version == completed.version && report.held == completed.held &&
         (completed.ready == 0 || report.ready == completed.ready);
}

// The version that a router decides under and the step that it is suspended for. The two belong together: a
// summary takes both from the same report.
struct VersionAndStep {
  std::uint64_t version = 0;
  std::uint64_t suspended_step = 0;

  friend bool operator==(const VersionAndStep&, const VersionAndStep&) = default;
};
VersionAndStep version_and_step_of(const Permit& report) { return {report.version, report.held}; }

// Whether the aggregator has observed the commit or the abort of the step.
bool is_settled(const Known& observed, std::uint64_t step) {
  if (!observed.change || step == 0) {
    return false;
  }
  const std::uint64_t observed_step = policy::step_of(*observed.change);
  const ChangeState state = observed.change->state;
  const bool settled = state != ChangeState::kPreparing && state != ChangeState::kHolding;
  return step < observed_step || (step == observed_step && settled);
}

// Whether the coordinator cannot mistake the report of this one router for that of all. A router may have
// observed a step that the aggregator has not, and a router that joins later starts from the aggregator's
// state.
bool may_stand_for_all(const Known& observed, const std::string& zone, const Permit& report) {
  if (report.held != 0) {
    return is_settled(observed, report.held);
  }
  const bool is_target = open_step(observed, zone) != 0 && report.version == observed.change->version;
  return report.version == observed.version && !is_target;
}

VersionAndStep common_version_and_step(const Known& observed, const Permit& completed,
                                       const RouterReports& routers) {
  VersionAndStep out = version_and_step_of(completed);
  bool all_complete = true;
  for (const auto& [lease, router] : routers) {
    const VersionAndStep reported = version_and_step_of(router.report);
    if (reported == version_and_step_of(completed)) {
      continue;
    }
    if (may_stand_for_all(observed, completed.zone, router.report)) {
      return reported;
    }
    out.version = all_complete ? reported.version : out.version;
    out.suspended_step = kRoutersDiffer;
    all_complete = false;
  }
  return out;
}

// Adds one router's report to the summary.
void merge(Permit& summary, const RouterReport& router, const Permit& completed, std::uint64_t round) {
  const Permit& report = router.report;
  // 0 and never an earlier step, so that the rollout is not taken to be prepared too early.
  summary.ready = report.ready == completed.ready ? summary.ready : 0;
  // Also for a step that the aggregator has not observed: a rejection must not wait for its watch.
  if (report.no > summary.no) {
    summary.no = report.no;
    summary.why = router.router + ": " + report.why;
  }
  summary.acknowledged = std::min(summary.acknowledged, report.acknowledged);
  const bool awaited = !is_complete(report, completed) || report.acknowledged < round;
  if (summary.awaits.empty() && awaited) {
    summary.awaits = router.router;
  }
}

}  // namespace

Permit summarize(const Known& observed, const std::string& zone, const RouterReports& routers) {
  const Permit completed = completed_report(observed, zone);
  const VersionAndStep common = common_version_and_step(observed, completed, routers);
  Permit out = completed;
  out.version = common.version;
  out.held = common.suspended_step;
  out.acknowledged = observed.acknowledgement.round;
  for (const auto& [lease, router] : routers) {
    merge(out, router, completed, observed.acknowledgement.round);
  }
  out.routers = routers.size();
  return out;
}

}  // namespace trailcourse::aggregation
