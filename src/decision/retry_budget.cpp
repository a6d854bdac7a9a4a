#include "retry_budget.h"

#include <algorithm>

#include "request_timers.h"

namespace trailcourse {
namespace {

constexpr int kMaxAttempts = 4;

}  // namespace

bool RetryBudget::attempts_left(const Request& request) const {
  const int limit = std::min(kMaxAttempts, context_.settings.max_attempts);
  return static_cast<int>(request.attempts.size()) < limit && !past_deadline(context_, request);
}

}  // namespace trailcourse
