// The plan of an attempt: its target, its source and its keep rank.
#include <gtest/gtest.h>

#include "decision/decision_fixture.h"

namespace trailcourse::decision_testing {
namespace {

TEST(AttemptPlanner, SendsWritesToTheOriginAndStoresNoAnswer) {
  Settings settings = default_settings();
  TestRouter through_cache(settings);
  through_cache.receive_list(default_endpoints());
  through_cache.request(1, kWrite);
  EXPECT_EQ(through_cache.sends[1][0].source, "o");
  EXPECT_EQ(through_cache.sends[1][0].keep_rank, 0);
  settings.direct = true;
  TestRouter direct(settings);
  direct.receive_list(default_endpoints());
  direct.request(1, kWrite);
  EXPECT_EQ(direct.sends[1][0].cache, "o");
}

}  // namespace
}  // namespace trailcourse::decision_testing
