// Changes of policy with several real processes under load and faults between them. The checker: every answer
// names the version it was decided under and when by the machine's one steady clock; for each change there
// has to be a moment that separates the old version from the new, over all routers.
#include <algorithm>
#include <fstream>
#include <random>
#include <string>

#include "fleet/policy_rig.h"

namespace trailcourse::testing_support {
namespace {

using fleet::FleetSpec;
using nlohmann::json;
using std::chrono::milliseconds;

TEST(PolicyFleetTest, AChangeTakesHoldEverywhereAndTheCheckerFindsItsMoment) {
  PolicyRig fleet(policy_shape(5));
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  ASSERT_EQ(fleet.propose(2.0), 0) << fleet.said;
  EXPECT_TRUE(fleet.await_change(fleet.rig.routers(), "done")) << fleet.rig.logs();
  EXPECT_TRUE(fleet.await_version(fleet.rig.routers(), 1)) << fleet.rig.logs();
  EXPECT_EQ(fleet.check(), kNone);
  const auto decided = fleet.decided();
  EXPECT_TRUE(decided.contains("0") && decided.contains("1")) << fleet.rig.logs();
  // Back: a new change to an old content.
  program::PolicyCommand back;
  back.action = "propose";
  back.version = "1";
  EXPECT_EQ(fleet.policy(back), 0) << fleet.said;
  EXPECT_TRUE(fleet.await_change(fleet.rig.routers(), "done")) << fleet.rig.logs();
  EXPECT_TRUE(fleet.await_version(fleet.rig.routers(), 2));
  EXPECT_EQ(fleet.check(), kNone);
  EXPECT_EQ(fleet.policy("history"), 0);
  EXPECT_GE(json::parse(fleet.said).size(), 8U) << fleet.said;
}

TEST(PolicyFleetTest, AVersionThatOneCannotLiveByIsRefusedEverywhere) {
  PolicyRig fleet(policy_shape(3));
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  ASSERT_EQ(fleet.propose(2.0, false, R"(,"limits":{"open_requests":9000000})"), 0) << fleet.said;
  EXPECT_TRUE(fleet.await_change(fleet.rig.routers(), "aborted")) << fleet.rig.logs();
  const json change = fleet.status()["change"];
  EXPECT_NE(change.value("why", "").find("open_requests"), std::string::npos) << change;
  EXPECT_EQ(fleet.version(), 0U);
  EXPECT_EQ(fleet.check(), kNone);
  EXPECT_FALSE(fleet.decided().contains("1")) << "nobody decided under what was refused";
  // A document that no program could read is not even proposed.
  EXPECT_EQ(fleet.propose(-1.0), program::kInvalidPolicy);
  EXPECT_NE(fleet.said.find("worth"), std::string::npos) << fleet.said;
}

// Stopped before the commit and woken after it, with requests in its buffers: they are not decided under the
// old one.
TEST(PolicyFleetTest, ARouterThatWakesAfterTheCommitDecidesNothingUnderTheOldVersion) {
  PolicyRig fleet(policy_shape(4));
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  std::vector<std::string> others = fleet.rig.routers();
  const std::string sleeper = others.back();
  others.pop_back();
  ASSERT_TRUE(fleet.await_version(fleet.rig.routers(), 0));
  fleet.rig.fault("stop " + sleeper);
  for (std::uint64_t i = 0; i < 20; ++i) {
    fleet.rig.ask(sleeper, 1'000 + i);
  }
  ASSERT_EQ(fleet.propose(2.0), 0) << fleet.said;
  EXPECT_TRUE(fleet.await_change(others, "done")) << "its permission runs out: " << fleet.rig.logs();
  ASSERT_TRUE(fleet.await_version(others, 1));
  fleet.rig.fault("cont " + sleeper);
  EXPECT_TRUE(fleet.await_version({sleeper}, 1)) << fleet.rig.logs();
  EXPECT_EQ(fleet.check(), kNone);
}

TEST(PolicyFleetTest, AThirdThatIsCutOffDecidesUnderNothingAndJoinsBehindTheChange) {
  PolicyRig fleet(policy_shape(6), {"router*>registry"});
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  const std::vector<std::string> all = fleet.rig.routers();
  const std::vector<std::string> cut(all.begin(), all.begin() + 2);
  const std::vector<std::string> rest(all.begin() + 2, all.end());
  ASSERT_TRUE(fleet.await_version(all, 0));
  for (const std::string& router : cut) {
    fleet.rig.fault("cut " + router + ">registry both");
  }
  ASSERT_EQ(fleet.propose(2.0), 0) << fleet.said;
  EXPECT_TRUE(fleet.await_change(all, "done")) << fleet.rig.logs();
  EXPECT_TRUE(fleet.await_version(rest, 1)) << fleet.rig.logs();
  EXPECT_TRUE(fleet.await_version(rest, 1));
  for (const std::string& router : cut) {
    const fleet::Asked asked = fleet.answer(router);
    EXPECT_EQ(asked.policy, "-") << "without the store it knows nothing";
    EXPECT_EQ(asked.status, 503);
    fleet.rig.fault("heal " + router + ">registry");
  }
  EXPECT_TRUE(fleet.await_version(all, 1)) << fleet.rig.logs();
  EXPECT_EQ(fleet.check(), kNone);
}

struct Kill {
  std::string name;
  std::string words;  // in a driver's log, at which it is killed or stopped
  bool stop;
};
void PrintTo(const Kill& fault, std::ostream* out) { *out << fault.name; }

class DriverFaultTest : public testing::TestWithParam<Kill> {};
INSTANTIATE_TEST_SUITE_P(Steps, DriverFaultTest,
                         testing::Values(Kill{"KilledAsItBegins", "starts policy/0", false},
                                         Kill{"KilledAsAllHold", "routers hold", false},
                                         Kill{"KilledAtTheCommit", ": committed", false},
                                         Kill{"StoppedAsAllHold", "routers hold", true},
                                         Kill{"StoppedAtTheCommit", ": committed", true}),
                         [](const auto& one) { return one.param.name; });

TEST_P(DriverFaultTest, ItsSuccessorEndsTheChangeTheSameWay) {
  PolicyRig fleet(policy_shape(4));
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  const std::vector<std::string> all = fleet.rig.routers();
  ASSERT_TRUE(fleet.await_version(all, 0));
  ASSERT_EQ(fleet.propose(2.0), 0) << fleet.said;
  std::string driver;
  ASSERT_TRUE(fleet.until_loaded(all, [&] {
    for (const std::string& router : all) {
      driver = fleet.rig.fleet().log(router).find(GetParam().words) != std::string::npos ? router : driver;
    }
    return !driver.empty();
  })) << fleet.rig.logs();
  std::vector<std::string> rest = all;
  std::erase(rest, driver);
  if (GetParam().stop) {
    fleet.rig.fault("stop " + driver);
  } else {
    fleet.rig.fleet().kill(driver);
  }
  EXPECT_TRUE(fleet.await_change(rest, "done")) << fleet.rig.logs();
  EXPECT_TRUE(fleet.await_version(rest, 1)) << fleet.rig.logs();
  if (GetParam().stop) {
    fleet.rig.fault("cont " + driver);
  } else {
    fleet.rig.start(driver);
    EXPECT_TRUE(fleet.rig.await_ready(driver));
  }
  EXPECT_TRUE(fleet.await_version(all, 1)) << fleet.rig.logs();
  EXPECT_EQ(fleet.version(), 1U);
  EXPECT_EQ(fleet.check(), kNone);
}

TEST(PolicyFleetTest, ChangesInARowUnderLoadWithRoutersKilledThroughout) {
  constexpr int kChanges = 6;
  PolicyRig fleet(policy_shape(5));
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  std::mt19937_64 random(11);
  const std::vector<std::string> all = fleet.rig.routers();
  for (int i = 0; i < kChanges; ++i) {
    ASSERT_EQ(fleet.propose(1.0 + i), 0) << fleet.said;
    const std::string& victim = all[random() % all.size()];
    fleet.until_loaded(all, [] { return true; }, milliseconds(random() % 150));
    fleet.rig.fleet().kill(victim);
    fleet.until_loaded(all, [] { return false; }, milliseconds(random() % 200));
    fleet.rig.start(victim);  // it joins behind the change
    EXPECT_TRUE(fleet.await_change(all, "done")) << fleet.rig.logs();
  }
  EXPECT_TRUE(fleet.await_version(all, kChanges)) << fleet.rig.logs();
  EXPECT_EQ(fleet.check(), kNone);
}

TEST(PolicyFleetTest, TheStoreIsKilledWhileAChangeIsMade) {
  PolicyRig fleet(policy_shape(4));
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  const std::vector<std::string> all = fleet.rig.routers();
  ASSERT_TRUE(fleet.await_version(all, 0));
  for (int i = 0; i < 3; ++i) {
    ASSERT_EQ(fleet.propose(1.0 + i), 0) << fleet.said;
    fleet.until_loaded(all, [] { return false; }, milliseconds(20 * i));
    fleet.rig.fleet().kill("registry");
    fleet.until_loaded(all, [] { return false; }, milliseconds(300));
    fleet.rig.start("registry");
    std::string state;
    EXPECT_TRUE(fleet.until_loaded(all, [&] {
      state = fleet.change_state();
      return state == "done" || state == "aborted";
    })) << fleet.rig.logs();
    EXPECT_TRUE(fleet.await_version(all, fleet.version())) << fleet.rig.logs();
  }
  EXPECT_EQ(fleet.check(), kNone);
}

TEST(PolicyFleetTest, AnUrgentChangeGoesBeforeOneThatHasNotCommittedAndStaffCanAbort) {
  PolicyRig fleet(policy_shape(3), {"router0>registry"});
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  const std::vector<std::string> all = fleet.rig.routers();
  ASSERT_TRUE(fleet.await_version(all, 0));
  fleet.rig.fault("cut router0>registry in");  // it hears nothing for as long as its permission lasts
  ASSERT_EQ(fleet.propose(2.0), 0) << fleet.said;
  EXPECT_EQ(fleet.propose(3.0), program::kChangeOpen) << "the second waits";
  EXPECT_EQ(fleet.propose(4.0, true), 0) << fleet.said;
  EXPECT_EQ(fleet.policy("abort"), 0) << fleet.said;
  fleet.rig.fault("heal router0>registry");
  EXPECT_EQ(fleet.propose(5.0), 0) << fleet.said;
  EXPECT_TRUE(fleet.await_change(all, "done")) << fleet.rig.logs();
  EXPECT_TRUE(fleet.await_version(all, fleet.version()));
  EXPECT_EQ(fleet.check(), kNone);
  const auto decided = fleet.decided();
  EXPECT_FALSE(decided.contains("1") || decided.contains("2")) << "neither took hold";
}

TEST(PolicyFleetTest, AStageIsWatchedAndTurnedBackWhereItRefusesTooMuch) {
  FleetSpec shape = policy_shape(4);
  shape.zones = {"east", "west"};
  shape.caches = 2;
  PolicyRig fleet(shape);
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  const std::vector<std::string> all = fleet.rig.routers();
  ASSERT_TRUE(fleet.await_version(all, 0));
  program::PolicyCommand command;
  command.action = "propose";
  command.file = fleet.rig.folder() + "/no.json";
  command.stages = {"east"};
  command.watch_s = 60;
  command.max_rejected_share = 0.2;
  std::ofstream(command.file) << R"({"schema":1,"content":{"classes":{"media":{"serve":false}}}})";
  ASSERT_EQ(fleet.policy(command), 0) << fleet.said;
  EXPECT_TRUE(fleet.until_loaded(all, [&] {
    const json change = fleet.status()["change"];
    return change.is_object() &&
           change.value("why", std::string()).find("turned back") != std::string::npos &&
           change.value("state", std::string()) == "done";
  })) << fleet.rig.logs();
  EXPECT_TRUE(fleet.await_version(all, 0)) << fleet.rig.logs();
  // In the other zone nobody ever decided under it.
  for (const fleet::Asked& one : fleet.rig.load().all()) {
    if (fleet.rig.layout().member(one.router).zone == "west") {
      EXPECT_NE(one.policy, "1") << one.router;
    }
  }
}

}  // namespace
}  // namespace trailcourse::testing_support
