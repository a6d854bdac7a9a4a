// Invalid and mutated input of an aggregator, from routers and from the store.
#include <gtest/gtest.h>

#include <random>
#include <string>

#include "aggregation/aggregator_fixture.h"

namespace trailcourse::aggregation {
namespace {

using coordination::Get;
using coordination::LeaseId;
using coordination::Put;
using coordination::Range;
using coordination::Transaction;
using policy::ParticipantReport;
using policy::RolloutState;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Reason = RequestRejected::Reason;

class AggregatorInputTest : public AggregatorFixture {};

std::string mutated(std::string text, std::mt19937_64& random) {
  for (auto changes = 1 + random() % 2; changes > 0 && !text.empty(); --changes) {
    const std::size_t position = random() % text.size();
    switch (random() % 4) {
      case 0:
        text[position] = "0123456789\"{}[]:,-x/"[random() % 20];
        break;
      case 1:
        text[position] = static_cast<char>(random());
        break;
      case 2:
        text.erase(position, 1 + random() % 8);
        break;
      default:
        text.insert(position, text.substr(position, 1 + random() % 8));
    }
  }
  return text;
}

TEST_F(AggregatorInputTest, RejectsInvalidReportsWithAReason) {
  load_snapshot();
  execute_steps();
  const LeaseId lease = join("r1", "edge");
  const LeaseId other = aggregator_.grant(now_, seconds(3));
  const auto put_rejected = [&](RequestRejected::Reason reason, const std::string& key,
                                const std::string& value, LeaseId put_lease) {
    expect_rejected(reason,
                    [&] { aggregator_.commit(now_, Transaction{{}, {Put{key, value, put_lease}}, {}}); });
  };
  const std::string key = policy::report_key("r1", lease);
  const std::string good = policy::write_report(report_of("edge"));
  put_rejected(Reason::kMalformed, key, "no permit", lease);
  put_rejected(Reason::kMalformed, key, "{}", lease);
  put_rejected(Reason::kMalformed, key, good, other);
  put_rejected(Reason::kMalformed, key, good, 0);
  put_rejected(Reason::kMalformed, "permits/r1", good, lease);
  put_rejected(Reason::kMalformed, "permits//" + std::to_string(lease), good, lease);
  put_rejected(Reason::kMalformed, policy::report_key("r1/x", lease), good, lease);
  put_rejected(Reason::kTooLarge, key, good + std::string(4'096, ' '), lease);
  put_rejected(Reason::kUnknownZone, key, policy::write_report(report_of("north")), lease);
  put_rejected(Reason::kLeaseNotFound, policy::report_key("r1", 1), good, 1);
  put_rejected(Reason::kOutOfOrder, key, good, lease);  // without a sequence number, after a report with one
  expect_rejected(Reason::kOutOfOrder, [&] {
    report_number_ = 0;
    aggregator_.commit(now_, report_from("r1", lease, report_of("edge")));
  });
  report_number_ = 10;
  expect_rejected(Reason::kMalformed,
                  [&] { aggregator_.commit(now_, report_from("r2", lease, report_of("edge"))); });
  expect_rejected(Reason::kMalformed,
                  [&] { aggregator_.commit(now_, report_from("r1", lease, report_of("west"))); });
  expect_rejected(Reason::kUnsupported, [&] {
    Transaction two = report_from("r1", lease, report_of("edge"));
    two.then.push_back(two.then.front());
    aggregator_.commit(now_, two);
  });
  expect_rejected(Reason::kLeaseNotFound, [&] { aggregator_.revoke(now_, 1); });
  EXPECT_EQ(aggregator_.keep_alive(now_, 1), std::nullopt);
  EXPECT_EQ(aggregator_.keep_alive(now_, lease), seconds(3)) << "the lease is unchanged";
}

// Each mutated transaction is either accepted as a valid report under its lease, or rejected and counted. It
// affects neither other routers nor the validity of the summaries.
TEST_F(AggregatorInputTest, AcceptsMutatedTransactionsOnlyIfTheyAreValid) {
  put_rollout(RolloutState::kSuspending);
  load_snapshot();
  execute_steps();
  const std::uint64_t stage = stage_in(RolloutState::kSuspending);
  const LeaseId witness = join("witness", "edge");
  LeaseId lease = join("r1", "edge");
  std::mt19937_64 random(21);
  std::uint64_t rejected = 0;
  std::uint64_t accepted = 0;
  for (int round = 0; round < 5'000; ++round) {
    if (round % 20 == 0) {
      // A mutation may have raised the sequence number, so that no further report is accepted under this
      // lease.
      aggregator_.revoke(now_, lease);
      lease = join("r1", "edge");
    }
    ParticipantReport report = suspended_report("edge");
    report.sequence = ++report_number_;
    const std::string text = policy::write_report(report);
    const std::string key = policy::report_key("r1", lease);
    Transaction transaction;
    const bool mutates_key = random() % 4 == 0;
    transaction.then.push_back(
        Put{mutates_key ? mutated(key, random) : key, mutates_key ? text : mutated(text, random), lease});
    if (random() % 8 == 0) {
      transaction.when.push_back(coordination::unchanged(mutated(policy::kRolloutKey, random), random() % 4));
    }
    if (random() % 16 == 0) {
      transaction.otherwise.push_back(Get{Range{mutated(policy::kRolloutKey, random), random() % 2 == 0}});
    }
    const std::uint64_t rejected_before = aggregator_.counts().total_rejected();
    try {
      accepted += aggregator_.commit(now_, transaction).succeeded ? 1 : 0;
    } catch (const RequestRejected&) {
      ++rejected;
      ASSERT_EQ(aggregator_.counts().total_rejected(), rejected_before + 1);
    }
    ASSERT_EQ(aggregator_.router_count(), 2U);
    ASSERT_EQ(aggregator_.summaries().at("edge").represented_routers, 2U);
    ASSERT_NE(aggregator_.summaries().at("edge").suspended_stage, stage) << "the witness has not reported it";
    ASSERT_EQ(aggregator_.summaries().at("west").represented_routers, 0U);
  }
  EXPECT_GT(rejected, 1'000U);
  EXPECT_GT(accepted, 100U);
  EXPECT_EQ(aggregator_.keep_alive(now_, witness), seconds(3));
}

// If a record of the store cannot be read, neither the aggregator nor the routers that join from its state
// observe a rollout.
TEST_F(AggregatorInputTest, IgnoresMutatedStoreRecordsUnlessTheyAreValid) {
  std::mt19937_64 random(22);
  const std::string good = policy::write_rollout(rollout_in(RolloutState::kSuspending));
  load_snapshot();
  execute_steps();
  for (int round = 0; round < 2'000; ++round) {
    put(policy::kRolloutKey, mutated(good, random));
    const ParticipantReport summary = aggregator_.summaries().at("edge");
    const auto read = policy::read_rollout(store_.get(Range{policy::kRolloutKey, false}).front().value);
    const bool suspending = read && read->state == RolloutState::kSuspending && read->applies_to("edge");
    EXPECT_EQ(summary.suspended_stage, suspending ? policy::stage_id(*read) : 0U);
  }
}

}  // namespace
}  // namespace trailcourse::aggregation
