// The retry budget: further attempts are a bounded share of the requests, so that a general failure does not
// multiply the load.
#pragma once

#include "decision_context.h"
#include "running_statistics.h"

namespace trailcourse {

class RetryBudget {
 public:
  // The context has to outlive this object.
  explicit RetryBudget(const DecisionContext& context) : context_(context) {}

  // Earns the share of a further attempt that each request allows.
  void on_request() { tokens_.add(kAttemptsPerRequest); }

  // Takes a further attempt from the budget and returns true, or returns false if none is left.
  bool take() { return tokens_.take(); }

  // Returns whether the request has attempts and time left.
  bool attempts_left(const Request& request) const;

 private:
  static constexpr double kAttemptsPerRequest = 0.25;
  static constexpr double kBurst = 30.0;

  const DecisionContext& context_;
  TokenBucket tokens_{kBurst};
};

}  // namespace trailcourse
