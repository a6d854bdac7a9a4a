// The mean sending times of request classes, without the decider.
#include "decision/sending_times.h"

#include <gtest/gtest.h>

namespace trailcourse::decision_testing {
namespace {

constexpr double kDefaultMean = 0.2;
constexpr double kTolerance = 1e-12;

Request request_of_class(int request_class) {
  Request request;
  request.arrival.request_class = request_class;
  return request;
}

TEST(SendingTimes, HasADefaultBeforeTheFirstObservation) {
  const SendingTimes times(1);
  EXPECT_DOUBLE_EQ(times.mean(request_of_class(0)), kDefaultMean);
  EXPECT_DOUBLE_EQ(times.upper_mean(request_of_class(0)), 2.0 * kDefaultMean);
}

TEST(SendingTimes, AveragesEachClassSeparately) {
  SendingTimes times(2);
  times.add(request_of_class(0), 0.1);
  times.add(request_of_class(0), 0.5);
  EXPECT_NEAR(times.mean(request_of_class(0)), 0.3, kTolerance);
  EXPECT_DOUBLE_EQ(times.mean(request_of_class(1)), kDefaultMean);
}

TEST(SendingTimes, TheMarginShrinksWithTheNumberOfObservations) {
  SendingTimes times(1);
  for (int i = 0; i < 3; ++i) {
    times.add(request_of_class(0), 0.1);
  }
  EXPECT_NEAR(times.upper_mean(request_of_class(0)), 0.15, kTolerance);
  for (int i = 0; i < 96; ++i) {
    times.add(request_of_class(0), 0.1);
  }
  EXPECT_NEAR(times.upper_mean(request_of_class(0)), 0.11, kTolerance);
}

TEST(SendingTimes, TheLargestUpperMeanIsThatOfTheSlowestClass) {
  EXPECT_DOUBLE_EQ(SendingTimes(0).largest_upper_mean(), kDefaultMean);
  SendingTimes times(3);
  times.add(request_of_class(1), 4.0);
  EXPECT_DOUBLE_EQ(times.largest_upper_mean(), times.upper_mean(request_of_class(1)));
}

TEST(SendingTimes, ACopiedClassStartsWithTheObservationsOfItsSource) {
  SendingTimes times(1);
  times.add(request_of_class(0), 0.5);
  times.resize(2);
  EXPECT_DOUBLE_EQ(times.mean(request_of_class(1)), kDefaultMean);
  times.copy_class(0, 1);
  times.add(request_of_class(1), 0.1);
  EXPECT_NEAR(times.mean(request_of_class(1)), 0.3, kTolerance);
  EXPECT_DOUBLE_EQ(times.mean(request_of_class(0)), 0.5);
}

}  // namespace
}  // namespace trailcourse::decision_testing
