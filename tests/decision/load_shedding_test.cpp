// Load shedding by predicted latency and size.
#include <gtest/gtest.h>

#include "decision/decision_fixture.h"

namespace trailcourse::decision_testing {
namespace {

// One cache of four transfers that holds `count` requests.
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

TEST(LoadShedding, RejectsObjectsAboveTheMeanSizeFromASmallerPartOfTheirObjective) {
  TestRouter router;
  add_load(router, 6, 200.0);
  // At one and a half times its capacity the cache would send 1.5 s of work in 2.3 s, within 0.9 of 3 s.
  EXPECT_EQ(count<Reject>(router.request(100, kVideo, 100, 1500.0)), 1);
  EXPECT_EQ(count<SendAttempt>(router.request(101, kVideo, 101, 200.0)), 1);
}

TEST(LoadShedding, NamesARetryTimeOnlyWhereClientsHeedIt) {
  TestRouter heeded;
  const auto rejections = actions_of<Reject>(heeded.request(1));
  ASSERT_EQ(rejections.size(), 1U);
  EXPECT_GT(rejections[0].retry_after, Micros(0));
  EXPECT_LE(rejections[0].retry_after, Micros(seconds(1)));
  Settings settings = default_settings();
  settings.max_retry_after = Micros(0);
  TestRouter unheeded(settings);
  EXPECT_EQ(actions_of<Reject>(unheeded.request(1)).at(0).retry_after, Micros(0));
}

// The parts answered of large requests and of all, where nine of ten are small and the caches are so busy
// that a large answer will miss its objective.
struct AnsweredParts {
  double large = 0.0;
  double all = 0.0;
};

AnsweredParts answered_parts(double large_kb) {
  TestRouter router;
  router.receive_list({endpoint("c1", Role::kCache, 4.0), endpoint("o", Role::kOrigin)});
  LoadReport busy;
  busy.concurrent = 16.0;
  AnsweredParts out;
  for (RequestId id = 1; id <= 2'000; ++id) {
    const bool large = id % 10 == 0;
    router.request(id, kVideo, id % 5, large ? large_kb : 50.0);
    if (!router.sends[id].empty()) {
      router.end_attempt(id, 0, Status::kOk, Note::kHit, busy);
      out.all += 1.0 / 2'000;
      out.large += large ? 1.0 / 200 : 0.0;
    }
    router.now += milliseconds(20);
  }
  return out;
}

TEST(LoadShedding, ShedsNoSizeFarMoreThanItsClass) {
  for (const double size : {100.0, 200.0, 300.0, 600.0, 1'200.0}) {
    const AnsweredParts parts = answered_parts(size);
    EXPECT_GT(parts.all, 0.8) << size;
    EXPECT_GE(parts.large, 0.5 * parts.all) << size;
  }
}

}  // namespace
}  // namespace trailcourse::decision_testing
