// A bounded table of the nodes that appeared in endpoint lists, with the listed ones by role.
#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include "hashing.h"
#include "node.h"

namespace trailcourse {

// Not thread-safe. Nodes are identified by their index, which stays the same while the node is listed or has
// attempts in flight.
class NodeTable {
 public:
  // A node, and whether this lookup added it.
  struct Lookup {
    Node& node;
    bool added;
  };

  explicit NodeTable(std::size_t capacity) : capacity_(capacity) {}

  Node& at(int index) { return nodes_[static_cast<std::size_t>(index)]; }
  const Node& at(int index) const { return nodes_[static_cast<std::size_t>(index)]; }
  std::vector<Node>& all() { return nodes_; }

  // Returns the indices of the listed nodes with the role; for caches only those in this router's zone.
  const std::vector<int>& members(Role role) const { return members_[static_cast<std::size_t>(role)]; }

  // Returns the node with the address, and adds it if there is none. A full table reuses the slot of a node
  // that is neither listed nor has attempts in flight, and grows beyond its capacity if there is no such
  // slot. The call invalidates earlier references to nodes.
  Lookup find_or_add(const std::string& address) {
    const auto [found, added] = index_.try_emplace(address, 0);
    if (added) {
      found->second = free_slot();
      at(found->second) = Node{};
      at(found->second).hash = hash_text(address);
    }
    return {at(found->second), added};
  }

  // Rebuilds the lists that members() returns. Has to be called after each change to `Node::listed`.
  void update_members() {
    members_ = {};
    for (int i = 0; i < static_cast<int>(nodes_.size()); ++i) {
      const Node& node = at(i);
      if (node.listed && (node.in_own_zone || node.endpoint.role != Role::kCache)) {
        members_[static_cast<std::size_t>(node.endpoint.role)].push_back(i);
      }
    }
  }

 private:
  int free_slot() {
    for (std::size_t i = 0; nodes_.size() >= capacity_ && i < nodes_.size(); ++i) {
      if (!nodes_[i].listed && nodes_[i].in_flight == 0) {
        index_.erase(nodes_[i].endpoint.address);
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
