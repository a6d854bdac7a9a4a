// Slow-start budgets: this router's part of the load that all routers together may put on a node that started
// recently.
//
// The time slots of all routers at a node are spaced evenly, so that their total load is even in every
// window. The spacing follows from the indices of the routers and the start time of the node, which all
// routers know. A slot admits at least the most expensive request, and recurs as often as the router's part
// of the budget allows.
#pragma once

#include <algorithm>
#include <cstdint>

#include "decision_context.h"
#include "sending_times.h"
#include "time_units.h"

namespace trailcourse {

class SlowStart {
 public:
  // The context and the sending times have to outlive this object. `seed` sets the phase of the slots if the
  // settings do not contain the index of this router.
  SlowStart(const DecisionContext& context, const SendingTimes& sending_times, std::uint64_t seed);

  // Returns the share of its full capacity that a node has reached by now, from above 0 to 1.
  double capacity_share(const Node& node) const {
    return node.endpoint.started.count() <= 0 ? 1.0 : rising_share(node);
  }

  // Returns whether a budget applies to the node: it is in slow start, and the overload factor and the
  // overload span are set.
  bool limits(const Node& node) const {
    return capacity_share(node) < 1.0 && overload_factor(node) > 0.0 &&
           context_.settings.overload_span > Micros(0);
  }

  // Returns whether `cost` seconds of sending fit this router's slot at the node. Begins a new slot when it
  // is due.
  bool admits(Node& node, double cost) const { return !limits(node) || fits_slot(node, cost); }

  // Charges `cost` to the slot and returns the amount charged, which is 0 if no budget applies to the node.
  double charge(Node& node, double cost) const;

  // Refunds `cost` to the slot if it is still the one to which `attempt` was charged.
  static void refund(Node& node, const Attempt& attempt, double cost);

  // Returns whether an attempt that was charged earlier may still begin: no budget applies to the node now,
  // or the slot to which the attempt was charged is still open.
  bool may_begin(const Node& node, const Attempt& attempt) const;

  // Returns the slot of a node that has just been added or restarted. No slot that began before now is used,
  // since an earlier process of this router may have used it.
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
  double phase_;  // offset of this router's slots, in periods
};

}  // namespace trailcourse
