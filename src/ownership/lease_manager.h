// Ownership of shards at one router. The lease manager decides which shards the router tries to acquire and
// when, which calls to the store are due, when tasks start and stop, and whether an effect may begin now. The
// lease of each shard (lease.h) limits for how long effects may begin.
//
// | phase           | state                                                | next phase                    |
// | --------------- | ---------------------------------------------------- | ----------------------------- |
// | unassigned      | this router does not own the shard                   | acquiring, in its time slot   |
// | acquiring       | the lease call is in flight                          | recording start or unassigned |
// | recording start | owned; the start of the task is being written        | delayed or parked             |
// | delayed         | the start is written; the task waits for its backoff | running                       |
// | running         | the task runs                                        | releasing                     |
// | parked          | too many starts failed; waits for an operator        | recording start or releasing  |
// | releasing       | waits for the last checkpoint, then for the release  | unassigned                    |
//
// If the lease is lost, each phase of an owned shard is followed by unassigned. It is followed by releasing
// if the router drains, an operator pauses or moves the work, or another member is preferred for
// `handover_delay`.
//
// A start is written to the store before the task begins, under the term of the owner, and the first
// checkpoint resets the number of starts. Work whose owners crash is started again with growing backoff, and
// parked after `max_starts` starts, until an operator resumes it. So work that crashes its owner does not
// crash all routers one after the other.
//
// Implementation: lease_manager.cpp (inputs and steps), shard_acquisition.cpp (candidate order and
// acquisition), shard_progress.cpp (starts and checkpoints), shard_release.cpp (handover, release and loss).
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

// State machine of all shards at one router. step() returns the actions to execute, in order; their results
// are passed to the on_...() functions.
class LeaseManager {
 public:
  // `member`, `incarnation` and `zone` identify this router; `kinds` are the kinds of work that it can
  // execute.
  LeaseManager(std::string member, std::string incarnation, std::string zone, std::set<std::string> kinds,
               const LeaseManagerOptions& options);

  // Sets the members that may own work, each with its zone.
  void set_members(Micros now, MemberZones zones);

  // Sets the definition of the work with this name. `work` is empty if the definition was deleted.
  void set_work(Micros now, const std::string& name, std::optional<Work> work);

  // The owner of a shard changed at `revision`. `owner` is empty if the shard has no owner now.
  void on_owner(Micros now, const ShardId& id, std::optional<Owner> owner, coordination::Revision revision);

  // The shard was marked as done, or the mark was deleted.
  void on_done(Micros now, const ShardId& id, bool done);

  // An operator requested that `member` release the shard. `member` is empty if the request was deleted.
  void on_release_request(Micros now, const ShardId& id, const std::string& member);

  // Sets whether a process that started later has this router's name. A superseded router may not act and
  // releases all shards.
  void set_superseded(Micros now, bool superseded);

  // Sets the kinds that the effective policy allows; shards of other kinds are released. If `kinds` is empty
  // (std::nullopt), all kinds are allowed.
  void set_allowed_kinds(Micros now, std::optional<std::set<std::string>> kinds);

  // Sets whether the watch of the store is connected. No shard is acquired while it is not.
  void set_connected(Micros now, bool connected);

  // Releases all shards and stops acquiring.
  void drain(Micros now);
  // Returns whether this router owns no shard and tries to acquire none.
  bool drained() const;

  // Results of lease calls. Exactly one of these functions has to be called for each LeaseCallAction.
  void on_acquire_result(Micros now, const ShardId& id, std::uint64_t call_id, const AcquireResult& result);
  void on_renew_result(Micros now, const ShardId& id, std::uint64_t call_id, bool alive);
  void on_release_result(Micros now, const ShardId& id, std::uint64_t call_id);
  void on_no_response(Micros now, const ShardId& id, std::uint64_t call_id);

  // Results of writes. Exactly one of these functions has to be called for each WriteProgressAction.
  void on_write_result(Micros now, const ShardId& id, std::uint64_t call_id,
                       const ProgressWriteResult& result);
  void on_no_write_response(Micros now, const ShardId& id, std::uint64_t call_id);

  // The task reports a checkpoint. It is written when the previous write is confirmed; a newer checkpoint
  // replaces one that is queued. `done`: the entire shard is done.
  void on_checkpoint(Micros now, const ShardId& id, Term term, std::string checkpoint, bool done);

  // The task ended after StopTaskAction. It has reported its last checkpoint before.
  void on_task_finished(Micros now, const ShardId& id, Term term);

  // Returns whether an effect under this term may begin now. Has to be called before each effect.
  bool may_act(Micros now, const ShardId& id, Term term) const;

  // Returns the actions to execute now, in order.
  std::vector<LeaseManagerAction> step(Micros now);

  // Returns when step() has to be called next if no input arrives earlier, or nothing if only an input can
  // cause a step.
  std::optional<Micros> next_step_at(Micros now) const;

  // Returns the status of all known shards of the kinds that this router can execute.
  std::vector<ShardStatus> shards(Micros now) const;
  const LeaseManagerCounts& counts() const { return counts_; }

 private:
  struct Shard {
    explicit Shard(const LeaseOptions& options) : lease(options) {}

    Lease lease;
    ShardPhase phase = ShardPhase::kUnassigned;
    Term term = 0;  // term of this router's ownership; 0: it does not own the shard
    ProgressWriter progress;
    Micros unowned_since{0};
    Micros acquire_not_before{0};
    Micros start_at{0};
    bool task_started = false;
    bool task_finished = false;  // ended after StopTaskAction, not aborted
    std::optional<Micros> releasing_since;
    std::optional<Micros> preferred_elsewhere_since;  // since another member became the preferred owner
  };

  Shard* find(const ShardId& id);
  const Work* active_work(const ShardId& id) const;
  std::vector<std::string> candidates(const Work& work) const;

  // Acquisition.
  bool may_acquire(const ShardId& id, const Shard& shard, const Work& work) const;
  std::optional<Micros> acquire_at(const ShardId& id, const Shard& shard) const;
  std::size_t reserved_shards() const;

  // Starts and checkpoints.
  void record_start(Micros now, const Work& work, Shard& shard);
  void on_start_written(Micros now, Shard& shard, const Progress& written);
  void on_checkpoint_written(Shard& shard, const Progress& written);
  void withdraw_start(Shard& shard);
  Micros restart_backoff(std::uint64_t starts) const;

  // Release.
  void end_ownership(Micros now, const ShardId& id, Shard& shard);
  void begin_release(Micros now, const ShardId& id, Shard& shard);
  void abort_task(const ShardId& id, Shard& shard);
  bool consume_release_request(const ShardId& id);
  bool must_release(const ShardId& id, const Work* work) const;
  void check_assignment(Micros now, const ShardId& id, Shard& shard, const Work* work);

  // The parts of step(), and when each has to run next.
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
  std::map<ShardId, Owner> owners_;  // as reported, even for work whose definition has not arrived yet
  std::set<ShardId> done_;
  std::map<ShardId, std::string> release_requests_;
  std::vector<LeaseManagerAction> actions_;
  bool superseded_ = false;
  bool connected_ = false;
  bool draining_ = false;
  LeaseManagerCounts counts_;
};

}  // namespace trailcourse::ownership
