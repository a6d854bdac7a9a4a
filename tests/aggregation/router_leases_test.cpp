// The leases that an aggregator grants to its routers, and the calls that it accepts from them.
#include <gtest/gtest.h>

#include <map>
#include <random>
#include <string>

#include "aggregation/aggregator_fixture.h"

namespace trailcourse::aggregation {
namespace {

using coordination::Get;
using coordination::LeaseId;
using coordination::Put;
using coordination::Range;
using coordination::Transaction;
using policy::ObservedState;
using policy::ParticipantReport;
using policy::RolloutState;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Reason = RequestRejected::Reason;

class RouterLeasesTest : public AggregatorFixture {};

TEST_F(RouterLeasesTest, GrantsNoLeaseBeforeItHasItsOwn) {
  EXPECT_TRUE(aggregator_.step(now_).empty());
  expect_rejected(Reason::kNoUpstreamLease, [this] { aggregator_.grant(now_, seconds(3)); });
  expect_rejected(Reason::kNoUpstreamLease, [this] {
    aggregator_.commit(now_, Transaction{{}, {Get{Range{policy::kPolicyPrefix, true}}}, {}});
  });
  load_snapshot();
  expect_rejected(Reason::kNoUpstreamLease, [this] { aggregator_.grant(now_, seconds(3)); });
  execute_steps();
  EXPECT_NE(aggregator_.grant(now_, seconds(3)), 0U);
  ASSERT_TRUE(stored_summary("edge"));
  EXPECT_EQ(stored_summary("west")->version, kOldVersion);
}

TEST_F(RouterLeasesTest, RouterLeaseNeverOutlastsTheUpstreamLease) {
  load_snapshot();
  execute_steps();
  const Micros upstream_end = aggregator_.upstream().valid_until().value();
  EXPECT_LT(upstream_end, now_ + seconds(4));
  const LeaseId lease = aggregator_.grant(now_, upstream_end - now_);
  expect_rejected(Reason::kNoUpstreamLease,
                  [&] { aggregator_.grant(now_, upstream_end - now_ + Micros(1)); });
  expect_rejected(Reason::kNoUpstreamLease, [&] { aggregator_.grant(now_, Micros::max()); });
  expect_rejected(Reason::kMalformed, [&] { aggregator_.grant(now_, Micros::min()); });
  now_ += Micros(1);
  expect_rejected(Reason::kNoUpstreamLease, [&] { aggregator_.keep_alive(now_, lease); });
  now_ = upstream_end;
  EXPECT_EQ(aggregator_.keep_alive(now_, lease), std::nullopt)
      << "no router's lease outlasts the aggregator's own";
  EXPECT_EQ(aggregator_.router_count(), 0U);
  expect_rejected(Reason::kNoUpstreamLease, [&] { aggregator_.grant(now_, milliseconds(100)); });
}

// The response to a renewal that was sent before a pause extends the lease only from the sending on.
TEST_F(RouterLeasesTest, UpstreamLeaseIsTimedFromTheSendingOfItsRenewal) {
  load_snapshot();
  execute_steps();
  now_ += milliseconds(600);
  const auto actions = aggregator_.step(now_);
  ASSERT_EQ(actions.size(), 1U);
  const std::uint64_t call_id = std::get<LeaseAction>(actions.front()).call.call_id;
  const Micros sent = now_;
  now_ += seconds(10);
  aggregator_.upstream().on_renew_result(now_, call_id, RenewResult::kRenewed);
  EXPECT_LT(aggregator_.upstream().valid_until().value(), sent + seconds(4));
  expect_rejected(Reason::kNoUpstreamLease, [this] { aggregator_.grant(now_, seconds(3)); });
}

TEST_F(RouterLeasesTest, DoesNotRenewWhileDisconnectedFromTheStore) {
  load_snapshot();
  execute_steps();
  aggregator_.set_connected(false);
  now_ += seconds(1);
  EXPECT_TRUE(aggregator_.step(now_).empty());
  aggregator_.set_connected(true);
  EXPECT_EQ(aggregator_.step(now_).size(), 1U);
}

TEST_F(RouterLeasesTest, SummaryFollowsOnceAllRoutersReportTheSame) {
  load_snapshot();
  execute_steps();
  const LeaseId first = join("r1", "edge");
  const LeaseId second = join("r2", "edge");
  put_rollout(RolloutState::kPreparing);
  execute_steps();
  EXPECT_EQ(stored_summary("edge")->ready_stage, 0U);
  EXPECT_NE(stored_summary("west")->ready_stage, 0U) << "the zone has no routers";
  ParticipantReport ready = report_of("edge");
  ready.ready_stage = stage_in(RolloutState::kPreparing);
  aggregator_.commit(now_, report_from("r1", first, ready));
  execute_steps();
  EXPECT_EQ(stored_summary("edge")->ready_stage, 0U);
  aggregator_.commit(now_, report_from("r2", second, ready));
  execute_steps();
  EXPECT_EQ(stored_summary("edge")->ready_stage, ready.ready_stage);
  // The latest report counts, even if it withdraws an earlier one.
  aggregator_.commit(now_, report_from("r1", first, report_of("edge")));
  execute_steps();
  EXPECT_EQ(stored_summary("edge")->ready_stage, 0U);
}

// A router that has moved may still decide under the lease granted here.
TEST_F(RouterLeasesTest, SummaryIncludesAMovedRouterUntilItsLeaseExpires) {
  load_snapshot();
  execute_steps();
  join("r1", "edge");
  put_rollout(RolloutState::kSuspending);
  const Micros ends = now_ + seconds(3);
  for (; now_ < ends; now_ += milliseconds(400)) {
    execute_steps();
    EXPECT_EQ(stored_summary("edge")->suspended_stage, 0U);
  }
  execute_steps();
  EXPECT_NE(stored_summary("edge")->suspended_stage, 0U);
  EXPECT_EQ(aggregator_.router_count(), 0U);
}

TEST_F(RouterLeasesTest, RequestCountsNeverDecreaseAsRoutersJoinAndLeave) {
  load_snapshot();
  execute_steps();
  std::mt19937_64 random(4);
  struct Router {
    LeaseId lease = 0;
    ParticipantReport report;
  };
  std::map<std::string, Router> routers;
  std::uint64_t before = 0;
  std::uint64_t added = 0;
  for (int round = 0; round < 2'000; ++round) {
    const std::string name = "r" + std::to_string(random() % 3);
    const auto found = routers.find(name);
    if (found == routers.end()) {
      ParticipantReport report = report_of("edge");
      report.requests = random() % 1'000'000;  // served before it joined
      const LeaseId lease = aggregator_.grant(now_, seconds(3));
      aggregator_.commit(now_, report_from(name, lease, report));
      routers[name] = {lease, report};
    } else if (random() % 4 == 0) {
      aggregator_.revoke(now_, found->second.lease);
      routers.erase(found);
    } else {
      auto& [lease, report] = found->second;
      const std::uint64_t more = random() % 100;
      report.requests += more;
      report.failed_requests += more / 2;
      added += more;
      aggregator_.commit(now_, report_from(name, lease, report));
    }
    const ParticipantReport summary = aggregator_.summaries().at("edge");
    ASSERT_GE(summary.requests, before);
    before = summary.requests;
  }
  EXPECT_EQ(before, added);
}

TEST_F(RouterLeasesTest, JoinFailsIfTheRecordsAreNotAsTheRouterObserved) {
  load_snapshot();
  execute_steps();
  const ObservedState stale = [this] {
    ObservedState out;
    out.current_revision = store_.get(Range{policy::kCurrentKey, false}).front().modified;
    return out;
  }();
  put_rollout(RolloutState::kSuspending);
  const LeaseId lease = aggregator_.grant(now_, seconds(3));
  Transaction join = report_from("r1", lease, report_of("edge"));
  join.when = {coordination::unchanged(policy::kRolloutKey, stale.rollout_revision),
               coordination::unchanged(policy::kCurrentKey, stale.current_revision)};
  EXPECT_FALSE(aggregator_.commit(now_, join).succeeded);
  EXPECT_EQ(aggregator_.summaries().at("edge").represented_routers, 0U);
  join.when.front().number = store_.revision();
  EXPECT_EQ(store_.revision(), aggregator_.records().revision())
      << "the aggregator keeps the store's own revisions";
  EXPECT_TRUE(aggregator_.commit(now_, join).succeeded);
  EXPECT_EQ(aggregator_.summaries().at("edge").represented_routers, 1U);
}

TEST_F(RouterLeasesTest, ReadsAndComparesOnlyThePolicysRecords) {
  load_snapshot();
  execute_steps();
  const auto get = [this](const std::string& key, bool prefix) {
    return aggregator_.commit(now_, Transaction{{}, {Get{Range{key, prefix}}}, {}});
  };
  EXPECT_EQ(get(policy::kPolicyPrefix, true).results.front().found.size(), 1U);
  for (const char* key : {"", "p", "policy", "permits/", "members/"}) {
    expect_rejected(Reason::kUnsupported, [&] { get(key, true); });
  }
  expect_rejected(Reason::kUnsupported, [&] {
    aggregator_.commit(now_, Transaction{{coordination::absent("members/r1")}, {}, {}});
  });
  expect_rejected(Reason::kUnsupported, [&] {
    aggregator_.commit(now_, Transaction{{}, {coordination::Delete{Range{policy::kPolicyPrefix, true}}}, {}});
  });
  expect_rejected(Reason::kUnsupported,
                  [&] { aggregator_.commit(now_, Transaction{{}, {Put{policy::kCurrentKey, "9", 0}}, {}}); });
}

TEST_F(RouterLeasesTest, DrainsAfterAllLeasesOfRoutersHaveEnded) {
  load_snapshot();
  execute_steps();
  const LeaseId lease = join("r1", "edge");
  aggregator_.drain();
  expect_rejected(Reason::kNoUpstreamLease, [this] { aggregator_.grant(now_, seconds(3)); });
  expect_rejected(Reason::kNoUpstreamLease, [&] { aggregator_.keep_alive(now_, lease); });
  put_rollout(RolloutState::kSuspending);
  const ParticipantReport suspended = suspended_report("edge");
  EXPECT_TRUE(aggregator_.commit(now_, report_from("r1", lease, suspended)).succeeded);
  execute_steps();
  EXPECT_EQ(stored_summary("edge")->suspended_stage, suspended.suspended_stage);
  EXPECT_FALSE(aggregator_.drained());
  now_ += milliseconds(2'999);
  execute_steps();
  EXPECT_FALSE(aggregator_.drained());
  EXPECT_TRUE(stored_summary("edge"));
  now_ += milliseconds(1);
  execute_steps();
  EXPECT_TRUE(aggregator_.drained());
  EXPECT_FALSE(stored_summary("edge"));
  EXPECT_TRUE(store_.leases().empty());
}

TEST_F(RouterLeasesTest, GrantsNoMoreLeasesThanTheLimit) {
  load_snapshot();
  execute_steps();
  for (std::size_t i = 0; i < kMaxRouters; ++i) {
    aggregator_.grant(now_, seconds(3));
  }
  expect_rejected(Reason::kTooManyRouters, [this] { aggregator_.grant(now_, seconds(3)); });
  expect_rejected(Reason::kMalformed, [this] { aggregator_.grant(now_, milliseconds(1)); });
  now_ += milliseconds(2'000);
  execute_steps();
  now_ += milliseconds(1'000);
  execute_steps();
  EXPECT_NE(aggregator_.grant(now_, seconds(3)), 0U) << "expired leases no longer count";
}

}  // namespace
}  // namespace trailcourse::aggregation
