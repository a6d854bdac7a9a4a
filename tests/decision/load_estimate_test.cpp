// Estimated load from load reports.
#include <gtest/gtest.h>

#include <cstddef>
#include <limits>
#include <set>
#include <string>

#include "decision/decision_fixture.h"

namespace trailcourse::decision_testing {
namespace {

// Returns the number of caches that get requests for one object while two other requests for it are in
// flight. The router shares its zone with 17 others, and the caches report only their utilisation.
std::size_t caches_used(double utilisation) {
  Settings settings = default_settings();
  settings.routers_in_zone = 18;
  TestRouter router(settings);
  router.receive_list({endpoint("c1", Role::kCache, 3.0), endpoint("c2", Role::kCache, 3.0),
                       endpoint("c3", Role::kCache, 3.0), endpoint("p1", Role::kParent),
                       endpoint("o", Role::kOrigin)});
  router.request(1);
  router.request(2);
  std::set<std::string> caches;
  for (RequestId id = 3; id <= 40; ++id) {
    router.request(id);
    caches.insert(router.sends[id].at(0).cache);
    router.end_attempt(id, 0, Status::kOk, Note::kHit, {.utilisation = utilisation});
  }
  return caches.size();
}

TEST(LoadEstimate, UsesUtilisationIfTheNumberOfRequestsIsNotReported) {
  EXPECT_EQ(caches_used(0.2), 1U);  // two requests of this router give no evidence about 17 other routers
  EXPECT_GT(caches_used(1.0), 1U);
}

TEST(LoadEstimate, IgnoresImplausibleReports) {
  TestRouter router;
  router.receive_list(default_endpoints());
  const double implausible[] = {-5.0, 1e300, std::numeric_limits<double>::infinity(),
                                std::numeric_limits<double>::quiet_NaN(), 0.0};
  RequestId id = 1;
  const auto report = [&](double value) {
    router.request(id, kVideo, id);
    router.end_attempt(id++, 0, Status::kOk, Note::kNone, {.utilisation = value, .concurrent = value});
  };
  for (const double value : implausible) {
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
