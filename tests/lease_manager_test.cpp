// One router's part in owned work, answer by answer: turns, starts that are written first, lost answers,
// doubt, letting go, work that its owners die of.
#include "ownership/lease_manager.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <random>

namespace trailcourse::ownership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// One router "a"; the test is the store.
class LeaseManagerTest : public testing::Test {
 protected:
  LeaseManagerTest() {
    manager.heard(now, true);
    Work work;
    work.name = "w";
    work.kind = "test";
    manager.members(now, {{"a", "edge"}});
    give(work);
  }
  void give(const Work& work) {
    given = work;
    manager.work(now, work.name, work);
  }
  // Until nothing more is due now.
  std::vector<LeaseManagerOrder> due() {
    std::vector<LeaseManagerOrder> out;
    for (int i = 0; i < 10; ++i) {
      const auto more = manager.due(now);
      out.insert(out.end(), more.begin(), more.end());
    }
    return out;
  }
  template <typename Kind>
  static std::vector<Kind> of(const std::vector<LeaseManagerOrder>& orders) {
    std::vector<Kind> out;
    for (const LeaseManagerOrder& order : orders) {
      if (const auto* one = std::get_if<Kind>(&order)) {
        out.push_back(*one);
      }
    }
    return out;
  }
  // The only lease call that is due.
  Order lease_call() {
    const auto calls = of<AskLease>(due());
    EXPECT_EQ(calls.size(), 1U);
    return calls.empty() ? Order{} : calls.front().order;
  }
  Write write() {
    const auto writes = of<Write>(due());
    EXPECT_EQ(writes.size(), 1U);
    return writes.empty() ? Write{} : writes.front();
  }
  void acquire(Term term, const Kept& kept = {}) {
    const Order order = lease_call();
    EXPECT_EQ(order.ask, Ask::kAcquire);
    Acquired acquired;
    acquired.term = term;
    acquired.kept = kept;
    manager.acquired(now, id, order.number, acquired);
  }
  void keep(const Write& wrote, coordination::Revision revision) {
    manager.recorded(now, id, wrote.number, Recorded{true, true, Kept{wrote.progress, revision}});
  }
  // Owned, written, running.
  void run(Term term, const Kept& kept = {}) {
    acquire(term, kept);
    keep(write(), term + 1);
    const auto begun = of<Begin>(due());
    ASSERT_EQ(begun.size(), 1U);
    EXPECT_EQ(begun.front().term, term);
  }
  ShardSeen seen() { return manager.all(now).at(0); }

  LeaseManagerRules rules;
  ShardId id{"w", 0};
  Work given;
  Micros now{1'000'000};
  LeaseManager manager{"a", "1", "edge", {"test"}, LeaseManagerRules{}};
};

TEST_F(LeaseManagerTest, NothingBeginsBeforeItsStartIsWritten) {
  acquire(7);
  EXPECT_FALSE(manager.may_act(now, id, 7));
  const Write first = write();
  EXPECT_EQ(first.progress.starts, 1U);
  EXPECT_EQ(first.progress.term, 7U);
  EXPECT_TRUE(of<Begin>(due()).empty());
  keep(first, 8);
  const auto begun = of<Begin>(due());
  ASSERT_EQ(begun.size(), 1U);
  EXPECT_TRUE(manager.may_act(now, id, 7));
  EXPECT_FALSE(manager.may_act(now, id, 6)) << "another term's effects are not ours";
}

TEST_F(LeaseManagerTest, ACandidateWaitsForThoseBeforeIt) {
  std::map<std::string, std::string> members;
  for (const char* name : {"a", "b", "c", "d", "e"}) {
    members[name] = "edge";
  }
  std::vector<std::string> names{"a", "b", "c", "d", "e"};
  // A shard on which this one is not the first.
  given.shards = 20;
  give(given);
  manager.members(now, members);
  for (const ShardSeen& one : manager.all(now)) {
    const std::size_t turn = slot_of("w", one.id.shard, "a", names);
    LeaseManager other("a", "1", "edge", {"test"}, LeaseManagerRules{});
    other.heard(now, true);
    other.members(now, members);
    other.work(now, "w", given);
    for (std::uint64_t i = 0; i < 20; ++i) {
      if (i != one.id.shard) {
        other.owner(now, ShardId{"w", i}, Owner{"b", "1", 3}, 3);
      }
    }
    if (turn > 0) {
      EXPECT_TRUE(of<AskLease>(other.due(now)).empty());
      EXPECT_EQ(other.next(now), now + rules.slot * static_cast<int>(turn));
    }
    EXPECT_EQ(of<AskLease>(other.due(now + rules.slot * static_cast<int>(turn))).size(), 1U);
  }
}

TEST_F(LeaseManagerTest, NobodyIsAskedWhileAnotherOwnsItOrTheStoreIsNotHeard) {
  manager.owner(now, id, Owner{"b", "1", 5}, 5);
  EXPECT_TRUE(due().empty());
  manager.owner(now, id, std::nullopt, 9);
  manager.heard(now, false);
  EXPECT_TRUE(due().empty());
  manager.heard(now, true);
  EXPECT_EQ(lease_call().ask, Ask::kAcquire);
}

TEST_F(LeaseManagerTest, ALostAnswerToTheStartIsFoundOutByWritingItAgain) {
  acquire(7);
  const Write first = write();
  manager.record_lost(now, id, first.number);
  EXPECT_TRUE(of<Write>(due()).empty()) << "not at once";
  now += rules.lease.retry;
  const auto again = of<Write>(due());
  ASSERT_EQ(again.size(), 1U);
  EXPECT_EQ(again.front().progress, first.progress);
  EXPECT_EQ(again.front().modified, first.modified);
  // An answer to the first that comes late counts for nothing.
  manager.recorded(now, id, first.number, Recorded{true, true, Kept{first.progress, 8}});
  EXPECT_TRUE(of<Begin>(due()).empty());
  keep(again.front(), 8);
  EXPECT_EQ(of<Begin>(due()).size(), 1U);
}

TEST_F(LeaseManagerTest, WhoCannotKnowStopsAndGoesOnOnlyOnceItKnows) {
  run(7);
  now += rules.lease.renew_after;
  const Order renewal = lease_call();
  EXPECT_EQ(renewal.ask, Ask::kRenew);
  now += rules.lease.ttl;
  EXPECT_FALSE(manager.may_act(now, id, 7));
  const auto stopped = of<Abandon>(due());
  ASSERT_EQ(stopped.size(), 1U);
  EXPECT_EQ(seen().lease, Phase::kDoubtful);
  manager.lost(now, id, renewal.number);
  now += rules.lease.retry;
  const Order second = lease_call();
  manager.renewed(now, id, second.number, true);
  const auto begun = of<Begin>(due());
  ASSERT_EQ(begun.size(), 1U) << "under the same term, from the last checkpoint";
  EXPECT_EQ(begun.front().term, 7U);
  EXPECT_TRUE(of<Write>(due()).empty()) << "it is no new start";
}

TEST_F(LeaseManagerTest, ALeaseThatIsGoneEndsTheTaskAndItsWordsCountNoMore) {
  run(7);
  now += rules.lease.renew_after;
  manager.renewed(now, id, lease_call().number, false);
  EXPECT_EQ(of<Abandon>(due()).size(), 1U);
  EXPECT_FALSE(manager.may_act(now, id, 7));
  manager.checkpoint(now, id, 7, "late", false);
  EXPECT_TRUE(of<Write>(due()).empty());
  EXPECT_EQ(manager.counts().lost, 1U);
}

TEST_F(LeaseManagerTest, WhatTheStoreToldOfBeforeItsTermSaysNothing) {
  acquire(13);
  manager.owner(now, id, Owner{"b", "1", 10}, 10);
  manager.owner(now, id, std::nullopt, 12);
  EXPECT_EQ(of<Write>(due()).size(), 1U) << "it owns the shard still";
  manager.owner(now, id, Owner{"a", "1", 13}, 13);
  manager.owner(now, id, std::nullopt, 20);
  EXPECT_EQ(manager.counts().lost, 1U);
  EXPECT_EQ(seen().phase, ShardPhase::kAway);
}

TEST_F(LeaseManagerTest, ACheckpointIsKeptUnderItsTermAndTakesTheStartBack) {
  run(7);
  manager.checkpoint(now, id, 7, "ten", false);
  manager.checkpoint(now, id, 7, "eleven", false);
  const Write kept = write();
  EXPECT_EQ(kept.progress.checkpoint, "eleven") << "the newest that is known when there is room";
  EXPECT_EQ(kept.progress.starts, 0U);
  EXPECT_EQ(kept.modified, 8U);
  keep(kept, 9);
  EXPECT_EQ(manager.counts().checkpoints, 1U);
}

TEST_F(LeaseManagerTest, AWriteThatFindsAnotherOwnerEndsIt) {
  run(7);
  manager.checkpoint(now, id, 7, "ten", false);
  const Write wrote = write();
  manager.recorded(now, id, wrote.number, Recorded{false, false, {}});
  EXPECT_EQ(of<Abandon>(due()).size(), 1U);
  EXPECT_EQ(manager.counts().refused_writes, 1U);
  EXPECT_EQ(seen().phase, ShardPhase::kAway);
}

TEST_F(LeaseManagerTest, ADrainWaitsForTheLastCheckpointAndThenGivesTheLeaseBack) {
  run(7);
  manager.drain(now);
  EXPECT_EQ(of<Finish>(due()).size(), 1U);
  EXPECT_TRUE(manager.may_act(now, id, 7)) << "the step in hand may be ended";
  manager.checkpoint(now, id, 7, "end", false);
  manager.finished(now, id, 7);
  const Write last = write();
  EXPECT_EQ(last.progress.checkpoint, "end");
  EXPECT_FALSE(manager.drained());
  keep(last, 9);
  const Order release = lease_call();
  EXPECT_EQ(release.ask, Ask::kRelease);
  manager.released(now, id, release.number);
  EXPECT_TRUE(manager.drained());
  EXPECT_TRUE(due().empty()) << "nothing is taken on again";
}

TEST_F(LeaseManagerTest, ATaskThatDoesNotEndIsNotWaitedForBeyondTheBound) {
  run(7);
  manager.drain(now);
  EXPECT_EQ(of<Finish>(due()).size(), 1U);
  now += rules.yield_most;
  const auto orders = due();
  EXPECT_EQ(of<Abandon>(orders).size(), 1U);
  ASSERT_EQ(of<AskLease>(orders).size(), 1U);
  EXPECT_EQ(of<AskLease>(orders).front().order.ask, Ask::kRelease);
  EXPECT_FALSE(manager.may_act(now, id, 7));
}

TEST_F(LeaseManagerTest, ATaskThatDidNotBeginLeavesNoStartBehind) {
  Kept kept;
  kept.progress.starts = 1;
  kept.modified = 5;
  acquire(7, kept);
  const Write first = write();
  EXPECT_EQ(first.progress.starts, 2U);
  manager.drain(now);
  due();
  keep(first, 8);
  const Write back = write();
  EXPECT_EQ(back.progress.starts, 1U);
}

TEST_F(LeaseManagerTest, WorkThatItsOwnersDieOfIsTriedLaterAndThenParked) {
  Kept kept;
  std::vector<Micros> pauses;
  for (std::uint64_t start = 1; start <= rules.most_starts; ++start) {
    acquire(start * 10, kept);
    const Write wrote = write();
    EXPECT_EQ(wrote.progress.starts, start);
    EXPECT_FALSE(wrote.progress.parked);
    keep(wrote, start * 10 + 1);
    const Micros from = now;
    for (auto orders = due(); of<Begin>(orders).empty(); orders = due()) {
      // Renewals go on meanwhile.
      for (const AskLease& call : of<AskLease>(orders)) {
        manager.renewed(now, id, call.order.number, true);
      }
      now = *manager.next(now);
      ASSERT_LT(now - from, seconds(200));
    }
    pauses.push_back(now - from);
    kept = Kept{wrote.progress, start * 10 + 1};
    // It dies: another router of the same kind takes over.
    manager = LeaseManager("a", std::to_string(start), "edge", {"test"}, LeaseManagerRules{});
    manager.heard(now, true);
    manager.members(now, {{"a", "edge"}});
    manager.work(now, "w", given);
  }
  EXPECT_EQ(pauses[0], Micros(0));
  EXPECT_GE(pauses[1], rules.poison_pause);
  EXPECT_GE(pauses[2], 2 * rules.poison_pause);
  acquire(100, kept);
  const Write parked = write();
  EXPECT_TRUE(parked.progress.parked);
  keep(parked, 101);
  now += seconds(1);
  EXPECT_TRUE(of<Begin>(due()).empty());
  EXPECT_EQ(seen().phase, ShardPhase::kParked);
  // Staff resume it.
  given.resumed = 1;
  give(given);
  const Write again = write();
  EXPECT_EQ(again.progress.starts, 1U);
  EXPECT_FALSE(again.progress.parked);
  keep(again, 103);
  EXPECT_EQ(of<Begin>(due()).size(), 1U);
}

TEST_F(LeaseManagerTest, WhoAcquiresWhatIsParkedLeavesItParked) {
  Kept kept;
  kept.progress.parked = true;
  kept.progress.starts = 3;
  kept.modified = 5;
  acquire(7, kept);
  EXPECT_TRUE(of<Write>(due()).empty());
  EXPECT_EQ(seen().phase, ShardPhase::kParked);
}

TEST_F(LeaseManagerTest, WhatIsDoneIsNotBegunAgain) {
  run(7);
  manager.checkpoint(now, id, 7, "all", true);
  const Write last = write();
  EXPECT_TRUE(last.progress.done);
  keep(last, 9);
  EXPECT_EQ(of<Finish>(due()).size(), 1U);
  manager.finished(now, id, 7);
  const Order release = lease_call();
  EXPECT_EQ(release.ask, Ask::kRelease);
  manager.released(now, id, release.number);
  manager.owner(now, id, std::nullopt, 11);
  now += seconds(60);
  EXPECT_TRUE(due().empty());
}

TEST_F(LeaseManagerTest, ABetterOwnerGetsItOnceItHasStoodForAWhile) {
  run(7);
  std::map<std::string, std::string> members{{"a", "edge"}};
  std::vector<std::string> names{"a"};
  for (int i = 0; owner_of("w", 0, names) == "a"; ++i) {
    members["b" + std::to_string(i)] = "edge";
    names.push_back("b" + std::to_string(i));
  }
  manager.members(now, members);
  EXPECT_TRUE(of<Finish>(due()).empty());
  now += rules.lease.renew_after;
  manager.renewed(now, id, lease_call().number, true);
  // It went: nothing happens, and its time begins anew when it returns.
  manager.members(now, {{"a", "edge"}});
  due();
  manager.members(now, members);
  due();
  const Micros from = now;
  while (now < from + rules.settle) {
    for (const AskLease& call : of<AskLease>(manager.due(now))) {
      manager.renewed(now, id, call.order.number, true);
    }
    EXPECT_NE(seen().phase, ShardPhase::kYielding);
    now = std::min(*manager.next(now), from + rules.settle);
  }
  EXPECT_EQ(of<Finish>(due()).size(), 1U);
}

TEST_F(LeaseManagerTest, StaffCanHaveItLetGoAndItStandsBack) {
  run(7);
  manager.release_asked(now, id, "b");
  EXPECT_TRUE(of<Finish>(due()).empty()) << "not of this one";
  manager.release_asked(now, id, "a");
  EXPECT_EQ(of<Finish>(due()).size(), 1U);
  manager.finished(now, id, 7);
  keep(write(), 9);
  manager.released(now, id, lease_call().number);
  manager.owner(now, id, std::nullopt, 11);
  EXPECT_TRUE(of<AskLease>(due()).empty());
  now += rules.stand_back;
  EXPECT_EQ(lease_call().ask, Ask::kAcquire) << "nobody else took it";
}

TEST_F(LeaseManagerTest, PausedWorkIsLetGoAndNotTakenOn) {
  run(7);
  given.paused = true;
  give(given);
  EXPECT_EQ(of<Finish>(due()).size(), 1U);
  manager.finished(now, id, 7);
  keep(write(), 9);
  manager.released(now, id, lease_call().number);
  manager.owner(now, id, std::nullopt, 10);
  now += seconds(60);
  EXPECT_TRUE(due().empty());
  given.paused = false;
  give(given);
  EXPECT_EQ(lease_call().ask, Ask::kAcquire);
}

TEST_F(LeaseManagerTest, AShadowedRouterDoesNoOwnedWork) {
  run(7);
  manager.shadowed(now, true);
  EXPECT_FALSE(manager.may_act(now, id, 7)) << "at once, not at the next step";
  EXPECT_EQ(of<Finish>(due()).size(), 1U);
}

TEST_F(LeaseManagerTest, WorkThatIsTakenAwayIsLetGoAndForgotten) {
  run(7);
  manager.work(now, "w", std::nullopt);
  EXPECT_EQ(of<Finish>(due()).size(), 1U);
  manager.finished(now, id, 7);
  keep(write(), 9);
  manager.released(now, id, lease_call().number);
  due();
  EXPECT_TRUE(manager.all(now).empty());
}

TEST_F(LeaseManagerTest, OfAnotherZonesWorkAndOfUnknownKindsNothingIsAsked) {
  Work other;
  other.name = "far";
  other.kind = "test";
  other.zone = "west";
  give(other);
  Work unknown;
  unknown.name = "new";
  unknown.kind = "of a later version";
  give(unknown);
  for (const AskLease& call : of<AskLease>(due())) {
    EXPECT_EQ(call.id.work, "w");
  }
}

TEST(WorkRecordTest, MutatedRecordsAreReadSoundOrNotAtAll) {
  Work work;
  work.name = "fill.evening";
  work.kind = "fill";
  work.shards = 8;
  work.params = R"({"objects":["a"]})";
  const std::string good = write_work(work);
  EXPECT_EQ(read_work("fleet/work/fill.evening", good), work);
  std::mt19937_64 random(5);
  int refused = 0;
  for (int round = 0; round < 3'000; ++round) {
    std::string text = good;
    text[random() % text.size()] = "0123456789\"{}[]:,-x"[random() % 19];
    if (const auto read = read_work("fleet/work/fill.evening", text)) {
      EXPECT_NO_THROW(check_work(*read));
    } else {
      ++refused;
    }
  }
  EXPECT_GT(refused, 100);
  EXPECT_EQ(read_shard_key("own/a/12", "own/"), (ShardId{"a", 12}));
  for (const char* bad :
       {"own/a", "own//1", "own/a/", "own/a/x", "own/a/123456", "progress/a/1", "own/a b/1"}) {
    EXPECT_FALSE(read_shard_key(bad, "own/")) << bad;
  }
}

}  // namespace
}  // namespace trailcourse::ownership
