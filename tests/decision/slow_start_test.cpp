// Slow-start budgets of caches and parents, for one router and for many.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "decision/decision_fixture.h"

namespace trailcourse::decision_testing {
namespace {

// Returns the maximum seconds of sending that the router sends to the node `name` within one overload span.
double max_work_per_span(TestRouter& router, const std::string& name, bool as_source) {
  std::vector<Micros> sent;
  for (RequestId id = 1; id <= 6000; ++id) {  // 12 s, while the node is in slow start
    router.request(id, kVideo, id, 100.0);
    if (!router.sends[id].empty()) {
      const SendAttempt& send = router.sends[id][0];
      if ((as_source ? send.source : send.cache) == name) {
        sent.push_back(router.now);
      }
      router.end_attempt(id, 0, Status::kOk, Note::kFilled);
    }
    router.now += milliseconds(2);
  }
  double max_work = 0.0;
  for (std::size_t i = 0, j = 0; i < sent.size(); ++i) {
    while (sent[i] - sent[j] > seconds(3)) {
      ++j;
    }
    max_work = std::max(max_work, 0.1 * static_cast<double>(i - j + 1));
  }
  return max_work;
}

TEST(SlowStart, LimitsTheLoadOnACacheToThisRoutersPartOfTheBudget) {
  TestRouter router;
  auto list = default_endpoints();
  list[0].started = router.now;
  router.receive_list(list);
  const double used = max_work_per_span(router, "c1", false);
  EXPECT_GT(used, 0.0);
  EXPECT_LT(used, 2.5 * 8.0 * 0.89 * 3.0 / 2);  // two routers of the zone; capacity after 12 of 14 s
  TestRouter fresh;
  list[0].started = fresh.now;
  fresh.receive_list(list);
  double first = 0.0;
  for (RequestId id = 1; id <= 1000; ++id) {  // 2 s: capacity is under 0.2 + 0.8 * 2 / 14
    fresh.request(id, kVideo, id, 100.0);
    first += !fresh.sends[id].empty() && fresh.sends[id][0].cache == "c1" ? 0.1 : 0.0;
    fresh.end_attempt(id, 0, Status::kOk, Note::kFilled);
    fresh.now += milliseconds(2);
  }
  EXPECT_LT(first, 2.5 * 8.0 * 0.315 * 3.0 / 2);
}

TEST(SlowStart, LimitsFillsFromAParentOfARestoredList) {
  TestRouter router;
  auto list = default_endpoints();
  list[4].started = router.now - seconds(1);
  router.receive_list(list, ListKind::kRestored);
  double used = 0.0;
  for (RequestId id = 1; id <= 1000; ++id) {
    router.request(id, kVideo, id, 100.0);
    used += !router.sends[id].empty() && router.sends[id][0].source == "p1" ? 0.1 : 0.0;
    router.end_attempt(id, 0, Status::kOk, Note::kFilled);
    router.now += milliseconds(2);
  }
  EXPECT_LT(used, 2.0 * 8.0 * (0.1 + 0.9 * 3.0 / 20) * 3.0 / 4);
}

TEST(SlowStart, DetectsARestartByTheStartTime) {
  TestRouter router;
  router.receive_list(default_endpoints());
  for (RequestId id = 1; id <= 50; ++id) {
    router.serve(id, kVideo, id);
  }
  auto entry = endpoint("c1");
  entry.started = router.now;
  router.receive_list({entry}, ListKind::kChanges);
  int to_restarted = 0;
  for (RequestId id = 101; id <= 300; ++id) {
    to_restarted += router.serve(id, kVideo, id).cache == "c1" ? 1 : 0;
  }
  EXPECT_EQ(to_restarted, 0);  // no budget has accrued yet, since no time has passed
}

// Many routers that share a parent in slow start, each with its own clock and requests. Records when they
// send it fills.
struct ManyRouters {
  static constexpr int kRouters = 200;
  static constexpr double kWork = 0.3;  // seconds of sending per request
  static constexpr double kParentTransfers = 40.0;

  ManyRouters() {
    Settings settings = default_settings();
    settings.routers = kRouters;
    settings.routers_in_zone = 10;
    auto list = default_endpoints();
    list[4].weight = list[5].weight = kParentTransfers;
    list[4].started = Micros(seconds(100));
    for (int i = 0; i < kRouters; ++i) {
      routers.emplace_back(settings, static_cast<std::uint64_t>(i) + 1);
      routers.back().receive_list(list);
    }
  }

  // Each router makes `count` requests, evenly over `span` and with its own offset.
  void request_evenly(int count, Micros span) {
    const Micros begin = now;
    for (int i = 0; i < kRouters; ++i) {
      TestRouter& router = routers[static_cast<std::size_t>(i)];
      for (int n = 0; n < count; ++n) {
        router.now = begin + span * (n * kRouters + (i * 73) % kRouters) / (count * kRouters);
        const RequestId id = next_id++;
        router.request(id, kVideo, id, kWork * 1000.0);
        if (!router.sends[id].empty()) {
          if (router.sends[id][0].source == "p1") {
            sent.push_back(router.now);
          }
          router.end_attempt(id, 0, Status::kOk, Note::kFilled);
        }
      }
    }
    now = begin + span;
    std::sort(sent.begin(), sent.end());
  }

  // Returns the greatest share of the parent's overload budget that was used within any overload span (3 s).
  // The budget is twice the capacity at the beginning of the span.
  double max_budget_share() const {
    double max_share = 0.0;
    for (std::size_t i = 0, j = 0; i < sent.size(); ++i) {
      while (sent[i] - sent[j] > seconds(3)) {
        ++j;
      }
      const double age = std::chrono::duration<double>(sent[j] - Micros(seconds(100))).count();
      const double budget = 2.0 * (0.1 + 0.9 * age / 20.0) * kParentTransfers * 3.0;
      max_share = std::max(max_share, kWork * static_cast<double>(i - j + 1) / budget);
    }
    return max_share;
  }

  Micros now{seconds(100)};
  std::deque<TestRouter> routers;
  std::vector<Micros> sent;
  RequestId next_id = 1;
};

TEST(SlowStart, TwoHundredRoutersTogetherUseButDoNotExceedAParentsBudget) {
  ManyRouters many;
  many.request_evenly(60, seconds(15));
  EXPECT_LT(many.max_budget_share(), 1.0);
  EXPECT_GT(many.max_budget_share(), 0.2);
  const auto early =
      std::count_if(many.sent.begin(), many.sent.end(), [](Micros at) { return at < seconds(103); });
  EXPECT_GT(early, 5);  // the parent is used even while its budget is less than one request per router
}

TEST(SlowStart, UnusedSlotsDoNotAccumulate) {
  ManyRouters many;
  many.request_evenly(1, seconds(5));
  many.request_evenly(100, seconds(1));
  EXPECT_LT(many.max_budget_share(), 1.0);
}

TEST(SlowStart, ImplausibleRouterCountsLoseNoRequest) {
  for (const int routers : {-7, 0, 1, 1'000'000'000}) {
    Settings settings = default_settings();
    settings.routers = routers;
    settings.routers_in_zone = routers;
    TestRouter router(settings);
    auto list = default_endpoints();
    list[0].started = list[4].started = router.now;
    router.receive_list(list);
    for (RequestId id = 1; id <= 200; ++id) {
      EXPECT_EQ(router.serve(id, kVideo, id).id, id);
      router.now += milliseconds(20);
    }
  }
}

}  // namespace
}  // namespace trailcourse::decision_testing
