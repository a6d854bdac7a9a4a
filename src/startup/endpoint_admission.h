// When this router begins to use a cache or parent that is new, back, or known from the start on, and how
// many connections it holds there: together with all other routers never more than that node can accept.
//
// A node that appears is held back for a time drawn evenly from a window of 2N/A, for N routers and A
// connections a second that it accepts from all of them: by the argument of poll_scheduler.h the sum over the fleet
// stays within A a second, whatever made them all begin. A node that flaps gets a window twice as long each
// time; what had been drawn before is not forgotten by its going, so that coming and going never makes an
// opening sooner. Draining and leaving are never held back.
//
// Package `startup`. The decision module chooses among the nodes that are open; nothing is chosen here.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "startup/options.h"

namespace trailcourse::startup {

class Opening {
 public:
  Opening(const OpeningRules& rules, std::uint64_t seed) : rules_(rules), random_(seed) {}

  void fleet_size(int routers) { routers_ = routers > 0 ? routers : 1; }

  // The node is listed as up, as the process that it is since `started` (any number that changes with it).
  // Whether it may be used now; else it may from when due() says.
  bool appears(Micros now, const std::string& node, std::int64_t started);
  // It drains, is gone or is not listed any more.
  void leaves(Micros now, const std::string& node);

  // The next moment at which a node opens; nothing where none waits.
  std::optional<Micros> due() const;
  // Those that have opened since, in the order of their moments.
  std::vector<std::string> opened(Micros now);
  bool open(const std::string& node) const;
  std::size_t waiting() const;

  // Connections of this router to one node: its share of what the node holds, one at least.
  int connections() const;
  Micros window(int flaps) const;

 private:
  struct Node {
    bool listed = false;
    bool open = false;
    std::int64_t started = 0;
    Micros due{0};
    Micros appeared{0};
    int flaps = 0;
  };

  void forget(Micros now);

  OpeningRules rules_;
  std::mt19937_64 random_;
  int routers_ = 1;
  std::map<std::string, Node> nodes_;
};

}  // namespace trailcourse::startup
