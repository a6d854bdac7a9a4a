// The summary of a zone: it claims no more than each router has reported, nor more than the aggregator has
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

namespace trailcourse::aggregation {
namespace {

using coordination::LeaseId;
using policy::ChangeState;
using policy::Known;
using policy::Permit;
using SummariesByName = std::map<std::string, Permit>;

Permit drawn_report(std::mt19937_64& random, std::uint64_t step) {
  Permit out;
  out.zone = "edge";
  out.version = random() % 2 == 0 ? kOldVersion : kNewVersion;
  const std::array<std::uint64_t, 4> steps{0, step - 1'000, step, step};
  out.ready = steps[random() % steps.size()];
  out.held = steps[random() % steps.size()];
  out.no = random() % 12 == 0 ? step : 0;
  return out;
}

// Returns reports that mostly agree, so that all of them do often enough.
RouterReports drawn_routers(std::mt19937_64& random, std::uint64_t step) {
  RouterReports out;
  const Permit common = drawn_report(random, step);
  const std::size_t count = random() % 5;
  for (LeaseId lease = 1; lease <= count; ++lease) {
    const bool differs = random() % 6 == 0;
    out[lease] = RouterReport{"r" + std::to_string(lease), differs ? drawn_report(random, step) : common};
  }
  return out;
}

// Returns the state that the coordinator moves the rollout to on these reports, if any.
std::optional<ChangeState> next_state(const policy::Change& rollout, const SummariesByName& reports) {
  policy::Seen seen;
  seen.change = rollout;
  seen.permits = reports;
  const auto step = policy::Driver(policy::DriverRules{}).next(Micros(0), seen);
  return step ? std::optional<ChangeState>(step->change.state) : std::nullopt;
}

SummariesByName one_by_one(const RouterReports& routers) {
  SummariesByName out;
  for (const auto& [lease, router] : routers) {
    out[router.router + "/" + std::to_string(lease)] = router.report;
  }
  return out;
}

TEST(ReportSummaryTest, CoordinatorAdvancesNoEarlierThanByEachRoutersReport) {
  std::mt19937_64 random(11);
  int steps = 0;
  int missed = 0;
  for (int round = 0; round < 50'000; ++round) {
    const auto state = static_cast<ChangeState>(random() % 3);  // preparing, holding, committed
    const policy::Change rollout = rollout_in(state);
    const RouterReports routers = drawn_routers(random, policy::step_of(rollout));
    const Permit summary = summarize(observed_in(state), "edge", routers);
    const auto with_summary = next_state(rollout, {{"a.edge/1", summary}});
    const auto with_each = next_state(rollout, one_by_one(routers));
    if (with_summary || with_each == ChangeState::kAborted) {
      ASSERT_EQ(with_summary, with_each) << "round " << round << " " << policy::write_permit(summary);
    }
    steps += with_summary ? 1 : 0;
    missed += with_each && !with_summary ? 1 : 0;
  }
  EXPECT_GT(steps, 5'000);
  // Missed are drawn routers that are suspended under a version that is not in force. No real router is.
  EXPECT_LT(missed, steps / 2);
}

// Routers may have observed more than their aggregator, by way of another one.
TEST(ReportSummaryTest, AggregatorThatObservedLessClaimsNoMoreThanEachRouter) {
  struct ObservedStates {
    ChangeState in_store;
    ChangeState by_aggregator;
    std::uint64_t rollout_of_aggregator;
  };
  // No rollout is committed before the aggregator has reported its routers as suspended: it observed that
  // much.
  const std::vector<ObservedStates> cases{{ChangeState::kPreparing, ChangeState::kDone, 2},
                                          {ChangeState::kPreparing, ChangeState::kHolding, 2},
                                          {ChangeState::kHolding, ChangeState::kPreparing, 3},
                                          {ChangeState::kHolding, ChangeState::kAborted, 2},
                                          {ChangeState::kCommitted, ChangeState::kHolding, 3}};
  std::mt19937_64 random(12);
  for (int round = 0; round < 50'000; ++round) {
    const ObservedStates& states = cases[random() % cases.size()];
    const policy::Change rollout = rollout_in(states.in_store);
    const RouterReports routers = drawn_routers(random, policy::step_of(rollout));
    Known observed = observed_in(states.by_aggregator, states.rollout_of_aggregator);
    observed.version = states.in_store == ChangeState::kCommitted ? kOldVersion : observed.version;
    const Permit summary = summarize(observed, "edge", routers);
    const auto with_summary = next_state(rollout, {{"a.edge/1", summary}});
    const auto with_each = next_state(rollout, one_by_one(routers));
    if (with_summary && *with_summary != ChangeState::kAborted) {
      ASSERT_EQ(with_summary, with_each) << "round " << round << " " << policy::write_permit(summary);
    }
    if (with_each == ChangeState::kAborted) {
      ASSERT_EQ(with_summary, with_each) << "round " << round << ": a router's rejection is not passed on";
    }
  }
}

// Otherwise a router that joins from the aggregator's state could decide under the old version, unnoticed.
TEST(ReportSummaryTest, ClaimsNothingThatTheAggregatorHasNotObserved) {
  const std::uint64_t step = step_in(ChangeState::kHolding);
  RouterReports routers;
  for (LeaseId lease = 1; lease <= 3; ++lease) {
    routers[lease].report.version = kOldVersion;
    routers[lease].report.ready = step;
    routers[lease].report.held = step;
  }
  EXPECT_EQ(summarize(observed_in(ChangeState::kHolding), "edge", routers).held, step);
  EXPECT_EQ(summarize(observed_in(ChangeState::kPreparing), "edge", routers).held, kRoutersDiffer);
  EXPECT_EQ(summarize(observed_in(ChangeState::kDone, 2), "edge", routers).ready, 0U);
}

TEST(ReportSummaryTest, EmptyZoneReportsAsARouterThatIsComplete) {
  const std::uint64_t step = step_in(ChangeState::kHolding);
  const Permit preparing = summarize(observed_in(ChangeState::kPreparing), "edge", {});
  EXPECT_EQ(preparing.version, kOldVersion);
  EXPECT_EQ(preparing.ready, step);
  EXPECT_EQ(preparing.held, 0U);
  EXPECT_EQ(summarize(observed_in(ChangeState::kHolding), "edge", {}).held, step);
  const Permit committed = summarize(observed_in(ChangeState::kCommitted), "edge", {});
  EXPECT_EQ(committed.version, kNewVersion);
  EXPECT_EQ(committed.held, 0U);
  EXPECT_EQ(committed.ready, 0U);
  EXPECT_EQ(committed.routers, 0U);
  EXPECT_EQ(summarize(Known{}, "edge", {}).version, 0U);
}

TEST(ReportSummaryTest, StageConcernsItsOwnZoneOnly) {
  Known observed = observed_in(ChangeState::kHolding);
  observed.change->stages = {"edge"};
  const std::uint64_t step = policy::step_of(*observed.change);
  EXPECT_EQ(summarize(observed, "edge", {}).held, step);
  EXPECT_EQ(summarize(observed, "west", {}).held, 0U);
  observed.change->stage = 1;
  EXPECT_EQ(summarize(observed, "edge", {}).held, 0U);
  EXPECT_EQ(summarize(observed, "west", {}).held, policy::step_of(*observed.change));
}

TEST(ReportSummaryTest, NamesTheNumberOfRoutersAndOneThatIsAwaited) {
  RouterReports routers;
  routers[1] = {"first", Permit{}};
  routers[2] = {"second", Permit{}};
  const std::uint64_t step = step_in(ChangeState::kPreparing);
  for (auto& [lease, router] : routers) {
    router.report.version = kOldVersion;
  }
  routers[1].report.ready = step;
  const Permit summary = summarize(observed_in(ChangeState::kPreparing), "edge", routers);
  EXPECT_EQ(summary.routers, 2U);
  EXPECT_EQ(summary.awaits, "second");
  routers[2].report.no = step;
  routers[2].report.why = "full disk";
  EXPECT_EQ(summarize(observed_in(ChangeState::kPreparing), "edge", routers).why, "second: full disk");
}

}  // namespace
}  // namespace trailcourse::aggregation
