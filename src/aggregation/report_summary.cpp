#include "aggregation/report_summary.h"

#include <algorithm>

namespace trailcourse::aggregation {

using policy::Change;
using policy::ChangeState;
using policy::Known;
using policy::Permit;

namespace {

// The step that routers of the zone are asked about; 0 where they are asked about none.
std::uint64_t step_at_hand(const Known& known, const std::string& zone) {
  const std::optional<Change>& change = known.change;
  return change && change->open() && change->concerns(zone) ? policy::step_of(*change) : 0;
}

// What a router says that has done all it is asked for.
Permit fulfilled(const Known& known, const std::string& zone) {
  Permit out;
  out.zone = zone;
  out.version = known.version;
  const std::uint64_t step = step_at_hand(known, zone);
  if (step == 0) {
    return out;
  }
  const ChangeState state = known.change->state;
  const bool asked = state == ChangeState::kPreparing || state == ChangeState::kHolding;
  out.ready = asked ? step : 0;
  out.held = state == ChangeState::kHolding ? step : 0;
  return out;
}

bool fulfils(const Permit& said, const Permit& wanted) {
  return said.version == wanted.version && said.held == wanted.held &&
         (wanted.ready == 0 || said.ready == wanted.ready);
}

// What a router decides under and what it holds for: read together, never one by one.
struct Decision {
  std::uint64_t version = 0;
  std::uint64_t held = 0;
};
Decision decision_of(const Permit& permit) { return {permit.version, permit.held}; }

// Whether the aggregator knows that the step is past its commit or abort.
bool is_past(const Known& known, std::uint64_t step) {
  if (!known.change || step == 0) {
    return false;
  }
  const std::uint64_t at_hand = policy::step_of(*known.change);
  const ChangeState state = known.change->state;
  const bool settled = state != ChangeState::kPreparing && state != ChangeState::kHolding;
  return step < at_hand || (step == at_hand && settled);
}

// Whether nobody takes what this router alone says for what all have done. A router may have heard of a step
// that the aggregator has not, and a router that joins later goes by what the aggregator has heard.
bool may_stand_for_all(const Known& known, const std::string& zone, const Permit& said) {
  if (said.held != 0) {
    return is_past(known, said.held);
  }
  const bool is_target = step_at_hand(known, zone) != 0 && said.version == known.change->version;
  return said.version == known.version && !is_target;
}

Decision decision_of_all(const Known& known, const Permit& wanted, const RouterReports& routers) {
  Decision out = decision_of(wanted);
  bool all = true;
  for (const auto& [lease, one] : routers) {
    if (one.permit.version == wanted.version && one.permit.held == wanted.held) {
      continue;
    }
    if (may_stand_for_all(known, wanted.zone, one.permit)) {
      return decision_of(one.permit);
    }
    out.version = all ? one.permit.version : out.version;
    out.held = kRoutersDiffer;
    all = false;
  }
  return out;
}

}  // namespace

Permit summarize(const Known& known, const std::string& zone, const RouterReports& routers) {
  const Permit wanted = fulfilled(known, zone);
  const std::uint64_t round = known.acknowledgement.round;
  Permit out = wanted;
  out.acknowledged = round;
  const Decision decision = decision_of_all(known, wanted, routers);
  out.version = decision.version;
  out.held = decision.held;
  for (const auto& [lease, one] : routers) {
    // Not ready is 0 and never the step before, so that a change is not taken to be prepared too early.
    out.ready = one.permit.ready == wanted.ready ? out.ready : 0;
    // Also of a step that the aggregator has not heard of: a no must not wait for its mirror.
    if (one.permit.no > out.no) {
      out.no = one.permit.no;
      out.why = one.router + ": " + one.permit.why;
    }
    out.acknowledged = std::min(out.acknowledged, one.permit.acknowledged);
    if (out.awaits.empty() && (!fulfils(one.permit, wanted) || one.permit.acknowledged < round)) {
      out.awaits = one.router;
    }
  }
  out.routers = routers.size();
  return out;
}

}  // namespace trailcourse::aggregation
