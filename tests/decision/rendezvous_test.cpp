// Rendezvous hashing of objects to caches and parents.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>

#include "decision/decision_fixture.h"

namespace trailcourse::decision_testing {
namespace {

TEST(Rendezvous, IsIndependentOfTheOrderOfTheList) {
  TestRouter one;
  TestRouter other(default_settings(), 99);
  one.receive_list(default_endpoints());
  auto turned = default_endpoints();
  std::reverse(turned.begin(), turned.end());
  other.receive_list(turned);
  std::set<std::string> parents;
  for (RequestId id = 1; id <= 300; ++id) {
    const SendAttempt a = one.serve(id, kVideo, id);
    const SendAttempt b = other.serve(id, kVideo, id);
    EXPECT_EQ(a.cache, b.cache);
    EXPECT_EQ(a.source, b.source);
    parents.insert(a.source);
  }
  EXPECT_EQ(parents.size(), 2U);
}

TEST(Rendezvous, ConsidersOnlyCachesOfTheOwnZone) {
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
