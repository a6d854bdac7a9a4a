// Estimates the load of nodes and of the zone's link from this router's own attempts and from load reports.
#pragma once

#include "decision_context.h"
#include "slow_start.h"

namespace trailcourse {

class LoadEstimate {
 public:
  // The arguments have to outlive this object.
  LoadEstimate(const DecisionContext& context, const SlowStart& slow_start)
      : context_(context), slow_start_(slow_start) {}

  // Returns the number of transfers at a node, divided by the number that it can send at full rate now.
  double load(const Node& node) const {
    return (node.in_flight + node.foreign_load) / (node.transfer_capacity * slow_start_.capacity_share(node));
  }

  // Returns whether the load of a node is so high that another one should be considered.
  bool overloaded(const Node& node) const { return load(node) >= kOverloadedLoad; }

  // Returns whether the zone's link is too busy for fills that accept only cached copies.
  bool link_busy() const { return link_use_ >= kBusyLink; }

  // Updates the estimates from the load report in an answer of the node. The report may be empty; implausible
  // values are clamped or ignored.
  void observe(Node& node, const LoadReport& report);

 private:
  static constexpr double kOverloadedLoad = 2.0;  // in the unit of load()
  static constexpr double kBusyLink = 0.7;        // share of its capacity

  double reported_requests(const Node& node, const LoadReport& report) const;
  void observe_link(const LoadReport& report);

  const DecisionContext& context_;
  const SlowStart& slow_start_;
  double link_use_ = 0.0;  // smoothed share of the zone's link in use
};

}  // namespace trailcourse
