// What the idempotency of a request class allows after the attempts made so far: no effect may happen twice.
#pragma once

#include "decision_context.h"

namespace trailcourse {

class IdempotencyRules {
 public:
  // The context has to outlive this object.
  explicit IdempotencyRules(const DecisionContext& context) : context_(context) {}

  // Returns whether the request may be rejected, which promises the client that a retry does no harm.
  bool may_reject(const Request& request) const;

  // Returns whether an attempt may be sent to the node beside or after the others. `own` is the attempt in
  // question if the request lists it already.
  bool may_send(const Request& request, const Node& node, const Attempt* own = nullptr) const;

  // Returns whether a failed request may be attempted again at all.
  bool may_retry(const Request& request) const;

 private:
  bool in_retry_scope(const ClassSettings& rules, const Node& node, const Attempt& earlier) const;

  const DecisionContext& context_;
};

}  // namespace trailcourse
