// Policy rollouts with real processes under load, and faults on the links. Every answer states the version
// that it was decided under and the time of the decision by the machine's steady clock. For each rollout
// there has to be a moment that separates the old version from the new one over all routers.
#include <algorithm>
#include <fstream>
#include <random>
#include <string>

#include "fleet/policy_fixture.h"

namespace trailcourse::testing_support {
namespace {

using fleet::FleetSpec;
using nlohmann::json;
using std::chrono::milliseconds;

TEST(PolicyFleetTest, ARolloutTakesEffectAtOneMomentEverywhere) {
  PolicyFixture fleet(policy_spec(5));
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  ASSERT_EQ(fleet.propose(2.0), 0) << fleet.output;
  EXPECT_TRUE(fleet.await_change(fleet.fixture.routers(), "done")) << fleet.fixture.logs();
  EXPECT_TRUE(fleet.await_version(fleet.fixture.routers(), 1)) << fleet.fixture.logs();
  EXPECT_EQ(fleet.check(), kNoViolations);
  const auto decided = fleet.decided();
  EXPECT_TRUE(decided.contains("0") && decided.contains("1")) << fleet.fixture.logs();
  // A further rollout with the content of an old version.
  program::PolicyCommand back;
  back.action = "propose";
  back.version = "1";
  EXPECT_EQ(fleet.policy(back), 0) << fleet.output;
  EXPECT_TRUE(fleet.await_change(fleet.fixture.routers(), "done")) << fleet.fixture.logs();
  EXPECT_TRUE(fleet.await_version(fleet.fixture.routers(), 2));
  EXPECT_EQ(fleet.check(), kNoViolations);
  EXPECT_EQ(fleet.policy("history"), 0);
  EXPECT_GE(json::parse(fleet.output).size(), 8U) << fleet.output;
}

TEST(PolicyFleetTest, AVersionThatOneRouterRejectsIsAborted) {
  PolicyFixture fleet(policy_spec(3));
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  ASSERT_EQ(fleet.propose(2.0, false, R"(,"limits":{"open_requests":9000000})"), 0) << fleet.output;
  EXPECT_TRUE(fleet.await_change(fleet.fixture.routers(), "aborted")) << fleet.fixture.logs();
  const json change = fleet.status()["change"];
  EXPECT_NE(change.value("why", "").find("open_requests"), std::string::npos) << change;
  EXPECT_EQ(fleet.version(), 0U);
  EXPECT_EQ(fleet.check(), kNoViolations);
  EXPECT_FALSE(fleet.decided().contains("1")) << "no request was decided under the rejected version";
  // An invalid document cannot be proposed.
  EXPECT_EQ(fleet.propose(-1.0), program::kInvalidPolicy);
  EXPECT_NE(fleet.output.find("worth"), std::string::npos) << fleet.output;
}

// A router is suspended before the commit and resumed after it, with requests in its buffers.
TEST(PolicyFleetTest, ARouterThatResumesAfterTheCommitDecidesNothingUnderTheOldVersion) {
  PolicyFixture fleet(policy_spec(4));
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  std::vector<std::string> others = fleet.fixture.routers();
  const std::string suspended = others.back();
  others.pop_back();
  ASSERT_TRUE(fleet.await_version(fleet.fixture.routers(), 0));
  fleet.fixture.apply_fault("stop " + suspended);
  for (std::uint64_t i = 0; i < 20; ++i) {
    fleet.fixture.send(suspended, 1'000 + i);
  }
  ASSERT_EQ(fleet.propose(2.0), 0) << fleet.output;
  EXPECT_TRUE(fleet.await_change(others, "done")) << "its permit has to expire: " << fleet.fixture.logs();
  ASSERT_TRUE(fleet.await_version(others, 1));
  fleet.fixture.apply_fault("cont " + suspended);
  EXPECT_TRUE(fleet.await_version({suspended}, 1)) << fleet.fixture.logs();
  EXPECT_EQ(fleet.check(), kNoViolations);
}

TEST(PolicyFleetTest, RoutersThatAreCutOffRejectRequestsAndJoinAfterTheRollout) {
  PolicyFixture fleet(policy_spec(6), {"router*>registry"});
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  const std::vector<std::string> all = fleet.fixture.routers();
  const std::vector<std::string> cut(all.begin(), all.begin() + 2);
  const std::vector<std::string> rest(all.begin() + 2, all.end());
  ASSERT_TRUE(fleet.await_version(all, 0));
  for (const std::string& router : cut) {
    fleet.fixture.apply_fault("cut " + router + ">registry both");
  }
  ASSERT_EQ(fleet.propose(2.0), 0) << fleet.output;
  EXPECT_TRUE(fleet.await_change(all, "done")) << fleet.fixture.logs();
  EXPECT_TRUE(fleet.await_version(rest, 1)) << fleet.fixture.logs();
  EXPECT_TRUE(fleet.await_version(rest, 1));
  for (const std::string& router : cut) {
    const fleet::SentRequest request = fleet.answer(router);
    EXPECT_EQ(request.policy, "-") << "without the store no version is in force";
    EXPECT_EQ(request.status, 503);
    fleet.fixture.apply_fault("heal " + router + ">registry");
  }
  EXPECT_TRUE(fleet.await_version(all, 1)) << fleet.fixture.logs();
  EXPECT_EQ(fleet.check(), kNoViolations);
}

struct CoordinatorFault {
  std::string name;
  std::string log_text;  // at which the coordinator is killed or suspended
  bool suspend;
};
void PrintTo(const CoordinatorFault& fault, std::ostream* out) { *out << fault.name; }

class CoordinatorFaultTest : public testing::TestWithParam<CoordinatorFault> {};
INSTANTIATE_TEST_SUITE_P(
    Steps, CoordinatorFaultTest,
    testing::Values(CoordinatorFault{"KilledAtItsStart", "starts policy/0", false},
                    CoordinatorFault{"KilledWhenAllRoutersArePrepared", "routers hold", false},
                    CoordinatorFault{"KilledAtTheCommit", ": committed", false},
                    CoordinatorFault{"SuspendedWhenAllRoutersArePrepared", "routers hold", true},
                    CoordinatorFault{"SuspendedAtTheCommit", ": committed", true}),
    [](const auto& one) { return one.param.name; });

TEST_P(CoordinatorFaultTest, ItsSuccessorCompletesTheRollout) {
  PolicyFixture fleet(policy_spec(4));
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  const std::vector<std::string> all = fleet.fixture.routers();
  ASSERT_TRUE(fleet.await_version(all, 0));
  ASSERT_EQ(fleet.propose(2.0), 0) << fleet.output;
  std::string coordinator;
  ASSERT_TRUE(fleet.run_until_under_load(all, [&] {
    for (const std::string& router : all) {
      coordinator = fleet.fixture.supervisor().log(router).find(GetParam().log_text) != std::string::npos
                        ? router
                        : coordinator;
    }
    return !coordinator.empty();
  })) << fleet.fixture.logs();
  std::vector<std::string> rest = all;
  std::erase(rest, coordinator);
  if (GetParam().suspend) {
    fleet.fixture.apply_fault("stop " + coordinator);
  } else {
    fleet.fixture.supervisor().kill(coordinator);
  }
  EXPECT_TRUE(fleet.await_change(rest, "done")) << fleet.fixture.logs();
  EXPECT_TRUE(fleet.await_version(rest, 1)) << fleet.fixture.logs();
  if (GetParam().suspend) {
    fleet.fixture.apply_fault("cont " + coordinator);
  } else {
    fleet.fixture.start(coordinator);
    EXPECT_TRUE(fleet.fixture.await_ready(coordinator));
  }
  EXPECT_TRUE(fleet.await_version(all, 1)) << fleet.fixture.logs();
  EXPECT_EQ(fleet.version(), 1U);
  EXPECT_EQ(fleet.check(), kNoViolations);
}

TEST(PolicyFleetTest, RolloutsInARowSucceedWhileRoutersAreKilled) {
  constexpr int kRollouts = 6;
  PolicyFixture fleet(policy_spec(5));
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  std::mt19937_64 random(11);
  const std::vector<std::string> all = fleet.fixture.routers();
  for (int i = 0; i < kRollouts; ++i) {
    ASSERT_EQ(fleet.propose(1.0 + i), 0) << fleet.output;
    const std::string& victim = all[random() % all.size()];
    fleet.run_until_under_load(all, [] { return true; }, milliseconds(random() % 150));
    fleet.fixture.supervisor().kill(victim);
    fleet.run_until_under_load(all, [] { return false; }, milliseconds(random() % 200));
    fleet.fixture.start(victim);  // it joins after the rollout
    EXPECT_TRUE(fleet.await_change(all, "done")) << fleet.fixture.logs();
  }
  EXPECT_TRUE(fleet.await_version(all, kRollouts)) << fleet.fixture.logs();
  EXPECT_EQ(fleet.check(), kNoViolations);
}

TEST(PolicyFleetTest, RolloutsEndWhenTheStoreIsKilledMeanwhile) {
  PolicyFixture fleet(policy_spec(4));
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  const std::vector<std::string> all = fleet.fixture.routers();
  ASSERT_TRUE(fleet.await_version(all, 0));
  for (int i = 0; i < 3; ++i) {
    ASSERT_EQ(fleet.propose(1.0 + i), 0) << fleet.output;
    fleet.run_until_under_load(all, [] { return false; }, milliseconds(20 * i));
    fleet.fixture.supervisor().kill("registry");
    fleet.run_until_under_load(all, [] { return false; }, milliseconds(300));
    fleet.fixture.start("registry");
    std::string state;
    EXPECT_TRUE(fleet.run_until_under_load(all, [&] {
      state = fleet.change_state();
      return state == "done" || state == "aborted";
    })) << fleet.fixture.logs();
    EXPECT_TRUE(fleet.await_version(all, fleet.version())) << fleet.fixture.logs();
  }
  EXPECT_EQ(fleet.check(), kNoViolations);
}

TEST(PolicyFleetTest, AnUrgentRolloutReplacesAnUncommittedOneAndOperatorsCanAbort) {
  PolicyFixture fleet(policy_spec(3), {"router0>registry"});
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  const std::vector<std::string> all = fleet.fixture.routers();
  ASSERT_TRUE(fleet.await_version(all, 0));
  fleet.fixture.apply_fault("cut router0>registry in");  // no rollout can commit until its permit expires
  ASSERT_EQ(fleet.propose(2.0), 0) << fleet.output;
  EXPECT_EQ(fleet.propose(3.0), program::kChangeOpen) << "a rollout is in progress";
  EXPECT_EQ(fleet.propose(4.0, true), 0) << fleet.output;
  EXPECT_EQ(fleet.policy("abort"), 0) << fleet.output;
  fleet.fixture.apply_fault("heal router0>registry");
  EXPECT_EQ(fleet.propose(5.0), 0) << fleet.output;
  EXPECT_TRUE(fleet.await_change(all, "done")) << fleet.fixture.logs();
  EXPECT_TRUE(fleet.await_version(all, fleet.version()));
  EXPECT_EQ(fleet.check(), kNoViolations);
  const auto decided = fleet.decided();
  EXPECT_FALSE(decided.contains("1") || decided.contains("2")) << "neither version took effect";
}

TEST(PolicyFleetTest, AStageIsRolledBackWhenItRejectsTooManyRequests) {
  FleetSpec spec = policy_spec(4);
  spec.zones = {"east", "west"};
  spec.caches = 2;
  PolicyFixture fleet(spec);
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  const std::vector<std::string> all = fleet.fixture.routers();
  ASSERT_TRUE(fleet.await_version(all, 0));
  program::PolicyCommand command;
  command.action = "propose";
  command.file = fleet.fixture.folder() + "/no.json";
  command.stages = {"east"};
  command.watch_s = 60;
  command.max_rejected_share = 0.2;
  std::ofstream(command.file) << R"({"schema":1,"content":{"classes":{"media":{"serve":false}}}})";
  ASSERT_EQ(fleet.policy(command), 0) << fleet.output;
  EXPECT_TRUE(fleet.run_until_under_load(all, [&] {
    const json change = fleet.status()["change"];
    return change.is_object() &&
           change.value("why", std::string()).find("turned back") != std::string::npos &&
           change.value("state", std::string()) == "done";
  })) << fleet.fixture.logs();
  EXPECT_TRUE(fleet.await_version(all, 0)) << fleet.fixture.logs();
  // No router of the other zone decided under it.
  for (const fleet::SentRequest& one : fleet.fixture.load().requests()) {
    if (fleet.fixture.layout().member(one.router).zone == "west") {
      EXPECT_NE(one.policy, "1") << one.router;
    }
  }
}

}  // namespace
}  // namespace trailcourse::testing_support
