#include "ownership/shards.h"

#include <algorithm>
#include <utility>

#include "decision/hashing.h"

namespace trailcourse::ownership {
namespace {

std::uint64_t weight(const std::string& work, std::size_t shard, const std::string& member) {
  return mix(hash_text(member) ^ mix(hash_text(work) + shard));
}

// By weight, ties by name.
bool before(const std::string& work, std::size_t shard, const std::string& one, const std::string& other) {
  const std::uint64_t left = weight(work, shard, one);
  const std::uint64_t right = weight(work, shard, other);
  return left != right ? left > right : one < other;
}

}  // namespace

std::string owner_of(const std::string& work, std::size_t shard, const std::vector<std::string>& members) {
  const auto first =
      std::min_element(members.begin(), members.end(),
                       [&](const auto& one, const auto& other) { return before(work, shard, one, other); });
  return first == members.end() ? std::string() : *first;
}

std::size_t slot_of(const std::string& work, std::size_t shard, const std::string& member,
                    const std::vector<std::string>& members) {
  return static_cast<std::size_t>(std::count_if(
      members.begin(), members.end(),
      [&](const std::string& other) { return other != member && before(work, shard, other, member); }));
}

Micros wait_for_slot(std::size_t slot, Micros step, Micros longest) {
  const auto most = step.count() > 0 ? static_cast<std::size_t>(longest / step) : 0;
  return step * static_cast<Micros::rep>(std::min(slot, most));
}

std::size_t moved(const std::string& work, std::size_t shards, const std::vector<std::string>& before_members,
                  const std::vector<std::string>& after_members) {
  std::size_t out = 0;
  for (std::size_t shard = 0; shard < shards; ++shard) {
    out += owner_of(work, shard, before_members) != owner_of(work, shard, after_members) ? 1 : 0;
  }
  return out;
}

}  // namespace trailcourse::ownership
