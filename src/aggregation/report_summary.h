// The summary of the reports of all routers of a zone on a policy rollout.
//
// A summary reports no more progress than the slowest router of the zone: it reports that the zone is ready,
// is suspended or has switched to the new version only after every router has reported so. It also reports no
// more progress than the aggregator has read from the store, because a router that joins later starts from
// the state that the aggregator has read. It acknowledges a round after every router has acknowledged it.
//
// Library `aggregation`: no I/O, no clock.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "coordination/types.h"
#include "policy/participant.h"
#include "policy/rollout.h"

namespace trailcourse::aggregation {

// The latest report of a router, with the router's name.
struct RouterReport {
  std::string router;
  policy::ParticipantReport report;
};
// The reports by lease.
using RouterReports = std::map<coordination::LeaseId, RouterReport>;

// The suspended stage (`held` in the record) of a summary whose routers decide under different versions, are
// suspended for different stages, or have observed more than the aggregator. No rollout has a stage with this
// number, so the coordinator concludes neither that all routers are suspended nor that all have switched.
constexpr std::uint64_t kRoutersDiffer = 1;

// Returns the report that represents all of `routers`, which are of one zone. `observed` is the state of the
// store as the aggregator has observed it. Without routers the result is that of a router that has completed
// all requested actions, so that the coordinator does not wait for an empty zone. The caller sets the
// sequence number of the report and the request counts, which are 0.
policy::ParticipantReport summarize(const policy::ObservedState& observed, const std::string& zone,
                                    const RouterReports& routers);

}  // namespace trailcourse::aggregation
