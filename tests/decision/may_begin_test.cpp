// The check just before the first byte of an attempt.
#include <gtest/gtest.h>

#include <string>

#include "decision/decision_fixture.h"

namespace trailcourse::decision_testing {
namespace {

TEST(MayBegin, PermitsTheAttemptWhileNothingHasChanged) {
  TestRouter router;
  router.receive_list(default_endpoints());
  router.request(1);
  EXPECT_TRUE(router.may_begin(1));
  router.now += milliseconds(400);
  EXPECT_TRUE(router.may_begin(1));
}

TEST(MayBegin, RevokesTheAttemptAfterTheClientLeftOrTheDeadlinePassed) {
  for (const bool may_cancel : {true, false}) {
    Settings settings = default_settings();
    settings.may_cancel = may_cancel;
    TestRouter router(settings);
    router.receive_list(default_endpoints());
    router.request(1);
    router.handle(ClientLeft{1});
    EXPECT_FALSE(router.may_begin(1));
    router.request(2);
    router.now += milliseconds(4'990);
    EXPECT_TRUE(router.may_begin(2));
    router.now += milliseconds(8);
    EXPECT_FALSE(router.may_begin(2));
  }
}

TEST(MayBegin, RevokesTheAttemptIfItsTargetOrSourceIsDrainingGoneOrRestarted) {
  for (const bool source : {false, true}) {
    for (const NodeState state : {NodeState::kDraining, NodeState::kGone, NodeState::kReady}) {
      TestRouter router;
      router.receive_list(default_endpoints());
      router.request(1);
      const SendAttempt& send = router.sends[1].at(0);
      ASSERT_NE(send.cache, send.source);
      Endpoint entry = endpoint(source ? send.source : send.cache, source ? Role::kParent : Role::kCache);
      entry.state = state;
      router.now += milliseconds(1);
      entry.started = state == NodeState::kReady ? router.now : Micros(0);
      router.receive_list({entry}, ListKind::kChanges);
      EXPECT_FALSE(router.may_begin(1)) << source << ' ' << static_cast<int>(state);
    }
  }
}

TEST(MayBegin, RevokesTheAttemptIfItsMaxAgePermitsAPurgedCopy) {
  TestRouter router;
  router.receive_list(default_endpoints());
  router.request(1, kVideo, 7);
  router.now += milliseconds(10);
  router.handle(Purged{false, 8, 0, Micros(0)});
  EXPECT_TRUE(router.may_begin(1)) << "the purge concerns another object";
  router.handle(Purged{false, 7, 3, Micros(0)});
  EXPECT_FALSE(router.may_begin(1));
  router.now += milliseconds(10);
  router.request(2, kVideo, 7);
  EXPECT_TRUE(router.may_begin(2)) << "its maximum age already excludes purged copies";
  router.now += milliseconds(10);
  EXPECT_TRUE(router.may_begin(2));
}

TEST(MayBegin, RevokesTheAttemptNearTheEndOfTheIdempotencyWindow) {
  Settings settings = default_settings();
  settings.direct = true;
  settings.classes[kKeyed].idempotency_window = milliseconds(600);
  TestRouter router(settings);
  router.receive_list(default_endpoints());
  router.request(1, kKeyed);
  router.now += milliseconds(100);
  router.end_attempt(1, 0, Status::kReset);
  ASSERT_EQ(router.sends[1].size(), 2U);
  EXPECT_TRUE(router.may_begin(1, 1));
  router.now += milliseconds(300);
  EXPECT_TRUE(router.may_begin(1, 1));
  router.now += milliseconds(110);
  EXPECT_FALSE(router.may_begin(1, 1)) << "it would arrive more than 600 ms after the first send";
}

TEST(MayBegin, RevokesTheAttemptAfterItsSlowStartSlotClosed) {
  TestRouter router;
  auto list = default_endpoints();
  list[0].started = router.now;
  router.receive_list(list);
  RequestId id = 0;
  do {
    router.now += milliseconds(5);
    ++id;
    router.request(id, kVideo, id);
  } while (router.sends[id].at(0).cache != "c1" && id < 2'000);
  ASSERT_EQ(router.sends[id][0].cache, "c1");
  EXPECT_TRUE(router.may_begin(id));
  router.now += seconds(3);
  EXPECT_FALSE(router.may_begin(id)) << "the attempt waited longer than a slot is open";
}

TEST(MayBegin, ARevokedAttemptIsReplacedAtTheSameCache) {
  TestRouter router;
  router.receive_list(default_endpoints());
  router.request(1, kVideo, 7);
  const std::string first = router.sends[1][0].cache;
  router.now += milliseconds(10);
  router.handle(Purged{false, 7, 3, Micros(0)});
  router.now += milliseconds(10);
  ASSERT_FALSE(router.may_begin(1));
  router.end_attempt(1, 0, Status::kNotSent);
  ASSERT_EQ(router.sends[1].size(), 2U);
  EXPECT_EQ(router.sends[1][1].cache, first) << "the cache is not avoided";
  EXPECT_GT(router.sends[1][1].max_age, Micros(0));
  EXPECT_TRUE(router.may_begin(1, 1));
}

}  // namespace
}  // namespace trailcourse::decision_testing
