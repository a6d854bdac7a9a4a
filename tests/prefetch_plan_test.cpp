// Prefetching: the plan of one shard's objects, and the parameters of prefetching.
#include "tasks/prefetch_plan.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdio>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "tasks/prefetch_parameters.h"

namespace trailcourse::tasks {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

PrefetchParameters make_parameters(int objects) {
  PrefetchParameters parameters;
  parameters.request_class = "media";
  for (int i = 0; i < objects; ++i) {
    char text[17];
    std::snprintf(text, sizeof text, "%016x", i + 1);
    parameters.objects.push_back(text);
  }
  return parameters;
}

TEST(PrefetchPlanTest, RequestsEachObjectOnceInOneShard) {
  const PrefetchParameters parameters = make_parameters(23);
  std::map<std::string, int> requests;
  for (std::uint64_t shard = 0; shard < 4; ++shard) {
    PrefetchPlan plan(parameters, shard, 4, PrefetchOptions{}, "");
    while (!plan.done()) {
      const auto started = plan.start_requests(Micros(0));
      ASSERT_FALSE(started.empty());
      EXPECT_LE(started.size(), PrefetchOptions{}.max_in_flight);
      for (const std::size_t index : started) {
        ++requests[plan.object(index)];
        plan.on_result(Micros(0), index, PrefetchResult::kFilled, Micros(0));
      }
    }
  }
  EXPECT_EQ(requests.size(), 23U);
  for (const auto& [object, times] : requests) {
    EXPECT_EQ(times, 1) << object;
  }
}

// Owners crash at random times. Every object is requested, and only objects that are missing in the last
// checkpoint are requested again.
TEST(PrefetchPlanTest, ASuccessorContinuesFromTheCheckpoint) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    const PrefetchParameters parameters = make_parameters(40);
    std::map<std::string, int> answered;
    std::string checkpoint;
    std::size_t repeated = 0;
    int crashes = 0;
    bool done = false;
    while (!done) {
      PrefetchPlan plan(parameters, 0, 1, PrefetchOptions{}, checkpoint);
      std::vector<std::size_t> in_flight;
      for (bool alive = true; alive && !(done = plan.done());) {
        for (const std::size_t index : plan.start_requests(Micros(0))) {
          in_flight.push_back(index);
        }
        ASSERT_FALSE(in_flight.empty());
        const std::size_t position = random() % in_flight.size();
        const std::size_t index = in_flight[position];
        in_flight.erase(in_flight.begin() + static_cast<std::ptrdiff_t>(position));
        repeated += ++answered[plan.object(index)] > 1 ? 1 : 0;
        plan.on_result(Micros(0), index, PrefetchResult::kFilled, Micros(0));
        const bool crashes_now = random() % 12 == 0 && crashes < 20;
        if (!crashes_now || random() % 2 == 0) {
          checkpoint = plan.checkpoint();
        }
        alive = !crashes_now;
        crashes += crashes_now ? 1 : 0;
      }
    }
    EXPECT_EQ(answered.size(), 40U);
    EXPECT_LE(repeated, static_cast<std::size_t>(crashes))
        << "a crash loses at most one checkpoint, with one answer";
  }
}

TEST(PrefetchPlanTest, RetriesRejectionsAfterTheirDelayUpToMaxAttempts) {
  PrefetchOptions options;
  options.max_attempts = 3;
  PrefetchPlan plan(make_parameters(1), 0, 1, options, "");
  Micros now{0};
  ASSERT_EQ(plan.start_requests(now).size(), 1U);
  plan.on_result(now, 0, PrefetchResult::kRejected, seconds(3));
  EXPECT_EQ(plan.next_step_at(now), seconds(3)) << "not before the time that the rejection set";
  now = seconds(3);
  ASSERT_EQ(plan.start_requests(now).size(), 1U);
  plan.on_result(now, 0, PrefetchResult::kFailed, Micros(0));
  EXPECT_EQ(plan.next_step_at(now), now + 2 * options.retry_backoff);
  now += 2 * options.retry_backoff;
  ASSERT_EQ(plan.start_requests(now).size(), 1U);
  plan.on_result(now, 0, PrefetchResult::kFailed, Micros(0));
  EXPECT_TRUE(plan.done());
  EXPECT_EQ(plan.progress().failed, 1U);
}

TEST(PrefetchPlanTest, PacesRequestsWithoutABurstAfterAPause) {
  PrefetchParameters parameters = make_parameters(100);
  parameters.objects_per_s = 10.0;
  PrefetchOptions options;
  options.max_in_flight = 100;
  PrefetchPlan plan(parameters, 0, 1, options, "");
  EXPECT_EQ(plan.start_requests(Micros(0)).size(), 1U);
  EXPECT_EQ(plan.next_step_at(Micros(0)), milliseconds(100));
  std::size_t requested = 1;
  for (Micros now{0}; now < seconds(2); now += milliseconds(10)) {
    requested += plan.start_requests(now).size();
  }
  EXPECT_LE(requested, 21U);
  EXPECT_GE(requested, 19U);
  EXPECT_LE(plan.start_requests(seconds(10)).size(), 2U);
}

TEST(PrefetchPlanTest, IgnoresACheckpointThatIsMalformedOrOfAnotherOrder) {
  PrefetchPlan first(make_parameters(10), 0, 1, PrefetchOptions{}, "");
  for (const std::size_t index : first.start_requests(Micros(0))) {
    first.on_result(Micros(0), index, PrefetchResult::kAlreadyCached, Micros(0));
  }
  const std::string good = first.checkpoint();
  EXPECT_EQ(PrefetchPlan(make_parameters(10), 0, 1, PrefetchOptions{}, good).progress().already_cached, 4U);
  EXPECT_EQ(PrefetchPlan(make_parameters(11), 0, 1, PrefetchOptions{}, good).progress().filled, 0U);
  std::mt19937_64 random(4);
  for (int round = 0; round < 3'000; ++round) {
    std::string text = good;
    text[random() % text.size()] = "0123456789\"{}[]:,-"[random() % 18];
    PrefetchPlan plan(make_parameters(10), 0, 1, PrefetchOptions{}, text);
    // The plan ends with any checkpoint.
    for (int i = 0; i < 20 && !plan.done(); ++i) {
      for (const std::size_t index : plan.start_requests(Micros(0))) {
        plan.on_result(Micros(0), index, PrefetchResult::kFilled, Micros(0));
      }
    }
    EXPECT_TRUE(plan.done()) << text;
  }
}

TEST(PrefetchParametersTest, ErrorNamesTheInvalidField) {
  const auto error_of = [](const std::string& params) -> std::string {
    try {
      read_prefetch_parameters(params);
    } catch (const InvalidPrefetchParameters& error) {
      return error.what();
    }
    return "";
  };
  EXPECT_EQ(error_of(write_prefetch_parameters(make_parameters(3))), "");
  EXPECT_NE(error_of("[]").find("params"), std::string::npos);
  EXPECT_NE(error_of(R"({"class":"media","objects":["xyz"]})").find("objects"), std::string::npos);
  EXPECT_NE(error_of(R"({"class":"media","objects":[]})").find("objects"), std::string::npos);
  EXPECT_EQ(read_prefetch_list("0000000000000001\nxyz\n0000000000000002/3\n").size(), 2U);
  EXPECT_NE(error_of(R"({"objects":["0000000000000001"]})").find("class"), std::string::npos);
  EXPECT_NE(error_of(R"({"class":"media","rate":1,"objects":["0000000000000001"]})").find("rate"),
            std::string::npos);
}

}  // namespace
}  // namespace trailcourse::tasks
