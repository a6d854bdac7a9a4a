// The fill window while fills fail or are late.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <vector>

#include "decision/decision_fixture.h"

namespace trailcourse::decision_testing {
namespace {

// Makes the requests `first` to `last`, each for a different object, and rejects all their attempts.
void reject_fills(TestRouter& router, RequestId first, RequestId last, double size_kb, Note note) {
  for (RequestId id = first; id <= last; ++id) {
    router.request(id, kVideo, id, size_kb);
    for (int i = 0; i < static_cast<int>(router.sends[id].size()); ++i) {
      router.end_attempt(id, i, Status::kFull, note);
    }
    router.now += milliseconds(50);
  }
}

// Returns whether the source may fill a miss with an object that it does not have cached.
bool may_fill(const SendAttempt& send) { return !send.only_if_cached && send.source != send.cache; }

TEST(FillWindow, ARejectedFillIsNotRetriedWhileFillsFail) {
  TestRouter router;
  router.receive_list(default_endpoints());
  std::size_t attempts = 0;
  for (RequestId id = 1; id <= 200; ++id) {
    router.request(id, kVideo, id, 20.0);
    for (int i = 0; i < static_cast<int>(router.sends[id].size()); ++i) {
      router.end_attempt(id, i, Status::kFull);
    }
    attempts += id > 100 ? router.sends[id].size() : 0;
    router.now += milliseconds(100);
  }
  EXPECT_LE(attempts, 100U);
}

TEST(FillWindow, LimitsUnknownObjectsToCachedCopiesWhileFillsFail) {
  TestRouter router;
  router.receive_list(default_endpoints());
  reject_fills(router, 1, 300, 400.0, Note::kSourceRejected);
  int only_if_cached = 0;
  for (RequestId id = 1001; id <= 1400; ++id) {
    router.request(id, kVideo, id, 400.0);
    only_if_cached += !router.sends[id].empty() && !may_fill(router.sends[id][0]) ? 1 : 0;
  }
  EXPECT_GT(only_if_cached, 0);
  EXPECT_LT(only_if_cached, 400);  // some still fill, which detects a recovery
}

TEST(FillWindow, ShrinksIfCachesHaveNoFillCapacity) {
  TestRouter router;
  router.receive_list(default_endpoints());
  reject_fills(router, 1, 100, 400.0, Note::kNoFillCapacity);
  int attempts = 0;
  int fills = 0;
  for (RequestId id = 1001; id <= 1100; ++id) {
    router.request(id, kVideo, id, 400.0);
    for (int i = 0; i < static_cast<int>(router.sends[id].size()); ++i) {
      fills += may_fill(router.sends[id][static_cast<std::size_t>(i)]) ? 1 : 0;
      ++attempts;
      router.end_attempt(id, i, Status::kFull, Note::kNoFillCapacity);
    }
  }
  EXPECT_LT(fills, 100);  // without the window each request is a fill, and some are retried
  EXPECT_LE(attempts, 200);
}

TEST(FillWindow, StaleButNotPurgedCopiesAreAcceptedWhileFillsFail) {
  TestRouter router;
  router.receive_list(default_endpoints());
  EXPECT_EQ(router.serve(1, kImage, 500).max_age, Micros(seconds(20)));
  reject_fills(router, 2, 100, 100.0, Note::kSourceRejected);
  EXPECT_EQ(router.serve(2001, kImage, 500).max_age, Micros(seconds(40)));
  router.handle(Purged{false, 500, 0, Micros(0)});
  router.now += seconds(1);
  EXPECT_LE(router.serve(2002, kImage, 500).max_age, Micros(seconds(1)));
}

TEST(FillWindow, AnOverdueFillPastItsObjectiveIsCancelledOnlyWhileFillsFail) {
  for (const bool failing : {true, false}) {
    TestRouter router;
    router.receive_list(default_endpoints());
    if (failing) {
      reject_fills(router, 1, 200, 400.0, Note::kOriginFailed);
    }
    RequestId id = 1001;
    std::vector<SetTimer> timers = actions_of<SetTimer>(router.request(id, kVideo, id));
    while (router.sends[id].empty() || !may_fill(router.sends[id][0])) {
      ASSERT_LT(id, 3000U);  // a fill beyond the window is admitted at random
      ++id;
      timers = actions_of<SetTimer>(router.request(id, kVideo, id));
    }
    router.now += std::max(Micros(seconds(1)), timers.back().delay);
    const auto after = router.handle(TimerFired{timers.back().token});
    EXPECT_EQ(count<Reject>(after), failing ? 1 : 0);
    EXPECT_EQ(count<Cancel>(after), failing ? 1 : 0);
  }
}

TEST(FillWindow, BeyondTheWindowAHealthyParentMayFillFromItsCache) {
  TestRouter router;
  router.receive_list(default_endpoints());
  reject_fills(router, 1, 200, 400.0, Note::kOriginFailed);
  RequestId limited = 0;  // the request that is limited to cached copies
  for (RequestId id = 1001; id <= 1010 && limited == 0; ++id) {
    router.request(id, kVideo, id, 400.0);
    limited = !router.sends[id].empty() && router.sends[id][0].only_if_cached ? id : 0;
  }
  ASSERT_NE(limited, 0U);
  EXPECT_EQ(router.sends[limited][0].source.front(), 'p');
  const auto after = router.end_attempt(limited, 0, Status::kNotCached, Note::kNotAtSource);
  EXPECT_EQ(final_answers(after) + count<SendAttempt>(after), 1);
  for (const SendAttempt& send : actions_of<SendAttempt>(after)) {
    EXPECT_FALSE(send.only_if_cached);  // only a first attempt may be limited to cached copies
  }
}

}  // namespace
}  // namespace trailcourse::decision_testing
