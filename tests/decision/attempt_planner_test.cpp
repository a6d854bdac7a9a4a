// The plan of an attempt: target, source and what it accepts.
#include <gtest/gtest.h>

#include "decision/decision_fixture.h"

namespace trailcourse::decision_testing {
namespace {

TEST(AttemptPlanner, SendsWritesToTheOriginAndKeepsNone) {
  Settings settings = default_settings();
  TestRouter by_cache(settings);
  by_cache.receive_list(default_endpoints());
  by_cache.request(1, kWrite);
  EXPECT_EQ(by_cache.sends[1][0].source, "o");
  EXPECT_EQ(by_cache.sends[1][0].keep_rank, 0);
  settings.direct = true;
  TestRouter straight(settings);
  straight.receive_list(default_endpoints());
  straight.request(1, kWrite);
  EXPECT_EQ(straight.sends[1][0].cache, "o");
}

}  // namespace
}  // namespace trailcourse::decision_testing
