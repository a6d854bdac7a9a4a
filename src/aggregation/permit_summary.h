// What all routers below an aggregator say together of a change of policy. A summary never claims more than
// each of them said: it is ready, holds or has switched only once every one is, does or has.
//
// Package `aggregation`: no I/O, no clock.
#pragma once

#include <map>
#include <string>

#include "coordination/types.h"
#include "policy/change.h"
#include "policy/holder.h"

namespace trailcourse::aggregation {

// A router that has permission from this aggregator, and what it said last.
struct RouterPermit {
  std::string router;
  policy::Permit permit;
};
using RouterPermits = std::map<coordination::LeaseId, RouterPermit>;

// The permit that stands for all of `routers`, which are of one zone. `known` is the change as the aggregator
// has read it in the store. Without any router it says what a router with nothing to do would say, so that an
// empty region is not awaited. Counts of requests and numbers are left at 0 for the caller to fill in.
policy::Permit summarize(const policy::Known& known, const std::string& zone, const RouterPermits& routers);

}  // namespace trailcourse::aggregation
