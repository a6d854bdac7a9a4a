#include "aggregation/permit_summary.h"

#include <algorithm>

namespace trailcourse::aggregation {

using policy::ObservedState;
using policy::ParticipantReport;
using policy::Rollout;
using policy::RolloutState;

namespace {

// The step that routers of the zone are asked about; 0 where they are asked about none.
std::uint64_t step_at_hand(const ObservedState& known, const std::string& zone) {
  const std::optional<Rollout>& change = known.rollout;
  return change && change->is_open() && change->applies_to(zone) ? policy::stage_id(*change) : 0;
}

// What a router says that has done all it is asked for.
ParticipantReport fulfilled(const ObservedState& known, const std::string& zone) {
  ParticipantReport out;
  out.zone = zone;
  out.version = known.version;
  const std::uint64_t step = step_at_hand(known, zone);
  if (step == 0) {
    return out;
  }
  const RolloutState state = known.rollout->state;
  const bool asked = state == RolloutState::kPreparing || state == RolloutState::kSuspending;
  out.ready_stage = asked ? step : 0;
  out.suspended_stage = state == RolloutState::kSuspending ? step : 0;
  return out;
}

bool fulfils(const ParticipantReport& said, const ParticipantReport& wanted) {
  return said.version == wanted.version && said.suspended_stage == wanted.suspended_stage &&
         (wanted.ready_stage == 0 || said.ready_stage == wanted.ready_stage);
}

// What a router decides under and what it holds for: read together, never one by one.
struct Decision {
  std::uint64_t version = 0;
  std::uint64_t suspended_stage = 0;
};
Decision decision_of(const ParticipantReport& permit) { return {permit.version, permit.suspended_stage}; }

// Whether the aggregator knows that the step is past its commit or abort.
bool is_past(const ObservedState& known, std::uint64_t step) {
  if (!known.rollout || step == 0) {
    return false;
  }
  const std::uint64_t at_hand = policy::stage_id(*known.rollout);
  const RolloutState state = known.rollout->state;
  const bool settled = state != RolloutState::kPreparing && state != RolloutState::kSuspending;
  return step < at_hand || (step == at_hand && settled);
}

// Whether nobody takes what this router alone says for what all have done. A router may have heard of a step
// that the aggregator has not, and a router that joins later goes by what the aggregator has heard.
bool may_stand_for_all(const ObservedState& known, const std::string& zone, const ParticipantReport& said) {
  if (said.suspended_stage != 0) {
    return is_past(known, said.suspended_stage);
  }
  const bool is_target = step_at_hand(known, zone) != 0 && said.version == known.rollout->target_version;
  return said.version == known.version && !is_target;
}

Decision decision_of_all(const ObservedState& known, const ParticipantReport& wanted,
                         const RouterPermits& routers) {
  Decision out = decision_of(wanted);
  bool all = true;
  for (const auto& [lease, one] : routers) {
    if (one.permit.version == wanted.version && one.permit.suspended_stage == wanted.suspended_stage) {
      continue;
    }
    if (may_stand_for_all(known, wanted.zone, one.permit)) {
      return decision_of(one.permit);
    }
    out.version = all ? one.permit.version : out.version;
    out.suspended_stage = kRoutersDiffer;
    all = false;
  }
  return out;
}

}  // namespace

ParticipantReport summarize(const ObservedState& known, const std::string& zone,
                            const RouterPermits& routers) {
  const ParticipantReport wanted = fulfilled(known, zone);
  const std::uint64_t round = known.acknowledgement.round;
  ParticipantReport out = wanted;
  out.acknowledged_round = round;
  const Decision decision = decision_of_all(known, wanted, routers);
  out.version = decision.version;
  out.suspended_stage = decision.suspended_stage;
  for (const auto& [lease, one] : routers) {
    // Not ready is 0 and never the step before, so that a change is not taken to be prepared too early.
    out.ready_stage = one.permit.ready_stage == wanted.ready_stage ? out.ready_stage : 0;
    // Also of a step that the aggregator has not heard of: a no must not wait for its mirror.
    if (one.permit.rejected_stage > out.rejected_stage) {
      out.rejected_stage = one.permit.rejected_stage;
      out.rejection_reason = one.router + ": " + one.permit.rejection_reason;
    }
    out.acknowledged_round = std::min(out.acknowledged_round, one.permit.acknowledged_round);
    if (out.waiting_for.empty() && (!fulfils(one.permit, wanted) || one.permit.acknowledged_round < round)) {
      out.waiting_for = one.router;
    }
  }
  out.represented_routers = routers.size();
  return out;
}

}  // namespace trailcourse::aggregation
