// The nodes that the lists have named, in slots of bounded number, and the listed ones by role; a plain
// container, nothing is decided here.
#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "hashing.h"
#include "state.h"

namespace trailcourse {

class NodeTable {
 public:
  explicit NodeTable(std::size_t capacity) : capacity_(capacity) {}

  Node& at(int index) { return nodes_[static_cast<std::size_t>(index)]; }
  const Node& at(int index) const { return nodes_[static_cast<std::size_t>(index)]; }
  std::vector<Node>& all() { return nodes_; }

  // Listed nodes of one role; caches: of this router's zone.
  const std::vector<int>& members(Role role) const { return members_[static_cast<std::size_t>(role)]; }

  // The node of an address and whether its slot is new. Beyond the capacity slots not listed and idle are
  // used again.
  std::pair<Node&, bool> find_or_add(const std::string& address) {
    const auto [found, added] = index_.try_emplace(address, 0);
    if (added) {
      found->second = free_slot();
      at(found->second) = Node{};
      at(found->second).hash = hash_text(address);
    }
    return {at(found->second), added};
  }

  // To be called once a list has been taken in.
  void sort_by_role() {
    members_ = {};
    for (int i = 0; i < static_cast<int>(nodes_.size()); ++i) {
      const Node& node = at(i);
      if (node.listed && (node.local || node.entry.role != Role::kCache)) {
        members_[static_cast<std::size_t>(node.entry.role)].push_back(i);
      }
    }
  }

 private:
  int free_slot() {
    for (std::size_t i = 0; nodes_.size() >= capacity_ && i < nodes_.size(); ++i) {
      if (!nodes_[i].listed && nodes_[i].in_flight == 0) {
        index_.erase(nodes_[i].entry.address);
        return static_cast<int>(i);
      }
    }
    nodes_.emplace_back();
    return static_cast<int>(nodes_.size()) - 1;
  }

  std::size_t capacity_;
  std::vector<Node> nodes_;
  std::unordered_map<std::string, int> index_;
  std::array<std::vector<int>, 3> members_;
};

}  // namespace trailcourse
