// Tests of the discovery service: the scheduling of long polls and the event log. Also tests of Retry-After.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>

#include "discovery/event_log.h"
#include "discovery/long_poll_scheduler.h"
#include "protocol/http_client.h"

namespace trailcourse::discovery {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using namespace std::chrono_literals;

// The name and status of an endpoint in a list.
using ListedEndpoint = std::pair<std::string, std::string>;

json list_event(std::uint64_t sequence, bool full, const std::vector<ListedEndpoint>& entries) {
  json endpoints = json::array();
  for (const auto& [name, status] : entries) {
    endpoints.push_back({{"name", name}, {"status", status}});
  }
  return {{"rev", sequence}, {"pool", {{"index", 1}, {"snapshot", full}, {"endpoints", endpoints}}}};
}
json purge_event(std::uint64_t sequence, std::int64_t ms) {
  return {{"rev", sequence}, {"flush", {{"collection", 3}, {"ms", ms}}}};
}
json page_of(std::uint64_t last_sequence, const std::vector<json>& events) {
  return {{"rev", last_sequence}, {"notices", events}};
}

TEST(LongPollSchedulerTest, HoldsUpToDatePollsAndAnswersTheOthersAtOnce) {
  LongPollScheduler scheduler({}, 1);
  EXPECT_EQ(scheduler.on_poll(0ms, 1, 4, 2'000ms, 5).kind, PollDecisionKind::kAnswer);
  EXPECT_EQ(scheduler.on_poll(0ms, 2, 5, 0ms, 5).kind, PollDecisionKind::kAnswer)
      << "a poll without timeout is not held";
  EXPECT_EQ(scheduler.on_poll(0ms, 3, 5, 2'000ms, 5).kind, PollDecisionKind::kHold);
  EXPECT_EQ(scheduler.on_poll(0ms, 4, 9, 2'000ms, 5).kind, PollDecisionKind::kAnswer)
      << "a sequence number above the last one is answered at once";
}

TEST(LongPollSchedulerTest, AnswersAHeldPollAtItsTimeoutOrAtTheMaxTimeout) {
  LongPollScheduler scheduler({}, 1);
  EXPECT_EQ(scheduler.on_poll(0ms, 3, 5, 2'000ms, 5).kind, PollDecisionKind::kHold);
  EXPECT_EQ(scheduler.on_poll(0ms, 5, 5, 3'600'000ms, 5).kind, PollDecisionKind::kHold);
  EXPECT_EQ(scheduler.next_step_at(), 2'000ms);
  EXPECT_TRUE(scheduler.step(1'999ms).empty());
  EXPECT_EQ(scheduler.step(2'000ms), std::vector<PollId>{3});
  EXPECT_EQ(scheduler.next_step_at(), 5'000ms) << "a poll is held for at most the max timeout";
  scheduler.on_disconnected(5);
  EXPECT_EQ(scheduler.next_step_at(), std::nullopt);
  EXPECT_EQ(scheduler.held(), 0U);
}

TEST(LongPollSchedulerTest, AnswersHeldPollsInRandomOrderOverTheReleaseWindowAfterUpdates) {
  LongPollOptions options;
  options.release_window = 100ms;
  LongPollScheduler scheduler(options, 7);
  for (PollId poll = 1; poll <= 200; ++poll) {
    ASSERT_EQ(scheduler.on_poll(0ms, poll, 5, 2'000ms, 5).kind, PollDecisionKind::kHold);
  }
  scheduler.on_published(1'000ms);
  std::size_t released = 0;
  std::vector<PollId> order;
  for (milliseconds now = 1'000ms; now <= 1'100ms; ++now) {
    const auto due = scheduler.step(now);
    EXPECT_LE(due.size(), 3U);
    released += due.size();
    order.insert(order.end(), due.begin(), due.end());
  }
  EXPECT_EQ(released, 200U) << "all polls are answered within the release window";
  EXPECT_FALSE(std::is_sorted(order.begin(), order.end()));
}

TEST(LongPollSchedulerTest, RejectsPollsAboveTheRateWithAGrowingRetryAfter) {
  LongPollOptions options;
  options.calls_per_s = 50.0;
  LongPollScheduler scheduler(options, 1);
  std::vector<milliseconds> waits;
  for (PollId poll = 1; poll <= 300; ++poll) {
    const PollDecision decision = scheduler.on_poll(1'000ms, poll, 0, 0ms, 5);
    if (decision.kind == PollDecisionKind::kReject) {
      waits.push_back(decision.retry_after);
    }
  }
  EXPECT_EQ(scheduler.counts().answered, 5U) << "the burst is a tenth of the polls per second";
  ASSERT_EQ(waits.size(), 295U);
  EXPECT_TRUE(std::is_sorted(waits.begin(), waits.end()));
  EXPECT_NEAR(static_cast<double>(waits.back().count()), 295.0 / 50.0 * 1'000.0, 50.0);
  EXPECT_EQ(scheduler.counts().peak_in_100_ms, 300U);
  for (PollId poll = 301; poll <= 1'000; ++poll) {
    EXPECT_LE(scheduler.on_poll(1'000ms, poll, 0, 0ms, 5).retry_after, options.max_retry_after);
  }
}

TEST(LongPollSchedulerTest, RejectsAPollAboveTheMaxNumberOfHeldPolls) {
  LongPollOptions options;
  options.max_held = 3;
  LongPollScheduler scheduler(options, 1);
  for (PollId poll = 1; poll <= 3; ++poll) {
    EXPECT_EQ(scheduler.on_poll(0ms, poll, 5, 2'000ms, 5).kind, PollDecisionKind::kHold);
  }
  EXPECT_EQ(scheduler.on_poll(0ms, 4, 5, 2'000ms, 5).kind, PollDecisionKind::kReject);
  EXPECT_EQ(scheduler.on_poll(0ms, 5, 4, 2'000ms, 5).kind, PollDecisionKind::kAnswer)
      << "a poll that is answered at once needs no capacity";
  scheduler.on_disconnected(2);
  EXPECT_EQ(scheduler.on_poll(0ms, 6, 5, 2'000ms, 5).kind, PollDecisionKind::kHold);
}

TEST(EventLogTest, RendersAPageOnceForAllClientsThatPollFromTheSameSequenceNumber) {
  EventLog log("b1");
  log.replace(page_of(2, {list_event(1, true, {{"a", "up"}}), purge_event(2, 1'000)}));
  for (int i = 0; i < 300; ++i) {
    EXPECT_EQ(log.page_after(0), log.page_after(0));
  }
  EXPECT_EQ(log.rendered_pages(), 1U);
  EXPECT_EQ(log.requested_pages(), 600U);
  const json page = json::parse(*log.page_after(0));
  EXPECT_EQ(page["rev"], 2);
  EXPECT_EQ(page["board"], "b1");
  EXPECT_EQ(page["notices"].size(), 2U);
  EXPECT_EQ(json::parse(*log.page_after(1))["notices"].size(), 1U);
  EXPECT_EQ(json::parse(*log.page_after(2))["notices"].size(), 0U);
  log.append(page_of(3, {purge_event(2, 9), purge_event(3, 1'500)}));
  EXPECT_EQ(json::parse(*log.page_after(1))["notices"].size(), 2U);
  EXPECT_EQ(json::parse(*log.page_after(1))["notices"][0]["flush"]["ms"], 1'000)
      << "append() does not replace existing events";
}

// The effect of a page on a router.
struct PageContent {
  std::set<std::string> endpoints;
  std::set<std::int64_t> purges;  // by their times

  friend bool operator==(const PageContent&, const PageContent&) = default;
};

// Returns the effect of a page on a router, which must not depend on whether old events were compacted.
PageContent content_of(const json& page) {
  std::set<std::string> endpoints;
  std::set<std::int64_t> purges;
  for (const json& event : page["notices"]) {
    if (event.contains("flush")) {
      purges.insert(event["flush"]["ms"].get<std::int64_t>());
      continue;
    }
    if (event["pool"]["snapshot"]) {
      endpoints.clear();
    }
    for (const json& entry : event["pool"]["endpoints"]) {
      const auto name = entry["name"].get<std::string>();
      entry["status"] == "removed" ? endpoints.erase(name) : endpoints.insert(name).second;
    }
  }
  return {endpoints, purges};
}

TEST(EventLogTest, ACompactedLogHasTheSameEffectAsTheOriginalEvents) {
  for (unsigned seed = 1; seed <= 300; ++seed) {
    std::mt19937 random(seed);
    EventLog plain("b");
    EventLog compacted("b");
    std::vector<json> events{list_event(1, true, {{"n0", "up"}})};
    for (std::uint64_t sequence = 2; sequence <= 40; ++sequence) {
      const std::string name = "n" + std::to_string(random() % 6);
      events.push_back(random() % 3 == 0 ? purge_event(sequence, 10'000 + static_cast<std::int64_t>(sequence))
                                         : list_event(sequence, random() % 9 == 0,
                                                      {{name, random() % 3 == 0 ? "removed" : "up"}}));
      plain.append(page_of(sequence, {events.back()}));
      compacted.append(page_of(sequence, {events.back()}));
      if (sequence == 2) {
        plain.append(page_of(2, {}));
      }
      compacted.compact(4, UnixTime());
    }
    plain.replace(page_of(40, events));
    EventLog compacted_once("b");
    compacted_once.replace(page_of(40, events));
    compacted_once.compact(4, UnixTime());
    EXPECT_LT(compacted_once.size(), events.size());
    EXPECT_EQ(content_of(json::parse(*compacted_once.page_after(0))),
              content_of(json::parse(*plain.page_after(0))))
        << seed;
    EXPECT_EQ(compacted_once.last_sequence(), 40U);
    compacted_once.compact(0, UnixTime(10'030ms));
    EXPECT_EQ(content_of(json::parse(*compacted_once.page_after(0))).endpoints,
              content_of(json::parse(*plain.page_after(0))).endpoints);
    for (const std::int64_t ms : content_of(json::parse(*compacted_once.page_after(0))).purges) {
      EXPECT_GE(ms, 10'030);
    }
  }
}

// Guards against routers that start from a snapshot or behind a relay and do not know of a purge that a cache
// without the discovery service has missed.
TEST(EventLogTest, ACompactedLogKeepsItsLatestPurges) {
  EventLog log("b");
  std::vector<json> events{list_event(1, true, {{"n0", "up"}})};
  for (std::uint64_t sequence = 2; sequence <= 9; ++sequence) {
    events.push_back(sequence % 2 == 0 ? purge_event(sequence, static_cast<std::int64_t>(sequence))
                                       : list_event(sequence, false, {{"n1", "up"}}));
  }
  log.replace(page_of(9, events));
  const UnixTime now(1'000ms);
  EXPECT_EQ(content_of(log.compacted_page(now, 3)).purges, (std::set<std::int64_t>{4, 6, 8}));
  EXPECT_EQ(content_of(log.compacted_page(now, 99)).purges, (std::set<std::int64_t>{2, 4, 6, 8}));
  EXPECT_EQ(content_of(log.compacted_page(now)).purges, std::set<std::int64_t>{});
  log.compact(0, now, 1);
  EXPECT_EQ(content_of(json::parse(*log.page_after(0))), (PageContent{{"n0", "n1"}, {8}}));
}

TEST(EventLogTest, AnInvalidPageLeavesTheLogUnchanged) {
  EventLog log("b");
  log.replace(page_of(1, {list_event(1, true, {{"a", "up"}})}));
  for (const char* text : {"[]", "{}", R"({"rev":-1,"notices":[]})", R"({"rev":2,"notices":{}})",
                           R"({"rev":2,"notices":[1]})", R"({"rev":2,"notices":[{"pool":{}}]})"}) {
    EXPECT_THROW(log.append(json::parse(text)), std::invalid_argument) << text;
    EXPECT_THROW(log.replace(json::parse(text)), std::invalid_argument) << text;
  }
  EXPECT_EQ(log.last_sequence(), 1U);
  // Events of unknown forms are stored and passed on without an error.
  log.append(json::parse(R"({"rev":4,"notices":[{"rev":2,"pool":7},{"rev":3,"flush":[]},
    {"rev":4,"pool":{"snapshot":"x","index":{},"endpoints":[1,{"name":2},{"name":"b","status":7}]}}]})"));
  const json page = log.compacted_page(UnixTime());
  EXPECT_EQ(page["rev"], 4);
  log.compact(0, UnixTime());
  EXPECT_EQ(log.last_sequence(), 4U);
}

TEST(RetryAfterTest, ParsesSecondsAndHttpDates) {
  using protocol::http::read_retry_after;
  EXPECT_EQ(read_retry_after("12", 0), 12);
  EXPECT_EQ(read_retry_after("0", 0), 0);
  EXPECT_EQ(read_retry_after("Sun, 06 Nov 1994 08:49:37 GMT", 784'111'770), 7);
  EXPECT_EQ(read_retry_after("Sun, 06 Nov 1994 08:49:37 GMT", 784'111'999), 0)
      << "a date in the past means no wait";
  for (const char* text : {"", "-3", "soon", "12 s", "Sun, 06 Nov 1994", "999999999999"}) {
    EXPECT_EQ(read_retry_after(text, 0), std::nullopt) << text;
  }
  protocol::http::ResponseParser parser({});
  parser.feed(
      "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 7\r\nX-Path: A,b\r\nContent-Length: 0\r\n\r\n");
  const auto response = parser.take();
  ASSERT_TRUE(response.has_value());
  EXPECT_EQ(response->header("retry-after"), "7");
  EXPECT_EQ(response->header("x-path"), "A,b");
  EXPECT_EQ(response->header("x-none"), "");
}

}  // namespace
}  // namespace trailcourse::discovery
