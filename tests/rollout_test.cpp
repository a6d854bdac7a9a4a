// Policy rollouts: the transitions that the coordinator decides on, the conditions to begin a rollout, and
// the stored records.
#include <gtest/gtest.h>

#include <random>

#include "policy/participant_report.h"
#include "policy/rollout_coordinator.h"
#include "policy/rollout_transactions.h"

namespace trailcourse::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RolloutCoordinatorTest : public testing::Test {
 protected:
  RolloutCoordinatorTest() {
    Rollout rollout;
    rollout.id = 3;
    rollout.target_version = 8;
    rollout.previous_version = 7;
    snapshot_.rollout = rollout;
    snapshot_.rollout_revision = 40;
    snapshot_.current_version = 7;
    snapshot_.reports["a"] = report("edge");
    snapshot_.reports["b"] = report("edge");
  }
  static ParticipantReport report(const std::string& zone) {
    ParticipantReport out;
    out.zone = zone;
    out.version = 7;
    return out;
  }
  std::uint64_t stage() const { return stage_id(*snapshot_.rollout); }
  void ready(const std::string& name) { snapshot_.reports[name].ready_stage = stage(); }
  void suspended(const std::string& name) { snapshot_.reports[name].suspended_stage = stage(); }
  // Applies a transition, as the store would.
  void apply(const RolloutStep& transition) {
    snapshot_.rollout = transition.rollout;
    ++snapshot_.rollout_revision;
  }

  RolloutCoordinator coordinator_{RolloutTimeouts{}};
  RolloutSnapshot snapshot_;
  Micros now_{0};
};

TEST_F(RolloutCoordinatorTest, DescribesAPendingAggregatorWithTheRouterThatItWaitsFor) {
  snapshot_.reports.clear();
  snapshot_.reports["a1.edge/9"] = report("edge");
  snapshot_.reports["a1.edge/9"].represented_routers = 40;
  snapshot_.reports["a1.edge/9"].waiting_for = "r7";
  const std::vector<std::string> lines = describe_pending(snapshot_);
  ASSERT_EQ(lines.size(), 1U);
  EXPECT_EQ(lines[0], "a1.edge for 40 routers, among them r7, has to report that it is ready");
}

TEST_F(RolloutCoordinatorTest, CommitsOnlyAfterAllRoutersAreReadyAndThenSuspended) {
  EXPECT_FALSE(coordinator_.step(now_, snapshot_));
  EXPECT_EQ(describe_pending(snapshot_).size(), 2U);
  ready("a");
  EXPECT_FALSE(coordinator_.step(now_, snapshot_));
  ready("b");
  auto transition = coordinator_.step(now_, snapshot_);
  ASSERT_TRUE(transition);
  EXPECT_EQ(transition->rollout.state, RolloutState::kSuspending);
  EXPECT_FALSE(transition->commit);
  apply(*transition);
  suspended("a");
  EXPECT_FALSE(coordinator_.step(now_, snapshot_));
  // The other router's lease expires: it decides no requests, so the coordinator does not wait for it.
  snapshot_.reports.erase("b");
  transition = coordinator_.step(now_, snapshot_);
  ASSERT_TRUE(transition);
  EXPECT_TRUE(transition->commit);
  apply(*transition);
  EXPECT_FALSE(coordinator_.step(now_, snapshot_));
  snapshot_.reports["a"].version = 8;
  EXPECT_FALSE(coordinator_.step(now_, snapshot_)) << "it still reports that it is suspended";
  snapshot_.reports["a"].suspended_stage = 0;
  transition = coordinator_.step(now_, snapshot_);
  ASSERT_TRUE(transition);
  EXPECT_EQ(transition->rollout.state, RolloutState::kDone);
}

TEST_F(RolloutCoordinatorTest, AbortsOnARejectionOrATimeout) {
  ready("a");
  snapshot_.reports["b"].rejected_stage = stage();
  snapshot_.reports["b"].rejection_reason = "full disk";
  auto transition = coordinator_.step(now_, snapshot_);
  ASSERT_TRUE(transition);
  EXPECT_EQ(transition->rollout.state, RolloutState::kAborted);
  EXPECT_EQ(transition->rollout.reason, "b says no: full disk");
  snapshot_.reports["b"].rejected_stage = 0;
  EXPECT_FALSE(coordinator_.step(now_, snapshot_));
  ASSERT_TRUE(coordinator_.next_step_at());
  transition = coordinator_.step(*coordinator_.next_step_at(), snapshot_);
  ASSERT_TRUE(transition);
  EXPECT_EQ(transition->rollout.reason, "not ready in time: b");
}

TEST_F(RolloutCoordinatorTest, IgnoresARejectionOfAnEarlierRollout) {
  ready("a");
  ready("b");
  snapshot_.reports["b"].rejected_stage = stage() - 1'000;
  const auto transition = coordinator_.step(now_, snapshot_);
  ASSERT_TRUE(transition);
  EXPECT_EQ(transition->rollout.state, RolloutState::kSuspending);
}

TEST_F(RolloutCoordinatorTest, RunsOneStagePerZoneAndALastStageForAllOtherZones) {
  snapshot_.rollout->stages = {"edge"};
  snapshot_.rollout->watch_time = milliseconds(1'000);
  snapshot_.reports["c"] = report("west");
  ready("a");
  ready("b");
  apply(*coordinator_.step(now_, snapshot_));
  suspended("a");
  suspended("b");
  auto transition = coordinator_.step(now_, snapshot_);
  ASSERT_TRUE(transition);
  EXPECT_TRUE(transition->commit) << "the other zone is not part of the stage";
  apply(*transition);
  for (const char* name : {"a", "b"}) {
    snapshot_.reports[name] = report("edge");
    snapshot_.reports[name].version = 8;
  }
  apply(*coordinator_.step(now_, snapshot_));
  EXPECT_EQ(snapshot_.rollout->state, RolloutState::kWatching);
  EXPECT_FALSE(coordinator_.step(now_, snapshot_));
  now_ += seconds(1);
  apply(*coordinator_.step(now_, snapshot_));
  EXPECT_EQ(snapshot_.rollout->state, RolloutState::kPreparing);
  EXPECT_EQ(snapshot_.rollout->stage, 1U);
  EXPECT_FALSE(coordinator_.step(now_, snapshot_));
  ready("c");
  apply(*coordinator_.step(now_, snapshot_));
  suspended("c");
  transition = coordinator_.step(now_, snapshot_);
  ASSERT_TRUE(transition);
  EXPECT_TRUE(transition->commit);
}

TEST_F(RolloutCoordinatorTest, RevertsAStageAboveItsMaxRejectedShare) {
  snapshot_.rollout->stages = {"edge"};
  snapshot_.rollout->watch_time = milliseconds(60'000);
  snapshot_.rollout->max_rejected_share = 0.1;
  snapshot_.rollout->state = RolloutState::kWatching;
  for (const char* name : {"a", "b"}) {
    snapshot_.reports[name].version = 8;
    snapshot_.reports[name].requests = 1'000;
    snapshot_.reports[name].failed_requests = 900;  // before the watching: not counted
  }
  EXPECT_FALSE(coordinator_.step(now_, snapshot_));
  snapshot_.reports["a"].requests += 50;
  snapshot_.reports["a"].failed_requests += 4;
  EXPECT_FALSE(coordinator_.step(now_, snapshot_));
  snapshot_.reports["b"].requests += 50;
  snapshot_.reports["b"].failed_requests += 20;
  const auto transition = coordinator_.step(now_, snapshot_);
  ASSERT_TRUE(transition);
  EXPECT_EQ(transition->rollout.id, 4U);
  EXPECT_EQ(transition->rollout.target_version, 7U);
  EXPECT_EQ(transition->rollout.state, RolloutState::kPreparing);
}

TEST_F(RolloutCoordinatorTest, OnlyAnUrgentRolloutSupersedesAnOpenOneThatHasNotCommitted) {
  const auto not_urgent = check_can_begin(snapshot_, false);
  ASSERT_FALSE(not_urgent.has_value());
  EXPECT_EQ(describe(not_urgent.error()),
            "change 3 to version 8 is preparing; wait, abort it, or use --urgent");
  const auto urgent = check_can_begin(snapshot_, true);
  ASSERT_TRUE(urgent.has_value());
  EXPECT_EQ(*urgent, RolloutStart::kSupersedes);

  snapshot_.rollout->state = RolloutState::kCommitted;
  const auto too_late = check_can_begin(snapshot_, true);
  ASSERT_FALSE(too_late.has_value());
  EXPECT_EQ(describe(too_late.error()), "change 3 to version 8 is committed and can no longer be superseded");

  snapshot_.rollout->state = RolloutState::kDone;
  const auto idle = check_can_begin(snapshot_, false);
  ASSERT_TRUE(idle.has_value());
  EXPECT_EQ(*idle, RolloutStart::kIdle);
}

TEST(RolloutRecordTest, RejectsMutatedRecordsOrReadsValidOnes) {
  Rollout rollout;
  rollout.id = 3;
  rollout.target_version = 8;
  rollout.stages = {"edge", "west"};
  rollout.stage = 1;
  EXPECT_EQ(read_rollout(write_rollout(rollout)), rollout);
  ParticipantReport report;
  report.zone = "edge";
  report.suspended_stage = 3'000;
  EXPECT_EQ(read_report(write_report(report)), report);
  std::mt19937_64 random(6);
  int rejected = 0;
  for (int round = 0; round < 3'000; ++round) {
    std::string text = write_rollout(rollout);
    text[random() % text.size()] = "0123456789\"{}[]:,-x"[random() % 19];
    const auto read = read_rollout(text);
    rejected += read ? 0 : 1;
    EXPECT_TRUE(!read || (read->id > 0 && read->target_version != read->previous_version &&
                          read->stage <= read->stages.size()));
  }
  EXPECT_GT(rejected, 300);
}

// Earlier versions of the program write and read these texts, also while this version runs in the same fleet.
TEST(RolloutRecordTest, StoredFormIsCompatibleWithEarlierVersions) {
  Rollout rollout;
  rollout.id = 3;
  rollout.target_version = 8;
  rollout.previous_version = 7;
  rollout.state = RolloutState::kSuspending;
  rollout.urgent = true;
  rollout.stages = {"edge", "west"};
  rollout.stage = 1;
  rollout.watch_time = milliseconds(1'500);
  rollout.max_rejected_share = 0.25;
  rollout.reason = "full disk";
  rollout.author = "ops";
  const std::string text =
      R"({"before":7,"by":"ops","id":3,"most_refused":0.25,"stage":1,"stages":["edge","west"],)"
      R"("state":"holding","urgent":true,"version":8,"watch_ms":1500,"why":"full disk"})";
  EXPECT_EQ(write_rollout(rollout), text);
  EXPECT_EQ(read_rollout(text), rollout);
}

TEST(ParticipantReportTest, StoredFormIsCompatibleWithEarlierVersions) {
  ParticipantReport report;
  report.incarnation = "i1";
  report.zone = "edge";
  report.version = 7;
  report.ready_stage = 3'000;
  report.suspended_stage = 3'000;
  report.rejected_stage = 2'000;
  report.rejection_reason = "full disk";
  report.requests = 50;
  report.failed_requests = 4;
  const std::string short_text =
      R"({"held":3000,"incarnation":"i1","no":2000,"ready":3000,"refused":4,"requests":50,)"
      R"("version":7,"why":"full disk","zone":"edge"})";
  EXPECT_EQ(write_report(report), short_text);
  EXPECT_EQ(read_report(short_text), report);

  report.sequence = 9;
  report.represented_routers = 40;
  report.waiting_for = "r7";
  report.acknowledged_round = 5;
  const std::string summary_text =
      R"({"acknowledged":5,"awaits":"r7","held":3000,"incarnation":"i1","no":2000,"number":9,"ready":3000,)"
      R"("refused":4,"requests":50,"routers":40,"version":7,"why":"full disk","zone":"edge"})";
  EXPECT_EQ(write_report(report), summary_text);
  EXPECT_EQ(read_report(summary_text), report);
}

}  // namespace
}  // namespace trailcourse::policy
