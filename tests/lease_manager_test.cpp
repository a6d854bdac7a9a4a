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
    manager.set_connected(now, true);
    Work work;
    work.name = "w";
    work.kind = "test";
    manager.set_members(now, {{"a", "edge"}});
    give(work);
  }
  void give(const Work& work) {
    given = work;
    manager.set_work(now, work.name, work);
  }
  // Until nothing more is due now.
  std::vector<LeaseManagerAction> due() {
    std::vector<LeaseManagerAction> out;
    for (int i = 0; i < 10; ++i) {
      const auto more = manager.step(now);
      out.insert(out.end(), more.begin(), more.end());
    }
    return out;
  }
  template <typename Kind>
  static std::vector<Kind> of(const std::vector<LeaseManagerAction>& orders) {
    std::vector<Kind> out;
    for (const LeaseManagerAction& order : orders) {
      if (const auto* one = std::get_if<Kind>(&order)) {
        out.push_back(*one);
      }
    }
    return out;
  }
  // The only lease call that is due.
  LeaseCall lease_call() {
    const auto calls = of<LeaseCallAction>(due());
    EXPECT_EQ(calls.size(), 1U);
    return calls.empty() ? LeaseCall{} : calls.front().call;
  }
  WriteProgressAction write() {
    const auto writes = of<WriteProgressAction>(due());
    EXPECT_EQ(writes.size(), 1U);
    return writes.empty() ? WriteProgressAction{} : writes.front();
  }
  void acquire(Term term, const StoredProgress& kept = {}) {
    const LeaseCall order = lease_call();
    EXPECT_EQ(order.kind, LeaseCallKind::kAcquire);
    AcquireResult acquired;
    acquired.term = term;
    acquired.stored = kept;
    manager.on_acquire_result(now, id, order.call_id, acquired);
  }
  void keep(const Write& wrote, coordination::Revision revision) {
    manager.on_write_result(now, id, wrote.call_id,
                            ProgressWriteResult{true, true, StoredProgress{wrote.progress, revision}});
  }
  // Owned, written, running.
  void run(Term term, const StoredProgress& kept = {}) {
    acquire(term, kept);
    keep(write(), term + 1);
    const auto begun = of<StartTaskAction>(due());
    ASSERT_EQ(begun.size(), 1U);
    EXPECT_EQ(begun.front().term, term);
  }
  ShardStatus seen() { return manager.shards(now).at(0); }

  LeaseManagerOptions rules;
  ShardId id{"w", 0};
  Work given;
  Micros now{1'000'000};
  LeaseManager manager{"a", "1", "edge", {"test"}, LeaseManagerOptions{}};
};

TEST_F(LeaseManagerTest, NothingBeginsBeforeItsStartIsWritten) {
  acquire(7);
  EXPECT_FALSE(manager.may_act(now, id, 7));
  const WriteProgressAction first = write();
  EXPECT_EQ(first.progress.starts, 1U);
  EXPECT_EQ(first.progress.term, 7U);
  EXPECT_TRUE(of<StartTaskAction>(due()).empty());
  keep(first, 8);
  const auto begun = of<StartTaskAction>(due());
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
  manager.set_members(now, members);
  for (const ShardStatus& one : manager.shards(now)) {
    const std::size_t turn = candidate_rank("w", one.id.shard, "a", names);
    LeaseManager other("a", "1", "edge", {"test"}, LeaseManagerOptions{});
    other.set_connected(now, true);
    other.set_members(now, members);
    other.set_work(now, "w", given);
    for (std::uint64_t i = 0; i < 20; ++i) {
      if (i != one.id.shard) {
        other.on_owner(now, ShardId{"w", i}, Owner{"b", "1", 3}, 3);
      }
    }
    if (turn > 0) {
      EXPECT_TRUE(of<LeaseCallAction>(other.step(now)).empty());
      EXPECT_EQ(other.next_step_at(now), now + rules.candidate_slot * static_cast<int>(turn));
    }
    EXPECT_EQ(of<LeaseCallAction>(other.step(now + rules.candidate_slot * static_cast<int>(turn))).size(),
              1U);
  }
}

TEST_F(LeaseManagerTest, NobodyIsAskedWhileAnotherOwnsItOrTheStoreIsNotHeard) {
  manager.on_owner(now, id, Owner{"b", "1", 5}, 5);
  EXPECT_TRUE(due().empty());
  manager.on_owner(now, id, std::nullopt, 9);
  manager.set_connected(now, false);
  EXPECT_TRUE(due().empty());
  manager.set_connected(now, true);
  EXPECT_EQ(lease_call().kind, LeaseCallKind::kAcquire);
}

TEST_F(LeaseManagerTest, ALostAnswerToTheStartIsFoundOutByWritingItAgain) {
  acquire(7);
  const WriteProgressAction first = write();
  manager.on_no_write_response(now, id, first.call_id);
  EXPECT_TRUE(of<WriteProgressAction>(due()).empty()) << "not at once";
  now += rules.lease.retry_backoff;
  const auto again = of<WriteProgressAction>(due());
  ASSERT_EQ(again.size(), 1U);
  EXPECT_EQ(again.front().progress, first.progress);
  EXPECT_EQ(again.front().modified, first.modified);
  // An answer to the first that comes late counts for nothing.
  manager.on_write_result(now, id, first.call_id,
                          ProgressWriteResult{true, true, StoredProgress{first.progress, 8}});
  EXPECT_TRUE(of<StartTaskAction>(due()).empty());
  keep(again.front(), 8);
  EXPECT_EQ(of<StartTaskAction>(due()).size(), 1U);
}

TEST_F(LeaseManagerTest, WhoCannotKnowStopsAndGoesOnOnlyOnceItKnows) {
  run(7);
  now += rules.lease.renew_after;
  const LeaseCall renewal = lease_call();
  EXPECT_EQ(renewal.kind, LeaseCallKind::kRenew);
  now += rules.lease.ttl;
  EXPECT_FALSE(manager.may_act(now, id, 7));
  const auto stopped = of<AbortTaskAction>(due());
  ASSERT_EQ(stopped.size(), 1U);
  EXPECT_EQ(seen().lease, LeasePhase::kUncertain);
  manager.on_no_response(now, id, renewal.call_id);
  now += rules.lease.retry_backoff;
  const LeaseCall second = lease_call();
  manager.on_renew_result(now, id, second.call_id, true);
  const auto begun = of<StartTaskAction>(due());
  ASSERT_EQ(begun.size(), 1U) << "under the same term, from the last checkpoint";
  EXPECT_EQ(begun.front().term, 7U);
  EXPECT_TRUE(of<WriteProgressAction>(due()).empty()) << "it is no new start";
}

TEST_F(LeaseManagerTest, ALeaseThatIsGoneEndsTheTaskAndItsWordsCountNoMore) {
  run(7);
  now += rules.lease.renew_after;
  manager.on_renew_result(now, id, lease_call().call_id, false);
  EXPECT_EQ(of<AbortTaskAction>(due()).size(), 1U);
  EXPECT_FALSE(manager.may_act(now, id, 7));
  manager.on_checkpoint(now, id, 7, "late", false);
  EXPECT_TRUE(of<WriteProgressAction>(due()).empty());
  EXPECT_EQ(manager.counts().lost, 1U);
}

TEST_F(LeaseManagerTest, WhatTheStoreToldOfBeforeItsTermSaysNothing) {
  acquire(13);
  manager.on_owner(now, id, Owner{"b", "1", 10}, 10);
  manager.on_owner(now, id, std::nullopt, 12);
  EXPECT_EQ(of<WriteProgressAction>(due()).size(), 1U) << "it owns the shard still";
  manager.on_owner(now, id, Owner{"a", "1", 13}, 13);
  manager.on_owner(now, id, std::nullopt, 20);
  EXPECT_EQ(manager.counts().lost, 1U);
  EXPECT_EQ(seen().phase, ShardPhase::kUnassigned);
}

TEST_F(LeaseManagerTest, ACheckpointIsKeptUnderItsTermAndTakesTheStartBack) {
  run(7);
  manager.on_checkpoint(now, id, 7, "ten", false);
  manager.on_checkpoint(now, id, 7, "eleven", false);
  const WriteProgressAction kept = write();
  EXPECT_EQ(kept.progress.checkpoint, "eleven") << "the newest that is known when there is room";
  EXPECT_EQ(kept.progress.starts, 0U);
  EXPECT_EQ(kept.modified, 8U);
  keep(kept, 9);
  EXPECT_EQ(manager.counts().checkpoints, 1U);
}

TEST_F(LeaseManagerTest, AWriteThatFindsAnotherOwnerEndsIt) {
  run(7);
  manager.on_checkpoint(now, id, 7, "ten", false);
  const WriteProgressAction wrote = write();
  manager.on_write_result(now, id, wrote.call_id, ProgressWriteResult{false, false, {}});
  EXPECT_EQ(of<AbortTaskAction>(due()).size(), 1U);
  EXPECT_EQ(manager.counts().refused_writes, 1U);
  EXPECT_EQ(seen().phase, ShardPhase::kUnassigned);
}

TEST_F(LeaseManagerTest, ADrainWaitsForTheLastCheckpointAndThenGivesTheLeaseBack) {
  run(7);
  manager.drain(now);
  EXPECT_EQ(of<StopTaskAction>(due()).size(), 1U);
  EXPECT_TRUE(manager.may_act(now, id, 7)) << "the step in hand may be ended";
  manager.on_checkpoint(now, id, 7, "end", false);
  manager.on_task_finished(now, id, 7);
  const WriteProgressAction last = write();
  EXPECT_EQ(last.progress.checkpoint, "end");
  EXPECT_FALSE(manager.drained());
  keep(last, 9);
  const LeaseCall release = lease_call();
  EXPECT_EQ(release.kind, LeaseCallKind::kRelease);
  manager.on_release_result(now, id, release.call_id);
  EXPECT_TRUE(manager.drained());
  EXPECT_TRUE(due().empty()) << "nothing is taken on again";
}

TEST_F(LeaseManagerTest, ATaskThatDoesNotEndIsNotWaitedForBeyondTheBound) {
  run(7);
  manager.drain(now);
  EXPECT_EQ(of<StopTaskAction>(due()).size(), 1U);
  now += rules.release_timeout;
  const auto orders = due();
  EXPECT_EQ(of<AbortTaskAction>(orders).size(), 1U);
  ASSERT_EQ(of<LeaseCallAction>(orders).size(), 1U);
  EXPECT_EQ(of<LeaseCallAction>(orders).front().call.kind, LeaseCallKind::kRelease);
  EXPECT_FALSE(manager.may_act(now, id, 7));
}

TEST_F(LeaseManagerTest, ATaskThatDidNotBeginLeavesNoStartBehind) {
  StoredProgress kept;
  kept.progress.starts = 1;
  kept.modified = 5;
  acquire(7, kept);
  const WriteProgressAction first = write();
  EXPECT_EQ(first.progress.starts, 2U);
  manager.drain(now);
  due();
  keep(first, 8);
  const WriteProgressAction back = write();
  EXPECT_EQ(back.progress.starts, 1U);
}

TEST_F(LeaseManagerTest, WorkThatItsOwnersDieOfIsTriedLaterAndThenParked) {
  StoredProgress kept;
  std::vector<Micros> pauses;
  for (std::uint64_t start = 1; start <= rules.max_starts; ++start) {
    acquire(start * 10, kept);
    const WriteProgressAction wrote = write();
    EXPECT_EQ(wrote.progress.starts, start);
    EXPECT_FALSE(wrote.progress.parked);
    keep(wrote, start * 10 + 1);
    const Micros from = now;
    for (auto orders = due(); of<StartTaskAction>(orders).empty(); orders = due()) {
      // Renewals go on meanwhile.
      for (const LeaseCallAction& call : of<LeaseCallAction>(orders)) {
        manager.on_renew_result(now, id, call.call.call_id, true);
      }
      now = *manager.next_step_at(now);
      ASSERT_LT(now - from, seconds(200));
    }
    pauses.push_back(now - from);
    kept = StoredProgress{wrote.progress, start * 10 + 1};
    // It dies: another router of the same kind takes over.
    manager = LeaseManager("a", std::to_string(start), "edge", {"test"}, LeaseManagerOptions{});
    manager.set_connected(now, true);
    manager.set_members(now, {{"a", "edge"}});
    manager.set_work(now, "w", given);
  }
  EXPECT_EQ(pauses[0], Micros(0));
  EXPECT_GE(pauses[1], rules.restart_backoff);
  EXPECT_GE(pauses[2], 2 * rules.restart_backoff);
  acquire(100, kept);
  const WriteProgressAction parked = write();
  EXPECT_TRUE(parked.progress.parked);
  keep(parked, 101);
  now += seconds(1);
  EXPECT_TRUE(of<StartTaskAction>(due()).empty());
  EXPECT_EQ(seen().phase, ShardPhase::kParked);
  // Staff resume it.
  given.resumed = 1;
  give(given);
  const WriteProgressAction again = write();
  EXPECT_EQ(again.progress.starts, 1U);
  EXPECT_FALSE(again.progress.parked);
  keep(again, 103);
  EXPECT_EQ(of<StartTaskAction>(due()).size(), 1U);
}

TEST_F(LeaseManagerTest, WhoAcquiresWhatIsParkedLeavesItParked) {
  StoredProgress kept;
  kept.progress.parked = true;
  kept.progress.starts = 3;
  kept.modified = 5;
  acquire(7, kept);
  EXPECT_TRUE(of<WriteProgressAction>(due()).empty());
  EXPECT_EQ(seen().phase, ShardPhase::kParked);
}

TEST_F(LeaseManagerTest, WhatIsDoneIsNotBegunAgain) {
  run(7);
  manager.on_checkpoint(now, id, 7, "all", true);
  const WriteProgressAction last = write();
  EXPECT_TRUE(last.progress.done);
  keep(last, 9);
  EXPECT_EQ(of<StopTaskAction>(due()).size(), 1U);
  manager.on_task_finished(now, id, 7);
  const LeaseCall release = lease_call();
  EXPECT_EQ(release.kind, LeaseCallKind::kRelease);
  manager.on_release_result(now, id, release.call_id);
  manager.on_owner(now, id, std::nullopt, 11);
  now += seconds(60);
  EXPECT_TRUE(due().empty());
}

TEST_F(LeaseManagerTest, ABetterOwnerGetsItOnceItHasStoodForAWhile) {
  run(7);
  std::map<std::string, std::string> members{{"a", "edge"}};
  std::vector<std::string> names{"a"};
  for (int i = 0; preferred_owner("w", 0, names) == "a"; ++i) {
    members["b" + std::to_string(i)] = "edge";
    names.push_back("b" + std::to_string(i));
  }
  manager.set_members(now, members);
  EXPECT_TRUE(of<StopTaskAction>(due()).empty());
  now += rules.lease.renew_after;
  manager.on_renew_result(now, id, lease_call().call_id, true);
  // It went: nothing happens, and its time begins anew when it returns.
  manager.set_members(now, {{"a", "edge"}});
  due();
  manager.set_members(now, members);
  due();
  const Micros from = now;
  while (now < from + rules.handover_delay) {
    for (const LeaseCallAction& call : of<LeaseCallAction>(manager.step(now))) {
      manager.on_renew_result(now, id, call.call.call_id, true);
    }
    EXPECT_NE(seen().phase, ShardPhase::kReleasing);
    now = std::min(*manager.next_step_at(now), from + rules.handover_delay);
  }
  EXPECT_EQ(of<StopTaskAction>(due()).size(), 1U);
}

TEST_F(LeaseManagerTest, StaffCanHaveItLetGoAndItStandsBack) {
  run(7);
  manager.on_release_request(now, id, "b");
  EXPECT_TRUE(of<StopTaskAction>(due()).empty()) << "not of this one";
  manager.on_release_request(now, id, "a");
  EXPECT_EQ(of<StopTaskAction>(due()).size(), 1U);
  manager.on_task_finished(now, id, 7);
  keep(write(), 9);
  manager.on_release_result(now, id, lease_call().call_id);
  manager.on_owner(now, id, std::nullopt, 11);
  EXPECT_TRUE(of<LeaseCallAction>(due()).empty());
  now += rules.cooldown;
  EXPECT_EQ(lease_call().kind, LeaseCallKind::kAcquire) << "nobody else took it";
}

TEST_F(LeaseManagerTest, PausedWorkIsLetGoAndNotTakenOn) {
  run(7);
  given.paused = true;
  give(given);
  EXPECT_EQ(of<StopTaskAction>(due()).size(), 1U);
  manager.on_task_finished(now, id, 7);
  keep(write(), 9);
  manager.on_release_result(now, id, lease_call().call_id);
  manager.on_owner(now, id, std::nullopt, 10);
  now += seconds(60);
  EXPECT_TRUE(due().empty());
  given.paused = false;
  give(given);
  EXPECT_EQ(lease_call().kind, LeaseCallKind::kAcquire);
}

TEST_F(LeaseManagerTest, AShadowedRouterDoesNoOwnedWork) {
  run(7);
  manager.set_superseded(now, true);
  EXPECT_FALSE(manager.may_act(now, id, 7)) << "at once, not at the next step";
  EXPECT_EQ(of<StopTaskAction>(due()).size(), 1U);
}

TEST_F(LeaseManagerTest, WorkThatIsTakenAwayIsLetGoAndForgotten) {
  run(7);
  manager.set_work(now, "w", std::nullopt);
  EXPECT_EQ(of<StopTaskAction>(due()).size(), 1U);
  manager.on_task_finished(now, id, 7);
  keep(write(), 9);
  manager.on_release_result(now, id, lease_call().call_id);
  due();
  EXPECT_TRUE(manager.shards(now).empty());
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
  for (const LeaseCallAction& call : of<LeaseCallAction>(due())) {
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
