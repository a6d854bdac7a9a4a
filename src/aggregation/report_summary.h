// The summary of the reports of all routers of a zone on a policy rollout.
//
// A summary never claims more than each router has reported: it is prepared, has suspended the old version or
// has switched to the new one only once every router is or has. Nor does it claim more than the aggregator
// has observed in the store itself, because a router that joins later starts from what the aggregator has
// observed. It has acknowledged a round once every router has.
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

// The latest report of a router, and the router that sent it.
struct RouterReport {
  std::string router;
  policy::ParticipantReport report;
};
using RouterReports = std::map<coordination::LeaseId, RouterReport>;

// The value of `held` in a summary whose routers decide under different versions, are suspended for different
// stages, or have observed more than the aggregator. No rollout has a stage of this number, so that the
// coordinator reads neither "all are suspended" nor "all have switched" from it.
constexpr std::uint64_t kRoutersDiffer = 1;

// Returns the report that stands for all of `routers`, which are of one zone. `observed` is the state of the
// store as the aggregator has read it. Without any router the result is that of a router with nothing left to
// do, so that the coordinator does not wait for an empty zone. The caller fills in the number of the report
// and the counts of requests, which are 0.
policy::ParticipantReport summarize(const policy::ObservedState& observed, const std::string& zone,
                                    const RouterReports& routers);

}  // namespace trailcourse::aggregation
