// Cache selection while caches are dead or ejected.
#include <gtest/gtest.h>

#include <cstddef>
#include <map>
#include <string>

#include "decision/decision_fixture.h"

namespace trailcourse::decision_testing {
namespace {

// Most caches of the zone are dead at the same time. If the dead ones were not excluded, each request would
// use up its attempts at caches that refuse the connection.
TEST(CacheSelection, ExcludesDeadCachesEvenIfMostAreDead) {
  TestRouter router;
  router.receive_list(default_endpoints());
  RequestId id = 0;
  const auto attempts_at_dead_caches = [&](int requests) {
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
  attempts_at_dead_caches(40);
  EXPECT_LE(attempts_at_dead_caches(40), 8) << "dead caches get only trial attempts";
}

// Makes both caches fail every connection after `latency` until both are ejected, and returns the one that
// failed longer ago.
std::string eject_both(TestRouter& router, Micros latency) {
  router.receive_list({endpoint("c1"), endpoint("c2"), endpoint("o", Role::kOrigin)});
  std::map<std::string, Micros> last_failure;
  for (RequestId id = 1; id <= 6; ++id) {
    router.now += milliseconds(20);
    router.request(id);
    for (std::size_t attempt = 0; attempt < router.sends[id].size(); ++attempt) {
      router.now += milliseconds(1);
      last_failure[router.sends[id][attempt].cache] = router.now;
      AttemptEnded ended;
      ended.id = id;
      ended.attempt = static_cast<int>(attempt);
      ended.status = Status::kConnectFailed;
      ended.latency = latency;
      router.handle(ended);
    }
  }
  EXPECT_EQ(last_failure.size(), 2U);
  return last_failure["c1"] < last_failure["c2"] ? "c1" : "c2";
}

// A cache is killed and runs again when the other one is killed. If the first were skipped until its ejection
// ends, every request until then would fail, although the cache could serve it.
TEST(CacheSelection, FallsBackToTheCacheThatFailedLongestAgoIfAllAreEjected) {
  TestRouter router;
  const std::string first = eject_both(router, Micros(300));
  router.now += milliseconds(20);
  for (RequestId id = 100; id < 105; ++id) {
    const auto out = router.request(id);
    ASSERT_EQ(count<SendAttempt>(out), 1) << "no request is rejected while connections fail immediately";
    EXPECT_EQ(actions_of<SendAttempt>(out)[0].cache, first);
  }
  EXPECT_EQ(final_answers(router.end_attempt(100, 0, Status::kOk, Note::kHit)), 0);
  const auto after = router.request(106);
  ASSERT_EQ(count<SendAttempt>(after), 1);
  EXPECT_EQ(actions_of<SendAttempt>(after)[0].cache, first) << "the cache answered, so it is used";
}

// At a machine that is down, each request waits for its connection until it times out. One request at a time
// detects whether the machine is back; the other requests are rejected immediately.
TEST(CacheSelection, SendsOneRequestAtATimeToAnEjectedCacheThatDoesNotRespond) {
  TestRouter router;
  const std::string first = eject_both(router, milliseconds(400));
  router.now += milliseconds(20);
  const auto out = router.request(100);
  ASSERT_EQ(count<SendAttempt>(out), 1);
  EXPECT_EQ(actions_of<SendAttempt>(out)[0].cache, first);
  const auto second = router.request(101);
  ASSERT_EQ(count<SendAttempt>(second), 1);
  EXPECT_NE(actions_of<SendAttempt>(second)[0].cache, first) << "each cache gets one request at a time";
  const auto third = router.request(102);
  EXPECT_EQ(count<SendAttempt>(third), 0);
  EXPECT_EQ(final_answers(third), 1);
}

}  // namespace
}  // namespace trailcourse::decision_testing
