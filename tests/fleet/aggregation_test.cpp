// Policy rollouts through aggregators, with real processes under load and faults between them. The check is
// the same as without aggregators: for each rollout there is a moment that separates the old version from the
// new one over all routers, whatever happens to aggregators, links, routers and the store meanwhile.
#include <algorithm>
#include <filesystem>
#include <set>
#include <string>
#include <vector>

#include "fleet/policy_rig.h"

namespace trailcourse::testing_support {
namespace {

using fleet::FleetSpec;
using nlohmann::json;

// Returns a fleet with a zone and a cache for each region and `aggregators` in all. Its times are short
// enough for a test.
FleetSpec aggregated_shape(int routers, int regions, int aggregators) {
  FleetSpec shape = policy_shape(routers);
  shape.zones.clear();
  for (int i = 0; i < regions; ++i) {
    shape.zones.push_back("zone" + std::to_string(i));
  }
  shape.caches = regions;
  shape.regions = regions;
  shape.aggregators = aggregators;
  shape.aggregator = {{"ttl_ms", 2'000}, {"renew_ms", 250}, {"retry_ms", 100}};
  return shape;
}

class AggregatedFleet : public PolicyRig {
 public:
  explicit AggregatedFleet(const FleetSpec& shape, const std::vector<std::string>& proxied = {})
      : PolicyRig(shape, proxied), all(rig.routers()) {
    EXPECT_TRUE(await_version(all, 0)) << rig.logs();
  }

  std::vector<std::string> routers_of(const std::string& zone) {
    std::vector<std::string> out;
    std::copy_if(all.begin(), all.end(), std::back_inserter(out),
                 [&](const std::string& router) { return rig.layout().member(router).zone == zone; });
    return out;
  }
  // Expects a rollout to complete, and its version to be in force at `routers`.
  void expect_rollout(const std::vector<std::string>& routers, double priority_weight) {
    ASSERT_EQ(propose(priority_weight), 0) << said;
    EXPECT_TRUE(await_change(routers, "done")) << rig.logs();
    EXPECT_TRUE(await_version(routers, version())) << rig.logs();
  }
  // Waits until none of `routers` decides under any version.
  bool await_rejection(const std::vector<std::string>& routers) {
    return rig.until([&] {
      return std::all_of(routers.begin(), routers.end(),
                         [&](const std::string& router) { return answer(router).policy == "-"; });
    });
  }

  const std::vector<std::string> all;
};

TEST(AggregationFleetTest, RolloutToThirtyRoutersInThreeRegionsTakesEffectEverywhere) {
  AggregatedFleet fleet(aggregated_shape(30, 3, 3));
  ASSERT_FALSE(testing::Test::HasFailure());
  ASSERT_NO_FATAL_FAILURE(fleet.expect_rollout(fleet.all, 2.0));
  ASSERT_NO_FATAL_FAILURE(fleet.expect_rollout(fleet.all, 3.0));
  EXPECT_EQ(fleet.version(), 2U);
  EXPECT_EQ(fleet.check(), kNone);
  // In the store there are reports of aggregators only, with the number of routers that they represent.
  json permits;
  EXPECT_TRUE(fleet.rig.until([&] {
    permits = fleet.status()["permits"];
    std::uint64_t routers = 0;
    for (const json& permit : permits) {
      routers += permit.value("routers", std::uint64_t{0});
    }
    return routers == fleet.all.size();
  })) << fleet.said;
  for (const json& permit : permits) {
    EXPECT_TRUE(permit.value("router", "").starts_with("aggregator")) << permit;
  }
}

TEST(AggregationFleetTest, VersionThatOneRouterRejectsIsAborted) {
  AggregatedFleet fleet(aggregated_shape(4, 2, 2));
  ASSERT_FALSE(testing::Test::HasFailure());
  ASSERT_EQ(fleet.propose(2.0, false, R"(,"limits":{"open_requests":9000000})"), 0) << fleet.said;
  EXPECT_TRUE(fleet.await_change(fleet.all, "aborted")) << fleet.rig.logs();
  EXPECT_NE(fleet.status()["change"].value("why", "").find("open_requests"), std::string::npos) << fleet.said;
  EXPECT_EQ(fleet.check(), kNone);
  EXPECT_FALSE(fleet.decided().contains("1")) << "no request was decided under the rejected version";
}

// ---- Acknowledged events of the discovery service ----

json purge_of(const std::string& object) { return {{"flush", {{"asset", object}, {"ms", 1}}}}; }

class AcknowledgingFleet : public AggregatedFleet {
 public:
  explicit AcknowledgingFleet(int routers, int regions, const std::vector<std::string>& proxied = {})
      : AggregatedFleet(aggregated_shape(routers, regions, regions), proxied) {
    acknowledge_events();
  }
  std::uint64_t purge() { return rig.post(purge_of(fleet::object_name(7))); }
};

TEST(AcknowledgementFleetTest, PurgeIsReportedAsAppliedByAllThirtyRouters) {
  AcknowledgingFleet fleet(30, 3);
  ASSERT_FALSE(testing::Test::HasFailure());
  for (int i = 0; i < 3; ++i) {
    const std::uint64_t event = fleet.purge();
    ASSERT_TRUE(fleet.await_acknowledged(event)) << fleet.said << fleet.rig.logs();
    EXPECT_EQ(fleet.acknowledged()["awaited"], json::array());
  }
}

// A suspended router may send, once it resumes, what it had decided before. It is awaited until its lease has
// certainly expired, and is never reported to have applied an event that it has not.
TEST(AcknowledgementFleetTest, SuspendedRouterIsAwaitedUntilItsLeaseExpires) {
  AcknowledgingFleet fleet(6, 2);
  ASSERT_FALSE(testing::Test::HasFailure());
  ASSERT_TRUE(fleet.await_acknowledged(fleet.purge())) << fleet.said << fleet.rig.logs();
  const std::string stopped = fleet.all.front();
  fleet.rig.fault("stop " + stopped);
  const std::uint64_t event = fleet.purge();
  EXPECT_TRUE(fleet.await_acknowledged(event)) << fleet.said << fleet.rig.logs();
  fleet.rig.fault("cont " + stopped);
  const std::uint64_t later = fleet.purge();
  EXPECT_TRUE(fleet.await_acknowledged(later)) << fleet.said << fleet.rig.logs();
  EXPECT_TRUE(fleet.await_version(fleet.all, 0)) << fleet.rig.logs();
}

TEST(AcknowledgementFleetTest, RouterCutOffFromDiscoveryIsNamedAndDelaysTheRound) {
  AcknowledgingFleet fleet(4, 2, {"router*>board"});
  ASSERT_FALSE(testing::Test::HasFailure());
  ASSERT_TRUE(fleet.await_acknowledged(fleet.purge())) << fleet.said << fleet.rig.logs();
  const std::string isolated = fleet.all.front();
  fleet.rig.fault("cut " + isolated + ">board both");
  const std::uint64_t event = fleet.purge();
  EXPECT_TRUE(fleet.rig.until([&] {
    const json awaited = fleet.acknowledged().value("awaited", json::array());
    return awaited.size() == 1 && awaited[0].get<std::string>().find(isolated) != std::string::npos;
  })) << fleet.said
      << fleet.rig.logs();
  EXPECT_LT(fleet.acknowledged()["done"]["event"], event);
  fleet.rig.fault("heal " + isolated + ">board");
  EXPECT_TRUE(fleet.await_acknowledged(event)) << fleet.said << fleet.rig.logs();
}

TEST(AcknowledgementFleetTest, RoundsContinueAfterTheCoordinatorIsKilledAndRoutersRestart) {
  AcknowledgingFleet fleet(6, 2);
  ASSERT_FALSE(testing::Test::HasFailure());
  ASSERT_TRUE(fleet.await_acknowledged(fleet.purge())) << fleet.said << fleet.rig.logs();
  const bool first_coordinates =
      fleet.rig.fleet().log("aggregator0").find("starts events/0") != std::string::npos;
  const std::string coordinator = first_coordinates ? "aggregator0" : "aggregator1";
  fleet.rig.fleet().kill(coordinator);
  fleet.rig.fleet().kill(fleet.all.front());
  const std::uint64_t event = fleet.purge();
  fleet.rig.start(fleet.all.front());
  EXPECT_TRUE(fleet.await_acknowledged(event)) << fleet.said << fleet.rig.logs();
  fleet.rig.start(coordinator);
  EXPECT_TRUE(fleet.await_acknowledged(fleet.purge())) << fleet.said << fleet.rig.logs();
  EXPECT_TRUE(fleet.await_version(fleet.all, 0)) << fleet.rig.logs();
}

TEST(AcknowledgementFleetTest, RestartedDiscoveryServiceIsFollowedFromItsFirstEvent) {
  AcknowledgingFleet fleet(4, 2);
  ASSERT_FALSE(testing::Test::HasFailure());
  for (int i = 0; i < 5; ++i) {
    fleet.purge();
  }
  ASSERT_TRUE(fleet.await_acknowledged(fleet.purge())) << fleet.said << fleet.rig.logs();
  const std::string before = fleet.acknowledged()["done"]["board"];
  fleet.rig.fleet().kill("board");
  fleet.rig.layout().write();  // the first page only: its sequence numbers start again
  fleet.rig.start("board");
  const std::uint64_t event = fleet.purge();
  EXPECT_TRUE(fleet.rig.until([&] {
    const json done = fleet.acknowledged().value("done", json::object());
    return done.value("board", before) != before && done.value("event", std::uint64_t{0}) >= event;
  })) << fleet.said
      << fleet.rig.logs();
}

// No further round is requested, and the discovery service of the last one is gone: only operators can let a
// router join.
TEST(AcknowledgementFleetTest, RouterJoinsAfterTheAcknowledgementIsReset) {
  AcknowledgingFleet fleet(4, 2);
  ASSERT_FALSE(testing::Test::HasFailure());
  ASSERT_TRUE(fleet.await_acknowledged(fleet.purge())) << fleet.said << fleet.rig.logs();
  fleet.acknowledge_events(false);
  const std::string router = fleet.all.front();
  fleet.rig.fleet().kill(router);
  fleet.rig.fleet().kill("board");
  fleet.rig.layout().write();
  fleet.rig.start("board");
  fleet.rig.start(router);
  EXPECT_TRUE(fleet.await_rejection({router})) << fleet.rig.logs();
  program::PolicyCommand forget;
  forget.action = "acknowledged";
  forget.forget = true;
  EXPECT_EQ(fleet.policy(forget), 0) << fleet.said;
  EXPECT_TRUE(fleet.await_version(fleet.all, 0)) << fleet.rig.logs();
}

struct AggregatorFault {
  std::string name;
  std::vector<std::string> begins;
  std::vector<std::string> ends;
};
void PrintTo(const AggregatorFault& fault, std::ostream* out) { *out << fault.name; }

class AggregatorFaultTest : public testing::TestWithParam<AggregatorFault> {};
INSTANTIATE_TEST_SUITE_P(
    Faults, AggregatorFaultTest,
    testing::Values(
        AggregatorFault{"Killed", {"kill aggregator0"}, {"start aggregator0"}},
        AggregatorFault{"Stopped", {"stop aggregator0"}, {"cont aggregator0"}},
        AggregatorFault{"Ended", {"end aggregator0"}, {"start aggregator0"}},
        AggregatorFault{"CutOffAbove", {"cut aggregator0>registry both"}, {"heal aggregator0>registry"}},
        AggregatorFault{"CutOffBelow", {"cut router*>aggregator0 both"}, {"heal router*>aggregator0"}}),
    [](const auto& fault) { return fault.param.name; });

// Its routers continue at the other region's aggregator. Rollouts meanwhile and afterwards take effect
// everywhere.
TEST_P(AggregatorFaultTest, RoutersMoveAndRolloutsSucceedMeanwhileAndAfterwards) {
  AggregatedFleet fleet(aggregated_shape(6, 2, 2), {"router*>aggregator*", "aggregator*>registry"});
  ASSERT_FALSE(testing::Test::HasFailure());
  for (const std::string& line : GetParam().begins) {
    fleet.rig.fault(line);
  }
  ASSERT_NO_FATAL_FAILURE(fleet.expect_rollout(fleet.all, 2.0));
  if (GetParam().name == "Ended") {
    EXPECT_TRUE(fleet.rig.until([&] { return !fleet.rig.fleet().alive("aggregator0"); })) << fleet.rig.logs();
  }
  for (const std::string& line : GetParam().ends) {
    fleet.rig.fault(line);
  }
  ASSERT_NO_FATAL_FAILURE(fleet.expect_rollout(fleet.all, 3.0));
  EXPECT_EQ(fleet.version(), 2U);
  EXPECT_EQ(fleet.check(), kNone);
}

// The same, with a rollout already in progress.
TEST_P(AggregatorFaultTest, DuringARolloutNothingIsDecidedUnderTwoVersions) {
  AggregatedFleet fleet(aggregated_shape(6, 2, 2), {"router*>aggregator*", "aggregator*>registry"});
  ASSERT_FALSE(testing::Test::HasFailure());
  ASSERT_EQ(fleet.propose(2.0), 0) << fleet.said;
  ASSERT_TRUE(fleet.until_loaded(fleet.all, [&] {
    const std::string log = fleet.rig.fleet().log("aggregator0") + fleet.rig.fleet().log("aggregator1");
    return log.find("starts policy/0") != std::string::npos;
  })) << fleet.rig.logs();
  for (const std::string& line : GetParam().begins) {
    fleet.rig.fault(line);
  }
  std::string state;
  EXPECT_TRUE(fleet.until_loaded(fleet.all, [&] {
    state = fleet.change_state();
    return state == "done" || state == "aborted";
  })) << fleet.rig.logs();
  EXPECT_TRUE(fleet.await_version(fleet.all, fleet.version())) << fleet.rig.logs();
  for (const std::string& line : GetParam().ends) {
    fleet.rig.fault(line);
  }
  ASSERT_NO_FATAL_FAILURE(fleet.expect_rollout(fleet.all, 3.0));
  EXPECT_EQ(fleet.check(), kNone);
}

// The region's aggregator loses the store, and its routers lose the other regions' aggregators.
TEST(AggregationFleetTest, IsolatedRegionRejectsRequestsAndJoinsAfterTheRollout) {
  AggregatedFleet fleet(aggregated_shape(30, 3, 3), {"router*>aggregator*", "aggregator*>registry"});
  ASSERT_FALSE(testing::Test::HasFailure());
  const std::vector<std::string> cut = fleet.routers_of("zone0");
  std::vector<std::string> rest = fleet.routers_of("zone1");
  const std::vector<std::string> third = fleet.routers_of("zone2");
  rest.insert(rest.end(), third.begin(), third.end());
  // The link from the third region to the first one's aggregator, its second endpoint, stays open.
  std::vector<std::string> links{"aggregator0>registry"};
  for (const std::string& router : cut) {
    links.push_back(router + ">aggregator1");
  }
  for (const std::string& link : links) {
    fleet.rig.fault("cut " + link + " both");
  }
  ASSERT_EQ(fleet.propose(2.0), 0) << fleet.said;
  EXPECT_TRUE(fleet.await_change(fleet.all, "done")) << fleet.rig.logs();
  EXPECT_TRUE(fleet.await_version(rest, 1)) << fleet.rig.logs();
  for (const std::string& router : cut) {
    const fleet::Asked asked = fleet.answer(router);
    EXPECT_EQ(asked.policy, "-") << "without the store no version is in force";
    EXPECT_EQ(asked.status, 503);
  }
  for (const std::string& link : links) {
    fleet.rig.fault("heal " + link);
  }
  EXPECT_TRUE(fleet.await_version(fleet.all, 1)) << fleet.rig.logs();
  EXPECT_EQ(fleet.check(), kNone);
}

TEST(AggregationFleetTest, HalfOfTheRoutersRestartDuringARollout) {
  constexpr int kRollouts = 3;
  AggregatedFleet fleet(aggregated_shape(10, 2, 2));
  ASSERT_FALSE(testing::Test::HasFailure());
  const std::vector<std::string> half(fleet.all.begin(), fleet.all.begin() + 5);
  for (int i = 0; i < kRollouts; ++i) {
    ASSERT_EQ(fleet.propose(2.0 + i), 0) << fleet.said;
    for (const std::string& router : half) {
      fleet.rig.fleet().kill(router);
    }
    for (const std::string& router : half) {
      fleet.rig.start(router);
    }
    EXPECT_TRUE(fleet.await_change(fleet.all, "done")) << fleet.rig.logs();
    EXPECT_TRUE(fleet.await_version(fleet.all, fleet.version())) << fleet.rig.logs();
  }
  EXPECT_EQ(fleet.version(), static_cast<std::uint64_t>(kRollouts));
  EXPECT_EQ(fleet.check(), kNone);
}

TEST(AggregationFleetTest, RoutersThatJoinDuringARolloutDecideUnderTheNewVersionOrNone) {
  AggregatedFleet fleet(aggregated_shape(8, 2, 2));
  ASSERT_FALSE(testing::Test::HasFailure());
  const std::vector<std::string> joiners(fleet.all.begin() + 5, fleet.all.end());
  for (const std::string& router : joiners) {
    fleet.rig.fleet().kill(router);
  }
  ASSERT_EQ(fleet.propose(2.0), 0) << fleet.said;
  for (const std::string& router : joiners) {
    fleet.rig.start(router);
  }
  EXPECT_TRUE(fleet.await_change(fleet.all, "done")) << fleet.rig.logs();
  EXPECT_TRUE(fleet.await_version(fleet.all, 1)) << fleet.rig.logs();
  EXPECT_EQ(fleet.check(), kNone);
}

TEST(AggregationFleetTest, StoreIsKilledDuringARollout) {
  AggregatedFleet fleet(aggregated_shape(6, 2, 2));
  ASSERT_FALSE(testing::Test::HasFailure());
  for (int i = 0; i < 3; ++i) {
    ASSERT_EQ(fleet.propose(2.0 + i), 0) << fleet.said;
    fleet.rig.fleet().kill("registry");
    fleet.rig.start("registry");
    EXPECT_TRUE(fleet.until_loaded(fleet.all, [&] {
      const std::string state = fleet.change_state();
      return state == "done" || state == "aborted";
    })) << fleet.rig.logs();
    EXPECT_TRUE(fleet.await_version(fleet.all, fleet.version())) << fleet.rig.logs();
  }
  EXPECT_EQ(fleet.check(), kNone);
}

// The copy was made before the last rollout and has the same id: routers have decided under a version that it
// lacks.
TEST(AggregationFleetTest, RoutersRejectAStoreThatWasRestoredFromAnOldCopy) {
  AggregatedFleet fleet(aggregated_shape(6, 2, 2));
  ASSERT_FALSE(testing::Test::HasFailure());
  const std::string folder = fleet.rig.folder() + "/registry-store";
  ASSERT_NO_FATAL_FAILURE(fleet.expect_rollout(fleet.all, 2.0));
  fleet.rig.fleet().kill("registry");
  std::filesystem::copy(folder, folder + "-copy", std::filesystem::copy_options::recursive);
  fleet.rig.start("registry");
  EXPECT_TRUE(fleet.await_version(fleet.all, 1)) << fleet.rig.logs();
  ASSERT_NO_FATAL_FAILURE(fleet.expect_rollout(fleet.all, 3.0));
  fleet.rig.fleet().kill("registry");
  std::filesystem::remove_all(folder);
  std::filesystem::rename(folder + "-copy", folder);
  fleet.rig.start("registry");
  EXPECT_TRUE(fleet.await_rejection(fleet.all)) << fleet.rig.logs();
  // A restarted router has seen no higher revision, but its aggregator has.
  fleet.rig.fleet().kill(fleet.all.front());
  fleet.rig.start(fleet.all.front());
  EXPECT_TRUE(fleet.await_rejection({fleet.all.front()})) << fleet.rig.logs();
  EXPECT_EQ(fleet.check(), kNone);
}

TEST(AggregationFleetTest, TwoAggregatorsOfOneNameAreHarmless) {
  FleetSpec shape = aggregated_shape(6, 1, 2);
  shape.aggregator["name"] = "east";
  AggregatedFleet fleet(shape);
  ASSERT_FALSE(testing::Test::HasFailure());
  ASSERT_NO_FATAL_FAILURE(fleet.expect_rollout(fleet.all, 2.0));
  fleet.rig.fleet().kill("aggregator0");
  ASSERT_NO_FATAL_FAILURE(fleet.expect_rollout(fleet.all, 3.0));
  fleet.rig.start("aggregator0");
  ASSERT_NO_FATAL_FAILURE(fleet.expect_rollout(fleet.all, 4.0));
  EXPECT_EQ(fleet.version(), 3U);
  EXPECT_EQ(fleet.check(), kNone);
}

}  // namespace
}  // namespace trailcourse::testing_support
