// Slow-start budgets: this router's part of the load that all routers together may put on a node that started
// lately.
//
// The time slots of all routers at one node lie evenly over time, by the routers' indices and the start of
// the node, which all routers have in common, so that their sum is even in every window. A slot admits what
// one request may need, and comes as often as that fits the router's part of the budget.
#pragma once

#include <algorithm>
#include <cstdint>

#include "decision_context.h"
#include "sending_times.h"
#include "time_units.h"

namespace trailcourse {

class SlowStart {
 public:
  // The context and the sending times have to outlive this object. `seed` sets the phase of the slots where
  // the settings give no index of this router.
  SlowStart(const DecisionContext& context, const SendingTimes& sending_times, std::uint64_t seed);

  // Returns the share of its full capacity that a node has reached by now, from above 0 to 1.
  double capacity_share(const Node& node) const {
    return node.endpoint.started.count() <= 0 ? 1.0 : rising_share(node);
  }

  // Returns whether a budget binds at the node. None does where the settings give no factor or no span.
  bool limits(const Node& node) const {
    return capacity_share(node) < 1.0 && overload_factor(node) > 0.0 &&
           context_.settings.overload_span > Micros(0);
  }

  // Returns whether `cost` seconds of sending fit this router's slot at the node; begins a new slot once its
  // time has come.
  bool admits(Node& node, double cost) const { return !limits(node) || fits_slot(node, cost); }

  // Takes `cost` from the slot and returns what was taken: nothing at a node without a budget.
  double charge(Node& node, double cost) const;

  // Returns `cost` to the slot if it is still the one that `attempt` was charged to.
  static void refund(Node& node, const Attempt& attempt, double cost);

  // Returns whether an attempt charged before may still begin: the node has no budget now, or the slot that
  // paid for the attempt is open.
  bool may_begin(const Node& node, const Attempt& attempt) const;

  // Returns the state of a node that has just started: a slot that began before is void, since the last
  // process of this router may have used it.
  SlowStartSlot initial_slot() const { return {.next_begin = context_.now}; }

  // Returns what a request may cost a node, in seconds of sending.
  double cost(const Request& request) const { return sending_times_.upper_mean(request); }

 private:
  double overload_factor(const Node& node) const {
    const Settings& settings = context_.settings;
    return node.endpoint.role == Role::kParent ? settings.parent_overload_factor : settings.overload_factor;
  }
  double rising_share(const Node& node) const;
  double age(const Node& node) const;
  bool slot_open(const Node& node) const;
  bool fits_slot(Node& node, double cost) const;
  double slot_period(double rate) const;

  const DecisionContext& context_;
  const SendingTimes& sending_times_;
  double phase_;  // of a period
};

}  // namespace trailcourse
