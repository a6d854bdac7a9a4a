// A process's part in the owned work of the fleet: keeps its session at the store, passes the fleet's records
// to the lease manager and the membership view, and executes the actions of the lease manager as calls and
// tasks. All decisions are made by the lease manager, the membership view and the leases.
//
// Library `tasks`, over `coordination`, `membership` and `ownership`. Not thread-safe: it belongs to its
// scheduler's thread. No request waits for the runner.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/coordination_store.h"
#include "membership/membership_view.h"
#include "ownership/lease_manager.h"
#include "tasks/fleet_session.h"
#include "tasks/options.h"
#include "tasks/owned_task.h"
#include "tasks/peer_health_checks.h"
#include "tasks/step_loop.h"
#include "tasks/task_host.h"

namespace trailcourse::tasks {

// Scheduler and store have to outlive this object.
class TaskRunner : public coordination::WatchObserver {
 public:
  TaskRunner(transport::Scheduler& scheduler, coordination::CoordinationStore& store,
             const OwnershipOptions& options, std::string prefix, MemberIdentity identity);
  ~TaskRunner() override;

  // Registers the factory of the tasks of one kind of work. Has to be called before start().
  void register_kind(const std::string& kind, OwnedTaskFactory factory);

  // Receives changes of keys under fleet/ that are neither work nor records of its shards. An empty value
  // means that the key was deleted.
  using KeyObserver = std::function<void(const std::string& key, const std::string& value)>;

  // Observes the keys that begin with `key_prefix`. Has to be called before start().
  void observe_keys(const std::string& key_prefix, KeyObserver observer);

  // Starts the session, the watch of the fleet's records, and the health checks of peers.
  void start();

  // Releases all work, and then leaves the fleet.
  void drain();
  // Returns whether all work is released and the session has ended.
  bool drained() const;

  // Sets the kinds of work that the policy in force allows. An empty optional allows all kinds.
  void set_allowed_kinds(std::optional<std::set<std::string>> kinds);

  // Sets a key that is deleted when this process's session ends, and written again in a new session. An empty
  // value deletes the key.
  void set_session_key(const std::string& key, const std::string& value) { session_.set_key(key, value); }

  // Returns the status as a JSON object, for the health page.
  std::string status() const;

  const MemberIdentity& identity() const { return session_.identity(); }

  // WatchObserver, for all keys under fleet/.
  void on_snapshot(coordination::Revision revision, const std::vector<coordination::Entry>& entries) override;
  void on_changes(coordination::Revision revision,
                  const std::vector<coordination::KeyChange>& changes) override;
  void on_disconnected(const std::string& reason) override;
  void on_heartbeat() override { on_connected(); }

 private:
  void on_connected();
  void apply(const coordination::KeyChange& change);
  bool apply_shard_record(const std::string& key, const coordination::KeyChange& change);
  void apply_work(const std::string& key, const coordination::KeyChange& change);
  void notify_observers(const std::string& key, const std::string& value);
  void update_members();

  std::optional<Micros> run_step();
  std::optional<Micros> next_step_at(Micros now) const;
  void execute(const ownership::LeaseManagerAction& action);
  void execute_lease_call(const ownership::LeaseCallAction& action);
  bool on_acquire_result(const ownership::ShardId& id, std::uint64_t call_id, coordination::LeaseId lease,
                         const coordination::TransactionResult& outcome);
  void write_progress(const ownership::WriteProgressAction& action);

  coordination::CoordinationStore& store_;
  OwnershipOptions options_;
  std::string prefix_;
  StepLoop loop_;
  membership::MembershipView view_;
  FleetSession session_;
  PeerHealthChecks peer_checks_;
  ownership::LeaseManager lease_manager_;
  TaskHost task_host_;
  std::map<ownership::ShardId, coordination::LeaseId> shard_leases_;
  std::map<std::string, KeyObserver> observers_;  // by prefix of the keys
  std::set<std::string> observed_keys_;           // all under fleet/, with the store's prefix
  coordination::CoordinationStore::WatchId watch_ = 0;
  bool connected_ = false;
  bool draining_ = false;
  std::uint64_t last_view_revision_ = 0;  // of the view as of the last update_members()
};

}  // namespace trailcourse::tasks
