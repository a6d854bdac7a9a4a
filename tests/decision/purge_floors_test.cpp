// Purge floors: the maximum age of a copy that may answer after a purge.
#include <gtest/gtest.h>

#include "decision/decision_fixture.h"

namespace trailcourse::decision_testing {
namespace {

TEST(PurgeFloors, ExcludeCopiesOlderThanThePurge) {
  TestRouter router;
  router.receive_list(default_endpoints());
  EXPECT_EQ(router.serve(1, kVideo, 7).max_age, Micros(0));
  router.handle(Purged{false, 7, 3, milliseconds(200)});
  router.now += seconds(1);
  const Micros age = router.serve(2, kVideo, 7).max_age;
  EXPECT_GT(age, Micros(0));
  EXPECT_LE(age, Micros(milliseconds(1200)));
  EXPECT_EQ(router.serve(3, kVideo, 8).max_age, Micros(0));
  router.now += seconds(8);
  const Micros later = router.serve(4, kVideo, 7).max_age;
  EXPECT_GT(later, Micros(0));
  EXPECT_LE(later, Micros(milliseconds(9200)));
}

// Guards against purged copies of a cache that is cut off from the discovery service: it has not dropped them
// when connected caches have.
TEST(PurgeFloors, ApplyAfterConnectedCachesHaveDroppedTheirCopies) {
  TestRouter router;
  router.receive_list(default_endpoints());
  router.handle(Purged{false, 7, 3, Micros(0)});
  router.handle(Purged{true, 0, 1, seconds(60)});
  router.now += std::chrono::hours(1);
  EXPECT_EQ(router.serve(1, kVideo, 7).max_age, std::chrono::hours(1) - Micros(1));
  EXPECT_EQ(router.serve(2, kVideo, 9).max_age, std::chrono::hours(1) + seconds(60) - Micros(1));
  EXPECT_EQ(router.serve(3, kVideo, 8).max_age, Micros(0));
}

// A purge that may have been missed limits ages for as long as a reported one is in progress, not longer.
TEST(PurgeFloors, ForPossiblePurgesApplyOnlyWhileCachesDropTheirCopies) {
  TestRouter router;
  router.receive_list(default_endpoints());
  router.handle(Purged{true, 0, 3, Micros(0), false});
  router.now += milliseconds(6900);
  EXPECT_EQ(router.serve(1, kVideo, 7).max_age, milliseconds(6900) - Micros(1));
  router.now += milliseconds(200);
  EXPECT_EQ(router.serve(2, kVideo, 7).max_age, Micros(0));
}

// Guards against all purges of a release being forgotten at once, since they have the same time.
TEST(PurgeFloors, ForgetNoMoreThanHalfOfManyPurgesAtOneTime) {
  TestRouter router;
  router.receive_list(default_endpoints());
  constexpr ObjectId kFirst = 1000;
  for (ObjectId object = kFirst; object <= kFirst + 20'000; ++object) {
    router.handle(Purged{false, object, 1, std::chrono::hours(1)});
  }
  int limited = 0;
  constexpr int kSamples = 200;
  for (int sample = 0; sample < kSamples; ++sample) {
    router.now += milliseconds(20);
    const ObjectId object = kFirst + static_cast<ObjectId>(sample) * 100;
    limited += router.serve(static_cast<RequestId>(sample) + 1, kVideo, object).max_age > Micros(0) ? 1 : 0;
  }
  EXPECT_GT(limited, kSamples / 4);
}

TEST(PurgeFloors, ForgetTheEarliestPurgesFirst) {
  TestRouter router;
  router.receive_list(default_endpoints());
  constexpr ObjectId kFirst = 1000;
  constexpr ObjectId kLast = 51'000;
  for (ObjectId object = kFirst; object <= kLast; ++object) {
    router.handle(Purged{false, object, 1, Micros(0)});
    router.now += milliseconds(1);  // few are in progress at once
  }
  EXPECT_EQ(router.serve(1, kVideo, kFirst).max_age, Micros(0));
  EXPECT_GT(router.serve(2, kVideo, kLast - 10'000).max_age, Micros(0));
  EXPECT_GT(router.serve(3, kVideo, kLast).max_age, Micros(0));
}

TEST(PurgeFloors, ForAGroupApplyOnlyToItsObjects) {
  TestRouter router;
  router.receive_list(default_endpoints());
  router.handle(Purged{true, 0, 3, Micros(0)});
  const Micros age = router.serve(1, kImage, 7).max_age;
  EXPECT_GT(age, Micros(0));
  EXPECT_LT(age, Micros(milliseconds(1)));
  EXPECT_EQ(router.serve(2, kImage, 8).max_age, Micros(seconds(20)));
}

TEST(PurgeFloors, StillApplyWhenPurgesExceedTheTableCapacity) {
  TestRouter router;
  router.receive_list(default_endpoints());
  router.handle(Purged{false, 7, 3, Micros(0)});
  for (ObjectId object = 1000; object < 51'000; ++object) {
    router.handle(Purged{false, object, 1, Micros(0)});
  }
  router.now += seconds(2);
  const Micros age = router.serve(1, kVideo, 7).max_age;
  EXPECT_GT(age, Micros(0));
  EXPECT_LE(age, Micros(seconds(2)));
}

TEST(PurgeFloors, AreNotReplacedByAnOlderPurgeThatIsReportedLater) {
  TestRouter router;
  router.receive_list(default_endpoints());
  router.handle(Purged{false, 7, 3, Micros(0)});
  router.handle(Purged{false, 7, 3, seconds(3)});
  router.now += seconds(5);
  const Micros age = router.serve(1, kVideo, 7).max_age;
  EXPECT_GT(age, Micros(0));
  EXPECT_LE(age, Micros(seconds(5)));
}

}  // namespace
}  // namespace trailcourse::decision_testing
