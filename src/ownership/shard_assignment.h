// Assignment of shards to members by rendezvous hashing: if a member joins or leaves, only its own shards
// move. The ranks also determine the order in which candidates try to acquire a shard without an owner, so
// that they do not all call the store at once.
//
// Library `ownership`: no I/O and no clock.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "ownership/lease.h"

namespace trailcourse::ownership {

// Returns the member that should own the shard, or an empty name if there are no members. The order of
// `members` does not matter.
std::string preferred_owner(const std::string& work, std::size_t shard,
                            const std::vector<std::string>& members);

// Returns the rank of a member among the candidates for a shard. The preferred owner has rank 0.
std::size_t candidate_rank(const std::string& work, std::size_t shard, const std::string& member,
                           const std::vector<std::string>& members);

// Returns how long a candidate of this rank waits: one slot for each candidate before it, `max_wait` at most.
Micros candidate_wait(std::size_t rank, Micros slot, Micros max_wait);

// Returns how many shards change their preferred owner when the members change.
std::size_t count_moved_shards(const std::string& work, std::size_t shards,
                               const std::vector<std::string>& members_before,
                               const std::vector<std::string>& members_after);

}  // namespace trailcourse::ownership
