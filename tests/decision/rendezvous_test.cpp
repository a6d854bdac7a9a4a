// Rendezvous hashing of objects to caches and parents, through the decider.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>

#include "decision/decision_fixture.h"

namespace trailcourse::decision_testing {
namespace {

TEST(Rendezvous, IsIndependentOfTheOrderOfTheEndpointList) {
  TestRouter first;
  TestRouter second(default_settings(), 99);
  first.receive_list(default_endpoints());
  auto reversed = default_endpoints();
  std::reverse(reversed.begin(), reversed.end());
  second.receive_list(reversed);
  std::set<std::string> parents;
  for (RequestId id = 1; id <= 300; ++id) {
    const SendAttempt a = first.serve(id, kVideo, id);
    const SendAttempt b = second.serve(id, kVideo, id);
    EXPECT_EQ(a.cache, b.cache);
    EXPECT_EQ(a.source, b.source);
    parents.insert(a.source);
  }
  EXPECT_EQ(parents.size(), 2U);
}

TEST(Rendezvous, SelectsOnlyCachesInTheRoutersZone) {
  TestRouter router;
  auto list = default_endpoints();
  list[1].zone = "elsewhere";
  router.receive_list(list);
  for (RequestId id = 1; id <= 100; ++id) {
    EXPECT_NE(router.serve(id, kVideo, id).cache, "c2");
  }
}

}  // namespace
}  // namespace trailcourse::decision_testing
