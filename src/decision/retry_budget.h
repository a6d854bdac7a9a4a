// The retry budget limits further attempts to a share of the requests, so that a general failure does not
// multiply the load.
#pragma once

#include "decision_context.h"
#include "running_statistics.h"

namespace trailcourse {

class RetryBudget {
 public:
  // The context has to outlive this object.
  explicit RetryBudget(const DecisionContext& context) : context_(context) {}

  // Adds the tokens of a request, which permit a fraction of a further attempt.
  void on_request() { tokens_.add(kAttemptsPerRequest); }

  // Charges a further attempt to the budget and returns true, or returns false if none is left.
  bool try_consume() { return tokens_.try_consume(); }

  // Returns whether the request may have another attempt before its deadline and has not reached the
  // maximum number of attempts.
  bool attempts_left(const Request& request) const;

 private:
  static constexpr double kAttemptsPerRequest = 0.25;
  static constexpr double kBurst = 30.0;  // attempts

  const DecisionContext& context_;
  TokenBucket tokens_{kBurst};
};

}  // namespace trailcourse
