#include "rendezvous.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "hashing.h"

namespace trailcourse {
namespace {

struct Candidate {
  double distance = 0.0;
  std::uint64_t hash = 0;  // of the address; breaks ties
  int index = 0;

  friend bool operator<(const Candidate& a, const Candidate& b) {
    return std::tie(a.distance, a.hash, a.index) < std::tie(b.distance, b.hash, b.index);
  }
};

}  // namespace

std::vector<int> rendezvous_order(const NodeTable& nodes, Role role, std::uint64_t key) {
  const std::vector<int>& members = nodes.members(role);
  std::vector<Candidate> candidates;
  candidates.reserve(members.size());
  for (const int index : members) {
    const Node& node = nodes.at(index);
    const double distance = -std::log(to_unit_interval(node.hash ^ key)) / node.transfer_capacity;
    candidates.push_back({distance, node.hash, index});
  }
  std::sort(candidates.begin(), candidates.end());
  std::vector<int> order;
  order.reserve(candidates.size());
  for (const Candidate& candidate : candidates) {
    order.push_back(candidate.index);
  }
  return order;
}

}  // namespace trailcourse
