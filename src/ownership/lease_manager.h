// One router's part in all owned work: which shards it tries to acquire and when, which calls to the store
// are needed, when a task starts and stops, and whether an effect may begin now. The lease of each shard
// (lease.h) limits for how long; the manager decides whether at all.
//
// | phase           | what holds                                           | followed by                   |
// | --------------- | ---------------------------------------------------- | ----------------------------- |
// | unassigned      | this router does not own the shard                   | acquiring, in its slot        |
// | acquiring       | the call is in flight                                | recording start or unassigned |
// | recording start | owned; the start of the task is being written        | delayed or parked             |
// | delayed         | the start is written; the task waits for its backoff | running                       |
// | running         | the task runs                                        | releasing                     |
// | parked          | too many starts in a row failed; staff resume it     | recording start or releasing  |
// | releasing       | waits for the last checkpoint, then for the release  | unassigned                    |
//
// Each phase of an owned shard is followed by unassigned where the lease is lost, and by releasing where the
// router drains, staff pause or move the work, or another member is preferred for some time.
//
// A start is written to the store before the task begins, under the term of the owner, and is taken back by
// the first checkpoint. Work whose owners crash is therefore started by fewer routers, with growing
// backoff, and is then parked for staff: a poisoned piece of work takes down `max_starts` routers, and not
// one after the other.
//
// Implementation: lease_manager.cpp (inputs and steps), shard_acquisition.cpp (candidate order and
// acquiring), shard_progress.cpp (starts and checkpoints), shard_release.cpp (handing over, releasing and
// losing).
//
// Library `ownership`: no I/O and no clock; times are Micros of the caller's steady clock. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "ownership/lease.h"
#include "ownership/lease_manager_types.h"
#include "ownership/progress_writer.h"
#include "ownership/work_records.h"

namespace trailcourse::ownership {

class LeaseManager {
 public:
  // `member`, `incarnation` and `zone` are those of this router; `kinds` are the kinds of work that it can
  // do.
  LeaseManager(std::string member, std::string incarnation, std::string zone, std::set<std::string> kinds,
               const LeaseManagerOptions& options);

  // Sets the members that may be given work, each with its zone.
  void set_members(Micros now, MemberZones zones);

  // A work definition was written, or deleted where `work` is empty.
  void set_work(Micros now, const std::string& name, std::optional<Work> work);

  // The owner of a shard changed at `revision`; empty: it has none.
  void on_owner(Micros now, const ShardId& id, std::optional<Owner> owner, coordination::Revision revision);

  void on_done(Micros now, const ShardId& id, bool done);

  // Staff request that `member` release the shard; empty: the request was withdrawn.
  void on_release_request(Micros now, const ShardId& id, const std::string& member);

  // Sets whether a later process has this router's name. A superseded router does no owned work.
  void set_superseded(Micros now, bool superseded);

  // Sets the kinds that may be owned by the policy in force; shards of other kinds are released. Empty: all.
  void set_allowed_kinds(Micros now, std::optional<std::set<std::string>> kinds);

  // Sets whether changes of the store arrive. Nothing is acquired while they do not.
  void set_connected(Micros now, bool connected);

  // Releases all shards; none is acquired any more.
  void drain(Micros now);
  bool drained() const;

  // Results of lease calls. Exactly one of them, or on_no_response(), follows each LeaseCallAction.
  void on_acquire_result(Micros now, const ShardId& id, std::uint64_t call_id, const AcquireResult& result);
  void on_renew_result(Micros now, const ShardId& id, std::uint64_t call_id, bool alive);
  void on_release_result(Micros now, const ShardId& id, std::uint64_t call_id);
  void on_no_response(Micros now, const ShardId& id, std::uint64_t call_id);

  // Results of WriteProgressAction.
  void on_write_result(Micros now, const ShardId& id, std::uint64_t call_id,
                       const ProgressWriteResult& result);
  void on_no_write_response(Micros now, const ShardId& id, std::uint64_t call_id);

  // The task reports a checkpoint. It is written as soon as the write before is confirmed; a newer one
  // replaces one that still waits. `done`: nothing is left to do.
  void on_checkpoint(Micros now, const ShardId& id, Term term, std::string checkpoint, bool done);

  // The task has come to its end after StopTaskAction; its last checkpoint was reported before.
  void on_task_finished(Micros now, const ShardId& id, Term term);

  // Returns whether an effect under this term may begin now. It has to be called before each effect.
  bool may_act(Micros now, const ShardId& id, Term term) const;

  // Returns what is to be done now, in order.
  std::vector<LeaseManagerAction> step(Micros now);

  // Returns when step() may next return something by time alone.
  std::optional<Micros> next_step_at(Micros now) const;

  std::vector<ShardStatus> shards(Micros now) const;
  const LeaseManagerCounts& counts() const { return counts_; }

 private:
  struct Shard {
    explicit Shard(const LeaseOptions& options) : lease(options) {}

    Lease lease;
    ShardPhase phase = ShardPhase::kUnassigned;
    Term term = 0;  // under which it is owned; 0: it is not
    ProgressWriter progress;
    Micros vacant_since{0};
    Micros acquire_not_before{0};
    Micros start_at{0};
    bool task_started = false;
    bool task_finished = false;  // by itself, after it was asked to stop
    std::optional<Micros> releasing_since;
    std::optional<Micros> preferred_elsewhere_since;  // since when another member should own it
  };

  Shard* find(const ShardId& id);
  const Work* active_work(const ShardId& id) const;
  std::vector<std::string> candidates(const Work& work) const;

  // Acquiring.
  bool may_acquire(const ShardId& id, const Shard& shard, const Work& work) const;
  std::optional<Micros> acquire_at(const ShardId& id, const Shard& shard) const;
  std::size_t reserved_shards() const;

  // Starts and checkpoints.
  void record_start(Micros now, const Work& work, Shard& shard);
  void on_start_written(Micros now, Shard& shard, const Progress& written);
  void on_checkpoint_written(Shard& shard, const Progress& written);
  void withdraw_start(Shard& shard);
  Micros restart_backoff(std::uint64_t starts) const;

  // Releasing.
  void lose(Micros now, const ShardId& id, Shard& shard);
  void begin_release(Micros now, const ShardId& id, Shard& shard);
  void abort_task(const ShardId& id, Shard& shard);
  bool take_release_request(const ShardId& id);
  bool is_unwanted(const ShardId& id, const Work* work) const;
  void check_assignment(Micros now, const ShardId& id, Shard& shard, const Work* work);

  // Steps.
  void step_shard(Micros now, const ShardId& id, Shard& shard);
  void step_lease(Micros now, const ShardId& id, Shard& shard);
  void step_owned(Micros now, const ShardId& id, Shard& shard);
  void step_phase(Micros now, const ShardId& id, Shard& shard, const Work* work);
  void step_uncertain(Micros now, const ShardId& id, Shard& shard);
  void step_delayed(Micros now, const ShardId& id, Shard& shard);
  void step_releasing(Micros now, const ShardId& id, Shard& shard);
  std::optional<Micros> next_lease_step_at(Micros now, const ShardId& id, const Shard& shard) const;
  std::optional<Micros> next_owned_step_at(Micros now, const Shard& shard) const;

  std::string member_;
  std::string incarnation_;
  std::string zone_;
  std::set<std::string> kinds_;
  std::optional<std::set<std::string>> allowed_kinds_;
  LeaseManagerOptions options_;
  MemberZones member_zones_;
  std::map<std::string, Work> works_;
  std::map<ShardId, Shard> shards_;
  std::map<ShardId, Owner> owners_;  // as reported, also of work whose definition has not arrived yet
  std::set<ShardId> done_;
  std::map<ShardId, std::string> release_requests_;
  std::vector<LeaseManagerAction> actions_;
  bool superseded_ = false;
  bool connected_ = false;
  bool draining_ = false;
  LeaseManagerCounts counts_;
};

}  // namespace trailcourse::ownership
