// Predicted latencies and latency objectives, without the decider.
#include "decision/latency_model.h"

#include <gtest/gtest.h>

#include "decision/decision_fixture.h"

namespace trailcourse::decision_testing {
namespace {

constexpr double kTolerance = 1e-12;

class LatencyModelTest : public testing::Test {
 protected:
  LatencyModelTest() {
    context_.now = seconds(100);
    request_.arrival.request_class = kVideo;  // objective 0.6 s, and 1.6 s for each second of sending
    request_.arrived_at = context_.now;
    request_.work = 0.1;
    node_.transfer_capacity = 2.0;
  }

  DecisionContext context_{default_settings(), 1};
  SendingTimes sending_times_{context_.settings.classes.size()};
  SlowStart slow_start_{context_, sending_times_, 1};
  LoadEstimate loads_{context_, slow_start_};
  LatencyModel latency_{context_, loads_};
  Request request_;
  Node node_;
};

TEST_F(LatencyModelTest, ANodeWithSpareCapacitySendsAtFullRate) {
  EXPECT_NEAR(latency_.expected(request_, node_), LatencyModel::kOverhead + 0.1, kTolerance);
  node_.in_flight = 2;
  EXPECT_NEAR(latency_.expected(request_, node_), LatencyModel::kOverhead + 0.1, kTolerance);
}

TEST_F(LatencyModelTest, ExpectedLatencyGrowsWithTheLoadBeyondTheCapacity) {
  node_.in_flight = 4;
  node_.foreign_load = 2.0;
  EXPECT_NEAR(latency_.expected(request_, node_), LatencyModel::kOverhead + 0.3, kTolerance);
}

TEST_F(LatencyModelTest, TheObjectiveGrowsWithTheSendingTime) {
  EXPECT_NEAR(latency_.objective(request_), 0.76, kTolerance);
  request_.work = 1.0;
  EXPECT_NEAR(latency_.objective(request_), 2.2, kTolerance);
}

TEST_F(LatencyModelTest, AnAnswerIsOnTimeUntilTheObjective) {
  context_.now += milliseconds(759);
  EXPECT_TRUE(latency_.on_time(request_));
  context_.now += milliseconds(2);
  EXPECT_NEAR(latency_.elapsed(request_), 0.761, 1e-9);
  EXPECT_FALSE(latency_.on_time(request_));
}

}  // namespace
}  // namespace trailcourse::decision_testing
