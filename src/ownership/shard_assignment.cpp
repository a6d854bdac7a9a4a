#include "ownership/shard_assignment.h"

#include <algorithm>
#include <utility>

#include "decision/hashing.h"

namespace trailcourse::ownership {
namespace {

std::uint64_t weight(const std::string& work, std::size_t shard, const std::string& member) {
  return mix(hash_text(member) ^ mix(hash_text(work) + shard));
}

// Returns whether `member` ranks before `other`: by descending weight, then by name.
bool ranks_before(const std::string& work, std::size_t shard, const std::string& member,
                  const std::string& other) {
  const std::uint64_t member_weight = weight(work, shard, member);
  const std::uint64_t other_weight = weight(work, shard, other);
  return member_weight != other_weight ? member_weight > other_weight : member < other;
}

}  // namespace

std::string preferred_owner(const std::string& work, std::size_t shard,
                            const std::vector<std::string>& members) {
  const auto first = std::min_element(
      members.begin(), members.end(),
      [&](const auto& member, const auto& other) { return ranks_before(work, shard, member, other); });
  return first == members.end() ? std::string() : *first;
}

std::size_t candidate_rank(const std::string& work, std::size_t shard, const std::string& member,
                           const std::vector<std::string>& members) {
  const auto ranks_earlier = [&](const std::string& other) {
    return other != member && ranks_before(work, shard, other, member);
  };
  return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), ranks_earlier));
}

Micros candidate_wait(std::size_t rank, Micros slot, Micros max_wait) {
  const auto max_slots = slot.count() > 0 ? static_cast<std::size_t>(max_wait / slot) : 0;
  return slot * static_cast<Micros::rep>(std::min(rank, max_slots));
}

std::size_t count_moved_shards(const std::string& work, std::size_t shards,
                               const std::vector<std::string>& members_before,
                               const std::vector<std::string>& members_after) {
  std::size_t moved = 0;
  for (std::size_t shard = 0; shard < shards; ++shard) {
    const bool same =
        preferred_owner(work, shard, members_before) == preferred_owner(work, shard, members_after);
    moved += same ? 0 : 1;
  }
  return moved;
}

}  // namespace trailcourse::ownership
