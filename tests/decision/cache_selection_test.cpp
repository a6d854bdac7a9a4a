// Cache selection where caches are dead or ejected.
#include <gtest/gtest.h>

#include <cstddef>
#include <map>
#include <string>

#include "decision/decision_fixture.h"

namespace trailcourse::decision_testing {
namespace {

// Most caches of the zone are dead at once: those that are not to be had are left out all the same, or each
// request would be tried there, refused and its further attempts used up.
TEST(CacheSelection, ExcludesDeadCachesEvenIfTheyAreMost) {
  TestRouter router;
  router.receive_list(default_endpoints());
  RequestId id = 0;
  const auto ask_all = [&](int requests) {
    int at_dead = 0;
    for (int i = 0; i < requests; ++i) {
      router.now += milliseconds(5);
      ++id;
      router.request(id, kVideo, id);
      for (std::size_t n = 0; n < router.sends[id].size() && n < 4; ++n) {
        const bool dead = router.sends[id][n].cache != "c1";
        at_dead += dead ? 1 : 0;
        router.end_attempt(id, static_cast<int>(n), dead ? Status::kConnectFailed : Status::kOk);
      }
    }
    return at_dead;
  };
  ask_all(40);
  EXPECT_LE(ask_all(40), 8) << "only trials go there";
}

// Two caches that refuse every connection, after `took` each time, until both are ejected: the one that
// failed longer ago.
std::string eject_both(TestRouter& router, Micros took) {
  router.receive_list({endpoint("c1"), endpoint("c2"), endpoint("o", Role::kOrigin)});
  std::map<std::string, Micros> failed;
  for (RequestId id = 1; id <= 6; ++id) {
    router.now += milliseconds(20);
    router.request(id);
    for (std::size_t attempt = 0; attempt < router.sends[id].size(); ++attempt) {
      router.now += milliseconds(1);
      failed[router.sends[id][attempt].cache] = router.now;
      AttemptEnded ended;
      ended.id = id;
      ended.attempt = static_cast<int>(attempt);
      ended.status = Status::kConnectFailed;
      ended.latency = took;
      router.handle(ended);
    }
  }
  EXPECT_EQ(failed.size(), 2U);
  return failed["c1"] < failed["c2"] ? "c1" : "c2";
}

// A cache that was killed and is back while the other is killed. Skipped for its full ejection,
// it costs every request of that time though it would serve.
TEST(CacheSelection, LastResortIsTheCacheThatFailedLongestAgo) {
  TestRouter router;
  const std::string first = eject_both(router, Micros(300));
  router.now += milliseconds(20);
  for (RequestId id = 100; id < 105; ++id) {
    const auto out = router.request(id);
    ASSERT_EQ(count<SendAttempt>(out), 1) << "none is refused while connections are refused at once";
    EXPECT_EQ(actions_of<SendAttempt>(out)[0].cache, first);
  }
  EXPECT_EQ(final_answers(router.end_attempt(100, 0, Status::kOk, Note::kHit)), 0);
  const auto after = router.request(106);
  ASSERT_EQ(count<SendAttempt>(after), 1);
  EXPECT_EQ(actions_of<SendAttempt>(after)[0].cache, first) << "it answers, so it is used";
}

// Provokes: machines that are gone say nothing, and each request sent there waits for its connection. One at
// a time finds out whether they are back; the others are refused at once, as before.
TEST(CacheSelection, ASilentLastResortGetsOneRequestAtATime) {
  TestRouter router;
  const std::string first = eject_both(router, milliseconds(400));
  router.now += milliseconds(20);
  const auto out = router.request(100);
  ASSERT_EQ(count<SendAttempt>(out), 1);
  EXPECT_EQ(actions_of<SendAttempt>(out)[0].cache, first);
  const auto second = router.request(101);
  ASSERT_EQ(count<SendAttempt>(second), 1);
  EXPECT_NE(actions_of<SendAttempt>(second)[0].cache, first) << "one at a time at each";
  const auto third = router.request(102);
  EXPECT_EQ(count<SendAttempt>(third), 0);
  EXPECT_EQ(final_answers(third), 1);
}

}  // namespace
}  // namespace trailcourse::decision_testing
