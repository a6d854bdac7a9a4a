// The attempts and answers that the idempotency of a request class allows after earlier attempts.
#include <gtest/gtest.h>

#include <cstddef>

#include "decision/decision_fixture.h"

namespace trailcourse::decision_testing {
namespace {

TEST(Idempotency, AnUnsafeRequestIsRetriedOrRejectedOnlyIfProvedNotExecuted) {
  for (const Status status : {Status::kError, Status::kTimeout, Status::kReset, Status::kCancelled}) {
    TestRouter router;
    router.receive_list(default_endpoints());
    router.request(1, kWrite);
    const auto after = router.end_attempt(1, 0, status);
    EXPECT_EQ(count<SendAttempt>(after), 0);
    EXPECT_EQ(count<Reject>(after), 0);
    EXPECT_EQ(count<Fail>(after), 1);
  }
  for (const Status status : {Status::kFull, Status::kConnectFailed, Status::kNotCached}) {
    TestRouter router;
    router.receive_list(default_endpoints());
    router.request(1, kWrite);
    EXPECT_EQ(count<SendAttempt>(router.end_attempt(1, 0, status)), 1);
  }
}

TEST(Idempotency, AnOverdueUnsafeRequestIsNeitherRetriedNorRejected) {
  TestRouter router;
  router.receive_list(default_endpoints());
  const auto timers = actions_of<SetTimer>(router.request(1, kWrite));
  router.now += seconds(4);
  for (const SetTimer& timer : timers) {
    const auto after = router.handle(TimerFired{timer.token});
    EXPECT_EQ(count<SendAttempt>(after), 0);
    EXPECT_EQ(count<Reject>(after), 0);
  }
}

TEST(Idempotency, AKeyedRequestIsRetriedOnlyWithinItsIdempotencyWindow) {
  TestRouter early;
  early.receive_list(default_endpoints());
  early.request(1, kKeyed);
  early.now += seconds(1);
  EXPECT_EQ(count<SendAttempt>(early.end_attempt(1, 0, Status::kReset)), 1);
  TestRouter late;
  late.receive_list(default_endpoints());
  late.request(1, kKeyed);
  late.now += seconds(3);
  const auto after = late.end_attempt(1, 0, Status::kReset);
  EXPECT_EQ(count<SendAttempt>(after), 0);
  EXPECT_EQ(final_answers(after), 1);
}

TEST(Idempotency, AKeyedRequestIsRetriedOnlyWithinItsRetryScope) {
  Settings settings = default_settings();
  settings.classes[kKeyed].retry_scope = RetryScope::kCell;
  TestRouter router(settings);
  auto list = default_endpoints();
  for (std::size_t i = 0; i < list.size(); ++i) {
    list[i].cell = static_cast<int>(i);
  }
  router.receive_list(list);
  router.request(1, kKeyed);
  const auto after = router.end_attempt(1, 0, Status::kError);
  EXPECT_EQ(count<SendAttempt>(after), 0);
  EXPECT_EQ(count<Reject>(after), 0);
  EXPECT_EQ(count<Fail>(after), 1);
}

TEST(Idempotency, AttemptsDoNotOverlapIfTheSettingsForbidIt) {
  Settings settings = default_settings();
  settings.parallel_attempts = false;
  TestRouter router(settings);
  router.receive_list(default_endpoints());
  const auto timers = actions_of<SetTimer>(router.request(1));
  router.now += seconds(3);
  const auto overdue = router.handle(TimerFired{timers.back().token});
  EXPECT_EQ(count<SendAttempt>(overdue), 0);
  EXPECT_EQ(count<Cancel>(overdue), 1);
  EXPECT_EQ(count<SendAttempt>(router.end_attempt(1, 0, Status::kCancelled)), 1);
}

}  // namespace
}  // namespace trailcourse::decision_testing
