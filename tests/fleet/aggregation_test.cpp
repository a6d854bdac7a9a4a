// Changes of policy by way of aggregators, with real processes under load and faults between them. Judged as
// without aggregators: for each change there is a moment that separates the old version from the new over all
// routers, whatever became of aggregators, links, routers and the store meanwhile.
#include <algorithm>
#include <filesystem>
#include <set>
#include <string>
#include <vector>

#include "fleet/policy_rig.h"

namespace trailcourse::testing_support {
namespace {

using fleet::Kind;
using fleet::Shape;
using nlohmann::json;

// A zone and a cache for each region, and so many aggregators in all; times short enough for a test.
Shape aggregated_shape(int routers, int regions, int aggregators) {
  Shape shape = policy_shape(routers);
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
  explicit AggregatedFleet(const Shape& shape, const std::vector<std::string>& proxied = {})
      : PolicyRig(shape, proxied), all(rig.routers()) {
    EXPECT_TRUE(await_version(all, 0)) << rig.logs();
  }

  std::vector<std::string> routers_of(const std::string& zone) {
    std::vector<std::string> out;
    std::copy_if(all.begin(), all.end(), std::back_inserter(out),
                 [&](const std::string& router) { return rig.layout().member(router).zone == zone; });
    return out;
  }
  // A change that is made, and is in force at these.
  void expect_change(const std::vector<std::string>& routers, double worth) {
    ASSERT_EQ(propose(worth), 0) << said;
    EXPECT_TRUE(await_change(routers, "done")) << rig.logs();
    EXPECT_TRUE(await_version(routers, version())) << rig.logs();
  }
  // Until no router decides under any version.
  bool await_refusal(const std::vector<std::string>& routers) {
    return rig.until([&] {
      return std::all_of(routers.begin(), routers.end(),
                         [&](const std::string& router) { return answer(router).policy == "-"; });
    });
  }

  const std::vector<std::string> all;
};

TEST(AggregationFleetTest, AChangeOfThirtyRoutersInThreeRegionsTakesHoldEverywhere) {
  AggregatedFleet fleet(aggregated_shape(30, 3, 3));
  ASSERT_FALSE(testing::Test::HasFailure());
  ASSERT_NO_FATAL_FAILURE(fleet.expect_change(fleet.all, 2.0));
  ASSERT_NO_FATAL_FAILURE(fleet.expect_change(fleet.all, 3.0));
  EXPECT_EQ(fleet.version(), 2U);
  EXPECT_EQ(fleet.check(), kNone);
  // The store knows of aggregators alone, and of what they stand for.
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

TEST(AggregationFleetTest, AVersionThatOneRouterCannotLiveByIsRefusedEverywhere) {
  AggregatedFleet fleet(aggregated_shape(4, 2, 2));
  ASSERT_FALSE(testing::Test::HasFailure());
  ASSERT_EQ(fleet.propose(2.0, false, R"(,"limits":{"open_requests":9000000})"), 0) << fleet.said;
  EXPECT_TRUE(fleet.await_change(fleet.all, "aborted")) << fleet.rig.logs();
  EXPECT_NE(fleet.status()["change"].value("why", "").find("open_requests"), std::string::npos) << fleet.said;
  EXPECT_EQ(fleet.check(), kNone);
  EXPECT_FALSE(fleet.decided().contains("1")) << "nobody decided under what was refused";
}

// ---- Acknowledged events of the notice board ----

json purge_of(const std::string& object) { return {{"flush", {{"asset", object}, {"ms", 1}}}}; }

class AcknowledgingFleet : public AggregatedFleet {
 public:
  explicit AcknowledgingFleet(int routers, int regions, const std::vector<std::string>& proxied = {})
      : AggregatedFleet(aggregated_shape(routers, regions, regions), proxied) {
    acknowledge_events();
  }
  std::uint64_t purge() { return rig.post(purge_of(fleet::object_name(7))); }
};

TEST(AcknowledgementFleetTest, APurgeOfThirtyRoutersIsKnownToBeTakenInEverywhere) {
  AcknowledgingFleet fleet(30, 3);
  ASSERT_FALSE(testing::Test::HasFailure());
  for (int i = 0; i < 3; ++i) {
    const std::uint64_t event = fleet.purge();
    ASSERT_TRUE(fleet.await_acknowledged(event)) << fleet.said << fleet.rig.logs();
    EXPECT_EQ(fleet.acknowledged()["awaited"], json::array());
  }
}

// A router that is stopped may have decided already what it sends when it wakes: it is awaited until its
// permission has surely run out, and never told to have taken in what it has not.
TEST(AcknowledgementFleetTest, AStoppedRouterIsAwaitedUntilItsPermissionIsOver) {
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

TEST(AcknowledgementFleetTest, ARouterThatTheBoardDoesNotReachIsNamedAndHoldsTheRound) {
  AcknowledgingFleet fleet(4, 2, {"router*>board"});
  ASSERT_FALSE(testing::Test::HasFailure());
  ASSERT_TRUE(fleet.await_acknowledged(fleet.purge())) << fleet.said << fleet.rig.logs();
  const std::string deaf = fleet.all.front();
  fleet.rig.fault("cut " + deaf + ">board both");
  const std::uint64_t event = fleet.purge();
  EXPECT_TRUE(fleet.rig.until([&] {
    const json awaited = fleet.acknowledged().value("awaited", json::array());
    return awaited.size() == 1 && awaited[0].get<std::string>().find(deaf) != std::string::npos;
  })) << fleet.said
      << fleet.rig.logs();
  EXPECT_LT(fleet.acknowledged()["done"]["event"], event);
  fleet.rig.fault("heal " + deaf + ">board");
  EXPECT_TRUE(fleet.await_acknowledged(event)) << fleet.said << fleet.rig.logs();
}

TEST(AcknowledgementFleetTest, WhoDrivesItMayBeKilledAndRoutersMayBeStartedAnew) {
  AcknowledgingFleet fleet(6, 2);
  ASSERT_FALSE(testing::Test::HasFailure());
  ASSERT_TRUE(fleet.await_acknowledged(fleet.purge())) << fleet.said << fleet.rig.logs();
  const bool first_drives = fleet.rig.fleet().log("aggregator0").find("starts events/0") != std::string::npos;
  const std::string driver = first_drives ? "aggregator0" : "aggregator1";
  fleet.rig.fleet().kill(driver);
  fleet.rig.fleet().kill(fleet.all.front());
  const std::uint64_t event = fleet.purge();
  fleet.rig.start(fleet.all.front());
  EXPECT_TRUE(fleet.await_acknowledged(event)) << fleet.said << fleet.rig.logs();
  fleet.rig.start(driver);
  EXPECT_TRUE(fleet.await_acknowledged(fleet.purge())) << fleet.said << fleet.rig.logs();
  EXPECT_TRUE(fleet.await_version(fleet.all, 0)) << fleet.rig.logs();
}

TEST(AcknowledgementFleetTest, ABoardThatBeganAnewIsAskedAboutFromItsStart) {
  AcknowledgingFleet fleet(4, 2);
  ASSERT_FALSE(testing::Test::HasFailure());
  for (int i = 0; i < 5; ++i) {
    fleet.purge();
  }
  ASSERT_TRUE(fleet.await_acknowledged(fleet.purge())) << fleet.said << fleet.rig.logs();
  const std::string before = fleet.acknowledged()["done"]["board"];
  fleet.rig.fleet().kill("board");
  fleet.rig.layout().write();  // the first page alone: its numbers begin anew
  fleet.rig.start("board");
  const std::uint64_t event = fleet.purge();
  EXPECT_TRUE(fleet.rig.until([&] {
    const json done = fleet.acknowledged().value("done", json::object());
    return done.value("board", before) != before && done.value("event", std::uint64_t{0}) >= event;
  })) << fleet.said
      << fleet.rig.logs();
}

// Nobody asks again, and the board that was asked about is gone: only staff can let a router join.
TEST(AcknowledgementFleetTest, WhatIsForgottenKeepsNoRouterOut) {
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
  EXPECT_TRUE(fleet.await_refusal({router})) << fleet.rig.logs();
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
class AggregatorFaultTest : public testing::TestWithParam<AggregatorFault> {};
INSTANTIATE_TEST_SUITE_P(
    Faults, AggregatorFaultTest,
    testing::Values(
        AggregatorFault{"Killed", {"kill aggregator0"}, {"start aggregator0"}},
        AggregatorFault{"Stopped", {"stop aggregator0"}, {"cont aggregator0"}},
        AggregatorFault{"Ended", {"end aggregator0"}, {"start aggregator0"}},
        AggregatorFault{"CutOffAbove", {"cut aggregator0>registry both"}, {"heal aggregator0>registry"}},
        AggregatorFault{"CutOffBelow", {"cut router*>aggregator0 both"}, {"heal router*>aggregator0"}}),
    [](const auto& one) { return one.param.name; });

// Its routers go on at the other region's. What is made meanwhile, and after it is back, is in force
// everywhere.
TEST_P(AggregatorFaultTest, ItsRoutersMoveAndChangesAreMadeMeanwhileAndAfter) {
  AggregatedFleet fleet(aggregated_shape(6, 2, 2), {"router*>aggregator*", "aggregator*>registry"});
  ASSERT_FALSE(testing::Test::HasFailure());
  for (const std::string& line : GetParam().begins) {
    fleet.rig.fault(line);
  }
  ASSERT_NO_FATAL_FAILURE(fleet.expect_change(fleet.all, 2.0));
  if (GetParam().name == "Ended") {
    EXPECT_TRUE(fleet.rig.until([&] { return !fleet.rig.fleet().alive("aggregator0"); })) << fleet.rig.logs();
  }
  for (const std::string& line : GetParam().ends) {
    fleet.rig.fault(line);
  }
  ASSERT_NO_FATAL_FAILURE(fleet.expect_change(fleet.all, 3.0));
  EXPECT_EQ(fleet.version(), 2U);
  EXPECT_EQ(fleet.check(), kNone);
}

// The same, with the change under way already.
TEST_P(AggregatorFaultTest, InMidChangeNothingIsDecidedUnderTwoVersions) {
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
  ASSERT_NO_FATAL_FAILURE(fleet.expect_change(fleet.all, 3.0));
  EXPECT_EQ(fleet.check(), kNone);
}

// Its aggregator loses the store, and its routers the other regions' aggregators.
TEST(AggregationFleetTest, ARegionThatIsCutOffDecidesUnderNothingAndJoinsBehindTheChange) {
  AggregatedFleet fleet(aggregated_shape(30, 3, 3), {"router*>aggregator*", "aggregator*>registry"});
  ASSERT_FALSE(testing::Test::HasFailure());
  const std::vector<std::string> cut = fleet.routers_of("zone0");
  std::vector<std::string> rest = fleet.routers_of("zone1");
  const std::vector<std::string> third = fleet.routers_of("zone2");
  rest.insert(rest.end(), third.begin(), third.end());
  // The third region turns to the first one's aggregator where its own is lost: that way stays open.
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
    EXPECT_EQ(asked.policy, "-") << "without the store it knows nothing";
    EXPECT_EQ(asked.status, 503);
  }
  for (const std::string& link : links) {
    fleet.rig.fault("heal " + link);
  }
  EXPECT_TRUE(fleet.await_version(fleet.all, 1)) << fleet.rig.logs();
  EXPECT_EQ(fleet.check(), kNone);
}

TEST(AggregationFleetTest, HalfOfTheRoutersAreRestartedInMidChange) {
  constexpr int kChanges = 3;
  AggregatedFleet fleet(aggregated_shape(10, 2, 2));
  ASSERT_FALSE(testing::Test::HasFailure());
  const std::vector<std::string> half(fleet.all.begin(), fleet.all.begin() + 5);
  for (int i = 0; i < kChanges; ++i) {
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
  EXPECT_EQ(fleet.version(), static_cast<std::uint64_t>(kChanges));
  EXPECT_EQ(fleet.check(), kNone);
}

TEST(AggregationFleetTest, RoutersThatJoinInMidChangeDecideUnderTheNewVersionOrNone) {
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

TEST(AggregationFleetTest, TheStoreIsKilledWhileAChangeIsMade) {
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

// A copy from before the change, under the same name: routers have decided under what it does not know.
TEST(AggregationFleetTest, WithTheStorePutBackFromAnOldCopyRoutersRefuseRatherThanGoBack) {
  AggregatedFleet fleet(aggregated_shape(6, 2, 2));
  ASSERT_FALSE(testing::Test::HasFailure());
  const std::string folder = fleet.rig.folder() + "/registry-store";
  ASSERT_NO_FATAL_FAILURE(fleet.expect_change(fleet.all, 2.0));
  fleet.rig.fleet().kill("registry");
  std::filesystem::copy(folder, folder + "-copy", std::filesystem::copy_options::recursive);
  fleet.rig.start("registry");
  EXPECT_TRUE(fleet.await_version(fleet.all, 1)) << fleet.rig.logs();
  ASSERT_NO_FATAL_FAILURE(fleet.expect_change(fleet.all, 3.0));
  fleet.rig.fleet().kill("registry");
  std::filesystem::remove_all(folder);
  std::filesystem::rename(folder + "-copy", folder);
  fleet.rig.start("registry");
  EXPECT_TRUE(fleet.await_refusal(fleet.all)) << fleet.rig.logs();
  // One that knows nothing of it asks an aggregator that does.
  fleet.rig.fleet().kill(fleet.all.front());
  fleet.rig.start(fleet.all.front());
  EXPECT_TRUE(fleet.await_refusal({fleet.all.front()})) << fleet.rig.logs();
  EXPECT_EQ(fleet.check(), kNone);
}

TEST(AggregationFleetTest, TwoAggregatorsOfOneNameDoNoHarm) {
  Shape shape = aggregated_shape(6, 1, 2);
  shape.aggregator["name"] = "east";
  AggregatedFleet fleet(shape);
  ASSERT_FALSE(testing::Test::HasFailure());
  ASSERT_NO_FATAL_FAILURE(fleet.expect_change(fleet.all, 2.0));
  fleet.rig.fleet().kill("aggregator0");
  ASSERT_NO_FATAL_FAILURE(fleet.expect_change(fleet.all, 3.0));
  fleet.rig.start("aggregator0");
  ASSERT_NO_FATAL_FAILURE(fleet.expect_change(fleet.all, 4.0));
  EXPECT_EQ(fleet.version(), 3U);
  EXPECT_EQ(fleet.check(), kNone);
}

}  // namespace
}  // namespace trailcourse::testing_support
