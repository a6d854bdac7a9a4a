// Schedules of faults drawn from seeds, played against a fleet under load. Checkers judge what clients saw; a
// failing schedule is printed as a script that `trailcourse fleet start --faults` plays again.
#include <chrono>
#include <csignal>
#include <random>
#include <set>
#include <string>

#include "fleet/rig.h"

namespace trailcourse::testing_support {
namespace {

using fleet::Asked;
using fleet::Fault;
using fleet::FaultKind;
using fleet::Kind;
using std::chrono::milliseconds;
using transport::Clock;

constexpr milliseconds kTold{800};

class DrawnFaults : public testing::TestWithParam<int> {};

TEST_P(DrawnFaults, ExactlyOneAnswerEachNothingOldAfterAPurgeAndAllComeBack) {
  const bool relays = GetParam() % 2 == 0;
  fleet::FleetSpec shape;
  shape.routers = 5;
  shape.operators["startup"] = {{"spread", true},
                                {"board_calls_per_s", 60},
                                {"window_most_ms", 500},
                                {"unsure", "guard"},
                                {"told_within_ms", kTold.count()}};
  shape.operators["snapshot"] = {{"fleet", "drawn"}, {"write_ms", 50}};
  if (relays) {
    shape.operators["relay"] = {{"pass_over_ms", 100}, {"most_age_ms", 400}, {"audits_per_s", 5.0}};
  }
  Rig rig(shape, {"*>*"}, relays ? 2 : 0);
  rig.start_all();
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  ASSERT_EQ(rig.await_states(rig.routers(), {"current"}), "");

  fleet::Draw draw;
  draw.processes = {"router0", "router1", "router2", "cache0", "cache1", "parent0"};
  for (const fleet::FaultProxy* proxy : rig.scenario().links()) {
    draw.links.push_back(proxy->name());
  }
  draw.faults = 14;
  draw.length_ms = 2'500;
  draw.longest_ms = 900;
  const std::vector<Fault> script = fleet::draw_script(draw, static_cast<std::uint64_t>(GetParam()));
  SCOPED_TRACE("the schedule, seed " + std::to_string(GetParam()) + ":\n" + fleet::write_script(script));
  std::set<std::string>
      touched;  // routers that were killed or stopped may leave clients without an answer in time
  for (const Fault& fault : script) {
    touched.insert(fault.target);
  }

  std::mt19937_64 random(static_cast<std::uint64_t>(GetParam()));
  const auto routers = rig.routers();
  rig.scenario().begin(script);
  const Clock::time_point begun = Clock::now();
  Clock::time_point next = begun;
  std::optional<Clock::time_point> purged;
  bool told = false;
  while (!rig.scenario().played() || Clock::now() - begun < milliseconds(2'600) || !purged) {
    rig.scenario().play();
    if (Clock::now() >= next) {
      next = Clock::now() + milliseconds(8);
      const std::string& router = routers[random() % routers.size()];
      if (rig.load().open_at(router) < 20) {
        rig.ask(router, 1'000 + random() % 30);
      }
    }
    if (!told && Clock::now() - begun > milliseconds(700)) {
      told = true;
      rig.fleet().signal("origin", SIGHUP);
      ASSERT_TRUE(rig.fleet().await_log("origin", "of a new version", kAwaited));
      const auto now =
          std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
      for (std::uint64_t object = 1'000; object < 1'030; ++object) {
        rig.post({{"flush", {{"asset", fleet::object_name(object)}, {"ms", now.count()}}}});
      }
    }
    // Told is what the board has read.
    if (told && !purged && rig.fleet().log("board").find("up to event 31") != std::string::npos) {
      purged = Clock::now();
    }
    rig.run_for(milliseconds(1));
  }
  ASSERT_TRUE(rig.await_answers());
  for (const std::string& router : routers) {
    rig.fleet().signal(router, SIGCONT);
    EXPECT_TRUE(rig.await_ready(router)) << rig.fleet().log(router);
  }
  EXPECT_EQ(rig.await_states(routers, {"current"}), "");

  int judged = 0;
  for (const Asked& one : rig.load().all()) {
    ASSERT_LE(one.answers, 1) << one.object << " at " << one.router;
    if (!touched.contains(one.router)) {
      EXPECT_EQ(one.answers, 1) << one.object << " at " << one.router;
    }
    if (one.status == 200) {
      EXPECT_EQ(one.bytes, 20U << 10U) << "torn";
      if (one.sent > *purged + kTold) {
        ++judged;
        EXPECT_GE(one.version, 2) << one.object << " at " << one.router << " by " << one.via;
      }
    }
  }
  EXPECT_GT(judged, 0);
  const std::size_t before = rig.load().all().size();
  for (int i = 0; i < 10; ++i) {
    for (const std::string& router : routers) {
      rig.ask(router, 1'000 + random() % 30);
    }
  }
  ASSERT_TRUE(rig.await_answers());
  for (std::size_t i = before; i < rig.load().all().size(); ++i) {
    EXPECT_EQ(rig.load().all()[i].answers, 1);
  }
  EXPECT_EQ(rig.fleet().missing(), std::vector<std::string>{});
}

INSTANTIATE_TEST_SUITE_P(Seeds, DrawnFaults, testing::Range(1, 7));

}  // namespace
}  // namespace trailcourse::testing_support
