// Source selection: quotas of parents and the origin.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "decision/decision_fixture.h"

namespace trailcourse::decision_testing {
namespace {

// Fills of many objects, of which those from `slow` come late; how many of the last hundred still name it.
int fills_named(const std::string& slow, Note note) {
  TestRouter router;
  router.receive_list(default_endpoints());
  int named = 0;
  for (RequestId id = 1; id <= 300; ++id) {
    router.request(id, kVideo, id, 50.0);
    const Micros began = router.now;
    const bool from_slow = !router.sends[id].empty() && router.sends[id][0].source == slow;
    named += from_slow && id > 200 ? 1 : 0;
    router.now = began + (from_slow ? milliseconds(1500) : milliseconds(60));
    router.end_attempt(id, 0, Status::kOk, note);
  }
  return named;
}

TEST(SourceSelection, AvoidsAParentThatIsLateWithCachedObjects) {
  EXPECT_LT(fills_named("p1", Note::kFilled), 25);
}

TEST(SourceSelection, DoesNotAvoidAParentForASlowOrigin) {
  EXPECT_GT(fills_named("p1", Note::kFilledFromOrigin), 35);
}

// All fills through parents end late: begun soon and then slow, or begun late. How many of the last 100
// requests name the origin.
int origin_named(Micros waited) {
  TestRouter router;
  router.receive_list(default_endpoints());
  int named = 0;
  for (RequestId id = 1; id <= 400; ++id) {
    router.request(id, kVideo, id, 100.0);
    const std::vector<SendAttempt>& sends = router.sends[id];
    const bool by_origin = !sends.empty() && sends[0].source == "o";
    named += by_origin && id > 300 ? 1 : 0;
    const bool slow = !by_origin && id % 3 == 0;  // a third of them, so that the window stays open
    router.now += slow ? seconds(1) : milliseconds(50);
    if (!sends.empty()) {
      AttemptEnded ended;
      ended.id = id;
      ended.attempt = static_cast<int>(sends.size()) - 1;
      ended.finished = true;
      ended.note = Note::kFilledFromOrigin;
      ended.latency = slow ? Micros(seconds(1)) : Micros(milliseconds(50));
      ended.source_first_byte_time = slow ? waited : Micros(milliseconds(10));
      router.handle(ended);
    }
  }
  return named;
}

TEST(SourceSelection, SlowTransfersOfParentsMoveObjectsToTheOriginButASlowOriginDoesNot) {
  const int trickling = origin_named(milliseconds(10));
  const int begun_late = origin_named(milliseconds(950));
  EXPECT_GT(trickling, 5);
  EXPECT_LT(begun_late, trickling / 2);
}

TEST(SourceSelection, UsesTheOriginWithoutAHealthyParent) {
  TestRouter router;
  router.receive_list(default_endpoints());
  for (RequestId id = 1; id <= 60; ++id) {
    router.request(id, kVideo, id, 50.0);
    const bool by_parent = !router.sends[id].empty() && router.sends[id][0].source != "o";
    router.now += by_parent ? milliseconds(1500) : milliseconds(60);
    router.end_attempt(id, 0, Status::kOk, Note::kFilled);
  }
  int by_origin = 0;
  for (RequestId id = 101; id <= 120; ++id) {
    router.request(id, kVideo, id, 50.0);
    by_origin += router.sends[id].at(0).source == "o" ? 1 : 0;
    router.end_attempt(id, 0, Status::kOk, Note::kFilled);
  }
  EXPECT_GT(by_origin, 0);
}

TEST(SourceSelection, ReplacesARejectingSourceAtTheSameCache) {
  TestRouter router;
  router.receive_list(default_endpoints());
  router.request(1);
  router.end_attempt(1, 0, Status::kFull, Note::kSourceUnreachable);
  ASSERT_EQ(router.sends[1].size(), 2U);
  EXPECT_EQ(router.sends[1][1].cache, router.sends[1][0].cache);
  EXPECT_NE(router.sends[1][1].source, router.sends[1][0].source);
}

}  // namespace
}  // namespace trailcourse::decision_testing
