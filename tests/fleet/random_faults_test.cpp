// Random fault scripts, generated from seeds and replayed against a fleet under load. The test checks the
// answers that clients got; it prints a failing script so that `trailcourse fleet start --faults` can replay
// it.
#include <chrono>
#include <csignal>
#include <random>
#include <set>
#include <string>

#include "fleet/fleet_fixture.h"

namespace trailcourse::testing_support {
namespace {

using fleet::Fault;
using fleet::FaultKind;
using fleet::Kind;
using fleet::SentRequest;
using std::chrono::milliseconds;
using transport::Clock;

// Time after a purge from which no purged copy may be served.
constexpr milliseconds kPurgeBound{800};

class RandomFaultsTest : public testing::TestWithParam<int> {};

TEST_P(RandomFaultsTest, EachRequestGetsOneAnswerNoPurgedCopyIsServedAndTheFleetRecovers) {
  const bool relays = GetParam() % 2 == 0;
  fleet::FleetSpec spec;
  spec.routers = 5;
  spec.operator_sections["startup"] = {{"spread", true},
                                       {"board_calls_per_s", 60},
                                       {"window_most_ms", 500},
                                       {"unsure", "guard"},
                                       {"told_within_ms", kPurgeBound.count()}};
  spec.operator_sections["snapshot"] = {{"fleet", "drawn"}, {"write_ms", 50}};
  if (relays) {
    spec.operator_sections["relay"] = {{"pass_over_ms", 100}, {"most_age_ms", 400}, {"audits_per_s", 5.0}};
  }
  FleetFixture fixture(spec, {"*>*"}, relays ? 2 : 0);
  fixture.start_all();
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  ASSERT_EQ(fixture.await_states(fixture.routers(), {"current"}), "");

  fleet::RandomScriptOptions options;
  options.processes = {"router0", "router1", "router2", "cache0", "cache1", "parent0"};
  for (const fleet::FaultProxy* proxy : fixture.scenario().links()) {
    options.links.push_back(proxy->name());
  }
  options.faults = 14;
  options.length_ms = 2'500;
  options.max_fault_ms = 900;
  const std::vector<Fault> script = fleet::random_script(options, static_cast<std::uint64_t>(GetParam()));
  SCOPED_TRACE("fault script of seed " + std::to_string(GetParam()) + ":\n" + fleet::write_script(script));
  // Clients of routers that were killed or suspended may get no answer in time.
  std::set<std::string> faulted;
  for (const Fault& fault : script) {
    faulted.insert(fault.target);
  }

  std::mt19937_64 random(static_cast<std::uint64_t>(GetParam()));
  const auto routers = fixture.routers();
  fixture.scenario().start_script(script);
  const Clock::time_point begun = Clock::now();
  Clock::time_point next = begun;
  std::optional<Clock::time_point> purged;
  bool purge_sent = false;
  while (!fixture.scenario().script_finished() || Clock::now() - begun < milliseconds(2'600) || !purged) {
    fixture.scenario().apply_due_faults();
    if (Clock::now() >= next) {
      next = Clock::now() + milliseconds(8);
      const std::string& router = routers[random() % routers.size()];
      if (fixture.load().open_at(router) < 20) {
        fixture.send(router, 1'000 + random() % 30);
      }
    }
    if (!purge_sent && Clock::now() - begun > milliseconds(700)) {
      purge_sent = true;
      fixture.supervisor().signal("origin", SIGHUP);
      ASSERT_TRUE(
          fixture.supervisor().await_log("origin", "generated objects have a new version", kTestTimeout));
      const auto now =
          std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
      for (std::uint64_t object = 1'000; object < 1'030; ++object) {
        fixture.append_event({{"flush", {{"asset", fleet::object_name(object)}, {"ms", now.count()}}}});
      }
    }
    // The purge takes effect when the discovery server has read its events.
    if (purge_sent && !purged &&
        fixture.supervisor().log("board").find("up to event 31") != std::string::npos) {
      purged = Clock::now();
    }
    fixture.run_for(milliseconds(1));
  }
  ASSERT_TRUE(fixture.await_answers());
  for (const std::string& router : routers) {
    fixture.supervisor().signal(router, SIGCONT);
    EXPECT_TRUE(fixture.await_ready(router)) << fixture.supervisor().log(router);
  }
  EXPECT_EQ(fixture.await_states(routers, {"current"}), "");

  int checked = 0;
  for (const SentRequest& one : fixture.load().requests()) {
    ASSERT_LE(one.answers, 1) << one.object << " at " << one.router;
    if (!faulted.contains(one.router)) {
      EXPECT_EQ(one.answers, 1) << one.object << " at " << one.router;
    }
    if (one.status == 200) {
      EXPECT_EQ(one.bytes, 20U << 10U) << "incomplete body";
      if (one.sent > *purged + kPurgeBound) {
        ++checked;
        EXPECT_GE(one.version, 2) << one.object << " at " << one.router << " by " << one.via;
      }
    }
  }
  EXPECT_GT(checked, 0);
  const std::size_t before = fixture.load().requests().size();
  for (int i = 0; i < 10; ++i) {
    for (const std::string& router : routers) {
      fixture.send(router, 1'000 + random() % 30);
    }
  }
  ASSERT_TRUE(fixture.await_answers());
  for (std::size_t i = before; i < fixture.load().requests().size(); ++i) {
    EXPECT_EQ(fixture.load().requests()[i].answers, 1);
  }
  EXPECT_EQ(fixture.supervisor().unexpected_exits(), std::vector<std::string>{});
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomFaultsTest, testing::Range(1, 7));

}  // namespace
}  // namespace trailcourse::testing_support
