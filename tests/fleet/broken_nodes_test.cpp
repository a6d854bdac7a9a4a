// Two caches, one parent and an origin that may be asked directly; one of the three nodes is killed and
// started again, over and over, under load. One cache lives always.
#include <algorithm>
#include <chrono>
#include <random>
#include <string>

#include "fleet/rig.h"

namespace trailcourse::testing_support {
namespace {

using fleet::Asked;
using std::chrono::milliseconds;
using transport::Clock;

// What the rules demand here is no refusal at all: no node is listed as cold, one cache lives at every
// moment, and a dead parent leaves the origin. Before the module asked again the cache that had failed
// longest ago, 454 of these 780 were refused: a cache that is back stays ejected for up to 8 s, and the other
// is then killed. A few are allowed to a machine that is busy enough to lose one request's tries to two
// kills.
TEST(BrokenNodesTest, OneOfThreeKilledAgainAndAgainTheOthersServe) {
  constexpr int kRequests = 780;
  constexpr int kAllowed = 15;
  Rig rig(fleet::FleetSpec{});
  rig.start_all();
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  std::mt19937_64 random(5);
  const std::vector<std::string> nodes{"cache0", "cache1", "parent0"};
  std::string down;
  int kills = 0;
  Clock::time_point next = Clock::now() + milliseconds(200);
  Clock::time_point batch = Clock::now();
  while (rig.load().all().size() < kRequests) {
    if (Clock::now() >= batch && rig.load().open() == 0) {
      batch = Clock::now() + milliseconds(60);
      for (int i = 0; i < 8; ++i) {
        rig.ask("router0", 1'000 + random() % 40);
      }
    }
    if (Clock::now() >= next) {
      next = Clock::now() + milliseconds(200);
      if (down.empty()) {
        down = nodes[random() % nodes.size()];
        rig.fleet().kill(down);
        ++kills;
      } else {
        rig.start(down);
        ASSERT_FALSE(testing::Test::HasFatalFailure());
        down.clear();
      }
    }
    rig.run_for(milliseconds(1));
  }
  ASSERT_TRUE(rig.await_answers());
  const std::vector<Asked>& all = rig.load().all();
  const auto served =
      std::count_if(all.begin(), all.end(), [](const Asked& one) { return one.status == 200; });
  EXPECT_EQ(broken_answers(all, milliseconds(2'000), 20U << 10U), std::vector<std::string>{});
  EXPECT_GE(kills, 5);
  EXPECT_GE(served, kRequests - kAllowed) << rig.logs();
  EXPECT_EQ(rig.fleet().missing(), std::vector<std::string>{});
}

}  // namespace
}  // namespace trailcourse::testing_support
