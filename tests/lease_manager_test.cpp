// The lease manager of one router, response by response: candidate order, recorded starts, lost responses,
// expired leases, releases, and work whose owners crash.
#include "ownership/lease_manager.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <random>

#include "ownership/shard_assignment.h"

namespace trailcourse::ownership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The router "a" alone. The test plays the store.
class LeaseManagerTest : public testing::Test {
 protected:
  LeaseManagerTest() {
    manager_.set_connected(now_, true);
    Work work;
    work.name = "w";
    work.kind = "test";
    manager_.set_members(now_, {{"a", "edge"}});
    set_work(work);
  }
  void set_work(const Work& work) {
    current_work_ = work;
    manager_.set_work(now_, work.name, work);
  }
  // Returns all actions that are due at now_.
  std::vector<LeaseManagerAction> step() {
    std::vector<LeaseManagerAction> out;
    for (int i = 0; i < 10; ++i) {
      const auto more = manager_.step(now_);
      out.insert(out.end(), more.begin(), more.end());
    }
    return out;
  }
  template <typename Kind>
  static std::vector<Kind> actions_of(const std::vector<LeaseManagerAction>& actions) {
    std::vector<Kind> out;
    for (const LeaseManagerAction& action : actions) {
      if (const auto* found = std::get_if<Kind>(&action)) {
        out.push_back(*found);
      }
    }
    return out;
  }
  // Returns the lease call that is due at now_, which has to be the only one.
  LeaseCall lease_call() {
    const auto calls = actions_of<LeaseCallAction>(step());
    EXPECT_EQ(calls.size(), 1U);
    return calls.empty() ? LeaseCall{} : calls.front().call;
  }
  // Returns the write that is due at now_, which has to be the only one.
  WriteProgressAction next_write() {
    const auto writes = actions_of<WriteProgressAction>(step());
    EXPECT_EQ(writes.size(), 1U);
    return writes.empty() ? WriteProgressAction{} : writes.front();
  }
  void acquire(Term term, const StoredProgress& stored = {}) {
    const LeaseCall call = lease_call();
    EXPECT_EQ(call.kind, LeaseCallKind::kAcquire);
    AcquireResult acquired;
    acquired.term = term;
    acquired.stored = stored;
    manager_.on_acquire_result(now_, id_, call.call_id, acquired);
  }
  void confirm(const WriteProgressAction& write, coordination::Revision revision) {
    manager_.on_write_result(now_, id_, write.call_id,
                             ProgressWriteResult{true, true, StoredProgress{write.progress, revision}});
  }
  // Acquires the shard, records the start and starts the task.
  void run(Term term, const StoredProgress& stored = {}) {
    acquire(term, stored);
    confirm(next_write(), term + 1);
    const auto started = actions_of<StartTaskAction>(step());
    ASSERT_EQ(started.size(), 1U);
    EXPECT_EQ(started.front().term, term);
  }
  ShardStatus status() { return manager_.shards(now_).at(0); }

  LeaseManagerOptions options_;
  ShardId id_{"w", 0};
  Work current_work_;
  Micros now_{1'000'000};
  LeaseManager manager_{"a", "1", "edge", {"test"}, LeaseManagerOptions{}};
};

TEST_F(LeaseManagerTest, TaskStartsOnlyAfterItsStartIsRecorded) {
  acquire(7);
  EXPECT_FALSE(manager_.may_act(now_, id_, 7));
  const WriteProgressAction first = next_write();
  EXPECT_EQ(first.progress.starts, 1U);
  EXPECT_EQ(first.progress.term, 7U);
  EXPECT_TRUE(actions_of<StartTaskAction>(step()).empty());
  confirm(first, 8);
  const auto started = actions_of<StartTaskAction>(step());
  ASSERT_EQ(started.size(), 1U);
  EXPECT_TRUE(manager_.may_act(now_, id_, 7));
  EXPECT_FALSE(manager_.may_act(now_, id_, 6)) << "this router does not own the shard under term 6";
}

TEST_F(LeaseManagerTest, CandidateWaitsOneSlotForEachThatRanksBeforeIt) {
  MemberZones members;
  for (const char* name : {"a", "b", "c", "d", "e"}) {
    members[name] = "edge";
  }
  std::vector<std::string> names{"a", "b", "c", "d", "e"};
  // Some of the shards have another preferred owner.
  current_work_.shards = 20;
  set_work(current_work_);
  manager_.set_members(now_, members);
  for (const ShardStatus& shard : manager_.shards(now_)) {
    const std::size_t rank = candidate_rank("w", shard.id.shard, "a", names);
    LeaseManager other("a", "1", "edge", {"test"}, LeaseManagerOptions{});
    other.set_connected(now_, true);
    other.set_members(now_, members);
    other.set_work(now_, "w", current_work_);
    for (std::uint64_t i = 0; i < 20; ++i) {
      if (i != shard.id.shard) {
        other.on_owner(now_, ShardId{"w", i}, Owner{"b", "1", 3}, 3);
      }
    }
    if (rank > 0) {
      EXPECT_TRUE(actions_of<LeaseCallAction>(other.step(now_)).empty());
      EXPECT_EQ(other.next_step_at(now_), now_ + options_.candidate_slot * static_cast<int>(rank));
    }
    EXPECT_EQ(actions_of<LeaseCallAction>(other.step(now_ + options_.candidate_slot * static_cast<int>(rank)))
                  .size(),
              1U);
  }
}

TEST_F(LeaseManagerTest, ShardIsNotAcquiredWhileOwnedByAnotherOrTheStoreIsDisconnected) {
  manager_.on_owner(now_, id_, Owner{"b", "1", 5}, 5);
  EXPECT_TRUE(step().empty());
  manager_.on_owner(now_, id_, std::nullopt, 9);
  manager_.set_connected(now_, false);
  EXPECT_TRUE(step().empty());
  manager_.set_connected(now_, true);
  EXPECT_EQ(lease_call().kind, LeaseCallKind::kAcquire);
}

TEST_F(LeaseManagerTest, StartWithoutAResponseIsWrittenAgainUnchanged) {
  acquire(7);
  const WriteProgressAction first = next_write();
  manager_.on_no_write_response(now_, id_, first.call_id);
  EXPECT_TRUE(actions_of<WriteProgressAction>(step()).empty()) << "not before the backoff";
  now_ += options_.lease.retry_backoff;
  const auto again = actions_of<WriteProgressAction>(step());
  ASSERT_EQ(again.size(), 1U);
  EXPECT_EQ(again.front().progress, first.progress);
  EXPECT_EQ(again.front().modified, first.modified);
  // A late response to the first write is ignored.
  manager_.on_write_result(now_, id_, first.call_id,
                           ProgressWriteResult{true, true, StoredProgress{first.progress, 8}});
  EXPECT_TRUE(actions_of<StartTaskAction>(step()).empty());
  confirm(again.front(), 8);
  EXPECT_EQ(actions_of<StartTaskAction>(step()).size(), 1U);
}

TEST_F(LeaseManagerTest, UncertainLeaseAbortsTheTaskUntilItsRenewalIsConfirmed) {
  run(7);
  now_ += options_.lease.renew_after;
  const LeaseCall renewal = lease_call();
  EXPECT_EQ(renewal.kind, LeaseCallKind::kRenew);
  now_ += options_.lease.ttl;
  EXPECT_FALSE(manager_.may_act(now_, id_, 7));
  const auto stopped = actions_of<AbortTaskAction>(step());
  ASSERT_EQ(stopped.size(), 1U);
  EXPECT_EQ(status().lease_phase, LeasePhase::kUncertain);
  manager_.on_no_response(now_, id_, renewal.call_id);
  now_ += options_.lease.retry_backoff;
  const LeaseCall second = lease_call();
  manager_.on_renew_result(now_, id_, second.call_id, true);
  const auto started = actions_of<StartTaskAction>(step());
  ASSERT_EQ(started.size(), 1U) << "under the same term, from the last checkpoint";
  EXPECT_EQ(started.front().term, 7U);
  EXPECT_TRUE(actions_of<WriteProgressAction>(step()).empty()) << "the start is recorded already";
}

TEST_F(LeaseManagerTest, LostLeaseAbortsTheTaskAndItsCheckpointsAreIgnored) {
  run(7);
  now_ += options_.lease.renew_after;
  manager_.on_renew_result(now_, id_, lease_call().call_id, false);
  EXPECT_EQ(actions_of<AbortTaskAction>(step()).size(), 1U);
  EXPECT_FALSE(manager_.may_act(now_, id_, 7));
  manager_.on_checkpoint(now_, id_, 7, "late", false);
  EXPECT_TRUE(actions_of<WriteProgressAction>(step()).empty());
  EXPECT_EQ(manager_.counts().lost, 1U);
}

TEST_F(LeaseManagerTest, OwnerChangesBeforeTheOwnTermAreIgnored) {
  acquire(13);
  manager_.on_owner(now_, id_, Owner{"b", "1", 10}, 10);
  manager_.on_owner(now_, id_, std::nullopt, 12);
  EXPECT_EQ(actions_of<WriteProgressAction>(step()).size(), 1U) << "the router still owns the shard";
  manager_.on_owner(now_, id_, Owner{"a", "1", 13}, 13);
  manager_.on_owner(now_, id_, std::nullopt, 20);
  EXPECT_EQ(manager_.counts().lost, 1U);
  EXPECT_EQ(status().phase, ShardPhase::kUnassigned);
}

TEST_F(LeaseManagerTest, CheckpointIsWrittenUnderItsTermAndResetsTheStarts) {
  run(7);
  manager_.on_checkpoint(now_, id_, 7, "ten", false);
  manager_.on_checkpoint(now_, id_, 7, "eleven", false);
  const WriteProgressAction stored = next_write();
  EXPECT_EQ(stored.progress.checkpoint, "eleven") << "the newest checkpoint replaces the queued one";
  EXPECT_EQ(stored.progress.starts, 0U);
  EXPECT_EQ(stored.modified, 8U);
  confirm(stored, 9);
  EXPECT_EQ(manager_.counts().checkpoints, 1U);
}

TEST_F(LeaseManagerTest, WriteRejectedForAnotherOwnerEndsOwnership) {
  run(7);
  manager_.on_checkpoint(now_, id_, 7, "ten", false);
  const WriteProgressAction write = next_write();
  manager_.on_write_result(now_, id_, write.call_id, ProgressWriteResult{false, false, {}});
  EXPECT_EQ(actions_of<AbortTaskAction>(step()).size(), 1U);
  EXPECT_EQ(manager_.counts().rejected_writes, 1U);
  EXPECT_EQ(status().phase, ShardPhase::kUnassigned);
}

TEST_F(LeaseManagerTest, DrainWaitsForTheLastCheckpointThenReleasesTheLease) {
  run(7);
  manager_.drain(now_);
  EXPECT_EQ(actions_of<StopTaskAction>(step()).size(), 1U);
  EXPECT_TRUE(manager_.may_act(now_, id_, 7)) << "the task may finish its current step";
  manager_.on_checkpoint(now_, id_, 7, "end", false);
  manager_.on_task_finished(now_, id_, 7);
  const WriteProgressAction last = next_write();
  EXPECT_EQ(last.progress.checkpoint, "end");
  EXPECT_FALSE(manager_.drained());
  confirm(last, 9);
  const LeaseCall release = lease_call();
  EXPECT_EQ(release.kind, LeaseCallKind::kRelease);
  manager_.on_release_result(now_, id_, release.call_id);
  EXPECT_TRUE(manager_.drained());
  EXPECT_TRUE(step().empty()) << "a draining router acquires nothing";
}

TEST_F(LeaseManagerTest, TaskThatDoesNotFinishIsAbortedAtTheReleaseTimeout) {
  run(7);
  manager_.drain(now_);
  EXPECT_EQ(actions_of<StopTaskAction>(step()).size(), 1U);
  now_ += options_.release_timeout;
  const auto actions = step();
  EXPECT_EQ(actions_of<AbortTaskAction>(actions).size(), 1U);
  ASSERT_EQ(actions_of<LeaseCallAction>(actions).size(), 1U);
  EXPECT_EQ(actions_of<LeaseCallAction>(actions).front().call.kind, LeaseCallKind::kRelease);
  EXPECT_FALSE(manager_.may_act(now_, id_, 7));
}

TEST_F(LeaseManagerTest, TaskThatNeverStartedWithdrawsItsStart) {
  StoredProgress stored;
  stored.progress.starts = 1;
  stored.modified = 5;
  acquire(7, stored);
  const WriteProgressAction first = next_write();
  EXPECT_EQ(first.progress.starts, 2U);
  manager_.drain(now_);
  step();
  confirm(first, 8);
  const WriteProgressAction withdrawal = next_write();
  EXPECT_EQ(withdrawal.progress.starts, 1U);
}

TEST_F(LeaseManagerTest, WorkWhoseOwnersCrashIsDelayedAndThenParked) {
  StoredProgress stored;
  std::vector<Micros> delays;
  for (std::uint64_t start = 1; start <= options_.max_starts; ++start) {
    acquire(start * 10, stored);
    const WriteProgressAction write = next_write();
    EXPECT_EQ(write.progress.starts, start);
    EXPECT_FALSE(write.progress.parked);
    confirm(write, start * 10 + 1);
    const Micros from = now_;
    for (auto actions = step(); actions_of<StartTaskAction>(actions).empty(); actions = step()) {
      // The lease is renewed during the delay.
      for (const LeaseCallAction& call : actions_of<LeaseCallAction>(actions)) {
        manager_.on_renew_result(now_, id_, call.call.call_id, true);
      }
      now_ = *manager_.next_step_at(now_);
      ASSERT_LT(now_ - from, seconds(200));
    }
    delays.push_back(now_ - from);
    stored = StoredProgress{write.progress, start * 10 + 1};
    // The router crashes, and a new process acquires the shard.
    manager_ = LeaseManager("a", std::to_string(start), "edge", {"test"}, LeaseManagerOptions{});
    manager_.set_connected(now_, true);
    manager_.set_members(now_, {{"a", "edge"}});
    manager_.set_work(now_, "w", current_work_);
  }
  EXPECT_EQ(delays[0], Micros(0));
  EXPECT_GE(delays[1], options_.restart_backoff);
  EXPECT_GE(delays[2], 2 * options_.restart_backoff);
  acquire(100, stored);
  const WriteProgressAction parked = next_write();
  EXPECT_TRUE(parked.progress.parked);
  confirm(parked, 101);
  now_ += seconds(1);
  EXPECT_TRUE(actions_of<StartTaskAction>(step()).empty());
  EXPECT_EQ(status().phase, ShardPhase::kParked);
  // An operator resumes the work.
  current_work_.resumed = 1;
  set_work(current_work_);
  const WriteProgressAction again = next_write();
  EXPECT_EQ(again.progress.starts, 1U);
  EXPECT_FALSE(again.progress.parked);
  confirm(again, 103);
  EXPECT_EQ(actions_of<StartTaskAction>(step()).size(), 1U);
}

TEST_F(LeaseManagerTest, ParkedShardStaysParkedWhenAcquired) {
  StoredProgress stored;
  stored.progress.parked = true;
  stored.progress.starts = 3;
  stored.modified = 5;
  acquire(7, stored);
  EXPECT_TRUE(actions_of<WriteProgressAction>(step()).empty());
  EXPECT_EQ(status().phase, ShardPhase::kParked);
}

TEST_F(LeaseManagerTest, DoneShardIsNotStartedAgain) {
  run(7);
  manager_.on_checkpoint(now_, id_, 7, "all", true);
  const WriteProgressAction last = next_write();
  EXPECT_TRUE(last.progress.done);
  confirm(last, 9);
  EXPECT_EQ(actions_of<StopTaskAction>(step()).size(), 1U);
  manager_.on_task_finished(now_, id_, 7);
  const LeaseCall release = lease_call();
  EXPECT_EQ(release.kind, LeaseCallKind::kRelease);
  manager_.on_release_result(now_, id_, release.call_id);
  manager_.on_owner(now_, id_, std::nullopt, 11);
  now_ += seconds(60);
  EXPECT_TRUE(step().empty());
}

TEST_F(LeaseManagerTest, ShardIsReleasedToAPreferredOwnerAfterTheHandoverDelay) {
  run(7);
  MemberZones members{{"a", "edge"}};
  std::vector<std::string> names{"a"};
  for (int i = 0; preferred_owner("w", 0, names) == "a"; ++i) {
    members["b" + std::to_string(i)] = "edge";
    names.push_back("b" + std::to_string(i));
  }
  manager_.set_members(now_, members);
  EXPECT_TRUE(actions_of<StopTaskAction>(step()).empty());
  now_ += options_.lease.renew_after;
  manager_.on_renew_result(now_, id_, lease_call().call_id, true);
  // The preferred owner leaves and returns, which restarts the handover delay.
  manager_.set_members(now_, {{"a", "edge"}});
  step();
  manager_.set_members(now_, members);
  step();
  const Micros from = now_;
  while (now_ < from + options_.handover_delay) {
    for (const LeaseCallAction& call : actions_of<LeaseCallAction>(manager_.step(now_))) {
      manager_.on_renew_result(now_, id_, call.call.call_id, true);
    }
    EXPECT_NE(status().phase, ShardPhase::kReleasing);
    now_ = std::min(*manager_.next_step_at(now_), from + options_.handover_delay);
  }
  EXPECT_EQ(actions_of<StopTaskAction>(step()).size(), 1U);
}

TEST_F(LeaseManagerTest, RequestedReleaseIsFollowedByACooldown) {
  run(7);
  manager_.on_release_request(now_, id_, "b");
  EXPECT_TRUE(actions_of<StopTaskAction>(step()).empty()) << "the request names another router";
  manager_.on_release_request(now_, id_, "a");
  EXPECT_EQ(actions_of<StopTaskAction>(step()).size(), 1U);
  manager_.on_task_finished(now_, id_, 7);
  confirm(next_write(), 9);
  manager_.on_release_result(now_, id_, lease_call().call_id);
  manager_.on_owner(now_, id_, std::nullopt, 11);
  EXPECT_TRUE(actions_of<LeaseCallAction>(step()).empty());
  now_ += options_.cooldown;
  EXPECT_EQ(lease_call().kind, LeaseCallKind::kAcquire) << "no other router has acquired the shard";
}

TEST_F(LeaseManagerTest, PausedWorkIsReleasedAndNotAcquired) {
  run(7);
  current_work_.paused = true;
  set_work(current_work_);
  EXPECT_EQ(actions_of<StopTaskAction>(step()).size(), 1U);
  manager_.on_task_finished(now_, id_, 7);
  confirm(next_write(), 9);
  manager_.on_release_result(now_, id_, lease_call().call_id);
  manager_.on_owner(now_, id_, std::nullopt, 10);
  now_ += seconds(60);
  EXPECT_TRUE(step().empty());
  current_work_.paused = false;
  set_work(current_work_);
  EXPECT_EQ(lease_call().kind, LeaseCallKind::kAcquire);
}

TEST_F(LeaseManagerTest, SupersededRouterMayNotActAndStopsItsTasks) {
  run(7);
  manager_.set_superseded(now_, true);
  EXPECT_FALSE(manager_.may_act(now_, id_, 7)) << "at once, not at the next step";
  EXPECT_EQ(actions_of<StopTaskAction>(step()).size(), 1U);
}

TEST_F(LeaseManagerTest, DeletedWorkIsReleasedAndRemoved) {
  run(7);
  manager_.set_work(now_, "w", std::nullopt);
  EXPECT_EQ(actions_of<StopTaskAction>(step()).size(), 1U);
  manager_.on_task_finished(now_, id_, 7);
  confirm(next_write(), 9);
  manager_.on_release_result(now_, id_, lease_call().call_id);
  step();
  EXPECT_TRUE(manager_.shards(now_).empty());
}

TEST_F(LeaseManagerTest, WorkOfOtherZonesOrUnknownKindsIsNotAcquired) {
  Work other;
  other.name = "far";
  other.kind = "test";
  other.zone = "west";
  set_work(other);
  Work unknown;
  unknown.name = "new";
  unknown.kind = "of a later version";
  set_work(unknown);
  for (const LeaseCallAction& call : actions_of<LeaseCallAction>(step())) {
    EXPECT_EQ(call.id.work, "w");
  }
}

TEST(WorkRecordTest, MutatedRecordsAreReadAsValidOrRejected) {
  Work work;
  work.name = "fill.evening";
  work.kind = "fill";
  work.shards = 8;
  work.params = R"({"objects":["a"]})";
  const std::string valid = write_work(work);
  EXPECT_EQ(read_work("fleet/work/fill.evening", valid), work);
  std::mt19937_64 random(5);
  int rejected = 0;
  for (int round = 0; round < 3'000; ++round) {
    std::string text = valid;
    text[random() % text.size()] = "0123456789\"{}[]:,-x"[random() % 19];
    if (const auto read = read_work("fleet/work/fill.evening", text)) {
      EXPECT_NO_THROW(check_work(*read));
    } else {
      ++rejected;
    }
  }
  EXPECT_GT(rejected, 100);
  EXPECT_EQ(read_shard_key("own/a/12", "own/"), (ShardId{"a", 12}));
  for (const char* malformed :
       {"own/a", "own//1", "own/a/", "own/a/x", "own/a/123456", "progress/a/1", "own/a b/1"}) {
    EXPECT_FALSE(read_shard_key(malformed, "own/")) << malformed;
  }
}

}  // namespace
}  // namespace trailcourse::ownership
