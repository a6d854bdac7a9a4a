// Weighted rendezvous hashing: the order in which the nodes of a role are candidates for an object.
#pragma once

#include <trailcourse/decider.h>

#include <cstdint>
#include <vector>

#include "node_table.h"

namespace trailcourse {

// Returns the indices of the listed nodes with the role, ordered by the hash of `key` and the address,
// weighted by capacity. The order is the same on all routers, for any order
// of their endpoint lists.
std::vector<int> rendezvous_order(const NodeTable& nodes, Role role, std::uint64_t key);

}  // namespace trailcourse
