// The aggregator's core, piece by piece: what a summary may claim of the routers that it stands for, what
// permission may be given out of which, what is written to the store above, and what is refused.
#include <gtest/gtest.h>

#include <array>
#include <random>

#include "aggregation/aggregator.h"

namespace trailcourse::aggregation {
namespace {

using coordination::Entry;
using coordination::Get;
using coordination::KeyChange;
using coordination::KeyValueState;
using coordination::LeaseId;
using coordination::Put;
using coordination::Range;
using coordination::Transaction;
using policy::ChangeState;
using policy::Known;
using policy::Permit;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kBefore = 7;
constexpr std::uint64_t kAfter = 8;

policy::Change change_in(ChangeState state, std::uint64_t id = 3) {
  policy::Change out;
  out.id = id;
  out.version = kAfter;
  out.before = kBefore;
  out.state = state;
  return out;
}

bool is_committed(ChangeState state) {
  return state == ChangeState::kCommitted || state == ChangeState::kWatched || state == ChangeState::kDone;
}

// As it stands in the store while a change of all zones is in this state.
Known known_in(ChangeState state, std::uint64_t id = 3) {
  Known out;
  out.change = change_in(state, id);
  out.version = is_committed(state) ? kAfter : kBefore;
  return out;
}

// ---- Summaries ----

Permit drawn_permit(std::mt19937_64& random, std::uint64_t step) {
  Permit out;
  out.zone = "edge";
  out.version = random() % 2 == 0 ? kBefore : kAfter;
  const std::array<std::uint64_t, 4> steps{0, step - 1'000, step, step};
  out.ready = steps[random() % steps.size()];
  out.held = steps[random() % steps.size()];
  out.no = random() % 12 == 0 ? step : 0;
  return out;
}

// Mostly alike, so that all of them agree often enough.
RouterPermits drawn_routers(std::mt19937_64& random, std::uint64_t step) {
  RouterPermits out;
  const Permit common = drawn_permit(random, step);
  const std::size_t count = random() % 5;
  for (LeaseId lease = 1; lease <= count; ++lease) {
    const bool differs = random() % 6 == 0;
    out[lease] = RouterPermit{"r" + std::to_string(lease), differs ? drawn_permit(random, step) : common};
  }
  return out;
}

// What the driver of a change does next, going by these permits.
std::optional<ChangeState> next_state(const policy::Change& change,
                                      const std::map<std::string, Permit>& permits) {
  policy::Seen seen;
  seen.change = change;
  seen.permits = permits;
  const auto step = policy::Driver(policy::DriverRules{}).next(Micros(0), seen);
  return step ? std::optional<ChangeState>(step->change.state) : std::nullopt;
}

std::map<std::string, Permit> one_by_one(const RouterPermits& routers) {
  std::map<std::string, Permit> out;
  for (const auto& [lease, one] : routers) {
    out[one.router + "/" + std::to_string(lease)] = one.permit;
  }
  return out;
}

TEST(PermitSummaryTest, TheDriverGoesOnNoEarlierThanItWouldByEachRoutersPermit) {
  std::mt19937_64 random(11);
  int steps = 0;
  int missed = 0;
  for (int round = 0; round < 50'000; ++round) {
    const auto state = static_cast<ChangeState>(random() % 3);  // preparing, holding, committed
    const policy::Change change = change_in(state);
    const RouterPermits routers = drawn_routers(random, policy::step_of(change));
    const Permit summary = summarize(known_in(state), "edge", routers);
    const auto with_summary = next_state(change, {{"a.edge/1", summary}});
    const auto with_each = next_state(change, one_by_one(routers));
    if (with_summary || with_each == ChangeState::kAborted) {
      ASSERT_EQ(with_summary, with_each) << "round " << round << " " << policy::write_permit(summary);
    }
    steps += with_summary ? 1 : 0;
    missed += with_each && !with_summary ? 1 : 0;
  }
  EXPECT_GT(steps, 5'000);
  // Those that hold and say so under a version that is not in force: no router does.
  EXPECT_LT(missed, steps / 2);
}

// An aggregator may have heard less than the routers below it, which may have heard it from another one.
TEST(PermitSummaryTest, AnAggregatorThatHasHeardLessClaimsNoMoreThanEachRouterSays) {
  struct Heard {
    ChangeState driver;
    ChangeState aggregator;
    std::uint64_t aggregator_id;
  };
  // A commit is not seen before the aggregator has said that its routers hold, so it knows that much.
  const std::vector<Heard> cases{{ChangeState::kPreparing, ChangeState::kDone, 2},
                                 {ChangeState::kPreparing, ChangeState::kHolding, 2},
                                 {ChangeState::kHolding, ChangeState::kPreparing, 3},
                                 {ChangeState::kHolding, ChangeState::kAborted, 2},
                                 {ChangeState::kCommitted, ChangeState::kHolding, 3}};
  std::mt19937_64 random(12);
  for (int round = 0; round < 50'000; ++round) {
    const Heard& heard = cases[random() % cases.size()];
    const policy::Change change = change_in(heard.driver);
    const RouterPermits routers = drawn_routers(random, policy::step_of(change));
    Known known = known_in(heard.aggregator, heard.aggregator_id);
    known.version = heard.driver == ChangeState::kCommitted ? kBefore : known.version;
    const Permit summary = summarize(known, "edge", routers);
    const auto with_summary = next_state(change, {{"a.edge/1", summary}});
    const auto with_each = next_state(change, one_by_one(routers));
    if (with_summary && *with_summary != ChangeState::kAborted) {
      ASSERT_EQ(with_summary, with_each) << "round " << round << " " << policy::write_permit(summary);
    }
    if (with_each == ChangeState::kAborted) {
      ASSERT_EQ(with_summary, with_each) << "round " << round << ": a router's no is not heard";
    }
  }
}

// Else a router that joins by what the aggregator has heard would decide under the old version, unseen.
TEST(PermitSummaryTest, NothingIsClaimedThatTheAggregatorHasNotHeardItself) {
  const std::uint64_t step = policy::step_of(change_in(ChangeState::kHolding));
  RouterPermits routers;
  for (LeaseId lease = 1; lease <= 3; ++lease) {
    routers[lease].permit.version = kBefore;
    routers[lease].permit.ready = step;
    routers[lease].permit.held = step;
  }
  EXPECT_EQ(summarize(known_in(ChangeState::kHolding), "edge", routers).held, step);
  EXPECT_EQ(summarize(known_in(ChangeState::kPreparing), "edge", routers).held, kRoutersDiffer);
  EXPECT_EQ(summarize(known_in(ChangeState::kDone, 2), "edge", routers).ready, 0U);
}

TEST(PermitSummaryTest, AnEmptyZoneSaysWhatARouterWithNothingToDoWouldSay) {
  const std::uint64_t step = policy::step_of(change_in(ChangeState::kHolding));
  const Permit preparing = summarize(known_in(ChangeState::kPreparing), "edge", {});
  EXPECT_EQ(preparing.version, kBefore);
  EXPECT_EQ(preparing.ready, step);
  EXPECT_EQ(preparing.held, 0U);
  EXPECT_EQ(summarize(known_in(ChangeState::kHolding), "edge", {}).held, step);
  const Permit committed = summarize(known_in(ChangeState::kCommitted), "edge", {});
  EXPECT_EQ(committed.version, kAfter);
  EXPECT_EQ(committed.held, 0U);
  EXPECT_EQ(committed.ready, 0U);
  EXPECT_EQ(committed.routers, 0U);
  EXPECT_EQ(summarize(Known{}, "edge", {}).version, 0U);
}

TEST(PermitSummaryTest, AStageAsksItsOwnZoneAlone) {
  Known known = known_in(ChangeState::kHolding);
  known.change->stages = {"edge"};
  const std::uint64_t step = policy::step_of(*known.change);
  EXPECT_EQ(summarize(known, "edge", {}).held, step);
  EXPECT_EQ(summarize(known, "west", {}).held, 0U);
  known.change->stage = 1;
  EXPECT_EQ(summarize(known, "edge", {}).held, 0U);
  EXPECT_EQ(summarize(known, "west", {}).held, policy::step_of(*known.change));
}

TEST(PermitSummaryTest, StaffSeeHowManyItStandsForAndWhoIsAwaited) {
  RouterPermits routers;
  routers[1] = {"first", Permit{}};
  routers[2] = {"second", Permit{}};
  const std::uint64_t step = policy::step_of(change_in(ChangeState::kPreparing));
  for (auto& [lease, one] : routers) {
    one.permit.version = kBefore;
  }
  routers[1].permit.ready = step;
  const Permit summary = summarize(known_in(ChangeState::kPreparing), "edge", routers);
  EXPECT_EQ(summary.routers, 2U);
  EXPECT_EQ(summary.awaits, "second");
  routers[2].permit.no = step;
  routers[2].permit.why = "full disk";
  EXPECT_EQ(summarize(known_in(ChangeState::kPreparing), "edge", routers).why, "second: full disk");
}

// ---- An aggregator before a store ----

AggregatorRules rules_of_test() {
  AggregatorRules out;
  out.lease.ttl = seconds(4);
  out.lease.margin = milliseconds(20);
  out.lease.renew_after = milliseconds(500);
  out.lease.retry = milliseconds(200);
  out.routers.most_routers = 3;
  return out;
}

// The store and the aggregator go by one clock here.
class AggregatorTest : public testing::Test {
 protected:
  AggregatorTest() : aggregator_(rules_of_test(), {"agg", "1", {"edge", "west"}, ""}, 5) {
    put(policy::kCurrentKey, std::to_string(kBefore));
  }

  void put(const std::string& key, const std::string& value) {
    store_.commit(Transaction{{}, {Put{key, value, 0}}, {}});
    tell();
  }
  void put_change(ChangeState state) { put(policy::kChangeKey, policy::write_change(change_in(state))); }
  void tell() {
    std::vector<KeyChange> news;
    for (const KeyChange& change : store_.take_changes()) {
      if (change.entry.key.starts_with("policy/")) {
        news.push_back(change);
      }
    }
    if (aggregator_.mirrored()) {
      aggregator_.follow(news);
    }
  }
  void hear() {
    aggregator_.mirror(store_.get(Range{"policy/", true}));
    aggregator_.heard(true);
  }
  std::chrono::milliseconds store_clock() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(now_);
  }

  // Carries out all that is due, each call answered at once.
  void serve() {
    for (int round = 0; round < 8; ++round) {
      const auto orders = aggregator_.due(now_);
      for (const UplinkOrder& order : orders) {
        std::visit([this](const auto& one) { carry_out(one); }, order);
      }
    }
  }
  void carry_out(const AskPermission& ask) {
    store_.expire(store_clock());
    Uplink& uplink = aggregator_.uplink();
    const std::uint64_t number = ask.order.number;
    if (ask.order.ask == ownership::Ask::kAcquire) {
      lease_ = store_.grant(store_clock(), std::chrono::milliseconds(4'000), 0);
      const auto out = store_.commit(join_transaction("", "agg", lease_, ask));
      uplink.joined(now_, number, read_joined(out));
    } else if (ask.order.ask == ownership::Ask::kRenew) {
      uplink.renewed(now_, number, store_.keep_alive(store_clock(), lease_) > std::chrono::milliseconds(0));
    } else {
      store_.revoke(lease_);
      uplink.released(now_, number);
    }
  }
  void carry_out(const SaySummaries& say) {
    const auto out = store_.commit(say_transaction("", "agg", lease_, say));
    aggregator_.uplink().said(now_, say.number, read_said(out, say));
  }

  std::optional<Permit> in_store(const std::string& zone) {
    const auto found = store_.get(Range{summary_key("", "agg", zone, lease_), false});
    return found.empty() ? std::nullopt : policy::read_permit(found.front().value);
  }

  static Permit permit_of(const std::string& zone, std::uint64_t version = kBefore) {
    Permit out;
    out.incarnation = "1";
    out.zone = zone;
    out.version = version;
    return out;
  }
  Transaction says(const std::string& router, LeaseId lease, Permit permit) {
    permit.number = ++number_;
    return Transaction{{}, {Put{policy::permit_key(router, lease), policy::write_permit(permit), lease}}, {}};
  }
  LeaseId join(const std::string& router, const std::string& zone, Micros ttl = seconds(3)) {
    const LeaseId lease = aggregator_.grant(now_, ttl);
    EXPECT_TRUE(aggregator_.commit(now_, says(router, lease, permit_of(zone))).succeeded);
    return lease;
  }

  template <typename Call>
  void expect_refused(Refused::Why why, Call call) {
    const std::uint64_t before = aggregator_.counts().refused_in_all();
    const auto summaries = aggregator_.summaries();
    const std::size_t routers = aggregator_.routers();
    try {
      call();
      ADD_FAILURE() << "not refused";
    } catch (const Refused& error) {
      EXPECT_EQ(static_cast<int>(error.why()), static_cast<int>(why)) << error.what();
      EXPECT_STRNE(error.what(), "");
    }
    EXPECT_EQ(aggregator_.counts().refused_in_all(), before + 1);
    EXPECT_EQ(aggregator_.summaries(), summaries);
    EXPECT_EQ(aggregator_.routers(), routers);
  }

  KeyValueState store_{coordination::KeyValueLimits{}};
  Aggregator aggregator_;
  Micros now_{1'000'000};
  LeaseId lease_ = 0;
  std::uint64_t number_ = 0;
};

// Nothing is given before it has read the store and has permission itself.
TEST_F(AggregatorTest, ItGivesNothingBeforeItHasPermission) {
  EXPECT_TRUE(aggregator_.due(now_).empty());
  expect_refused(Refused::Why::kNoPermission, [this] { aggregator_.grant(now_, seconds(3)); });
  expect_refused(Refused::Why::kNoPermission,
                 [this] { aggregator_.commit(now_, Transaction{{}, {Get{Range{"policy/", true}}}, {}}); });
  hear();
  expect_refused(Refused::Why::kNoPermission, [this] { aggregator_.grant(now_, seconds(3)); });
  serve();
  EXPECT_NE(aggregator_.grant(now_, seconds(3)), 0U);
  ASSERT_TRUE(in_store("edge"));
  EXPECT_EQ(in_store("west")->version, kBefore);
}

TEST_F(AggregatorTest, PermissionIsNeverBeyondItsOwn) {
  hear();
  serve();
  const Micros until = aggregator_.uplink().until();
  EXPECT_LT(until, now_ + seconds(4));
  const LeaseId lease = aggregator_.grant(now_, until - now_);
  expect_refused(Refused::Why::kNoPermission, [&] { aggregator_.grant(now_, until - now_ + Micros(1)); });
  expect_refused(Refused::Why::kNoPermission, [&] { aggregator_.grant(now_, Micros::max()); });
  expect_refused(Refused::Why::kMalformed, [&] { aggregator_.grant(now_, Micros::min()); });
  now_ += Micros(1);
  expect_refused(Refused::Why::kNoPermission, [&] { aggregator_.keep_alive(now_, lease); });
  now_ = until;
  EXPECT_EQ(aggregator_.keep_alive(now_, lease), Micros(0)) << "no router outlives it";
  EXPECT_EQ(aggregator_.routers(), 0U);
  expect_refused(Refused::Why::kNoPermission, [&] { aggregator_.grant(now_, milliseconds(100)); });
}

// The answer of a renewal that left before a pause covers only what is left since it left.
TEST_F(AggregatorTest, PermissionIsTimedFromTheSendingOfItsRenewal) {
  hear();
  serve();
  now_ += milliseconds(600);
  const auto orders = aggregator_.due(now_);
  ASSERT_EQ(orders.size(), 1U);
  const std::uint64_t number = std::get<AskPermission>(orders.front()).order.number;
  const Micros sent = now_;
  now_ += seconds(10);
  aggregator_.uplink().renewed(now_, number, true);
  EXPECT_LT(aggregator_.uplink().until(), sent + seconds(4));
  expect_refused(Refused::Why::kNoPermission, [this] { aggregator_.grant(now_, seconds(3)); });
}

TEST_F(AggregatorTest, WithoutNewsOfTheStoreItsPermissionIsNotRenewed) {
  hear();
  serve();
  aggregator_.heard(false);
  now_ += seconds(1);
  EXPECT_TRUE(aggregator_.due(now_).empty());
  aggregator_.heard(true);
  EXPECT_EQ(aggregator_.due(now_).size(), 1U);
}

TEST_F(AggregatorTest, ARoutersStatementChangesTheSummaryOnceAllSayIt) {
  hear();
  serve();
  const LeaseId one = join("r1", "edge");
  const LeaseId two = join("r2", "edge");
  put_change(ChangeState::kPreparing);
  serve();
  EXPECT_EQ(in_store("edge")->ready, 0U);
  EXPECT_NE(in_store("west")->ready, 0U) << "nobody is there to be awaited";
  Permit ready = permit_of("edge");
  ready.ready = policy::step_of(change_in(ChangeState::kPreparing));
  aggregator_.commit(now_, says("r1", one, ready));
  serve();
  EXPECT_EQ(in_store("edge")->ready, 0U);
  aggregator_.commit(now_, says("r2", two, ready));
  serve();
  EXPECT_EQ(in_store("edge")->ready, ready.ready);
  // One that says less than before counts as it says now.
  aggregator_.commit(now_, says("r1", one, permit_of("edge")));
  serve();
  EXPECT_EQ(in_store("edge")->ready, 0U);
}

// It may still decide by what it was given here, wherever it has gone.
TEST_F(AggregatorTest, ARouterThatHasMovedCountsUntilItsLeaseEnds) {
  hear();
  serve();
  join("r1", "edge");
  put_change(ChangeState::kHolding);
  const Micros ends = now_ + seconds(3);
  for (; now_ < ends; now_ += milliseconds(400)) {
    serve();
    EXPECT_EQ(in_store("edge")->held, 0U);
  }
  serve();
  EXPECT_NE(in_store("edge")->held, 0U);
  EXPECT_EQ(aggregator_.routers(), 0U);
}

TEST_F(AggregatorTest, CountsOnlyGrowWhoeverComesAndGoes) {
  hear();
  serve();
  std::mt19937_64 random(4);
  std::map<std::string, std::pair<LeaseId, Permit>> routers;
  std::uint64_t before = 0;
  std::uint64_t added = 0;
  for (int round = 0; round < 2'000; ++round) {
    const std::string name = "r" + std::to_string(random() % 3);
    const auto found = routers.find(name);
    if (found == routers.end()) {
      Permit permit = permit_of("edge");
      permit.requests = random() % 1'000'000;  // it has served for long, elsewhere
      const LeaseId lease = aggregator_.grant(now_, seconds(3));
      aggregator_.commit(now_, says(name, lease, permit));
      routers[name] = {lease, permit};
    } else if (random() % 4 == 0) {
      aggregator_.revoke(now_, found->second.first);
      routers.erase(found);
    } else {
      auto& [lease, permit] = found->second;
      const std::uint64_t more = random() % 100;
      permit.requests += more;
      permit.refused += more / 2;
      added += more;
      aggregator_.commit(now_, says(name, lease, permit));
    }
    const Permit summary = aggregator_.summaries().at("edge");
    ASSERT_GE(summary.requests, before);
    before = summary.requests;
  }
  EXPECT_EQ(before, added);
}

TEST_F(AggregatorTest, AJoinIsRefusedWhereTheRecordIsNotAsTheRouterKnewIt) {
  hear();
  serve();
  const Known stale = [this] {
    Known out;
    out.current_modified = store_.get(Range{policy::kCurrentKey, false}).front().modified;
    return out;
  }();
  put_change(ChangeState::kHolding);
  const LeaseId lease = aggregator_.grant(now_, seconds(3));
  Transaction join = says("r1", lease, permit_of("edge"));
  join.when = {coordination::unchanged(policy::kChangeKey, stale.change_modified),
               coordination::unchanged(policy::kCurrentKey, stale.current_modified)};
  EXPECT_FALSE(aggregator_.commit(now_, join).succeeded);
  EXPECT_EQ(aggregator_.summaries().at("edge").routers, 0U);
  join.when.front().number = store_.revision();
  EXPECT_EQ(store_.revision(), aggregator_.records().revision()) << "the store's own revisions";
  EXPECT_TRUE(aggregator_.commit(now_, join).succeeded);
  EXPECT_EQ(aggregator_.summaries().at("edge").routers, 1U);
}

TEST_F(AggregatorTest, OnlyThePolicysRecordsAreReadAndCompared) {
  hear();
  serve();
  const auto get = [this](const std::string& key, bool prefix) {
    return aggregator_.commit(now_, Transaction{{}, {Get{Range{key, prefix}}}, {}});
  };
  EXPECT_EQ(get("policy/", true).results.front().found.size(), 1U);
  for (const char* key : {"", "p", "policy", "permits/", "members/"}) {
    expect_refused(Refused::Why::kNotServed, [&] { get(key, true); });
  }
  expect_refused(Refused::Why::kNotServed, [&] {
    aggregator_.commit(now_, Transaction{{coordination::absent("members/r1")}, {}, {}});
  });
  expect_refused(Refused::Why::kNotServed, [&] {
    aggregator_.commit(now_, Transaction{{}, {coordination::Delete{Range{"policy/", true}}}, {}});
  });
  expect_refused(Refused::Why::kNotServed,
                 [&] { aggregator_.commit(now_, Transaction{{}, {Put{policy::kCurrentKey, "9", 0}}, {}}); });
}

TEST_F(AggregatorTest, DrainingItTakesNobodyAndGoesOnlyOnceNobodyIsLeft) {
  hear();
  serve();
  const LeaseId lease = join("r1", "edge");
  aggregator_.drain();
  expect_refused(Refused::Why::kNoPermission, [this] { aggregator_.grant(now_, seconds(3)); });
  expect_refused(Refused::Why::kNoPermission, [&] { aggregator_.keep_alive(now_, lease); });
  put_change(ChangeState::kHolding);
  Permit holds = permit_of("edge");
  holds.held = policy::step_of(change_in(ChangeState::kHolding));
  EXPECT_TRUE(aggregator_.commit(now_, says("r1", lease, holds)).succeeded);
  serve();
  EXPECT_EQ(in_store("edge")->held, holds.held);
  EXPECT_FALSE(aggregator_.drained());
  now_ += milliseconds(2'999);
  serve();
  EXPECT_FALSE(aggregator_.drained());
  EXPECT_TRUE(in_store("edge"));
  now_ += milliseconds(1);
  serve();
  EXPECT_TRUE(aggregator_.drained());
  EXPECT_FALSE(in_store("edge"));
  EXPECT_TRUE(store_.leases().empty());
}

// ---- Upward ----

TEST_F(AggregatorTest, ItJoinsOnlyWhereAllIsAsItKnowsIt) {
  hear();
  const auto orders = aggregator_.due(now_);
  ASSERT_EQ(orders.size(), 1U);
  put_change(ChangeState::kPreparing);  // meanwhile
  carry_out(std::get<AskPermission>(orders.front()));
  EXPECT_FALSE(aggregator_.uplink().permitted(now_));
  EXPECT_FALSE(in_store("edge"));
  now_ += milliseconds(200);
  serve();
  EXPECT_TRUE(aggregator_.uplink().permitted(now_));
}

TEST_F(AggregatorTest, AZonesOwnVersionIsKnownToItAlone) {
  put(std::string(policy::kZones) + "west", std::to_string(kAfter));
  hear();
  serve();
  EXPECT_EQ(in_store("edge")->version, kBefore);
  EXPECT_EQ(in_store("west")->version, kAfter);
}

// A write whose answer is lost may be done later: what is said after it must not be undone by it.
TEST_F(AggregatorTest, AWriteThatArrivesLateChangesNothing) {
  hear();
  serve();
  const LeaseId lease = join("r1", "edge");
  put_change(ChangeState::kHolding);
  Permit holds = permit_of("edge");
  holds.held = policy::step_of(change_in(ChangeState::kHolding));
  aggregator_.commit(now_, says("r1", lease, holds));
  auto orders = aggregator_.due(now_);
  ASSERT_EQ(orders.size(), 1U);
  const SaySummaries late = std::get<SaySummaries>(orders.front());
  aggregator_.uplink().said(now_, late.number, SaidReply{});  // no answer
  EXPECT_TRUE(aggregator_.due(now_).empty()) << "not before a pause";
  aggregator_.commit(now_, says("r1", lease, permit_of("edge")));
  now_ += milliseconds(200);
  serve();
  EXPECT_EQ(in_store("edge")->held, 0U);
  const auto revision = store_.revision();
  const auto out = store_.commit(say_transaction("", "agg", lease_, late));
  EXPECT_FALSE(out.succeeded);
  EXPECT_EQ(store_.revision(), revision);
  // Its answer, come late as well, is of a call that was given up.
  aggregator_.uplink().said(now_, late.number, read_said(out, late));
  EXPECT_TRUE(aggregator_.due(now_).empty());
}

TEST_F(AggregatorTest, AWriteThatWasDoneWithoutAnAnswerIsSaidOverWhatStandsThere) {
  hear();
  serve();
  const LeaseId lease = join("r1", "edge");
  put_change(ChangeState::kHolding);
  Permit holds = permit_of("edge");
  holds.held = policy::step_of(change_in(ChangeState::kHolding));
  aggregator_.commit(now_, says("r1", lease, holds));
  auto orders = aggregator_.due(now_);
  ASSERT_EQ(orders.size(), 1U);
  const SaySummaries unknown = std::get<SaySummaries>(orders.front());
  store_.commit(say_transaction("", "agg", lease_, unknown));
  aggregator_.uplink().said(now_, unknown.number, SaidReply{});
  aggregator_.commit(now_, says("r1", lease, permit_of("edge")));
  now_ += milliseconds(200);
  serve();
  EXPECT_EQ(in_store("edge")->held, 0U) << "first refused as not expected, then over what was found";
}

TEST_F(AggregatorTest, AfterItsLeaseIsGoneItJoinsUnderAnother) {
  hear();
  serve();
  const LeaseId first = lease_;
  now_ += seconds(5);
  store_.expire(store_clock());
  EXPECT_FALSE(aggregator_.uplink().permitted(now_));
  serve();  // its renewal finds nothing
  EXPECT_FALSE(aggregator_.uplink().permitted(now_));
  now_ += milliseconds(200);
  serve();
  EXPECT_TRUE(aggregator_.uplink().permitted(now_));
  EXPECT_NE(lease_, first);
  EXPECT_TRUE(in_store("edge"));
}

// What was meant for the lease before is refused by the store, whatever it compares.
TEST_F(AggregatorTest, ASummaryUnderADeadLeaseIsRefusedByTheStore) {
  hear();
  serve();
  put_change(ChangeState::kPreparing);
  const auto orders = aggregator_.due(now_);
  ASSERT_EQ(orders.size(), 1U);
  const SaySummaries late = std::get<SaySummaries>(orders.front());
  store_.expire(store_clock() + std::chrono::milliseconds(4'000));
  EXPECT_THROW(store_.commit(say_transaction("", "agg", lease_, late)), coordination::OperationRejected);
}

TEST_F(AggregatorTest, AnAnswerOfAnEarlierJoinGivesNothing) {
  hear();
  const auto first = std::get<AskPermission>(aggregator_.due(now_).front());
  aggregator_.uplink().lost(now_, first.order.number);
  now_ += milliseconds(200);
  const auto second = std::get<AskPermission>(aggregator_.due(now_).front());
  aggregator_.uplink().joined(now_, first.order.number, {true, 9, 0});
  EXPECT_FALSE(aggregator_.uplink().permitted(now_));
  carry_out(second);
  EXPECT_TRUE(aggregator_.uplink().permitted(now_));
}

// ---- Bad input ----

TEST_F(AggregatorTest, BadPermitsAreRefusedWithAReason) {
  hear();
  serve();
  const LeaseId lease = join("r1", "edge");
  const LeaseId other = aggregator_.grant(now_, seconds(3));
  const auto put_refused = [&](Refused::Why why, const std::string& key, const std::string& value,
                               LeaseId under) {
    expect_refused(why, [&] { aggregator_.commit(now_, Transaction{{}, {Put{key, value, under}}, {}}); });
  };
  const std::string key = policy::permit_key("r1", lease);
  const std::string good = policy::write_permit(permit_of("edge"));
  put_refused(Refused::Why::kMalformed, key, "no permit", lease);
  put_refused(Refused::Why::kMalformed, key, "{}", lease);
  put_refused(Refused::Why::kMalformed, key, good, other);
  put_refused(Refused::Why::kMalformed, key, good, 0);
  put_refused(Refused::Why::kMalformed, "permits/r1", good, lease);
  put_refused(Refused::Why::kMalformed, "permits//" + std::to_string(lease), good, lease);
  put_refused(Refused::Why::kMalformed, policy::permit_key("r1/x", lease), good, lease);
  put_refused(Refused::Why::kTooLarge, key, good + std::string(4'096, ' '), lease);
  put_refused(Refused::Why::kUnknownZone, key, policy::write_permit(permit_of("north")), lease);
  put_refused(Refused::Why::kUnknownLease, policy::permit_key("r1", 1), good, 1);
  put_refused(Refused::Why::kBackwards, key, good, lease);  // unnumbered after a numbered one
  expect_refused(Refused::Why::kBackwards, [&] {
    number_ = 0;
    aggregator_.commit(now_, says("r1", lease, permit_of("edge")));
  });
  number_ = 10;
  expect_refused(Refused::Why::kMalformed,
                 [&] { aggregator_.commit(now_, says("r2", lease, permit_of("edge"))); });
  expect_refused(Refused::Why::kMalformed,
                 [&] { aggregator_.commit(now_, says("r1", lease, permit_of("west"))); });
  expect_refused(Refused::Why::kNotServed, [&] {
    Transaction two = says("r1", lease, permit_of("edge"));
    two.then.push_back(two.then.front());
    aggregator_.commit(now_, two);
  });
  expect_refused(Refused::Why::kUnknownLease, [&] { aggregator_.revoke(now_, 1); });
  EXPECT_EQ(aggregator_.keep_alive(now_, 1), Micros(0));
  EXPECT_EQ(aggregator_.keep_alive(now_, lease), seconds(3)) << "nothing was lost";
}

TEST_F(AggregatorTest, ItTakesNoMoreRoutersThanItMayHave) {
  hear();
  serve();
  for (int i = 0; i < 3; ++i) {
    aggregator_.grant(now_, seconds(3));
  }
  expect_refused(Refused::Why::kFull, [this] { aggregator_.grant(now_, seconds(3)); });
  expect_refused(Refused::Why::kMalformed, [this] { aggregator_.grant(now_, milliseconds(1)); });
  now_ += milliseconds(2'000);
  serve();
  now_ += milliseconds(1'000);
  serve();
  EXPECT_NE(aggregator_.grant(now_, seconds(3)), 0U) << "leases that are over make place";
}

std::string mutated(std::string text, std::mt19937_64& random) {
  for (auto changes = 1 + random() % 2; changes > 0 && !text.empty(); --changes) {
    const std::size_t place = random() % text.size();
    switch (random() % 4) {
      case 0:
        text[place] = "0123456789\"{}[]:,-x/"[random() % 20];
        break;
      case 1:
        text[place] = static_cast<char>(random());
        break;
      case 2:
        text.erase(place, 1 + random() % 8);
        break;
      default:
        text.insert(place, text.substr(place, 1 + random() % 8));
    }
  }
  return text;
}

// Whatever comes: carried out as a permit of that lease, or refused and counted; other routers and the
// summaries' soundness are not touched.
TEST_F(AggregatorTest, MutatedPermitsAndTransactionsAreTakenSoundOrRefused) {
  put_change(ChangeState::kHolding);
  hear();
  serve();
  const std::uint64_t step = policy::step_of(change_in(ChangeState::kHolding));
  const LeaseId witness = join("witness", "edge");
  LeaseId lease = join("r1", "edge");
  std::mt19937_64 random(21);
  std::uint64_t refused = 0;
  std::uint64_t taken = 0;
  for (int round = 0; round < 5'000; ++round) {
    if (round % 20 == 0) {
      // A number that grew by the mutation is the router's last under this lease.
      aggregator_.revoke(now_, lease);
      lease = join("r1", "edge");
    }
    Permit permit = permit_of("edge");
    permit.held = step;
    permit.number = ++number_;
    const std::string text = policy::write_permit(permit);
    const std::string key = policy::permit_key("r1", lease);
    Transaction transaction;
    const bool mutates_key = random() % 4 == 0;
    transaction.then.push_back(
        Put{mutates_key ? mutated(key, random) : key, mutates_key ? text : mutated(text, random), lease});
    if (random() % 8 == 0) {
      transaction.when.push_back(coordination::unchanged(mutated(policy::kChangeKey, random), random() % 4));
    }
    if (random() % 16 == 0) {
      transaction.otherwise.push_back(Get{Range{mutated("policy/change", random), random() % 2 == 0}});
    }
    const std::uint64_t counted = aggregator_.counts().refused_in_all();
    try {
      taken += aggregator_.commit(now_, transaction).succeeded ? 1 : 0;
    } catch (const Refused&) {
      ++refused;
      ASSERT_EQ(aggregator_.counts().refused_in_all(), counted + 1);
    }
    ASSERT_EQ(aggregator_.routers(), 2U);
    ASSERT_EQ(aggregator_.summaries().at("edge").routers, 2U);
    ASSERT_NE(aggregator_.summaries().at("edge").held, step) << "the witness has not said so";
    ASSERT_EQ(aggregator_.summaries().at("west").routers, 0U);
  }
  EXPECT_GT(refused, 1'000U);
  EXPECT_GT(taken, 100U);
  EXPECT_EQ(aggregator_.keep_alive(now_, witness), seconds(3));
}

// Records of the store that cannot be read: no change is known, and routers that join by them decide by the
// same.
TEST_F(AggregatorTest, MutatedRecordsOfTheStoreAreReadSoundOrNotAtAll) {
  std::mt19937_64 random(22);
  const std::string good = policy::write_change(change_in(ChangeState::kHolding));
  hear();
  serve();
  for (int round = 0; round < 2'000; ++round) {
    put(policy::kChangeKey, mutated(good, random));
    const Permit summary = aggregator_.summaries().at("edge");
    const auto read = policy::read_change(store_.get(Range{policy::kChangeKey, false}).front().value);
    const bool holding = read && read->state == ChangeState::kHolding && read->concerns("edge");
    EXPECT_EQ(summary.held, holding ? policy::step_of(*read) : 0U);
  }
}

}  // namespace
}  // namespace trailcourse::aggregation
