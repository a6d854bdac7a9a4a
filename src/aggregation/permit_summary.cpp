#include "aggregation/permit_summary.h"

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

// `wanted` where every router says it, else what the first one says that does not.
template <typename Field>
std::uint64_t agreed(const RouterPermits& routers, Field field, std::uint64_t wanted) {
  const auto other = std::find_if(routers.begin(), routers.end(),
                                  [&](const auto& one) { return one.second.permit.*field != wanted; });
  return other == routers.end() ? wanted : other->second.permit.*field;
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

}  // namespace

Permit summarize(const Known& known, const std::string& zone, const RouterPermits& routers) {
  const Permit wanted = fulfilled(known, zone);
  Permit out = wanted;
  out.version = agreed(routers, &Permit::version, wanted.version);
  out.held = agreed(routers, &Permit::held, wanted.held);
  const std::uint64_t step = step_at_hand(known, zone);
  for (const auto& [lease, one] : routers) {
    // Not ready is 0 and never the step before, so that a change is not taken to be prepared too early.
    out.ready = one.permit.ready == wanted.ready ? out.ready : 0;
    if (step != 0 && one.permit.no == step && out.no == 0) {
      out.no = step;
      out.why = one.router + ": " + one.permit.why;
    }
    if (out.awaits.empty() && !fulfils(one.permit, wanted)) {
      out.awaits = one.router;
    }
  }
  out.routers = routers.size();
  return out;
}

}  // namespace trailcourse::aggregation
