// The tree by which the routers of a zone relay the pages of the discovery service to each other. Its degree
// is bounded, and each router computes the same tree: names are sorted by hash, the router at position i
// polls the one at (i-1)/degree, and the first polls the service. Each router polls only a router at an
// earlier position, so no loop forms where all have the same list of peers. Where their lists differ,
// RelaySelector detects loops by the path in each page and rejects pages that are too old.
//
// Library `startup`.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace trailcourse::startup {

// The relay tree as one router sees it. Immutable.
class RelayTree {
 public:
  // `peers` are the names of the zone's routers, in any order, with or without `self`; duplicates are
  // allowed.
  RelayTree(const std::string& self, std::vector<std::string> peers, int degree);

  // Returns the routers on the path to the root, the parent of this router first; empty for the root.
  std::vector<std::string> ancestors() const;

  // Returns the routers that poll this one.
  std::vector<std::string> children() const;

  // Returns the position of this router, 0 for the root.
  std::size_t position() const { return position_; }

  // Returns the number of routers in the tree.
  std::size_t size() const { return names_.size(); }

  // Returns the number of hops from this router to the service, 1 for the root.
  int depth() const { return static_cast<int>(ancestors().size()) + 1; }

 private:
  std::vector<std::string> names_;  // by position
  std::size_t degree_;
  std::size_t position_ = 0;
};

}  // namespace trailcourse::startup
