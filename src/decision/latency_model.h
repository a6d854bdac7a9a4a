// Predicts the latency of an attempt, and compares the latency of a request with its objective.
#pragma once

#include <algorithm>

#include "decision_context.h"
#include "load_estimate.h"
#include "time_units.h"

namespace trailcourse {

class LatencyModel {
 public:
  static constexpr double kOverhead = 0.04;  // seconds that an answer takes in addition to its sending time

  // The arguments have to outlive this object.
  LatencyModel(const DecisionContext& context, const LoadEstimate& loads)
      : context_(context), loads_(loads) {}

  // Returns the expected latency of an attempt at the node in seconds.
  double expected(const Request& request, const Node& node) const {
    return kOverhead + request.work * std::max(1.0, loads_.load(node));
  }

  // Returns the latency objective of the request in seconds.
  double objective(const Request& request) const {
    const ClassSettings& rules = context_.class_of(request);
    return to_seconds(rules.latency_objective) + rules.latency_objective_stretch * request.work;
  }

  // Returns the seconds since the request arrived.
  double elapsed(const Request& request) const { return to_seconds(context_.now - request.arrived_at); }

  // Returns whether an answer given now meets the objective.
  bool on_time(const Request& request) const { return elapsed(request) <= objective(request); }

 private:
  const DecisionContext& context_;
  const LoadEstimate& loads_;
};

}  // namespace trailcourse
