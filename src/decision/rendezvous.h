// Weighted rendezvous hashing: the order in which the nodes of a role are candidates for an object.
#pragma once

#include <trailcourse/decider.h>

#include <cstdint>
#include <vector>

#include "node_table.h"

namespace trailcourse {

// Returns the indices of the listed nodes of a role in hash order, by address and capacity. All routers find
// the same order, whatever that of their lists.
std::vector<int> rendezvous_order(const NodeTable& nodes, Role role, std::uint64_t key);

}  // namespace trailcourse
