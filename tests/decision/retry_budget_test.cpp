// The retry budget and the overdue timers of attempts.
#include <gtest/gtest.h>

#include <cstddef>

#include "decision/decision_fixture.h"

namespace trailcourse::decision_testing {
namespace {

TEST(RetryBudget, LimitsFurtherAttemptsWhenAllAttemptsFail) {
  TestRouter router;
  router.receive_list(default_endpoints());
  std::size_t attempts = 0;
  for (RequestId id = 1; id <= 1000; ++id) {
    router.request(id, kVideo, id);
    for (std::size_t i = 0; i < router.sends[id].size(); ++i) {
      router.end_attempt(id, static_cast<int>(i), Status::kError);
    }
    attempts += router.sends[id].size();
    router.now += milliseconds(20);
  }
  EXPECT_LE(attempts, 1000U + 250U + 30U);
}

TEST(RequestTimers, AnOverdueTimerAffectsOnlyItsOwnAttempt) {
  TestRouter router;
  router.receive_list(default_endpoints());
  const auto timers = actions_of<SetTimer>(router.request(1));
  router.now += milliseconds(400);
  router.end_attempt(1, 0, Status::kError);
  ASSERT_EQ(router.sends[1].size(), 2U);
  router.now += milliseconds(200);  // the first attempt would be overdue now, the second not yet
  EXPECT_TRUE(router.handle(TimerFired{timers.back().token}).empty());
}

}  // namespace
}  // namespace trailcourse::decision_testing
