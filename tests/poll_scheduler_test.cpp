// Tests of the poll scheduler, alone and in thousands of simulated fleets: the bound on the polls of the
// whole fleet holds whatever event the routers react to, and each injected defect exceeds it.
#include "startup/poll_scheduler.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <random>
#include <vector>

#include "fleet/max_count_within.h"
#include "fleet_bound.h"
#include "startup/fleet_size.h"

namespace trailcourse::startup {
namespace {

using fleet::max_count_within;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing_support::max_within;

constexpr double kCallsPerSecond = 100.0;  // that the service can serve

PollOptions spread_options() {
  PollOptions options;
  options.spread = true;
  options.calls_per_s = kCallsPerSecond;
  options.max_window = std::chrono::hours(1);
  return options;
}

// The response of the service to a poll.
struct ServiceAnswer {
  PollResult result = PollResult::kNoUpdates;
  Micros retry_after{0};
};

// Simulates a fleet that polls one service in virtual time.
struct PollingFleet {
  PollOptions options = spread_options();
  int routers = 100;
  int assumed_routers = 0;                    // fleet size that each router assumes; 0: `routers`
  std::function<std::uint64_t(int)> seed_of;  // by index of the router
  std::function<Micros(int)> start_of = [](int) { return Micros(0); };
  std::function<ServiceAnswer(Micros)> answer_at = [](Micros) { return ServiceAnswer(); };
  Micros horizon = seconds(60);

  struct Outcome {
    std::vector<Micros> unsettled_polls;  // times of first polls and of polls after a failure
    Micros last_list{0};                  // when the last router received its list
    int routers_without_list = 0;
    bool ignored_retry_after = false;  // a poll came earlier than the Retry-After allowed
  };

  Outcome run() const {
    struct Poll {
      Micros at;
      std::size_t router;
      bool unsettled;
      bool operator>(const Poll& other) const { return at > other.at; }
    };
    const auto count = static_cast<std::size_t>(routers);
    std::vector<PollScheduler> schedulers;
    std::vector<bool> listed(count, false);
    std::vector<Micros> not_before(count, Micros(0));
    std::priority_queue<Poll, std::vector<Poll>, std::greater<>> queue;
    Outcome outcome;
    for (int i = 0; i < routers; ++i) {
      schedulers.emplace_back(options, seed_of(i));
      schedulers.back().set_fleet_size(assumed_routers > 0 ? assumed_routers : routers);
      queue.push({schedulers.back().first_poll(start_of(i)).at, static_cast<std::size_t>(i), true});
    }
    while (!queue.empty() && queue.top().at < horizon) {
      const Poll poll = queue.top();
      queue.pop();
      if (poll.unsettled) {
        outcome.unsettled_polls.push_back(poll.at);
      }
      outcome.ignored_retry_after = outcome.ignored_retry_after || poll.at < not_before[poll.router];
      const ServiceAnswer answer = answer_at(poll.at);
      const bool succeeded = answer.result == PollResult::kNoUpdates || answer.result == PollResult::kUpdates;
      if (succeeded && !listed[poll.router]) {
        listed[poll.router] = true;
        outcome.last_list = std::max(outcome.last_list, poll.at);
      }
      const Micros end = poll.at + duration_of(answer.result, succeeded);
      not_before[poll.router] = succeeded ? Micros(0) : end + answer.retry_after;
      const ScheduledPoll next =
          schedulers[poll.router].next_poll(poll.at, end, answer.result, answer.retry_after);
      if (!succeeded || !listed[poll.router]) {
        queue.push({next.at, poll.router, true});
      } else if (next.at < horizon && answer.result == PollResult::kNoUpdates) {
        queue.push({next.at, poll.router, false});
      }
    }
    outcome.routers_without_list = static_cast<int>(std::count(listed.begin(), listed.end(), false));
    return outcome;
  }

 private:
  Micros duration_of(PollResult result, bool succeeded) const {
    if (succeeded) {
      return options.long_poll_timeout;
    }
    return result == PollResult::kTimeout ? seconds(3) : Micros(1'000);
  }
};

// 10,000 fleets of 1 to 1,000 routers that start at once, in tenths, one after another, or within 2 us; with
// a service that is healthy, or at first refuses connections, does not answer, or rejects polls with or
// without Retry-After.
TEST(PollSchedulerTest, PollsOfTheFleetStayWithinTheBoundForTenThousandRandomFleets) {
  std::size_t fleets = 0;
  std::size_t calls = 0;
  for (std::uint64_t seed = 1; seed <= 10'000; ++seed) {
    std::mt19937_64 random(seed);
    const auto below = [&random](int limit) {
      return static_cast<int>(random() % static_cast<std::uint64_t>(limit));
    };
    PollingFleet fleet;
    const double size = std::uniform_real_distribution<double>(0.0, 3.0)(random);
    fleet.routers = std::max(1, static_cast<int>(std::pow(10.0, size)));
    fleet.horizon = seconds(20);
    fleet.seed_of = [seed](int i) { return seed * 1'000'003ULL + static_cast<std::uint64_t>(i) * 7'919ULL; };
    const int start_pattern = below(4);
    const Micros step(1'000 * (1 + below(300)));
    const int routers = fleet.routers;
    fleet.start_of = [=](int i) {
      return start_pattern == 0   ? Micros(0)
             : start_pattern == 1 ? seconds(i * 10 / routers)
             : start_pattern == 2 ? i * step
                                  : Micros(i % 3);
    };
    const int fault = below(4);
    const Micros fault_end = milliseconds(below(8'000));
    const Micros retry_after = seconds(below(5));
    fleet.answer_at = [=](Micros at) -> ServiceAnswer {
      if (at >= fault_end || fault == 0) {
        return {PollResult::kNoUpdates, Micros(0)};
      }
      return fault == 1   ? ServiceAnswer{PollResult::kDisconnected, Micros(0)}
             : fault == 2 ? ServiceAnswer{PollResult::kTimeout, Micros(0)}
                          : ServiceAnswer{PollResult::kRejected, retry_after};
    };
    const PollingFleet::Outcome outcome = fleet.run();
    ++fleets;
    calls += outcome.unsettled_polls.size();
    ASSERT_LE(max_count_within(outcome.unsettled_polls, seconds(1)), max_within(kCallsPerSecond, seconds(1)))
        << "seed " << seed;
    ASSERT_LE(max_count_within(outcome.unsettled_polls, milliseconds(100)),
              max_within(kCallsPerSecond, milliseconds(100)))
        << "seed " << seed;
    ASSERT_FALSE(outcome.ignored_retry_after) << "seed " << seed << ": earlier than Retry-After allows";
  }
  EXPECT_EQ(fleets, 10'000U);
  EXPECT_GT(calls, 1'000'000U);
}

// With a healthy service, the first poll of each router succeeds.
TEST(PollSchedulerTest, EachRouterReceivesItsListWithinTheFirstWindow) {
  for (const int routers : {1, 10, 100, 1'000, 10'000}) {
    PollingFleet fleet;
    fleet.routers = routers;
    fleet.horizon = seconds(300);
    fleet.seed_of = [](int i) { return static_cast<std::uint64_t>(i) * 31 + 7; };
    const PollingFleet::Outcome outcome = fleet.run();
    EXPECT_EQ(outcome.routers_without_list, 0);
    EXPECT_LE(outcome.last_list,
              std::max(Micros(50'000), Micros(static_cast<Micros::rep>(2.4e6 * routers / kCallsPerSecond))));
  }
}

PollingFleet rejected_fleet() {
  PollingFleet fleet;
  fleet.routers = 600;
  fleet.seed_of = [](int i) { return static_cast<std::uint64_t>(i) * 104'729ULL + 3; };
  fleet.answer_at = [](Micros at) {
    return at < seconds(4) ? ServiceAnswer{PollResult::kRejected, Micros(0)}
                           : ServiceAnswer{PollResult::kNoUpdates, Micros(0)};
  };
  return fleet;
}

TEST(PollSchedulerDefectTest, WithoutJitterAllRoutersPollAtOnce) {
  EXPECT_LE(max_count_within(rejected_fleet().run().unsettled_polls, milliseconds(100)),
            max_within(kCallsPerSecond, milliseconds(100)));
  PollingFleet fleet = rejected_fleet();
  fleet.options.max_window = Micros(0);
  EXPECT_GT(max_count_within(fleet.run().unsettled_polls, milliseconds(100)),
            max_within(kCallsPerSecond, milliseconds(100)));
}

TEST(PollSchedulerDefectTest, ABudgetPerRouterExceedsTheBoundOfTheFleet) {
  PollingFleet fleet = rejected_fleet();
  fleet.assumed_routers = 1;
  EXPECT_GT(max_count_within(fleet.run().unsettled_polls, seconds(1)),
            max_within(kCallsPerSecond, seconds(1)));
}

// Routers restart in an order that cancels out a jitter which depends only on the name of the router.
TEST(PollSchedulerDefectTest, JitterByNameAloneCanBeCancelledOutByTheOrderOfStarts) {
  const auto peak_polls = [](bool seed_by_name) {
    PollingFleet fleet;
    fleet.routers = 600;
    const auto name_seed = [](int i) { return static_cast<std::uint64_t>(i) * 104'729ULL + 3; };
    fleet.start_of = [&fleet, name_seed](int i) {
      PollScheduler same(fleet.options, name_seed(i));
      same.set_fleet_size(fleet.routers);
      return seconds(20) - same.first_poll(Micros(0)).at;
    };
    fleet.seed_of = [seed_by_name, name_seed](int i) {
      return seed_by_name ? name_seed(i) : name_seed(i) ^ 0x5bd1e995ULL;
    };
    return max_count_within(fleet.run().unsettled_polls, milliseconds(100));
  };
  EXPECT_LE(peak_polls(false), max_within(kCallsPerSecond, milliseconds(100)));
  EXPECT_GT(peak_polls(true), max_within(kCallsPerSecond, milliseconds(100)));
}

TEST(PollSchedulerTest, WithoutSpreadPollsAtOnceThenWithFullJitterAndObeysRetryAfter) {
  PollOptions options;
  PollScheduler scheduler(options, 1);
  EXPECT_EQ(scheduler.first_poll(seconds(5)).at, seconds(5));
  EXPECT_EQ(scheduler.next_poll(seconds(5), seconds(7), PollResult::kNoUpdates, Micros(0)).at, seconds(7));
  EXPECT_EQ(scheduler.next_poll(seconds(7), seconds(8), PollResult::kUpdates, Micros(0)).at, seconds(8));
  EXPECT_GE(scheduler.next_poll(seconds(8), seconds(8), PollResult::kNoUpdates, Micros(0)).at,
            seconds(8) + options.min_backoff)
      << "polls are limited where the service answers at once";
  Micros longest(0);
  for (int i = 0; i < 200; ++i) {
    const Micros backoff =
        scheduler.next_poll(seconds(9), seconds(9), PollResult::kDisconnected, Micros(0)).at - seconds(9);
    longest = std::max(longest, backoff);
    EXPECT_LE(backoff, 2 * options.max_backoff);
  }
  EXPECT_GT(longest, options.max_backoff);
  const ScheduledPoll rejected =
      scheduler.next_poll(seconds(9), seconds(9), PollResult::kRejected, seconds(3));
  EXPECT_GE(rejected.at, seconds(12));
  EXPECT_LE(rejected.at, seconds(12) + 2 * options.max_backoff);
  const ScheduledPoll long_retry_after =
      scheduler.next_poll(seconds(9), seconds(9), PollResult::kRejected, std::chrono::hours(99));
  EXPECT_LE(long_retry_after.at, seconds(9) + options.max_retry_after + 2 * options.max_backoff);
}

TEST(PollSchedulerTest, SchedulesShortProbesAfterConsecutiveFailures) {
  PollScheduler scheduler(spread_options(), 1);
  scheduler.set_fleet_size(100);
  ScheduledPoll next;
  for (int i = 0; i < 3; ++i) {
    next = scheduler.next_poll(Micros(0), Micros(0), PollResult::kTimeout, Micros(0));
  }
  EXPECT_TRUE(scheduler.only_probes());
  EXPECT_TRUE(next.probe);
  EXPECT_EQ(next.long_poll_timeout, Micros(0));
  next = scheduler.next_poll(next.at, next.at, PollResult::kNoUpdates, Micros(0));
  EXPECT_FALSE(next.probe);
  EXPECT_GT(next.long_poll_timeout, Micros(0));
}

TEST(FleetSizeTest, PrefersTheOperatorsNumberThenTheSettingsThenTheReportOfTheService) {
  EXPECT_EQ(FleetSize(300, 20).routers(), 300);
  FleetSize by_settings(0, 20);
  by_settings.observe(900);
  EXPECT_EQ(by_settings.routers(), 20);
  FleetSize estimated(0, 1);
  EXPECT_EQ(estimated.routers(), 1);
  estimated.observe(200);
  EXPECT_EQ(estimated.routers(), 200);
  estimated.observe(3);
  EXPECT_GT(estimated.routers(), 180) << "the estimate falls slowly, since clients reconnect one by one";
  estimated.observe(-5);
  EXPECT_GE(estimated.routers(), 1);
}

}  // namespace
}  // namespace trailcourse::startup
