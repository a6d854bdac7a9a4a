// Assignment of shards to members by rendezvous hashing: a member that joins or leaves moves its own shards
// and no others. It also gives the order in which candidates try to acquire a shard whose owner is gone, so
// that they do not all call the store at once.
//
// Library `ownership`: no I/O and no clock.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "ownership/lease.h"

namespace trailcourse::ownership {

// Returns the member that should own the shard, or an empty name where there are no members. The order of
// `members` does not matter.
std::string preferred_owner(const std::string& work, std::size_t shard,
                            const std::vector<std::string>& members);

// Returns the rank of a member among the candidates for a shard; 0 is the preferred owner.
std::size_t candidate_rank(const std::string& work, std::size_t shard, const std::string& member,
                           const std::vector<std::string>& members);

// Returns how long a candidate of this rank waits for those before it: one slot for each, `max_wait` at most.
Micros candidate_wait(std::size_t rank, Micros slot, Micros max_wait);

// Returns how many shards have another preferred owner after the change of members than before.
std::size_t count_moved_shards(const std::string& work, std::size_t shards,
                               const std::vector<std::string>& members_before,
                               const std::vector<std::string>& members_after);

}  // namespace trailcourse::ownership
