// The list and the purges as the decision module is to see them while this router starts, comes back to its
// board or is in doubt: what endpoint_admission.h holds back is told as draining, what readiness.h does not allow is not
// listed at all, and age limits that doubt demands are told as purges. The module chooses among what it is
// told, as ever.
//
// Without the section `startup` no gate stands between board and module: its events are those of a plain
// router.
//
// Package `startup`.
#pragma once

#include <trailcourse/decider.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "startup/endpoint_admission.h"
#include "startup/readiness.h"

namespace trailcourse::startup {

class Gate {
 public:
  Gate(const OpeningRules& opening, const ReadinessRules& readiness, std::uint64_t seed)
      : opening_(opening, seed), readiness_(readiness) {}

  void fleet_size(int routers) { opening_.fleet_size(routers); }

  void starts_with(Micros now, Micros known_at, bool surely_started);
  void confirmed(Micros now, Micros known_at);
  // The board began anew: its list comes whole, and until then nothing is known.
  void anew(Micros now);
  // A list or changes of it, as the board tells them.
  void list(Micros now, const ListReceived& list);

  // What the module is to be told before anything else that happens at `now`, in order.
  void due(Micros now, std::vector<Event>& out);
  // When something becomes due by time alone.
  std::optional<Micros> next_due(Micros now) const;

  Allowance allowance(Micros now) const { return readiness_.allowance(now); }
  // Whether requests can be served: a cache, parent or origin of the list is open and may be used.
  bool ready(Micros now) const;
  State state(Micros now) const { return readiness_.state(now); }
  std::size_t held_back() const { return opening_.waiting(); }
  int connections() const { return opening_.connections(); }

 private:
  NodeEntry shown(const NodeEntry& entry, const Allowance& allowed) const;
  void tell_list(const Allowance& allowed, std::vector<Event>& out);
  void tell_floor(Micros now, const Allowance& allowed, std::vector<Event>& out);

  Opening opening_;
  Readiness readiness_;
  std::map<std::string, NodeEntry> known_;  // as the board tells
  std::map<std::string, NodeEntry> told_;   // as the module was told
  std::optional<Allowance> acted_on_;
  Micros cold_since_{0};  // of nodes whose start is not known
  Micros floor_at_{-1};
  bool changed_ = false;
  bool listed_ = false;
};

}  // namespace trailcourse::startup
