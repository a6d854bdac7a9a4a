#include "idempotency.h"

#include <algorithm>

namespace trailcourse {
namespace {

// A keyed attempt has to arrive within the idempotency window, so it is sent at least this long before the
// window ends.
constexpr Micros kWindowMargin = std::chrono::milliseconds(100);

}  // namespace

bool IdempotencyRules::may_reject(const Request& request) const {
  const ClassSettings& rules = context_.class_of(request);
  const bool keyed_everywhere =
      rules.idempotency == Idempotency::kKeyed && rules.retry_scope == RetryScope::kAll;
  return rules.idempotency == Idempotency::kSafe || keyed_everywhere || request.all_proved_not_executed();
}

bool IdempotencyRules::may_send(const Request& request, const Node& node, const Attempt* own) const {
  const ClassSettings& rules = context_.class_of(request);
  return std::all_of(request.attempts.begin(), request.attempts.end(), [&](const Attempt& attempt) {
    if (&attempt == own || (attempt.done && attempt.proved_not_executed)) {
      return true;
    }
    const bool may_overlap = attempt.done || context_.settings.parallel_attempts;
    if (!may_overlap || rules.idempotency != Idempotency::kKeyed) {
      return may_overlap && rules.idempotency == Idempotency::kSafe;
    }
    return in_retry_scope(rules, node, attempt) &&
           context_.now + kWindowMargin < attempt.sent + rules.idempotency_window;
  });
}

bool IdempotencyRules::in_retry_scope(const ClassSettings& rules, const Node& node,
                                      const Attempt& earlier) const {
  const Endpoint& before = context_.nodes.at(earlier.node).endpoint;
  switch (rules.retry_scope) {
    case RetryScope::kAll:
      return true;
    case RetryScope::kZone:
      return before.zone == node.endpoint.zone;
    case RetryScope::kCell:
      return before.cell == node.endpoint.cell;
  }
  return false;
}

bool IdempotencyRules::may_retry(const Request& request) const {
  return context_.class_of(request).idempotency != Idempotency::kUnsafe || request.all_proved_not_executed();
}

}  // namespace trailcourse
