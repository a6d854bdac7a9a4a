// Acknowledgement rounds for events of the discovery service: the record, its coordinator, a participant, and
// the summaries and leases of an aggregator.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "aggregation/aggregator.h"
#include "aggregation/report_summary.h"
#include "aggregation/router_leases.h"
#include "coordination/key_value_state.h"
#include "policy/acknowledgement_coordinator.h"
#include "policy/participant.h"

namespace trailcourse::policy {
namespace {

using aggregation::RequestRejected;
using aggregation::RouterLeases;
using coordination::LeaseId;

constexpr Micros kMinRoundInterval{250'000};
constexpr Micros kStart{1'000'000};

DiscoveryPosition at(std::uint64_t event, const std::string& board = "b1") { return {board, event}; }

ParticipantReport acknowledging(std::uint64_t round) {
  ParticipantReport out;
  out.incarnation = "i";
  out.zone = "edge";
  out.acknowledged_round = round;
  return out;
}

AcknowledgementSnapshot snapshot_of(const Acknowledgement& record, const std::vector<std::uint64_t>& rounds) {
  AcknowledgementSnapshot out;
  out.record = record;
  for (std::size_t i = 0; i < rounds.size(); ++i) {
    out.reports["router" + std::to_string(i) + "/1"] = acknowledging(rounds[i]);
  }
  return out;
}

TEST(AcknowledgementRecordTest, ReadsARecordAsItWasWritten) {
  const Acknowledgement record{7, at(812), at(800)};
  EXPECT_EQ(read_acknowledgement(write_acknowledgement(record)), record);
}

TEST(AcknowledgementRecordTest, RejectsAnInvalidText) {
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
    std::string mutated = good;
    for (auto changes = 1 + random() % 4; changes > 0; --changes) {
      mutated[random() % mutated.size()] = static_cast<char>(random());
    }
    if (const auto record = read_acknowledgement(mutated)) {
      EXPECT_GT(record->round, 0U) << mutated;
    }
  }
}

TEST(AcknowledgementCoordinatorTest, RequestsItsOwnPositionAndCompletesTheRoundWhenAllAcknowledge) {
  AcknowledgementCoordinator coordinator(kMinRoundInterval);
  EXPECT_FALSE(coordinator.step(kStart, snapshot_of({}, {0, 0}), {}).has_value()) << "it has no position yet";
  const auto first = coordinator.step(kStart, snapshot_of({}, {0, 0}), at(5));
  ASSERT_TRUE(first.has_value());
  EXPECT_EQ(*first, (Acknowledgement{1, at(5), at(0)}));
  EXPECT_FALSE(coordinator.step(kStart, snapshot_of(*first, {1, 0}), at(5)).has_value())
      << "one router has not acknowledged";
  EXPECT_FALSE(coordinator.step(kStart, snapshot_of(*first, {1, 0}), at(9)).has_value())
      << "one round at a time";
  const auto done = coordinator.step(kStart, snapshot_of(*first, {1, 1}), at(5));
  ASSERT_TRUE(done.has_value());
  EXPECT_EQ(*done, (Acknowledgement{1, at(5), at(5)}));
  EXPECT_FALSE(coordinator.step(kStart + kMinRoundInterval, snapshot_of(*done, {1, 1}), at(5)).has_value())
      << "there are no new events";
}

TEST(AcknowledgementCoordinatorTest, CompletesARoundAndStartsTheNextInOneWriteAfterTheMinInterval) {
  AcknowledgementCoordinator coordinator(kMinRoundInterval);
  const Acknowledgement first = *coordinator.step(kStart, snapshot_of({}, {0}), at(5));
  const auto early = coordinator.step(kStart + kMinRoundInterval / 2, snapshot_of(first, {1}), at(9));
  ASSERT_TRUE(early.has_value());
  EXPECT_EQ(*early, (Acknowledgement{1, at(5), at(5)})) << "a completed round is written at once";
  EXPECT_EQ(coordinator.next_step_at(), kStart + kMinRoundInterval);
  const auto next = coordinator.step(kStart + kMinRoundInterval, snapshot_of(*early, {1}), at(9));
  ASSERT_TRUE(next.has_value());
  EXPECT_EQ(*next, (Acknowledgement{2, at(9), at(5)}));
  const auto both = coordinator.step(kStart + 2 * kMinRoundInterval, snapshot_of(*next, {2}), at(12));
  ASSERT_TRUE(both.has_value());
  EXPECT_EQ(*both, (Acknowledgement{3, at(12), at(9)}));
}

TEST(AcknowledgementCoordinatorTest, DoesNotWaitForARouterWithoutALease) {
  AcknowledgementCoordinator coordinator(kMinRoundInterval);
  const Acknowledgement first = *coordinator.step(kStart, snapshot_of({}, {0}), at(5));
  EXPECT_EQ(*coordinator.step(kStart, snapshot_of(first, {}), at(5)), (Acknowledgement{1, at(5), at(5)}));
}

TEST(AcknowledgementCoordinatorTest, StartsANewRoundAtPositionZeroWhenTheSourceWasRestarted) {
  AcknowledgementCoordinator coordinator(kMinRoundInterval);
  const Acknowledgement open{4, at(900), at(850)};
  const auto restarted = coordinator.step(kStart, snapshot_of(open, {4, 3}), at(2, "b2"));
  ASSERT_TRUE(restarted.has_value());
  EXPECT_EQ(*restarted, (Acknowledgement{5, at(2, "b2"), at(0, "b2")}));
}

TEST(AcknowledgementCoordinatorTest, RequestsNoEventsAfterAResetUntilTheNextRound) {
  const Acknowledgement none = reset_acknowledgement({4, at(900), at(850)});
  EXPECT_EQ(none.round, 5U);
  EXPECT_TRUE(at(0, "").covers(none.requested));
  AcknowledgementCoordinator coordinator(kMinRoundInterval);
  EXPECT_EQ(*coordinator.step(kStart, snapshot_of(none, {5}), at(2)), (Acknowledgement{6, at(2), at(0)}));
}

TEST(AcknowledgementCoordinatorTest, StoreRejectsALateWrite) {
  coordination::KeyValueState store{coordination::KeyValueLimits{}};
  const auto read_snapshot = [&store] {
    return read_acknowledgement_snapshot("", store.commit(acknowledgement_snapshot_transaction("")));
  };
  const AcknowledgementSnapshot empty = read_snapshot();
  EXPECT_TRUE(store.commit(write_acknowledgement_transaction("", empty, {1, at(5), at(0)})).succeeded);
  EXPECT_FALSE(store.commit(write_acknowledgement_transaction("", empty, {1, at(3), at(0)})).succeeded);
  EXPECT_EQ(read_snapshot().record.requested, at(5));
}

TEST(AcknowledgementCoordinatorTest, DescribesPendingParticipants) {
  AcknowledgementSnapshot one = snapshot_of({3, at(70), at(60)}, {3});
  ParticipantReport summary = acknowledging(2);
  summary.represented_routers = 40;
  summary.waiting_for = "r17";
  one.reports["east.edge/9"] = summary;
  EXPECT_EQ(describe_unacknowledged(one),
            std::vector<std::string>{"east.edge for 40 routers, among them r17, has to apply event 70, or "
                                     "its lease has to expire"});
}

// ---- A participant ----

class AcknowledgingParticipantTest : public testing::Test {
 protected:
  AcknowledgingParticipantTest()
      : participant_("i", "edge", options(), [](std::uint64_t) { return PreparationResult(); }) {
    participant_.set_connected(kStart, true);
  }
  static ParticipantOptions options() {
    ParticipantOptions out;
    out.lease.ttl = Micros(3'000'000);
    out.lease.renew_after = Micros(1'000'000);
    out.lease.retry_backoff = Micros(200'000);
    return out;
  }
  void observe(std::uint64_t round, const DiscoveryPosition& requested) {
    ObservedState observed;
    observed.acknowledgement = {round, requested, {}};
    observed.acknowledgement_revision = ++revision_;
    participant_.on_observed_state(now_, observed);
  }
  template <typename Action>
  std::optional<Action> action() {
    for (const ParticipantAction& next : participant_.step(now_)) {
      if (const Action* found = std::get_if<Action>(&next)) {
        return *found;
      }
    }
    return std::nullopt;
  }
  void join() {
    const auto lease_call = action<LeaseAction>();
    ASSERT_TRUE(lease_call.has_value());
    participant_.on_join_result(now_, lease_call->call.call_id, true);
  }

  Participant participant_;
  Micros now_ = kStart;
  coordination::Revision revision_ = 0;
};

TEST_F(AcknowledgingParticipantTest, JoinsOnlyOnceItHasAppliedTheRequestedEvents) {
  observe(4, at(70));
  EXPECT_FALSE(action<LeaseAction>().has_value());
  participant_.on_events_applied(now_, at(69));
  EXPECT_FALSE(action<LeaseAction>().has_value());
  participant_.on_events_applied(now_, at(900, "another source"));
  EXPECT_FALSE(action<LeaseAction>().has_value());
  participant_.on_events_applied(now_, at(71));
  const auto lease_call = action<LeaseAction>();
  ASSERT_TRUE(lease_call.has_value());
  EXPECT_EQ(lease_call->report.acknowledged_round, 4U);
}

TEST_F(AcknowledgingParticipantTest, HasNoNextStepWhileOnlyAnEventCanChangeItsState) {
  observe(4, at(70));
  EXPECT_FALSE(participant_.next_step_at(now_).has_value()) << "it waits for the discovery service";
  participant_.on_events_applied(now_, at(70));
  EXPECT_TRUE(participant_.next_step_at(now_).has_value());
  participant_.set_connected(now_, false);
  EXPECT_FALSE(participant_.next_step_at(now_).has_value()) << "it waits for the store";
  participant_.set_connected(now_, true);
  join();
  participant_.set_connected(now_, false);
  EXPECT_EQ(participant_.next_step_at(now_), participant_.lease_end())
      << "its lease expires, and is not renewed";
  now_ = participant_.lease_end();
  EXPECT_FALSE(participant_.next_step_at(now_).has_value());
}

TEST_F(AcknowledgingParticipantTest, AcknowledgesARoundOnceItHasAppliedTheRequestedEvents) {
  observe(0, {});
  join();
  participant_.on_events_applied(now_, at(10));
  EXPECT_FALSE(action<ReportAction>().has_value()) << "no round was started";
  observe(1, at(12));
  EXPECT_FALSE(action<ReportAction>().has_value());
  participant_.on_events_applied(now_, at(11));
  EXPECT_FALSE(action<ReportAction>().has_value());
  participant_.on_events_applied(now_, at(12));
  const auto report = action<ReportAction>();
  ASSERT_TRUE(report.has_value());
  EXPECT_EQ(report->report.acknowledged_round, 1U);
  participant_.on_report_result(now_, report->call_id, true);
  participant_.on_events_applied(now_, at(13));
  EXPECT_FALSE(action<ReportAction>().has_value());
}

TEST_F(AcknowledgingParticipantTest, JoinConditionsIncludeTheRecord) {
  observe(4, at(70));
  const auto conditions = join_conditions("p/", participant_.observed(), "edge");
  const auto record = coordination::unchanged(std::string("p/") + kAcknowledgedKey, revision_);
  EXPECT_NE(std::find(conditions.begin(), conditions.end(), record), conditions.end());
}

// ---- An aggregator ----

ObservedState observed_round(std::uint64_t round) {
  ObservedState out;
  out.acknowledgement = {round, at(70), {}};
  return out;
}

TEST(AcknowledgingSummaryTest, AcknowledgesTheLowestRoundOfItsRouters) {
  aggregation::RouterReports routers;
  EXPECT_EQ(summarize(observed_round(5), "edge", routers).acknowledged_round, 5U)
      << "there is no router to wait for";
  routers[1] = {"r1", acknowledging(5)};
  routers[2] = {"r2", acknowledging(4)};
  const ParticipantReport summary = summarize(observed_round(5), "edge", routers);
  EXPECT_EQ(summary.acknowledged_round, 4U);
  EXPECT_EQ(summary.waiting_for, "r2");
  routers[2].report.acknowledged_round = 6;
  EXPECT_EQ(summarize(observed_round(5), "edge", routers).acknowledged_round, 5U)
      << "no more than it has observed itself";
}

TEST(AcknowledgingSummaryTest, AcknowledgesTheMinimumOfRandomSetsOfRouters) {
  std::mt19937 random(23);
  for (int run = 0; run < 2'000; ++run) {
    aggregation::RouterReports routers;
    std::uint64_t min_round = 9;
    for (LeaseId lease = 1; lease <= 1 + random() % 6; ++lease) {
      const std::uint64_t round = random() % 9;
      routers[lease] = {"r" + std::to_string(lease), acknowledging(round)};
      min_round = std::min(min_round, round);
    }
    EXPECT_EQ(summarize(observed_round(9), "edge", routers).acknowledged_round, min_round);
  }
}

// An aggregator can join while rounds change the record. It grants no lease before it has observed the record
// as of its join.
TEST(AcknowledgingAggregatorTest, GrantsNoLeaseBeforeItHasObservedTheRecordAsOfItsJoin) {
  constexpr Micros kTtl{3'000'000};
  coordination::KeyValueState store{coordination::KeyValueLimits{}};
  const auto write = [&store](const std::string& key, const std::string& value) {
    return store.commit({{}, {coordination::Put{key, value, 0}}, {}}).revision;
  };
  write(kCurrentKey, "0");
  write(kAcknowledgedKey, write_acknowledgement({1, at(5), at(0)}));
  const coordination::Range records{kPolicyPrefix, true};
  aggregation::AggregatorSettings settings;
  settings.lease.ttl = Micros(4'000'000);
  aggregation::Aggregator aggregator(settings, {"east", "i1", {"edge"}, ""}, 1);
  aggregator.on_snapshot(store.get(records));
  aggregator.set_connected(true);
  store.take_changes();
  write(kAcknowledgedKey, write_acknowledgement({2, at(9), at(5)}));
  const auto action = std::get<aggregation::LeaseAction>(aggregator.step(kStart).front());
  const LeaseId lease = store.grant(std::chrono::milliseconds(0), std::chrono::milliseconds(4'000), 0);
  const auto joined =
      aggregation::read_join_result(store.commit(aggregation::join_transaction("", "east", lease, action)));
  ASSERT_EQ(joined.status, aggregation::JoinResult::Status::kJoined);
  aggregator.upstream().on_join_result(kStart, action.call.call_id, joined);
  EXPECT_THROW(aggregator.grant(kStart, kTtl), RequestRejected);
  aggregator.on_changes(store.take_changes());
  EXPECT_NO_THROW(aggregator.grant(kStart, kTtl));
}

TEST(AcknowledgingAggregatorTest, HasNoNextStepWhileTheStoreIsDisconnected) {
  aggregation::Aggregator aggregator(aggregation::AggregatorSettings{}, {"east", "i1", {"edge"}, ""}, 1);
  aggregator.set_connected(false);
  EXPECT_FALSE(aggregator.next_step_at(kStart).has_value());
  aggregator.set_connected(true);
  EXPECT_TRUE(aggregator.next_step_at(kStart).has_value());
}

TEST(AcknowledgingLeasesTest, RejectsReportsOfEarlierRoundsThanTheSummaryOrTheRouterReported) {
  constexpr Micros kUntil{60'000'000};
  constexpr Micros kTtl{3'000'000};
  RouterLeases leases(aggregation::RouterLeaseOptions{}, 1);
  leases.set_min_acknowledged("edge", 5);
  leases.set_min_acknowledged("edge", 3);
  const LeaseId late = leases.grant(kStart, kTtl, kUntil);
  const auto is_rejected = [&](LeaseId lease, std::uint64_t round) {
    try {
      leases.record_report(lease, {"r1", acknowledging(round)});
    } catch (const RequestRejected& error) {
      return error.reason() == RequestRejected::Reason::kOutOfOrder;
    }
    return false;
  };
  EXPECT_TRUE(is_rejected(late, 4));
  EXPECT_TRUE(leases.reports("edge").empty()) << "a rejected report changes nothing";
  leases.record_report(late, {"r1", acknowledging(5)});
  leases.record_report(late, {"r1", acknowledging(7)});
  EXPECT_TRUE(is_rejected(late, 6));
  EXPECT_EQ(leases.reports("edge").at(late).report.acknowledged_round, 7U);
}

}  // namespace
}  // namespace trailcourse::policy
