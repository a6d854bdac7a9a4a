// The tree by which the routers of a zone relay the pages of the discovery service to each other. It has a
// bounded degree and is the same for each router: names are sorted by hash, the router at position i polls
// the one at (i-1)/degree, and the first polls the service. A router polls only earlier positions, so that no
// loop can form where all have the same list of peers. Where the lists differ, relay_selector.h detects loops
// by the path in each page, and pages that are too old.
//
// Package `startup`.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace trailcourse::startup {

// The relay tree as one router sees it. Immutable.
class RelayTree {
 public:
  // `peers` are the names of the zone's routers, with or without `self`, in any order, duplicates allowed.
  RelayTree(const std::string& self, std::vector<std::string> peers, int degree);

  // Returns the routers from the parent of this one up to the first; empty for the first itself.
  std::vector<std::string> ancestors() const;
  std::vector<std::string> children() const;

  // Returns the position of this router, 0 for the first.
  std::size_t position() const { return position_; }
  std::size_t size() const { return names_.size(); }

  // Returns the number of hops between this router and the service, 1 for the first.
  int depth() const { return static_cast<int>(ancestors().size()) + 1; }

 private:
  std::vector<std::string> names_;  // by position
  std::size_t degree_;
  std::size_t position_ = 0;
};

}  // namespace trailcourse::startup
