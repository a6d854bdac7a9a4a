// The summary of a zone, which reports no more progress than each router has reported and the aggregator has
// observed.
#include "aggregation/report_summary.h"

#include <gtest/gtest.h>

#include <array>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "aggregation/rollout_states.h"
#include "policy/rollout_coordinator.h"

namespace trailcourse::aggregation {
namespace {

using coordination::LeaseId;
using policy::ObservedState;
using policy::ParticipantReport;
using policy::RolloutState;
using SummariesByName = std::map<std::string, ParticipantReport>;

ParticipantReport drawn_report(std::mt19937_64& random, std::uint64_t stage) {
  ParticipantReport out;
  out.zone = "edge";
  out.version = random() % 2 == 0 ? kOldVersion : kNewVersion;
  const std::array<std::uint64_t, 4> stages{0, stage - 1'000, stage, stage};
  out.ready_stage = stages[random() % stages.size()];
  out.suspended_stage = stages[random() % stages.size()];
  out.rejected_stage = random() % 12 == 0 ? stage : 0;
  return out;
}

// Returns random reports. Most of them are equal, so that all of them are equal often enough.
RouterReports drawn_routers(std::mt19937_64& random, std::uint64_t stage) {
  RouterReports out;
  const ParticipantReport common = drawn_report(random, stage);
  const std::size_t count = random() % 5;
  for (LeaseId lease = 1; lease <= count; ++lease) {
    const bool differs = random() % 6 == 0;
    out[lease] = RouterReport{"r" + std::to_string(lease), differs ? drawn_report(random, stage) : common};
  }
  return out;
}

// Returns the state to which the coordinator moves the rollout with these reports, if any.
std::optional<RolloutState> next_state(const policy::Rollout& rollout, const SummariesByName& reports) {
  policy::RolloutSnapshot snapshot;
  snapshot.rollout = rollout;
  snapshot.reports = reports;
  const auto step = policy::RolloutCoordinator(policy::RolloutTimeouts{}).step(Micros(0), snapshot);
  return step ? std::optional<RolloutState>(step->rollout.state) : std::nullopt;
}

SummariesByName individual_reports(const RouterReports& routers) {
  SummariesByName out;
  for (const auto& [lease, router] : routers) {
    out[router.router + "/" + std::to_string(lease)] = router.report;
  }
  return out;
}

TEST(ReportSummaryTest, CoordinatorAdvancesNoEarlierThanWithTheReportsOfEachRouter) {
  std::mt19937_64 random(11);
  int steps = 0;
  int missed = 0;
  for (int round = 0; round < 50'000; ++round) {
    const auto state = static_cast<RolloutState>(random() % 3);  // preparing, suspending, committed
    const policy::Rollout rollout = rollout_in(state);
    const RouterReports routers = drawn_routers(random, policy::stage_id(rollout));
    const ParticipantReport summary = summarize(observed_in(state), "edge", routers);
    const auto with_summary = next_state(rollout, {{"a.edge/1", summary}});
    const auto with_each = next_state(rollout, individual_reports(routers));
    if (with_summary || with_each == RolloutState::kAborted) {
      ASSERT_EQ(with_summary, with_each) << "round " << round << " " << policy::write_report(summary);
    }
    steps += with_summary ? 1 : 0;
    missed += with_each && !with_summary ? 1 : 0;
  }
  EXPECT_GT(steps, 5'000);
  // Steps are missed for random routers that are suspended under a version that is not in force. Real routers
  // are never in this state.
  EXPECT_LT(missed, steps / 2);
}

// Routers may have observed more than their aggregator, through another aggregator.
TEST(ReportSummaryTest, ReportsNoMoreThanEachRouterIfTheAggregatorHasObservedLess) {
  struct ObservedStates {
    RolloutState in_store;
    RolloutState by_aggregator;
    std::uint64_t rollout_of_aggregator;
  };
  // A rollout is committed only after the aggregator has reported its routers as suspended, so it has
  // observed at least that state.
  const std::vector<ObservedStates> cases{{RolloutState::kPreparing, RolloutState::kDone, 2},
                                          {RolloutState::kPreparing, RolloutState::kSuspending, 2},
                                          {RolloutState::kSuspending, RolloutState::kPreparing, 3},
                                          {RolloutState::kSuspending, RolloutState::kAborted, 2},
                                          {RolloutState::kCommitted, RolloutState::kSuspending, 3}};
  std::mt19937_64 random(12);
  for (int round = 0; round < 50'000; ++round) {
    const ObservedStates& states = cases[random() % cases.size()];
    const policy::Rollout rollout = rollout_in(states.in_store);
    const RouterReports routers = drawn_routers(random, policy::stage_id(rollout));
    ObservedState observed = observed_in(states.by_aggregator, states.rollout_of_aggregator);
    observed.version = states.in_store == RolloutState::kCommitted ? kOldVersion : observed.version;
    const ParticipantReport summary = summarize(observed, "edge", routers);
    const auto with_summary = next_state(rollout, {{"a.edge/1", summary}});
    const auto with_each = next_state(rollout, individual_reports(routers));
    if (with_summary && *with_summary != RolloutState::kAborted) {
      ASSERT_EQ(with_summary, with_each) << "round " << round << " " << policy::write_report(summary);
    }
    if (with_each == RolloutState::kAborted) {
      ASSERT_EQ(with_summary, with_each) << "round " << round << ": a router's rejection is not passed on";
    }
  }
}

// Otherwise a router that joins from the aggregator's state could decide under the old version without
// detection.
TEST(ReportSummaryTest, ReportsNoStageThatTheAggregatorHasNotObserved) {
  const std::uint64_t stage = stage_in(RolloutState::kSuspending);
  RouterReports routers;
  for (LeaseId lease = 1; lease <= 3; ++lease) {
    routers[lease].report.version = kOldVersion;
    routers[lease].report.ready_stage = stage;
    routers[lease].report.suspended_stage = stage;
  }
  EXPECT_EQ(summarize(observed_in(RolloutState::kSuspending), "edge", routers).suspended_stage, stage);
  EXPECT_EQ(summarize(observed_in(RolloutState::kPreparing), "edge", routers).suspended_stage,
            kRoutersDiffer);
  EXPECT_EQ(summarize(observed_in(RolloutState::kDone, 2), "edge", routers).ready_stage, 0U);
}

TEST(ReportSummaryTest, ReportsAnEmptyZoneAsComplete) {
  const std::uint64_t stage = stage_in(RolloutState::kSuspending);
  const ParticipantReport preparing = summarize(observed_in(RolloutState::kPreparing), "edge", {});
  EXPECT_EQ(preparing.version, kOldVersion);
  EXPECT_EQ(preparing.ready_stage, stage);
  EXPECT_EQ(preparing.suspended_stage, 0U);
  EXPECT_EQ(summarize(observed_in(RolloutState::kSuspending), "edge", {}).suspended_stage, stage);
  const ParticipantReport committed = summarize(observed_in(RolloutState::kCommitted), "edge", {});
  EXPECT_EQ(committed.version, kNewVersion);
  EXPECT_EQ(committed.suspended_stage, 0U);
  EXPECT_EQ(committed.ready_stage, 0U);
  EXPECT_EQ(committed.represented_routers, 0U);
  EXPECT_EQ(summarize(ObservedState{}, "edge", {}).version, 0U);
}

TEST(ReportSummaryTest, AppliesAStageOnlyToItsOwnZone) {
  ObservedState observed = observed_in(RolloutState::kSuspending);
  observed.rollout->stages = {"edge"};
  const std::uint64_t stage = policy::stage_id(*observed.rollout);
  EXPECT_EQ(summarize(observed, "edge", {}).suspended_stage, stage);
  EXPECT_EQ(summarize(observed, "west", {}).suspended_stage, 0U);
  observed.rollout->stage = 1;
  EXPECT_EQ(summarize(observed, "edge", {}).suspended_stage, 0U);
  EXPECT_EQ(summarize(observed, "west", {}).suspended_stage, policy::stage_id(*observed.rollout));
}

TEST(ReportSummaryTest, ContainsTheNumberOfRoutersAndOnePendingRouter) {
  RouterReports routers;
  routers[1] = {"first", ParticipantReport{}};
  routers[2] = {"second", ParticipantReport{}};
  const std::uint64_t stage = stage_in(RolloutState::kPreparing);
  for (auto& [lease, router] : routers) {
    router.report.version = kOldVersion;
  }
  routers[1].report.ready_stage = stage;
  const ParticipantReport summary = summarize(observed_in(RolloutState::kPreparing), "edge", routers);
  EXPECT_EQ(summary.represented_routers, 2U);
  EXPECT_EQ(summary.waiting_for, "second");
  routers[2].report.rejected_stage = stage;
  routers[2].report.rejection_reason = "full disk";
  EXPECT_EQ(summarize(observed_in(RolloutState::kPreparing), "edge", routers).rejection_reason,
            "second: full disk");
}

}  // namespace
}  // namespace trailcourse::aggregation
