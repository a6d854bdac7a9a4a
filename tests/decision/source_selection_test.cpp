// Source selection: quotas of parents and the origin.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "decision/decision_fixture.h"

namespace trailcourse::decision_testing {
namespace {

// Makes requests for many objects, with late fills from the source `slow`. Returns how many of the last
// hundred requests still have that source.
int attempts_with_slow_source(const std::string& slow, Note note) {
  TestRouter router;
  router.receive_list(default_endpoints());
  int attempts = 0;
  for (RequestId id = 1; id <= 300; ++id) {
    router.request(id, kVideo, id, 50.0);
    const Micros began = router.now;
    const bool from_slow = !router.sends[id].empty() && router.sends[id][0].source == slow;
    attempts += from_slow && id > 200 ? 1 : 0;
    router.now = began + (from_slow ? milliseconds(1500) : milliseconds(60));
    router.end_attempt(id, 0, Status::kOk, note);
  }
  return attempts;
}

TEST(SourceSelection, AvoidsAParentWhoseFillsFromItsCacheAreLate) {
  EXPECT_LT(attempts_with_slow_source("p1", Note::kFilled), 25);
}

TEST(SourceSelection, DoesNotAvoidAParentIfTheOriginIsSlow) {
  EXPECT_GT(attempts_with_slow_source("p1", Note::kFilledFromOrigin), 35);
}

// Ends a third of the fills through parents late. A short `first_byte_time` simulates a slow transfer, a
// long one a slow origin. Returns how many of the last hundred requests have the origin as their source.
int attempts_with_origin(Micros first_byte_time) {
  TestRouter router;
  router.receive_list(default_endpoints());
  int attempts = 0;
  for (RequestId id = 1; id <= 400; ++id) {
    router.request(id, kVideo, id, 100.0);
    const std::vector<SendAttempt>& sends = router.sends[id];
    const bool by_origin = !sends.empty() && sends[0].source == "o";
    attempts += by_origin && id > 300 ? 1 : 0;
    const bool slow = !by_origin && id % 3 == 0;  // only a third, so that the fill window does not shrink
    router.now += slow ? seconds(1) : milliseconds(50);
    if (!sends.empty()) {
      AttemptEnded ended;
      ended.id = id;
      ended.attempt = static_cast<int>(sends.size()) - 1;
      ended.finished = true;
      ended.note = Note::kFilledFromOrigin;
      ended.latency = slow ? Micros(seconds(1)) : Micros(milliseconds(50));
      ended.source_first_byte_time = slow ? first_byte_time : Micros(milliseconds(10));
      router.handle(ended);
    }
  }
  return attempts;
}

TEST(SourceSelection, SlowTransfersOfParentsMoveObjectsToTheOriginButASlowOriginDoesNot) {
  const int slow_transfers = attempts_with_origin(milliseconds(10));
  const int slow_origin = attempts_with_origin(milliseconds(950));
  EXPECT_GT(slow_transfers, 5);
  EXPECT_LT(slow_origin, slow_transfers / 2);
}

TEST(SourceSelection, UsesTheOriginIfNoParentIsHealthy) {
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

TEST(SourceSelection, RetriesWithAnotherSourceAtTheSameCacheAfterASourceWasUnreachable) {
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
