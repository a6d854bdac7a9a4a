// What a board does with its calls, its pages, and the same over sockets.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>

#include "discovery/event_log.h"
#include "discovery/long_poll_scheduler.h"
#include "protocol/http_client.h"

namespace trailcourse::board {
namespace {

using nlohmann::json;

json list_event(std::uint64_t number, bool whole, std::vector<std::pair<std::string, std::string>> entries) {
  json endpoints = json::array();
  for (const auto& [name, status] : entries) {
    endpoints.push_back({{"name", name}, {"status", status}});
  }
  return {{"rev", number}, {"pool", {{"index", 1}, {"snapshot", whole}, {"endpoints", endpoints}}}};
}
json purge_event(std::uint64_t number, std::int64_t ms) {
  return {{"rev", number}, {"flush", {{"collection", 3}, {"ms", ms}}}};
}
json page_of(std::uint64_t last, const std::vector<json>& events) {
  return {{"rev", last}, {"notices", events}};
}

TEST(BoardCoreTest, HoldsCallsThatKnowAllAndAnswersTheOthers) {
  BoardCore core({}, 1);
  EXPECT_EQ(core.call(0, 1, 4, 2'000, 5).verdict, Verdict::kAnswer);
  EXPECT_EQ(core.call(0, 2, 5, 0, 5).verdict, Verdict::kAnswer) << "a trial is not held";
  EXPECT_EQ(core.call(0, 3, 5, 2'000, 5).verdict, Verdict::kHold);
  EXPECT_EQ(core.call(0, 4, 9, 2'000, 5).verdict, Verdict::kAnswer)
      << "it knows more than there is: told so at once";
  EXPECT_EQ(core.call(0, 5, 5, 3'600'000, 5).verdict, Verdict::kHold);
  EXPECT_EQ(core.next_due(), 2'000);
  EXPECT_TRUE(core.due(1'999).empty());
  EXPECT_EQ(core.due(2'000), std::vector<CallNumber>{3});
  EXPECT_EQ(core.next_due(), 5'000) << "a call is held for the bound at most";
  core.gone(5);
  EXPECT_EQ(core.next_due(), std::nullopt);
  EXPECT_EQ(core.waiting(), 0U);
}

TEST(BoardCoreTest, NewsIsToldSpreadOverTheReleaseTimeInDrawnOrder) {
  CoreRules rules;
  rules.release_ms = 100;
  BoardCore core(rules, 7);
  for (CallNumber call = 1; call <= 200; ++call) {
    ASSERT_EQ(core.call(0, call, 5, 2'000, 5).verdict, Verdict::kHold);
  }
  core.published(1'000);
  std::size_t told = 0;
  std::vector<CallNumber> order;
  for (std::int64_t now = 1'000; now <= 1'100; ++now) {
    const auto due = core.due(now);
    EXPECT_LE(due.size(), 3U);
    told += due.size();
    order.insert(order.end(), due.begin(), due.end());
  }
  EXPECT_EQ(told, 200U) << "all of them within the release time";
  EXPECT_FALSE(std::is_sorted(order.begin(), order.end()));
}

TEST(BoardCoreTest, BeyondItsRateCallsGetTurnsInALineThatGrows) {
  CoreRules rules;
  rules.calls_per_s = 50.0;
  BoardCore core(rules, 1);
  std::vector<std::int64_t> waits;
  for (CallNumber call = 1; call <= 300; ++call) {
    const Decision decision = core.call(1'000, call, 0, 0, 5);
    if (decision.verdict == Verdict::kSendAway) {
      waits.push_back(decision.retry_after_ms);
    }
  }
  EXPECT_EQ(core.counts().answered, 5U) << "a tenth of a second's worth at once";
  ASSERT_EQ(waits.size(), 295U);
  EXPECT_TRUE(std::is_sorted(waits.begin(), waits.end()));
  EXPECT_NEAR(static_cast<double>(waits.back()), 295.0 / 50.0 * 1'000.0, 50.0);
  EXPECT_EQ(core.counts().in_worst_100_ms, 300U);
  for (CallNumber call = 301; call <= 1'000; ++call) {
    EXPECT_LE(core.call(1'000, call, 0, 0, 5).retry_after_ms, rules.most_retry_after_ms);
  }
}

TEST(BoardCoreTest, OneCallTooManyIsSentAwayAndTheOthersAreHeld) {
  CoreRules rules;
  rules.most_waiting = 3;
  BoardCore core(rules, 1);
  for (CallNumber call = 1; call <= 3; ++call) {
    EXPECT_EQ(core.call(0, call, 5, 2'000, 5).verdict, Verdict::kHold);
  }
  EXPECT_EQ(core.call(0, 4, 5, 2'000, 5).verdict, Verdict::kSendAway);
  EXPECT_EQ(core.call(0, 5, 4, 2'000, 5).verdict, Verdict::kAnswer) << "news needs no room";
  core.gone(2);
  EXPECT_EQ(core.call(0, 6, 5, 2'000, 5).verdict, Verdict::kHold);
}

TEST(PageLogTest, OneRenderingServesAllAskersOfANumber) {
  PageLog log("b1");
  log.replace(page_of(2, {list_event(1, true, {{"a", "up"}}), purge_event(2, 1'000)}));
  for (int i = 0; i < 300; ++i) {
    EXPECT_EQ(log.later_than(0), log.later_than(0));
  }
  EXPECT_EQ(log.rendered(), 1U);
  EXPECT_EQ(log.asked(), 600U);
  const json whole = json::parse(*log.later_than(0));
  EXPECT_EQ(whole["rev"], 2);
  EXPECT_EQ(whole["board"], "b1");
  EXPECT_EQ(whole["notices"].size(), 2U);
  EXPECT_EQ(json::parse(*log.later_than(1))["notices"].size(), 1U);
  EXPECT_EQ(json::parse(*log.later_than(2))["notices"].size(), 0U);
  log.append(page_of(3, {purge_event(2, 9), purge_event(3, 1'500)}));
  EXPECT_EQ(json::parse(*log.later_than(1))["notices"].size(), 2U);
  EXPECT_EQ(json::parse(*log.later_than(1))["notices"][0]["flush"]["ms"], 1'000) << "known events stay";
}

// What a router makes of a page must not depend on whether old events were folded.
std::pair<std::set<std::string>, std::set<std::int64_t>> made_of(const json& page) {
  std::set<std::string> up;
  std::set<std::int64_t> purges;
  for (const json& event : page["notices"]) {
    if (event.contains("flush")) {
      purges.insert(event["flush"]["ms"].get<std::int64_t>());
      continue;
    }
    if (event["pool"]["snapshot"]) {
      up.clear();
    }
    for (const json& entry : event["pool"]["endpoints"]) {
      const auto name = entry["name"].get<std::string>();
      entry["status"] == "removed" ? up.erase(name) : up.insert(name).second;
    }
  }
  return {up, purges};
}

TEST(PageLogTest, FoldedItSaysTheSame) {
  for (unsigned seed = 1; seed <= 300; ++seed) {
    std::mt19937 random(seed);
    PageLog plain("b");
    PageLog folded("b");
    std::vector<json> events{list_event(1, true, {{"n0", "up"}})};
    for (std::uint64_t number = 2; number <= 40; ++number) {
      const std::string name = "n" + std::to_string(random() % 6);
      events.push_back(random() % 3 == 0 ? purge_event(number, 10'000 + static_cast<std::int64_t>(number))
                                         : list_event(number, random() % 9 == 0,
                                                      {{name, random() % 3 == 0 ? "removed" : "up"}}));
      plain.append(page_of(number, {events.back()}));
      folded.append(page_of(number, {events.back()}));
      if (number == 2) {
        plain.append(page_of(2, {}));
      }
      folded.fold(4, 0);
    }
    plain.replace(page_of(40, events));
    PageLog whole("b");
    whole.replace(page_of(40, events));
    whole.fold(4, 0);
    EXPECT_LT(whole.events(), events.size());
    EXPECT_EQ(made_of(json::parse(*whole.later_than(0))), made_of(json::parse(*plain.later_than(0)))) << seed;
    EXPECT_EQ(whole.last(), 40U);
    whole.fold(0, 10'030);
    EXPECT_EQ(made_of(json::parse(*whole.later_than(0))).first,
              made_of(json::parse(*plain.later_than(0))).first);
    for (const std::int64_t ms : made_of(json::parse(*whole.later_than(0))).second) {
      EXPECT_GE(ms, 10'030);
    }
  }
}

TEST(PageLogTest, NonsenseChangesNothing) {
  PageLog log("b");
  log.replace(page_of(1, {list_event(1, true, {{"a", "up"}})}));
  for (const char* text : {"[]", "{}", R"({"rev":-1,"notices":[]})", R"({"rev":2,"notices":{}})",
                           R"({"rev":2,"notices":[1]})", R"({"rev":2,"notices":[{"pool":{}}]})"}) {
    EXPECT_THROW(log.append(json::parse(text)), std::invalid_argument) << text;
    EXPECT_THROW(log.replace(json::parse(text)), std::invalid_argument) << text;
  }
  EXPECT_EQ(log.last(), 1U);
  // Events of odd forms are told on as they are and stand in no one's way.
  log.append(json::parse(R"({"rev":4,"notices":[{"rev":2,"pool":7},{"rev":3,"flush":[]},
    {"rev":4,"pool":{"snapshot":"x","index":{},"endpoints":[1,{"name":2},{"name":"b","status":7}]}}]})"));
  const json whole = log.whole(0);
  EXPECT_EQ(whole["rev"], 4);
  log.fold(0, 0);
  EXPECT_EQ(log.last(), 4U);
}

TEST(RetryAfter, SecondsOrADate) {
  using protocol::http::read_retry_after;
  EXPECT_EQ(read_retry_after("12", 0), 12);
  EXPECT_EQ(read_retry_after("0", 0), 0);
  EXPECT_EQ(read_retry_after("Sun, 06 Nov 1994 08:49:37 GMT", 784'111'770), 7);
  EXPECT_EQ(read_retry_after("Sun, 06 Nov 1994 08:49:37 GMT", 784'111'999), 0) << "it is past";
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
}  // namespace trailcourse::board
