// Policy rollouts through aggregators, with real processes under load and faults between them. The check is
// the same as without aggregators: for each rollout there is a moment that separates the old version from the
// new one over all routers, whatever happens to aggregators, links, routers and the store meanwhile.
#include <algorithm>
#include <filesystem>
#include <set>
#include <string>
#include <vector>

#include "fleet/policy_fixture.h"

namespace trailcourse::testing_support {
namespace {

using fleet::FleetSpec;
using nlohmann::json;

// Returns a fleet with a zone and a cache for each region and this total number of aggregators. Its times are
// short enough for a test.
FleetSpec aggregated_spec(int routers, int regions, int aggregators) {
  FleetSpec spec = policy_spec(routers);
  spec.zones.clear();
  for (int i = 0; i < regions; ++i) {
    spec.zones.push_back("zone" + std::to_string(i));
  }
  spec.caches = regions;
  spec.regions = regions;
  spec.aggregators = aggregators;
  spec.aggregator = {{"ttl_ms", 2'000}, {"renew_ms", 250}, {"retry_ms", 100}};
  return spec;
}

class AggregatedFleet : public PolicyFixture {
 public:
  explicit AggregatedFleet(const FleetSpec& spec, const std::vector<std::string>& proxied = {})
      : PolicyFixture(spec, proxied), all(fixture.routers()) {
    EXPECT_TRUE(await_version(all, 0)) << fixture.logs();
  }

  std::vector<std::string> routers_of(const std::string& zone) {
    std::vector<std::string> out;
    std::copy_if(all.begin(), all.end(), std::back_inserter(out),
                 [&](const std::string& router) { return fixture.layout().member(router).zone == zone; });
    return out;
  }
  // Expects a rollout to complete, and its version to be in force at `routers`.
  void expect_rollout(const std::vector<std::string>& routers, double priority_weight) {
    ASSERT_EQ(propose(priority_weight), 0) << output;
    EXPECT_TRUE(await_change(routers, "done")) << fixture.logs();
    EXPECT_TRUE(await_version(routers, version())) << fixture.logs();
  }
  // Waits until none of `routers` decides under any version.
  bool await_rejection(const std::vector<std::string>& routers) {
    return fixture.run_until([&] {
      return std::all_of(routers.begin(), routers.end(),
                         [&](const std::string& router) { return answer(router).policy == "-"; });
    });
  }

  const std::vector<std::string> all;
};

TEST(AggregationFleetTest, RolloutToThirtyRoutersInThreeRegionsTakesEffectEverywhere) {
  AggregatedFleet fleet(aggregated_spec(30, 3, 3));
  ASSERT_FALSE(testing::Test::HasFailure());
  ASSERT_NO_FATAL_FAILURE(fleet.expect_rollout(fleet.all, 2.0));
  ASSERT_NO_FATAL_FAILURE(fleet.expect_rollout(fleet.all, 3.0));
  EXPECT_EQ(fleet.version(), 2U);
  EXPECT_EQ(fleet.check(), kNoViolations);
  // In the store there are reports of aggregators only, with the number of routers that they represent.
  json permits;
  EXPECT_TRUE(fleet.fixture.run_until([&] {
    permits = fleet.status()["permits"];
    std::uint64_t routers = 0;
    for (const json& permit : permits) {
      routers += permit.value("routers", std::uint64_t{0});
    }
    return routers == fleet.all.size();
  })) << fleet.output;
  for (const json& permit : permits) {
    EXPECT_TRUE(permit.value("router", "").starts_with("aggregator")) << permit;
  }
}

TEST(AggregationFleetTest, VersionThatOneRouterRejectsIsAborted) {
  AggregatedFleet fleet(aggregated_spec(4, 2, 2));
  ASSERT_FALSE(testing::Test::HasFailure());
  ASSERT_EQ(fleet.propose(2.0, false, R"(,"limits":{"open_requests":9000000})"), 0) << fleet.output;
  EXPECT_TRUE(fleet.await_change(fleet.all, "aborted")) << fleet.fixture.logs();
  EXPECT_NE(fleet.status()["change"].value("why", "").find("open_requests"), std::string::npos)
      << fleet.output;
  EXPECT_EQ(fleet.check(), kNoViolations);
  EXPECT_FALSE(fleet.decided().contains("1")) << "no request was decided under the rejected version";
}

// ---- Acknowledged events of the discovery service ----

json purge_of(const std::string& object) { return {{"flush", {{"asset", object}, {"ms", 1}}}}; }

class AcknowledgingFleet : public AggregatedFleet {
 public:
  explicit AcknowledgingFleet(int routers, int regions, const std::vector<std::string>& proxied = {})
      : AggregatedFleet(aggregated_spec(routers, regions, regions), proxied) {
    acknowledge_events();
  }
  std::uint64_t purge() { return fixture.append_event(purge_of(fleet::object_name(7))); }
};

TEST(AcknowledgementFleetTest, PurgeIsReportedAsAppliedByAllThirtyRouters) {
  AcknowledgingFleet fleet(30, 3);
  ASSERT_FALSE(testing::Test::HasFailure());
  for (int i = 0; i < 3; ++i) {
    const std::uint64_t event = fleet.purge();
    ASSERT_TRUE(fleet.await_acknowledged(event)) << fleet.output << fleet.fixture.logs();
    EXPECT_EQ(fleet.acknowledged()["awaited"], json::array());
  }
}

// A suspended router may send, once it resumes, what it had decided before. The round waits for it until its
// lease has certainly expired, and never reports it to have applied an event that it has not.
TEST(AcknowledgementFleetTest, SuspendedRouterIsAwaitedUntilItsLeaseExpires) {
  AcknowledgingFleet fleet(6, 2);
  ASSERT_FALSE(testing::Test::HasFailure());
  ASSERT_TRUE(fleet.await_acknowledged(fleet.purge())) << fleet.output << fleet.fixture.logs();
  const std::string stopped = fleet.all.front();
  fleet.fixture.apply_fault("stop " + stopped);
  const std::uint64_t event = fleet.purge();
  EXPECT_TRUE(fleet.await_acknowledged(event)) << fleet.output << fleet.fixture.logs();
  fleet.fixture.apply_fault("cont " + stopped);
  const std::uint64_t later = fleet.purge();
  EXPECT_TRUE(fleet.await_acknowledged(later)) << fleet.output << fleet.fixture.logs();
  EXPECT_TRUE(fleet.await_version(fleet.all, 0)) << fleet.fixture.logs();
}

TEST(AcknowledgementFleetTest, RouterCutOffFromDiscoveryIsNamedAndDelaysTheRound) {
  AcknowledgingFleet fleet(4, 2, {"router*>board"});
  ASSERT_FALSE(testing::Test::HasFailure());
  ASSERT_TRUE(fleet.await_acknowledged(fleet.purge())) << fleet.output << fleet.fixture.logs();
  const std::string isolated = fleet.all.front();
  fleet.fixture.apply_fault("cut " + isolated + ">board both");
  const std::uint64_t event = fleet.purge();
  EXPECT_TRUE(fleet.fixture.run_until([&] {
    const json awaited = fleet.acknowledged().value("awaited", json::array());
    return awaited.size() == 1 && awaited[0].get<std::string>().find(isolated) != std::string::npos;
  })) << fleet.output
      << fleet.fixture.logs();
  EXPECT_LT(fleet.acknowledged()["done"]["event"], event);
  fleet.fixture.apply_fault("heal " + isolated + ">board");
  EXPECT_TRUE(fleet.await_acknowledged(event)) << fleet.output << fleet.fixture.logs();
}

TEST(AcknowledgementFleetTest, RoundsContinueAfterTheCoordinatorIsKilledAndRoutersRestart) {
  AcknowledgingFleet fleet(6, 2);
  ASSERT_FALSE(testing::Test::HasFailure());
  ASSERT_TRUE(fleet.await_acknowledged(fleet.purge())) << fleet.output << fleet.fixture.logs();
  const bool first_coordinates =
      fleet.fixture.supervisor().log("aggregator0").find("starts events/0") != std::string::npos;
  const std::string coordinator = first_coordinates ? "aggregator0" : "aggregator1";
  fleet.fixture.supervisor().kill(coordinator);
  fleet.fixture.supervisor().kill(fleet.all.front());
  const std::uint64_t event = fleet.purge();
  fleet.fixture.start(fleet.all.front());
  EXPECT_TRUE(fleet.await_acknowledged(event)) << fleet.output << fleet.fixture.logs();
  fleet.fixture.start(coordinator);
  EXPECT_TRUE(fleet.await_acknowledged(fleet.purge())) << fleet.output << fleet.fixture.logs();
  EXPECT_TRUE(fleet.await_version(fleet.all, 0)) << fleet.fixture.logs();
}

TEST(AcknowledgementFleetTest, RestartedDiscoveryServiceIsFollowedFromItsFirstEvent) {
  AcknowledgingFleet fleet(4, 2);
  ASSERT_FALSE(testing::Test::HasFailure());
  for (int i = 0; i < 5; ++i) {
    fleet.purge();
  }
  ASSERT_TRUE(fleet.await_acknowledged(fleet.purge())) << fleet.output << fleet.fixture.logs();
  const std::string before = fleet.acknowledged()["done"]["board"];
  fleet.fixture.supervisor().kill("board");
  fleet.fixture.layout().write();  // the first page only: its sequence numbers start again
  fleet.fixture.start("board");
  const std::uint64_t event = fleet.purge();
  EXPECT_TRUE(fleet.fixture.run_until([&] {
    const json done = fleet.acknowledged().value("done", json::object());
    return done.value("board", before) != before && done.value("event", std::uint64_t{0}) >= event;
  })) << fleet.output
      << fleet.fixture.logs();
}

// No further round is requested, and the discovery service of the last round was replaced, so that a router
// can join only after an operator has reset the acknowledgement.
TEST(AcknowledgementFleetTest, RouterJoinsAfterTheAcknowledgementIsReset) {
  AcknowledgingFleet fleet(4, 2);
  ASSERT_FALSE(testing::Test::HasFailure());
  ASSERT_TRUE(fleet.await_acknowledged(fleet.purge())) << fleet.output << fleet.fixture.logs();
  fleet.acknowledge_events(false);
  const std::string router = fleet.all.front();
  fleet.fixture.supervisor().kill(router);
  fleet.fixture.supervisor().kill("board");
  fleet.fixture.layout().write();
  fleet.fixture.start("board");
  fleet.fixture.start(router);
  EXPECT_TRUE(fleet.await_rejection({router})) << fleet.fixture.logs();
  program::PolicyCommand forget;
  forget.action = "acknowledged";
  forget.forget = true;
  EXPECT_EQ(fleet.policy(forget), 0) << fleet.output;
  EXPECT_TRUE(fleet.await_version(fleet.all, 0)) << fleet.fixture.logs();
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
    testing::Values(AggregatorFault{"Killed", {"kill aggregator0"}, {"start aggregator0"}},
                    AggregatorFault{"Stopped", {"stop aggregator0"}, {"cont aggregator0"}},
                    AggregatorFault{"Ended", {"end aggregator0"}, {"start aggregator0"}},
                    AggregatorFault{"CutOffFromTheStore",
                                    {"cut aggregator0>registry both"},
                                    {"heal aggregator0>registry"}},
                    AggregatorFault{"CutOffFromItsRouters",
                                    {"cut router*>aggregator0 both"},
                                    {"heal router*>aggregator0"}}),
    [](const auto& fault) { return fault.param.name; });

// The routers of the faulty aggregator use the other region's aggregator. Rollouts meanwhile and
// afterwards take effect everywhere.
TEST_P(AggregatorFaultTest, RoutersMoveAndRolloutsSucceedMeanwhileAndAfterwards) {
  AggregatedFleet fleet(aggregated_spec(6, 2, 2), {"router*>aggregator*", "aggregator*>registry"});
  ASSERT_FALSE(testing::Test::HasFailure());
  for (const std::string& line : GetParam().begins) {
    fleet.fixture.apply_fault(line);
  }
  ASSERT_NO_FATAL_FAILURE(fleet.expect_rollout(fleet.all, 2.0));
  if (GetParam().name == "Ended") {
    EXPECT_TRUE(fleet.fixture.run_until([&] { return !fleet.fixture.supervisor().alive("aggregator0"); }))
        << fleet.fixture.logs();
  }
  for (const std::string& line : GetParam().ends) {
    fleet.fixture.apply_fault(line);
  }
  ASSERT_NO_FATAL_FAILURE(fleet.expect_rollout(fleet.all, 3.0));
  EXPECT_EQ(fleet.version(), 2U);
  EXPECT_EQ(fleet.check(), kNoViolations);
}

// The same, with a rollout already in progress.
TEST_P(AggregatorFaultTest, DuringARolloutNothingIsDecidedUnderTwoVersions) {
  AggregatedFleet fleet(aggregated_spec(6, 2, 2), {"router*>aggregator*", "aggregator*>registry"});
  ASSERT_FALSE(testing::Test::HasFailure());
  ASSERT_EQ(fleet.propose(2.0), 0) << fleet.output;
  ASSERT_TRUE(fleet.run_until_under_load(fleet.all, [&] {
    const std::string log =
        fleet.fixture.supervisor().log("aggregator0") + fleet.fixture.supervisor().log("aggregator1");
    return log.find("starts policy/0") != std::string::npos;
  })) << fleet.fixture.logs();
  for (const std::string& line : GetParam().begins) {
    fleet.fixture.apply_fault(line);
  }
  std::string state;
  EXPECT_TRUE(fleet.run_until_under_load(fleet.all, [&] {
    state = fleet.change_state();
    return state == "done" || state == "aborted";
  })) << fleet.fixture.logs();
  EXPECT_TRUE(fleet.await_version(fleet.all, fleet.version())) << fleet.fixture.logs();
  for (const std::string& line : GetParam().ends) {
    fleet.fixture.apply_fault(line);
  }
  ASSERT_NO_FATAL_FAILURE(fleet.expect_rollout(fleet.all, 3.0));
  EXPECT_EQ(fleet.check(), kNoViolations);
}

// The region's aggregator loses the store, and its routers lose the other regions' aggregators.
TEST(AggregationFleetTest, IsolatedRegionRejectsRequestsAndJoinsAfterTheRollout) {
  AggregatedFleet fleet(aggregated_spec(30, 3, 3), {"router*>aggregator*", "aggregator*>registry"});
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
    fleet.fixture.apply_fault("cut " + link + " both");
  }
  ASSERT_EQ(fleet.propose(2.0), 0) << fleet.output;
  EXPECT_TRUE(fleet.await_change(fleet.all, "done")) << fleet.fixture.logs();
  EXPECT_TRUE(fleet.await_version(rest, 1)) << fleet.fixture.logs();
  for (const std::string& router : cut) {
    const fleet::SentRequest request = fleet.answer(router);
    EXPECT_EQ(request.policy, "-") << "without the store no version is in force";
    EXPECT_EQ(request.status, 503);
  }
  for (const std::string& link : links) {
    fleet.fixture.apply_fault("heal " + link);
  }
  EXPECT_TRUE(fleet.await_version(fleet.all, 1)) << fleet.fixture.logs();
  EXPECT_EQ(fleet.check(), kNoViolations);
}

TEST(AggregationFleetTest, HalfOfTheRoutersRestartDuringARollout) {
  constexpr int kRollouts = 3;
  AggregatedFleet fleet(aggregated_spec(10, 2, 2));
  ASSERT_FALSE(testing::Test::HasFailure());
  const std::vector<std::string> half(fleet.all.begin(), fleet.all.begin() + 5);
  for (int i = 0; i < kRollouts; ++i) {
    ASSERT_EQ(fleet.propose(2.0 + i), 0) << fleet.output;
    for (const std::string& router : half) {
      fleet.fixture.supervisor().kill(router);
    }
    for (const std::string& router : half) {
      fleet.fixture.start(router);
    }
    EXPECT_TRUE(fleet.await_change(fleet.all, "done")) << fleet.fixture.logs();
    EXPECT_TRUE(fleet.await_version(fleet.all, fleet.version())) << fleet.fixture.logs();
  }
  EXPECT_EQ(fleet.version(), static_cast<std::uint64_t>(kRollouts));
  EXPECT_EQ(fleet.check(), kNoViolations);
}

TEST(AggregationFleetTest, RoutersThatJoinDuringARolloutDecideUnderTheNewVersionOrNone) {
  AggregatedFleet fleet(aggregated_spec(8, 2, 2));
  ASSERT_FALSE(testing::Test::HasFailure());
  const std::vector<std::string> joiners(fleet.all.begin() + 5, fleet.all.end());
  for (const std::string& router : joiners) {
    fleet.fixture.supervisor().kill(router);
  }
  ASSERT_EQ(fleet.propose(2.0), 0) << fleet.output;
  for (const std::string& router : joiners) {
    fleet.fixture.start(router);
  }
  EXPECT_TRUE(fleet.await_change(fleet.all, "done")) << fleet.fixture.logs();
  EXPECT_TRUE(fleet.await_version(fleet.all, 1)) << fleet.fixture.logs();
  EXPECT_EQ(fleet.check(), kNoViolations);
}

TEST(AggregationFleetTest, StoreIsKilledDuringARollout) {
  AggregatedFleet fleet(aggregated_spec(6, 2, 2));
  ASSERT_FALSE(testing::Test::HasFailure());
  for (int i = 0; i < 3; ++i) {
    ASSERT_EQ(fleet.propose(2.0 + i), 0) << fleet.output;
    fleet.fixture.supervisor().kill("registry");
    fleet.fixture.start("registry");
    EXPECT_TRUE(fleet.run_until_under_load(fleet.all, [&] {
      const std::string state = fleet.change_state();
      return state == "done" || state == "aborted";
    })) << fleet.fixture.logs();
    EXPECT_TRUE(fleet.await_version(fleet.all, fleet.version())) << fleet.fixture.logs();
  }
  EXPECT_EQ(fleet.check(), kNoViolations);
}

// The copy was made before the last rollout and has the same id: routers have decided under a version that it
// lacks.
TEST(AggregationFleetTest, RoutersRejectAStoreThatWasRestoredFromAnOldCopy) {
  AggregatedFleet fleet(aggregated_spec(6, 2, 2));
  ASSERT_FALSE(testing::Test::HasFailure());
  const std::string folder = fleet.fixture.folder() + "/registry-store";
  ASSERT_NO_FATAL_FAILURE(fleet.expect_rollout(fleet.all, 2.0));
  fleet.fixture.supervisor().kill("registry");
  std::filesystem::copy(folder, folder + "-copy", std::filesystem::copy_options::recursive);
  fleet.fixture.start("registry");
  EXPECT_TRUE(fleet.await_version(fleet.all, 1)) << fleet.fixture.logs();
  ASSERT_NO_FATAL_FAILURE(fleet.expect_rollout(fleet.all, 3.0));
  fleet.fixture.supervisor().kill("registry");
  std::filesystem::remove_all(folder);
  std::filesystem::rename(folder + "-copy", folder);
  fleet.fixture.start("registry");
  EXPECT_TRUE(fleet.await_rejection(fleet.all)) << fleet.fixture.logs();
  // A restarted router has seen no higher revision, but its aggregator has.
  fleet.fixture.supervisor().kill(fleet.all.front());
  fleet.fixture.start(fleet.all.front());
  EXPECT_TRUE(fleet.await_rejection({fleet.all.front()})) << fleet.fixture.logs();
  EXPECT_EQ(fleet.check(), kNoViolations);
}

TEST(AggregationFleetTest, RolloutsSucceedWithTwoAggregatorsOfOneName) {
  FleetSpec spec = aggregated_spec(6, 1, 2);
  spec.aggregator["name"] = "east";
  AggregatedFleet fleet(spec);
  ASSERT_FALSE(testing::Test::HasFailure());
  ASSERT_NO_FATAL_FAILURE(fleet.expect_rollout(fleet.all, 2.0));
  fleet.fixture.supervisor().kill("aggregator0");
  ASSERT_NO_FATAL_FAILURE(fleet.expect_rollout(fleet.all, 3.0));
  fleet.fixture.start("aggregator0");
  ASSERT_NO_FATAL_FAILURE(fleet.expect_rollout(fleet.all, 4.0));
  EXPECT_EQ(fleet.version(), 3U);
  EXPECT_EQ(fleet.check(), kNoViolations);
}

}  // namespace
}  // namespace trailcourse::testing_support
