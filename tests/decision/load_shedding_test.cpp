// Load shedding by predicted latency and object size.
#include <gtest/gtest.h>

#include "decision/decision_fixture.h"

namespace trailcourse::decision_testing {
namespace {

// Sends `count` requests to a single cache with a capacity of four transfers.
void add_load(TestRouter& router, RequestId count, double size_kb) {
  router.receive_list(
      {endpoint("c1", Role::kCache, 4.0), endpoint("p1", Role::kParent), endpoint("o", Role::kOrigin)});
  for (RequestId id = 1; id <= count; ++id) {
    router.request(id, kVideo, id, size_kb);
  }
}

TEST(LoadShedding, RejectsLargeObjectsFirst) {
  TestRouter router;
  add_load(router, 8, 300.0);
  EXPECT_EQ(count<Reject>(router.request(100, kVideo, 100, 3000.0)), 1);
  EXPECT_EQ(count<SendAttempt>(router.request(101, kVideo, 101, 20.0)), 1);
}

TEST(LoadShedding, RejectsObjectsAboveTheMeanSizeAtASmallerPartOfTheirObjective) {
  TestRouter router;
  add_load(router, 6, 200.0);
  // At 1.5 times its capacity the cache would send 1.5 s of work in 2.3 s, which is less than 0.9 times 3 s.
  EXPECT_EQ(count<Reject>(router.request(100, kVideo, 100, 1500.0)), 1);
  EXPECT_EQ(count<SendAttempt>(router.request(101, kVideo, 101, 200.0)), 1);
}

TEST(LoadShedding, GivesARetryTimeOnlyIfClientsFollowIt) {
  TestRouter with_retry_after;
  const auto rejections = actions_of<Reject>(with_retry_after.request(1));
  ASSERT_EQ(rejections.size(), 1U);
  EXPECT_GT(rejections[0].retry_after, Micros(0));
  EXPECT_LE(rejections[0].retry_after, Micros(seconds(1)));
  Settings settings = default_settings();
  settings.max_retry_after = Micros(0);
  TestRouter without_retry_after(settings);
  EXPECT_EQ(actions_of<Reject>(without_retry_after.request(1)).at(0).retry_after, Micros(0));
}

// The shares of the large requests and of all requests that are answered.
struct AnsweredShares {
  double large = 0.0;
  double all = 0.0;
};

// Runs a load in which nine of ten requests are small and the cache is so busy that a large answer would miss
// its objective.
AnsweredShares answered_shares(double large_kb) {
  TestRouter router;
  router.receive_list({endpoint("c1", Role::kCache, 4.0), endpoint("o", Role::kOrigin)});
  LoadReport busy;
  busy.concurrent = 16.0;
  AnsweredShares shares;
  for (RequestId id = 1; id <= 2'000; ++id) {
    const bool large = id % 10 == 0;
    router.request(id, kVideo, id % 5, large ? large_kb : 50.0);
    if (!router.sends[id].empty()) {
      router.end_attempt(id, 0, Status::kOk, Note::kHit, busy);
      shares.all += 1.0 / 2'000;
      shares.large += large ? 1.0 / 200 : 0.0;
    }
    router.now += milliseconds(20);
  }
  return shares;
}

TEST(LoadShedding, RejectsNoSizeFarMoreOftenThanItsClass) {
  for (const double size : {100.0, 200.0, 300.0, 600.0, 1'200.0}) {
    const AnsweredShares shares = answered_shares(size);
    EXPECT_GT(shares.all, 0.8) << size;
    EXPECT_GE(shares.large, 0.5 * shares.all) << size;
  }
}

}  // namespace
}  // namespace trailcourse::decision_testing
