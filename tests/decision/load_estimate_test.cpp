// Estimated load from load reports.
#include <gtest/gtest.h>

#include <cstddef>
#include <limits>
#include <set>
#include <string>

#include "decision/decision_fixture.h"

namespace trailcourse::decision_testing {
namespace {

// One object, served many times by a router that shares its zone with 17 others, while two more requests for
// it are out; the caches report only the use of their cores. How many caches it was sent to.
std::size_t caches_asked(double use) {
  Settings settings = default_settings();
  settings.routers_in_zone = 18;
  TestRouter router(settings);
  router.receive_list({endpoint("c1", Role::kCache, 3.0), endpoint("c2", Role::kCache, 3.0),
                       endpoint("c3", Role::kCache, 3.0), endpoint("p1", Role::kParent),
                       endpoint("o", Role::kOrigin)});
  router.request(1);
  router.request(2);
  std::set<std::string> asked;
  for (RequestId id = 3; id <= 40; ++id) {
    router.request(id);
    asked.insert(router.sends[id].at(0).cache);
    router.end_attempt(id, 0, Status::kOk, Note::kHit, {.utilisation = use});
  }
  return asked.size();
}

TEST(LoadEstimate, UsesUtilisationWhereRequestsAreNotReported) {
  EXPECT_EQ(caches_asked(0.2), 1U);  // two of its own say nothing of 17 others
  EXPECT_GT(caches_asked(1.0), 1U);
}

TEST(LoadEstimate, IgnoresAbsurdReports) {
  TestRouter router;
  router.receive_list(default_endpoints());
  const double absurd[] = {-5.0, 1e300, std::numeric_limits<double>::infinity(),
                           std::numeric_limits<double>::quiet_NaN(), 0.0};
  RequestId id = 1;
  const auto report = [&](double value) {
    router.request(id, kVideo, id);
    router.end_attempt(id++, 0, Status::kOk, Note::kNone, {.utilisation = value, .concurrent = value});
  };
  for (const double value : absurd) {
    report(value);
  }
  for (int i = 0; i < 200; ++i) {
    report(0.0);
  }
  for (RequestId later = 1001; later <= 1020; ++later) {
    EXPECT_EQ(final_answers(router.request(later, kVideo, later)), 0);
    router.end_attempt(later, 0, Status::kOk);
  }
}

}  // namespace
}  // namespace trailcourse::decision_testing
