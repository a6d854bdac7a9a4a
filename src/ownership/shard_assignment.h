// Which member is to own which shard of a piece of work: by rendezvous hashing, so that a member that comes
// or goes moves its own shards and no others. And in which order candidates try for work whose owner is gone,
// so that not all of them ask the store at once.
//
// Package `ownership`: no I/O, no clock.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "ownership/lease.h"

namespace trailcourse::ownership {

// The member that the shard belongs to; empty where there is none. The same for every order of the members.
std::string owner_of(const std::string& work, std::size_t shard, const std::vector<std::string>& members);

// The place of a member in the order of candidates for a shard, 0 for its owner by hash.
std::size_t slot_of(const std::string& work, std::size_t shard, const std::string& member,
                    const std::vector<std::string>& members);

// How long a candidate waits for those before it: a step each, up to the longest.
Micros wait_for_slot(std::size_t slot, Micros step, Micros longest);

// Shards that belong to another member than before.
std::size_t moved(const std::string& work, std::size_t shards, const std::vector<std::string>& before,
                  const std::vector<std::string>& after);

}  // namespace trailcourse::ownership
