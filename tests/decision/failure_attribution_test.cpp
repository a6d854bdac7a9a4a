// Attribution of failures to nodes, without the decider.
#include "decision/failure_attribution.h"

#include <gtest/gtest.h>

#include "decision/decision_fixture.h"

namespace trailcourse::decision_testing {
namespace {

class FailureAttributionTest : public testing::Test {
 protected:
  static constexpr int kCacheIndex = 0;
  static constexpr int kParentIndex = 1;
  static constexpr int kOriginIndex = 2;

  FailureAttributionTest() {
    context_.now = seconds(100);
    add_node("c", Role::kCache);
    add_node("p", Role::kParent);
    add_node("o", Role::kOrigin);
    context_.nodes.update_members();
    attempt_.node = kCacheIndex;
    attempt_.source = kParentIndex;
    attempt_.sent = context_.now;
    request_.arrival.request_class = kVideo;
    request_.arrived_at = context_.now;
    request_.work = 0.1;
  }

  void add_node(const std::string& address, Role role) {
    Node& node = context_.nodes.find_or_add(address).node;
    node.endpoint = endpoint(address, role);
    node.in_own_zone = role == Role::kCache;
    node.listed = true;
    node.transfer_capacity = 8.0;
  }
  Node& cache() { return context_.nodes.at(kCacheIndex); }
  Node& parent() { return context_.nodes.at(kParentIndex); }
  Node& origin() { return context_.nodes.at(kOriginIndex); }

  void fail(Status status, Note note = Note::kNone) {
    AttemptEnded ended;
    ended.status = status;
    ended.note = note;
    failures_.on_failure(attempt_, ended);
  }
  void succeed_after(Micros latency, Note note) {
    context_.now += latency;
    AttemptEnded ended;
    ended.latency = latency;
    ended.source_first_byte_time = latency;
    ended.note = note;
    failures_.on_success(request_, attempt_, ended);
  }

  DecisionContext context_{default_settings(), 1};
  SendingTimes sending_times_{context_.settings.classes.size()};
  SlowStart slow_start_{context_, sending_times_, 1};
  LoadEstimate loads_{context_, slow_start_};
  LatencyModel latency_{context_, loads_};
  IdempotencyRules idempotency_{context_};
  LoadShedding shedding_{idempotency_, latency_, loads_, sending_times_, context_.settings.classes.size()};
  PurgeFloors purges_{context_};
  ObjectTable objects_{10};
  FillWindow fills_{context_, idempotency_, latency_, shedding_, purges_, objects_};
  OutlierDetection outliers_{context_};
  SourceSelection sources_{context_, slow_start_, outliers_};
  FailureAttribution failures_{context_, loads_, latency_, fills_, outliers_, sources_};
  Attempt attempt_;
  Request request_;
};

TEST_F(FailureAttributionTest, AnErrorCountsAgainstTheTarget) {
  fail(Status::kError);
  EXPECT_DOUBLE_EQ(cache().health.consecutive_failures, FailurePenalty::kFailure);
  EXPECT_DOUBLE_EQ(parent().health.consecutive_failures, 0.0);
  EXPECT_TRUE(attempt_.avoid_node);
  EXPECT_FALSE(attempt_.avoid_source);
}

TEST_F(FailureAttributionTest, AResetDoesNotExcludeTheTargetForTheRequest) {
  fail(Status::kReset);
  EXPECT_DOUBLE_EQ(cache().health.consecutive_failures, FailurePenalty::kReset);
  EXPECT_FALSE(attempt_.avoid_node);
}

TEST_F(FailureAttributionTest, AnUnreachableSourceCountsOnlyAgainstTheSource) {
  fail(Status::kFull, Note::kSourceUnreachable);
  EXPECT_DOUBLE_EQ(parent().health.consecutive_failures, FailurePenalty::kFailure);
  EXPECT_LT(parent().source_quota, 1.0);
  EXPECT_DOUBLE_EQ(cache().health.failure_rate, 0.0);
  EXPECT_TRUE(attempt_.avoid_source);
  EXPECT_FALSE(attempt_.avoid_node);
}

TEST_F(FailureAttributionTest, AFailedOriginLowersTheQuotaOfTheOrigin) {
  fail(Status::kFull, Note::kOriginFailed);
  EXPECT_LT(origin().source_quota, 1.0);
  EXPECT_DOUBLE_EQ(parent().source_quota, 1.0);
  EXPECT_DOUBLE_EQ(parent().health.failure_rate, 0.0);
}

TEST_F(FailureAttributionTest, ARejectionWithoutANoteExcludesBothNodesForTheRequest) {
  fail(Status::kFull);
  EXPECT_TRUE(attempt_.avoid_node);
  EXPECT_TRUE(attempt_.avoid_source);
  EXPECT_GT(parent().health.failure_rate, 0.0);
  EXPECT_DOUBLE_EQ(cache().health.failure_rate, 0.0);
}

TEST_F(FailureAttributionTest, AFillOnTimeIsASuccessOfBothNodes) {
  succeed_after(milliseconds(100), Note::kFilled);
  EXPECT_EQ(cache().health.last_success, context_.now);
  EXPECT_EQ(parent().health.last_success, context_.now);
}

TEST_F(FailureAttributionTest, ALateFillCountsAgainstASourceThatHadTheObject) {
  succeed_after(seconds(2), Note::kFilled);
  EXPECT_EQ(cache().health.last_success, context_.now);
  EXPECT_GT(parent().health.failure_rate, 0.0);
  EXPECT_LT(parent().source_quota, 1.0);
}

TEST_F(FailureAttributionTest, ALateFillFromTheOriginCountsAgainstTheOrigin) {
  succeed_after(seconds(2), Note::kFilledFromOrigin);
  EXPECT_DOUBLE_EQ(parent().health.failure_rate, 0.0);
  EXPECT_DOUBLE_EQ(parent().source_quota, 1.0);
  EXPECT_LT(origin().source_quota, 1.0);
}

TEST_F(FailureAttributionTest, ALateFillThroughAnOverloadedCacheCountsAgainstNoSource) {
  cache().in_flight = 100;
  succeed_after(seconds(2), Note::kFilled);
  EXPECT_DOUBLE_EQ(parent().health.failure_rate, 0.0);
  EXPECT_DOUBLE_EQ(parent().source_quota, 1.0);
}

TEST_F(FailureAttributionTest, ACacheThatAnswersNothingIsEjected) {
  context_.now += seconds(1);
  EXPECT_TRUE(failures_.on_overdue(attempt_));
  EXPECT_TRUE(attempt_.avoid_node);
  EXPECT_FALSE(outliers_.healthy(cache()));
  EXPECT_TRUE(outliers_.healthy(parent()));
}

TEST_F(FailureAttributionTest, ASourceThatAnswersNothingIsPenalisedIfItsCacheAnswers) {
  context_.now += seconds(1);
  cache().health.last_success = context_.now;
  EXPECT_TRUE(failures_.on_overdue(attempt_));
  EXPECT_TRUE(attempt_.avoid_source);
  EXPECT_FALSE(attempt_.avoid_node);
  EXPECT_DOUBLE_EQ(parent().health.consecutive_failures, FailurePenalty::kFailure);
  EXPECT_TRUE(outliers_.healthy(cache()));
}

TEST_F(FailureAttributionTest, ALostAnswerIsRetriedElsewhereWithoutAPenalty) {
  context_.now += seconds(1);
  cache().health.last_success = context_.now;
  parent().health.last_success = context_.now;
  EXPECT_TRUE(failures_.on_overdue(attempt_));
  EXPECT_TRUE(attempt_.avoid_node);
  EXPECT_DOUBLE_EQ(cache().health.failure_rate, 0.0);
  EXPECT_DOUBLE_EQ(parent().health.failure_rate, 0.0);
}

TEST_F(FailureAttributionTest, AnOverdueAttemptAtAnOverloadedCacheIsNotReplaced) {
  context_.now += seconds(1);
  cache().health.last_success = context_.now;
  parent().health.last_success = context_.now;
  cache().in_flight = 100;
  EXPECT_FALSE(failures_.on_overdue(attempt_));
  EXPECT_FALSE(attempt_.avoid_node);
  EXPECT_FALSE(attempt_.avoid_source);
}

}  // namespace
}  // namespace trailcourse::decision_testing
