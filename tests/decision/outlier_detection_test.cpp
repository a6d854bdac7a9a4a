// Outlier detection: which failures eject a node.
#include <gtest/gtest.h>

#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "decision/decision_fixture.h"

namespace trailcourse::decision_testing {
namespace {

TEST(OutlierDetection, EjectsASilentCacheAndRetriesItsRequestElsewhere) {
  TestRouter router;
  router.receive_list(default_endpoints());
  const auto timers = actions_of<SetTimer>(router.request(1));
  const std::string silent = router.sends[1][0].cache;
  router.now += timers.back().delay;
  ASSERT_EQ(count<SendAttempt>(router.handle(TimerFired{timers.back().token})), 1);
  EXPECT_NE(router.sends[1][1].cache, silent);
  EXPECT_NE(router.serve(2).cache, silent);
  EXPECT_EQ(count<Cancel>(router.end_attempt(1, 1, Status::kOk)), 1);  // the first attempt is cancelled
  EXPECT_TRUE(router.end_attempt(1, 0, Status::kTimeout).empty());
}

TEST(OutlierDetection, EndsAnEjectionForSilenceWithTheNextAnswer) {
  TestRouter router;
  router.receive_list(default_endpoints());
  const auto timers = actions_of<SetTimer>(router.request(1));
  const std::string slow = router.sends[1][0].cache;
  router.now += timers.back().delay;
  router.handle(TimerFired{timers.back().token});
  router.end_attempt(1, 0, Status::kOk);
  EXPECT_EQ(router.serve(2).cache, slow);
}

TEST(OutlierDetection, PenalisesTheSourceOfAnOverdueFillIfTheCacheAnswersOtherRequests) {
  TestRouter router;
  router.receive_list(default_endpoints());
  ObjectId other = 8;
  const auto timers = actions_of<SetTimer>(router.request(1, kVideo, 7));
  router.now += milliseconds(100);
  for (RequestId id = 100; id < 140; ++id, ++other) {
    router.serve(id, kVideo, other);
  }
  router.now += timers.back().delay;
  ASSERT_EQ(count<SendAttempt>(router.handle(TimerFired{timers.back().token})), 1);
  EXPECT_EQ(router.sends[1][1].cache, router.sends[1][0].cache);
  EXPECT_NE(router.sends[1][1].source, router.sends[1][0].source);
}

TEST(OutlierDetection, CountsABrokenConnectionOnceAndRetriesTheSameCache) {
  TestRouter router;
  router.receive_list(default_endpoints());
  router.request(1, kVideo, 7);
  const std::string home = router.sends[1][0].cache;
  for (RequestId id = 2; id <= 6; ++id) {
    router.request(id, kVideo, 7);
  }
  for (RequestId id = 1; id <= 6; ++id) {
    router.end_attempt(id, 0, Status::kReset);
    ASSERT_EQ(router.sends[id].size(), 2U);
    EXPECT_EQ(router.sends[id][1].cache, home);
  }
}

TEST(OutlierDetection, EjectsACacheThatFailsOften) {
  TestRouter router;
  router.receive_list(default_endpoints());
  const std::string home = router.serve(1).cache;
  for (RequestId id = 10; id < 13; ++id) {
    router.request(id);
    router.end_attempt(id, 0, Status::kError);
    router.end_attempt(id, 1, Status::kOk);
    router.now += milliseconds(20);
  }
  EXPECT_NE(router.serve(20).cache, home);
}

// An answer is lost although its cache answers other requests: another cache gets an attempt before the
// deadline, and no node is penalised. If the cache is overloaded, the answer is only slow, and a second
// attempt would add to the overload.
TEST(OutlierDetection, RetriesALostAnswerElsewhereWithoutPenalty) {
  for (const double concurrent : {2.0, 200.0}) {
    TestRouter router;
    router.receive_list(default_endpoints());
    const std::string home = router.serve(1).cache;
    const auto actions = router.request(2);
    router.now += seconds(2);
    router.request(3);
    LoadReport load;
    load.concurrent = concurrent;
    // The cache and its source still answer other requests.
    router.end_attempt(3, 0, Status::kOk, Note::kFilled, load);
    for (const SetTimer& timer : actions_of<SetTimer>(actions)) {
      if (timer.delay < seconds(4)) {
        router.handle(TimerFired{timer.token});
      }
    }
    ASSERT_EQ(router.sends[2].size(), concurrent > 100.0 ? 1U : 2U);
    if (concurrent < 100.0) {
      EXPECT_NE(router.sends[2][1].cache, home);
      EXPECT_EQ(router.serve(4).cache, home) << "the lost answer does not exclude the cache";
    }
  }
}

// While the network resets connections, every cache has some resets. A few consecutive ones are no evidence
// of a failing cache.
TEST(OutlierDetection, ToleratesAFewConsecutiveResets) {
  TestRouter router;
  router.receive_list(default_endpoints());
  const std::string home = router.serve(1).cache;
  for (RequestId id = 10; id < 13; ++id) {
    router.request(id);
    router.end_attempt(id, 0, Status::kReset);
    router.handle(ClientLeft{id});
    router.now += milliseconds(20);
  }
  EXPECT_EQ(router.serve(20).cache, home);
}

TEST(OutlierDetection, EjectsACacheThatResetsEveryConnection) {
  TestRouter router;
  router.receive_list(default_endpoints());
  const std::string home = router.serve(1).cache;
  for (RequestId id = 10; id < 20; ++id) {
    router.request(id);
    router.end_attempt(id, 0, Status::kReset);
    router.handle(ClientLeft{id});
    router.now += milliseconds(20);
  }
  EXPECT_NE(router.serve(30).cache, home);
}

TEST(OutlierDetection, AGeneralFailureKeepsMostCachesInUse) {
  TestRouter router;
  router.receive_list(default_endpoints());
  for (RequestId id = 1; id <= 200; ++id) {
    router.request(id, kVideo, id);
    for (int attempt = 0; attempt < static_cast<int>(router.sends[id].size()); ++attempt) {
      router.end_attempt(id, attempt, Status::kError);
    }
    router.now += milliseconds(20);
  }
  std::set<std::string> caches;
  for (RequestId id = 1001; id <= 1100; ++id) {
    router.request(id, kVideo, id);
    if (!router.sends[id].empty()) {
      caches.insert(router.sends[id][0].cache);
    }
    router.end_attempt(id, 0, Status::kOk);
  }
  EXPECT_GE(caches.size(), 3U);
}

// Rejects fills from p1, and also from p2 if `both`, without a note. Returns how many attempts of the last
// hundred requests have the source p1.
int attempts_with_p1(bool both) {
  Settings settings = default_settings();
  settings.notes = NoteLevel::kHit;
  TestRouter router(settings);
  router.receive_list(default_endpoints());
  int attempts = 0;
  for (RequestId id = 1; id <= 600; ++id) {
    router.request(id, kVideo, id, 5.0);
    for (std::size_t i = 0; i < router.sends[id].size(); ++i) {
      const std::string source = router.sends[id][i].source;
      const bool rejected = source == "p1" || (both && source == "p2");
      router.end_attempt(id, static_cast<int>(i), rejected ? Status::kFull : Status::kOk, Note::kNone);
      attempts += source == "p1" && id > 500 ? 1 : 0;
    }
    router.now += milliseconds(20);
  }
  return attempts;
}

TEST(OutlierDetection, EjectsARejectingParentOnlyIfOtherParentsDoNotReject) {
  EXPECT_LT(attempts_with_p1(false), 20);
  EXPECT_GT(attempts_with_p1(true), 20);
}

}  // namespace
}  // namespace trailcourse::decision_testing
