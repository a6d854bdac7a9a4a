// The estimated load of nodes and of the zone's link, from this router's own attempts and from load reports.
#pragma once

#include "decision_context.h"
#include "slow_start.h"

namespace trailcourse {

class LoadEstimate {
 public:
  // The context and the slow start have to outlive this object.
  LoadEstimate(const DecisionContext& context, const SlowStart& slow_start)
      : context_(context), slow_start_(slow_start) {}

  // Returns the transfers at a node over those that it can send at full pace now.
  double load(const Node& node) const {
    return (node.in_flight + node.foreign_load) / (node.transfer_capacity * slow_start_.capacity_share(node));
  }

  // Returns whether a node is so loaded that another one should be considered.
  bool overloaded(const Node& node) const { return load(node) >= kOverloadedLoad; }

  // Returns whether the zone's link is too busy for fetches that only may hit.
  bool link_busy() const { return link_use_ >= kBusyLink; }

  // Takes in the load report that came with an answer of the node; it may be empty or implausible.
  void observe(Node& node, const LoadReport& report);

 private:
  static constexpr double kOverloadedLoad = 2.0;
  static constexpr double kBusyLink = 0.7;  // of its capacity

  double reported_requests(const Node& node, const LoadReport& report) const;
  void observe_link(const LoadReport& report);

  const DecisionContext& context_;
  const SlowStart& slow_start_;
  double link_use_ = 0.0;  // smoothed share of the zone's link in use
};

}  // namespace trailcourse
