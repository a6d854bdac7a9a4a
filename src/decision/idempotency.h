// Determines which attempts and answers the idempotency of a request class allows after the earlier attempts,
// so that no effect happens twice.
#pragma once

#include "decision_context.h"

namespace trailcourse {

class IdempotencyRules {
 public:
  // The context has to outlive this object.
  explicit IdempotencyRules(const DecisionContext& context) : context_(context) {}

  // Returns whether the request may be rejected, which guarantees that the client may retry safely.
  bool may_reject(const Request& request) const;

  // Returns whether an attempt may be sent to the node, given the other attempts of the request. `own` is the
  // attempt itself if it is already among those of the request.
  bool may_send(const Request& request, const Node& node, const Attempt* own = nullptr) const;

  // Returns whether another attempt may follow a failed one, at any node.
  bool may_retry(const Request& request) const;

 private:
  bool in_retry_scope(const ClassSettings& rules, const Node& node, const Attempt& earlier) const;

  const DecisionContext& context_;
};

}  // namespace trailcourse
