// Outlier detection at each router, the resulting health checks, and the handling of their verdicts.
#include "tasks/health_check_plan.h"

#include <gtest/gtest.h>

#include <chrono>
#include <random>
#include <string>
#include <vector>

#include "tasks/outlier_tracker.h"
#include "tasks/verdict.h"
#include "tasks/verdict_tracker.h"

namespace trailcourse::tasks {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(OutlierTrackerTest, ReportsASuspectOnceAfterConsecutiveFailures) {
  OutlierTracker tracker(3);
  tracker.on_attempt_result("a", false);
  tracker.on_attempt_result("a", false);
  tracker.on_attempt_result("a", true);
  tracker.on_attempt_result("a", false);
  tracker.on_attempt_result("a", false);
  EXPECT_TRUE(tracker.take_changes().empty());
  tracker.on_attempt_result("a", false);
  EXPECT_EQ(tracker.take_changes(), (std::vector{SuspicionChange{"a", true}}));
  EXPECT_TRUE(tracker.take_changes().empty());
  tracker.on_attempt_result("a", true);
  EXPECT_EQ(tracker.take_changes(), (std::vector{SuspicionChange{"a", false}}));
  // A suspicion that began and ended between two calls is no change.
  for (int i = 0; i < 3; ++i) {
    tracker.on_attempt_result("a", false);
  }
  tracker.on_healthy_verdict("a");
  EXPECT_TRUE(tracker.take_changes().empty());
}

TEST(HealthCheckPlanTest, SuspicionsOfManyRoutersCauseOneCheck) {
  HealthCheckPlan plan(HealthCheckOptions{}, 7);
  Micros now{0};
  for (int i = 0; i < 100; ++i) {
    plan.on_suspected(now, "a", "router" + std::to_string(i));
  }
  EXPECT_EQ(plan.start_checks(now), std::vector<std::string>{"a"});
  EXPECT_TRUE(plan.start_checks(now).empty()) << "one check is in flight";
  plan.on_check_result(now, "a", false);
  EXPECT_TRUE(plan.take_verdict_updates(now).empty()) << "one check is not enough";
  EXPECT_EQ(plan.next_step_at(now), seconds(1));
  now += seconds(1);
  EXPECT_EQ(plan.start_checks(now).size(), 1U);
  plan.on_check_result(now, "a", false);
  const auto updates = plan.take_verdict_updates(now);
  ASSERT_EQ(updates.size(), 1U);
  EXPECT_FALSE(updates[0].verdict.healthy);
  EXPECT_EQ(updates[0].verdict.term, 7U);
  EXPECT_EQ(plan.checks_started(), 2U);
}

TEST(HealthCheckPlanTest, RepublishesAVerdictDuringASuspicionAndWithdrawsItAfterwards) {
  HealthCheckOptions options;
  HealthCheckPlan plan(options, 7);
  Micros now{0};
  plan.on_suspected(now, "a", "r");
  std::vector<VerdictUpdate> updates;
  std::uint64_t last_sequence = 0;
  const auto run = [&](Micros until, bool healthy) {
    for (; now < until; now += milliseconds(250)) {
      for (const std::string& cache : plan.start_checks(now)) {
        plan.on_check_result(now, cache, healthy);
      }
      for (const VerdictUpdate& update : plan.take_verdict_updates(now)) {
        if (update.kind == VerdictUpdate::Kind::kPublish) {
          EXPECT_GT(update.verdict.consecutive_checks, 0U);
          EXPECT_GT(update.verdict.sequence, last_sequence);
          last_sequence = update.verdict.sequence;
        }
        updates.push_back(update);
      }
    }
  };
  run(seconds(11), false);
  EXPECT_GE(updates.size(), 4U);
  EXPECT_LE(updates.size(), 6U);
  updates.clear();
  run(seconds(14), true);
  ASSERT_FALSE(updates.empty());
  EXPECT_TRUE(updates.front().verdict.healthy);
  updates.clear();
  plan.on_suspicion_ended("a", "r");
  run(seconds(18), true);
  ASSERT_FALSE(updates.empty());
  EXPECT_EQ(updates.back().kind, VerdictUpdate::Kind::kWithdraw);
  EXPECT_EQ(updates.back().verdict.consecutive_checks, 0U);
  EXPECT_EQ(plan.suspect_count(), 0U);
  EXPECT_FALSE(plan.next_step_at(now)) << "a cache is not checked when no router suspects it";
}

TEST(HealthCheckPlanTest, ChecksAnUnhealthyCacheThatNoRouterSuspectsAnyMore) {
  HealthCheckPlan plan(HealthCheckOptions{}, 7);
  plan.on_suspected(Micros(0), "a", "r");
  plan.on_suspicion_ended("a", "r");
  EXPECT_EQ(plan.start_checks(Micros(0)).size(), 1U);
  plan.on_check_result(Micros(0), "a", false);
  EXPECT_EQ(plan.start_checks(seconds(1)).size(), 1U);
}

TEST(HealthCheckPlanTest, LimitsChecksInFlight) {
  HealthCheckOptions options;
  options.max_in_flight = 4;
  HealthCheckPlan plan(options, 7);
  for (int i = 0; i < 50; ++i) {
    plan.on_suspected(Micros(0), "c" + std::to_string(i), "r");
  }
  EXPECT_EQ(plan.start_checks(Micros(0)).size(), 4U);
  EXPECT_TRUE(plan.start_checks(Micros(0)).empty());
  plan.on_check_result(Micros(0), "c0", true);
  EXPECT_EQ(plan.start_checks(Micros(0)).size(), 1U);
}

TEST(VerdictTrackerTest, AcceptsEachVerdictOnceAndRejectsEarlierTerms) {
  VerdictTracker tracker(seconds(5));
  const auto verdict = [](bool healthy, ownership::Term term, std::uint64_t sequence) {
    Verdict out;
    out.cache = "a";
    out.healthy = healthy;
    out.term = term;
    out.sequence = sequence;
    return out;
  };
  EXPECT_TRUE(tracker.on_verdict(Micros(0), verdict(false, 7, 1)));
  EXPECT_FALSE(tracker.on_verdict(Micros(0), verdict(false, 7, 1)));
  EXPECT_TRUE(tracker.on_verdict(Micros(0), verdict(true, 9, 1)));
  EXPECT_FALSE(tracker.on_verdict(Micros(0), verdict(false, 7, 50))) << "a verdict of a former owner";
  EXPECT_EQ(tracker.valid_verdict(seconds(1), "a"), true);
  EXPECT_FALSE(tracker.valid_verdict(seconds(6), "a")) << "no longer valid";
  tracker.on_withdrawn("a");
  EXPECT_FALSE(tracker.valid_verdict(seconds(1), "a"));
  EXPECT_FALSE(tracker.on_verdict(Micros(0), verdict(false, 8, 1)));
}

TEST(VerdictTest, RejectsMutatedRecordsOrReadsValidVerdicts) {
  Verdict verdict;
  verdict.cache = "a";
  verdict.term = 7;
  verdict.sequence = 3;
  const std::string good = write_verdict(verdict);
  EXPECT_EQ(read_verdict("a", good), verdict);
  std::mt19937_64 random(9);
  int rejected = 0;
  for (int round = 0; round < 3'000; ++round) {
    std::string text = good;
    text[random() % text.size()] = "0123456789\"{}[]:,-etrufals"[random() % 26];
    const auto read = read_verdict("a", text);
    rejected += read ? 0 : 1;
    EXPECT_TRUE(!read || read->term > 0);
  }
  EXPECT_GT(rejected, 300);
}

}  // namespace
}  // namespace trailcourse::tasks
