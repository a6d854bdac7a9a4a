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
  EXPECT_EQ(router.serve(4, kVideo, 7).max_age, Micros(0));
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
