// What all routers below an aggregator say together of a change of policy. A summary never claims more than
// each of them said: it is ready, holds or has switched only once every one is, does or has. Nor does it
// claim more than the aggregator has heard itself, for a router that joins later goes by that. It has
// acknowledged a round once every router has.
//
// Package `aggregation`: no I/O, no clock.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "coordination/types.h"
#include "policy/participant.h"
#include "policy/rollout.h"

namespace trailcourse::aggregation {

// A router that has permission from this aggregator, and what it said last.
struct RouterPermit {
  std::string router;
  policy::ParticipantReport permit;
};
using RouterPermits = std::map<coordination::LeaseId, RouterPermit>;

// What a summary has as `held` where its routers differ in what they decide under or hold for, or have heard
// more than the aggregator. No step has this number: neither "all hold" nor "all have switched" is read from
// it.
constexpr std::uint64_t kRoutersDiffer = 1;

// The permit that stands for all of `routers`, which are of one zone. `known` is the change as the aggregator
// has read it in the store. Without any router it says what a router with nothing to do would say, so that an
// empty region is not awaited. Counts of requests and numbers are left at 0 for the caller to fill in.
policy::ParticipantReport summarize(const policy::ObservedState& known, const std::string& zone,
                                    const RouterPermits& routers);

}  // namespace trailcourse::aggregation
