// Who passes the board's pages on to whom, where routers talk to each other: a tree of bounded degree over
// the routers of a zone, the same in the eyes of each. Sorted by the hash of its name the router at place i
// asks the one at place (i-1)/degree; the first asks the board. A router only ever asks places before its
// own, so that no circle can form where all hold the same list of peers; where lists differ, pages bear the
// names that they went through, and ages that only grow (relay_selector.h).
//
// Package `startup`.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace trailcourse::startup {

class RelayTree {
 public:
  // `peers`: the names of this zone's routers, with or without `self`, in any order, doubles allowed.
  RelayTree(const std::string& self, std::vector<std::string> peers, int degree);

  // From the one that this router asks up to the first; empty for the first itself, which asks the board.
  std::vector<std::string> ancestors() const;
  std::vector<std::string> children() const;
  std::size_t place() const { return place_; }
  std::size_t size() const { return order_.size(); }
  // Steps between this router and the board, 1 for the first.
  int depth() const { return static_cast<int>(ancestors().size()) + 1; }

 private:
  std::vector<std::string> order_;
  std::size_t degree_;
  std::size_t place_ = 0;
};

}  // namespace trailcourse::startup
