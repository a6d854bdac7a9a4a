// An aggregator's own lease at the store and its writes under it, with lost, late and repeated calls.
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <variant>

#include "aggregation/aggregator_fixture.h"

namespace trailcourse::aggregation {
namespace {

using coordination::LeaseId;
using policy::ParticipantReport;
using policy::RolloutState;
using std::chrono::milliseconds;
using std::chrono::seconds;

class UpstreamLeaseTest : public AggregatorFixture {};

TEST_F(UpstreamLeaseTest, JoinsOnlyIfTheRecordsAreAsObserved) {
  load_snapshot();
  const auto actions = aggregator_.step(now_);
  ASSERT_EQ(actions.size(), 1U);
  put_rollout(RolloutState::kPreparing);  // meanwhile
  execute(std::get<LeaseAction>(actions.front()));
  EXPECT_FALSE(aggregator_.upstream().is_active(now_));
  EXPECT_FALSE(stored_summary("edge"));
  now_ += milliseconds(200);
  execute_steps();
  EXPECT_TRUE(aggregator_.upstream().is_active(now_));
}

TEST_F(UpstreamLeaseTest, VersionOfAZoneAppliesToThatZoneOnly) {
  put(std::string(policy::kZonePrefix) + "west", std::to_string(kNewVersion));
  load_snapshot();
  execute_steps();
  EXPECT_EQ(stored_summary("edge")->version, kOldVersion);
  EXPECT_EQ(stored_summary("west")->version, kNewVersion);
}

// A write whose response was lost may reach the store late. It must not overwrite a later write.
TEST_F(UpstreamLeaseTest, RejectsALateWriteOfASummary) {
  load_snapshot();
  execute_steps();
  const LeaseId lease = join("r1", "edge");
  put_rollout(RolloutState::kSuspending);
  const ParticipantReport suspended = suspended_report("edge");
  aggregator_.commit(now_, report_from("r1", lease, suspended));
  const std::optional<ReportSummariesAction> late = due_write();
  ASSERT_TRUE(late);
  aggregator_.upstream().on_write_result(now_, late->call_id, SummaryWriteResult{});  // no answer
  EXPECT_TRUE(aggregator_.step(now_).empty()) << "the retry waits for the backoff";
  aggregator_.commit(now_, report_from("r1", lease, report_of("edge")));
  now_ += milliseconds(200);
  execute_steps();
  EXPECT_EQ(stored_summary("edge")->suspended_stage, 0U);
  const auto revision = store_.revision();
  const auto out = store_.commit(summary_transaction("", "agg", lease_, *late));
  EXPECT_FALSE(out.succeeded);
  EXPECT_EQ(store_.revision(), revision);
  // The late result belongs to an earlier call and is ignored.
  aggregator_.upstream().on_write_result(now_, late->call_id, read_write_result(out, *late));
  EXPECT_TRUE(aggregator_.step(now_).empty());
}

TEST_F(UpstreamLeaseTest, RepeatsAnUnansweredWriteOverTheStoredSummary) {
  load_snapshot();
  execute_steps();
  const LeaseId lease = join("r1", "edge");
  put_rollout(RolloutState::kSuspending);
  const ParticipantReport suspended = suspended_report("edge");
  aggregator_.commit(now_, report_from("r1", lease, suspended));
  const std::optional<ReportSummariesAction> unanswered = due_write();
  ASSERT_TRUE(unanswered);
  store_.commit(summary_transaction("", "agg", lease_, *unanswered));
  aggregator_.upstream().on_write_result(now_, unanswered->call_id, SummaryWriteResult{});
  aggregator_.commit(now_, report_from("r1", lease, report_of("edge")));
  now_ += milliseconds(200);
  execute_steps();
  EXPECT_EQ(stored_summary("edge")->suspended_stage, 0U)
      << "the first retry conflicts, the second one replaces the stored summary";
}

TEST_F(UpstreamLeaseTest, JoinsUnderANewLeaseAfterExpiry) {
  load_snapshot();
  execute_steps();
  const LeaseId first = lease_;
  now_ += seconds(5);
  store_.expire(store_clock());
  EXPECT_FALSE(aggregator_.upstream().is_active(now_));
  execute_steps();  // the renewal finds no lease
  EXPECT_FALSE(aggregator_.upstream().is_active(now_));
  now_ += milliseconds(200);
  execute_steps();
  EXPECT_TRUE(aggregator_.upstream().is_active(now_));
  EXPECT_NE(lease_, first);
  EXPECT_TRUE(stored_summary("edge"));
}

TEST_F(UpstreamLeaseTest, StoreRejectsASummaryUnderAnExpiredLease) {
  load_snapshot();
  execute_steps();
  put_rollout(RolloutState::kPreparing);
  const std::optional<ReportSummariesAction> late = due_write();
  ASSERT_TRUE(late);
  store_.expire(store_clock() + std::chrono::milliseconds(4'000));
  EXPECT_THROW(store_.commit(summary_transaction("", "agg", lease_, *late)), coordination::OperationRejected);
}

TEST_F(UpstreamLeaseTest, IgnoresTheResultOfAnEarlierJoin) {
  load_snapshot();
  const auto first = std::get<LeaseAction>(aggregator_.step(now_).front());
  aggregator_.upstream().on_no_response(now_, first.call.call_id);
  now_ += milliseconds(200);
  const auto second = std::get<LeaseAction>(aggregator_.step(now_).front());
  aggregator_.upstream().on_join_result(now_, first.call.call_id, {JoinResult::Status::kJoined, 9, 0});
  EXPECT_FALSE(aggregator_.upstream().is_active(now_));
  execute(second);
  EXPECT_TRUE(aggregator_.upstream().is_active(now_));
}

}  // namespace
}  // namespace trailcourse::aggregation
