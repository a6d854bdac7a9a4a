// Rounds in which routers acknowledge events of the notice board: the record, who drives it, a router's side,
// and what an aggregator says for its routers.
#include "policy/acknowledgement.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "aggregation/aggregator.h"
#include "aggregation/report_summary.h"
#include "aggregation/router_leases.h"
#include "coordination/key_value_state.h"
#include "policy/holder.h"

namespace trailcourse::policy {
namespace {

using aggregation::RequestRejected;
using aggregation::RouterLeases;
using coordination::LeaseId;

constexpr Micros kLeastRound{250'000};
constexpr Micros kStart{1'000'000};

BoardPosition at(std::uint64_t event, const std::string& board = "b1") { return {board, event}; }

Permit acknowledging(std::uint64_t round) {
  Permit out;
  out.incarnation = "i";
  out.zone = "edge";
  out.acknowledged = round;
  return out;
}

AcknowledgementsSeen seen(const Acknowledgement& record, const std::vector<std::uint64_t>& rounds) {
  AcknowledgementsSeen out;
  out.record = record;
  for (std::size_t i = 0; i < rounds.size(); ++i) {
    out.permits["router" + std::to_string(i) + "/1"] = acknowledging(rounds[i]);
  }
  return out;
}

TEST(AcknowledgementRecordTest, IsReadAsItWasWritten) {
  const Acknowledgement record{7, at(812), at(800)};
  EXPECT_EQ(read_acknowledgement(write_acknowledgement(record)), record);
}

TEST(AcknowledgementRecordTest, WhatCannotBeUsedIsNone) {
  const std::string good = write_acknowledgement({7, at(812), at(800)});
  for (const std::string text :
       {"", "[]", "{}", R"({"round":0,"asked":{"board":"b","event":1},"done":{"board":"b","event":0}})",
        R"({"round":1,"asked":{"board":"b","event":-1},"done":{"board":"b","event":0}})",
        R"({"round":1,"asked":{"board":2,"event":1},"done":{"board":"b","event":0}})",
        R"({"round":1,"asked":{"board":"b","event":1}})"}) {
    EXPECT_FALSE(read_acknowledgement(text).has_value()) << text;
  }
  std::mt19937 random(11);
  for (int i = 0; i < 5'000; ++i) {
    std::string spoilt = good;
    for (auto changes = 1 + random() % 4; changes > 0; --changes) {
      spoilt[random() % spoilt.size()] = static_cast<char>(random());
    }
    if (const auto record = read_acknowledgement(spoilt)) {
      EXPECT_GT(record->round, 0U) << spoilt;
    }
  }
}

TEST(AcknowledgementDriverTest, AsksForWhatItHasTakenInAndTellsItOnceAllHave) {
  AcknowledgementDriver driver(kLeastRound);
  EXPECT_FALSE(driver.next(kStart, seen({}, {0, 0}), {}).has_value()) << "the board was not heard yet";
  const auto first = driver.next(kStart, seen({}, {0, 0}), at(5));
  ASSERT_TRUE(first.has_value());
  EXPECT_EQ(*first, (Acknowledgement{1, at(5), at(0)}));
  EXPECT_FALSE(driver.next(kStart, seen(*first, {1, 0}), at(5)).has_value()) << "one is awaited";
  EXPECT_FALSE(driver.next(kStart, seen(*first, {1, 0}), at(9)).has_value()) << "one round at a time";
  const auto done = driver.next(kStart, seen(*first, {1, 1}), at(5));
  ASSERT_TRUE(done.has_value());
  EXPECT_EQ(*done, (Acknowledgement{1, at(5), at(5)}));
  EXPECT_FALSE(driver.next(kStart + kLeastRound, seen(*done, {1, 1}), at(5)).has_value()) << "at rest";
}

TEST(AcknowledgementDriverTest, ARoundMayEndAndTheNextBeginInOneWriteButNotTooSoon) {
  AcknowledgementDriver driver(kLeastRound);
  const Acknowledgement first = *driver.next(kStart, seen({}, {0}), at(5));
  const auto hasty = driver.next(kStart + kLeastRound / 2, seen(first, {1}), at(9));
  ASSERT_TRUE(hasty.has_value());
  EXPECT_EQ(*hasty, (Acknowledgement{1, at(5), at(5)})) << "what is done is told at once";
  EXPECT_EQ(driver.due(), kStart + kLeastRound);
  const auto next = driver.next(kStart + kLeastRound, seen(*hasty, {1}), at(9));
  ASSERT_TRUE(next.has_value());
  EXPECT_EQ(*next, (Acknowledgement{2, at(9), at(5)}));
  const auto both = driver.next(kStart + 2 * kLeastRound, seen(*next, {2}), at(12));
  ASSERT_TRUE(both.has_value());
  EXPECT_EQ(*both, (Acknowledgement{3, at(12), at(9)}));
}

TEST(AcknowledgementDriverTest, WhoHasNoPermissionIsNotAwaited) {
  AcknowledgementDriver driver(kLeastRound);
  const Acknowledgement first = *driver.next(kStart, seen({}, {0}), at(5));
  EXPECT_EQ(*driver.next(kStart, seen(first, {}), at(5)), (Acknowledgement{1, at(5), at(5)}));
}

TEST(AcknowledgementDriverTest, ABoardThatBeganAnewEndsTheOpenRoundAndForgetsWhatWasDone) {
  AcknowledgementDriver driver(kLeastRound);
  const Acknowledgement open{4, at(900), at(850)};
  const auto anew = driver.next(kStart, seen(open, {4, 3}), at(2, "b2"));
  ASSERT_TRUE(anew.has_value());
  EXPECT_EQ(*anew, (Acknowledgement{5, at(2, "b2"), at(0, "b2")}));
}

TEST(AcknowledgementDriverTest, WhatIsForgottenIsAskedOfNobodyUntilItIsDrivenAgain) {
  const Acknowledgement none = forgotten({4, at(900), at(850)});
  EXPECT_EQ(none.round, 5U);
  EXPECT_TRUE(at(0, "").covers(none.asked));
  AcknowledgementDriver driver(kLeastRound);
  EXPECT_EQ(*driver.next(kStart, seen(none, {5}), at(2)), (Acknowledgement{6, at(2), at(0)}));
}

TEST(AcknowledgementDriverTest, ALateOneIsRefusedByTheStore) {
  coordination::KeyValueState ledger{coordination::KeyValueLimits{}};
  const auto look = [&ledger] {
    return read_acknowledgements_seen("", ledger.commit(look_at_acknowledgements("")));
  };
  const AcknowledgementsSeen empty = look();
  EXPECT_TRUE(ledger.commit(write_record("", empty, {1, at(5), at(0)})).succeeded);
  EXPECT_FALSE(ledger.commit(write_record("", empty, {1, at(3), at(0)})).succeeded);
  EXPECT_EQ(look().record.asked, at(5));
}

TEST(AcknowledgementDriverTest, StaffAreToldWhoIsAwaited) {
  AcknowledgementsSeen one = seen({3, at(70), at(60)}, {3});
  Permit summary = acknowledging(2);
  summary.routers = 40;
  summary.awaits = "r17";
  one.permits["east.edge/9"] = summary;
  EXPECT_EQ(unacknowledged(one),
            std::vector<std::string>{"east.edge for 40 routers, among them r17, is to take in event 70, or "
                                     "its permission to run out"});
}

// ---- A router's side ----

class AcknowledgingHolderTest : public testing::Test {
 protected:
  AcknowledgingHolderTest() : holder_("i", "edge", rules(), [](std::uint64_t) { return std::string(); }) {
    holder_.heard(kStart, true);
  }
  static HolderRules rules() {
    HolderRules out;
    out.lease.ttl = Micros(3'000'000);
    out.lease.renew_after = Micros(1'000'000);
    out.lease.retry = Micros(200'000);
    return out;
  }
  void told(std::uint64_t round, const BoardPosition& asked) {
    Known known;
    known.acknowledgement = {round, asked, {}};
    known.acknowledgement_modified = ++revision_;
    holder_.told(now_, known);
  }
  template <typename Order>
  std::optional<Order> due() {
    for (const HolderOrder& order : holder_.due(now_)) {
      if (const Order* found = std::get_if<Order>(&order)) {
        return *found;
      }
    }
    return std::nullopt;
  }
  void join() {
    const auto ask = due<AskPermission>();
    ASSERT_TRUE(ask.has_value());
    holder_.joined(now_, ask->order.number, true);
  }

  Holder holder_;
  Micros now_ = kStart;
  Revision revision_ = 0;
};

TEST_F(AcknowledgingHolderTest, JoinsOnlyOnceItHasTakenInWhatIsAskedFor) {
  told(4, at(70));
  EXPECT_FALSE(due<AskPermission>().has_value());
  holder_.took_in(now_, at(69));
  EXPECT_FALSE(due<AskPermission>().has_value());
  holder_.took_in(now_, at(900, "another board"));
  EXPECT_FALSE(due<AskPermission>().has_value());
  holder_.took_in(now_, at(71));
  const auto ask = due<AskPermission>();
  ASSERT_TRUE(ask.has_value());
  EXPECT_EQ(ask->permit.acknowledged, 4U);
}

TEST_F(AcknowledgingHolderTest, AsksForNoTurnWhileItCanOnlyWaitForNews) {
  told(4, at(70));
  EXPECT_FALSE(holder_.next(now_).has_value()) << "it waits for the board";
  holder_.took_in(now_, at(70));
  EXPECT_TRUE(holder_.next(now_).has_value());
  holder_.heard(now_, false);
  EXPECT_FALSE(holder_.next(now_).has_value()) << "it waits for the store";
  holder_.heard(now_, true);
  join();
  holder_.heard(now_, false);
  EXPECT_EQ(holder_.next(now_), holder_.until()) << "its permission runs out, and is not renewed";
  now_ = holder_.until();
  EXPECT_FALSE(holder_.next(now_).has_value());
}

TEST_F(AcknowledgingHolderTest, SaysOnceARoundThatItHasTakenInWhatIsAskedFor) {
  told(0, {});
  join();
  holder_.took_in(now_, at(10));
  EXPECT_FALSE(due<SayPermit>().has_value()) << "nobody asked";
  told(1, at(12));
  EXPECT_FALSE(due<SayPermit>().has_value());
  holder_.took_in(now_, at(11));
  EXPECT_FALSE(due<SayPermit>().has_value());
  holder_.took_in(now_, at(12));
  const auto say = due<SayPermit>();
  ASSERT_TRUE(say.has_value());
  EXPECT_EQ(say->permit.acknowledged, 1U);
  holder_.said(now_, say->number, true);
  holder_.took_in(now_, at(13));
  EXPECT_FALSE(due<SayPermit>().has_value());
}

TEST_F(AcknowledgingHolderTest, ItsConditionsToJoinNameTheRecord) {
  told(4, at(70));
  const auto conditions = join_conditions("p/", holder_.known(), "edge");
  const auto record = coordination::unchanged(std::string("p/") + kAcknowledgedKey, revision_);
  EXPECT_NE(std::find(conditions.begin(), conditions.end(), record), conditions.end());
}

// ---- An aggregator ----

Known asking(std::uint64_t round) {
  Known out;
  out.acknowledgement = {round, at(70), {}};
  return out;
}

TEST(AcknowledgingSummaryTest, SaysTheLeastThatItsRoutersSay) {
  aggregation::RouterReports routers;
  EXPECT_EQ(summarize(asking(5), "edge", routers).acknowledged, 5U) << "nobody is there to be awaited";
  routers[1] = {"r1", acknowledging(5)};
  routers[2] = {"r2", acknowledging(4)};
  const Permit summary = summarize(asking(5), "edge", routers);
  EXPECT_EQ(summary.acknowledged, 4U);
  EXPECT_EQ(summary.awaits, "r2");
  routers[2].report.acknowledged = 6;
  EXPECT_EQ(summarize(asking(5), "edge", routers).acknowledged, 5U) << "no more than it has heard itself";
}

TEST(AcknowledgingSummaryTest, DrawnSetsOfRoutersGiveTheMinimumAndNeverGoBack) {
  std::mt19937 random(23);
  for (int run = 0; run < 2'000; ++run) {
    aggregation::RouterReports routers;
    std::uint64_t least = 9;
    for (LeaseId lease = 1; lease <= 1 + random() % 6; ++lease) {
      const std::uint64_t round = random() % 9;
      routers[lease] = {"r" + std::to_string(lease), acknowledging(round)};
      least = std::min(least, round);
    }
    EXPECT_EQ(summarize(asking(9), "edge", routers).acknowledged, least);
  }
}

// Rounds go on while an aggregator joins: it joins all the same, and gives no permission before it has heard
// of the record that stood there then.
TEST(AcknowledgingAggregatorTest, GivesNoPermissionBeforeItKnowsTheRecordThatItJoinedBehind) {
  constexpr Micros kTtl{3'000'000};
  coordination::KeyValueState store{coordination::KeyValueLimits{}};
  const auto write = [&store](const std::string& key, const std::string& value) {
    return store.commit({{}, {coordination::Put{key, value, 0}}, {}}).revision;
  };
  write(kCurrentKey, "0");
  write(kAcknowledgedKey, write_acknowledgement({1, at(5), at(0)}));
  const coordination::Range records{kRecords, true};
  aggregation::AggregatorSettings rules;
  rules.lease.ttl = Micros(4'000'000);
  aggregation::Aggregator aggregator(rules, {"east", "i1", {"edge"}, ""}, 1);
  aggregator.on_snapshot(store.get(records));
  aggregator.set_connected(true);
  store.take_changes();
  write(kAcknowledgedKey, write_acknowledgement({2, at(9), at(5)}));
  const auto ask = std::get<aggregation::LeaseAction>(aggregator.step(kStart).front());
  const LeaseId lease = store.grant(std::chrono::milliseconds(0), std::chrono::milliseconds(4'000), 0);
  const auto joined =
      aggregation::read_join_result(store.commit(aggregation::join_transaction("", "east", lease, ask)));
  ASSERT_EQ(joined.status, aggregation::JoinResult::Status::kJoined);
  aggregator.upstream().on_join_result(kStart, ask.call.number, joined);
  EXPECT_THROW(aggregator.grant(kStart, kTtl), RequestRejected);
  aggregator.on_changes(store.take_changes());
  EXPECT_NO_THROW(aggregator.grant(kStart, kTtl));
}

TEST(AcknowledgingAggregatorTest, AsksForNoTurnWhileTheStoreIsNotHeard) {
  aggregation::Aggregator aggregator(aggregation::AggregatorSettings{}, {"east", "i1", {"edge"}, ""}, 1);
  aggregator.set_connected(false);
  EXPECT_FALSE(aggregator.next_step_at(kStart).has_value());
  aggregator.set_connected(true);
  EXPECT_TRUE(aggregator.next_step_at(kStart).has_value());
}

TEST(AcknowledgingLeasesTest, NobodyJoinsBehindWhatWasSaidAndNobodySaysLess) {
  constexpr Micros kUntil{60'000'000};
  constexpr Micros kTtl{3'000'000};
  RouterLeases leases(aggregation::RouterLeaseOptions{}, 1);
  leases.set_min_acknowledged("edge", 5);
  leases.set_min_acknowledged("edge", 3);
  const LeaseId late = leases.grant(kStart, kTtl, kUntil);
  const auto refused = [&](LeaseId lease, std::uint64_t round) {
    try {
      leases.record_report(lease, {"r1", acknowledging(round)});
    } catch (const RequestRejected& error) {
      return error.reason() == RequestRejected::Reason::kOutOfOrder;
    }
    return false;
  };
  EXPECT_TRUE(refused(late, 4));
  EXPECT_TRUE(leases.reports("edge").empty()) << "what is refused changes nothing";
  leases.record_report(late, {"r1", acknowledging(5)});
  leases.record_report(late, {"r1", acknowledging(7)});
  EXPECT_TRUE(refused(late, 6));
  EXPECT_EQ(leases.reports("edge").at(late).report.acknowledged, 7U);
}

}  // namespace
}  // namespace trailcourse::policy
