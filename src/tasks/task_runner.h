// A process's part in the work that one member of the fleet does for all: its session at the store, what the
// store shows of the fleet, and the actions of its lease manager as calls and tasks. It decides nothing
// itself: lease manager, membership view and leases do.
//
// Package `tasks`, over `coordination`, `membership` and `ownership`. One thread. No request waits for it.
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

// Scheduler and store outlive it.
class TaskRunner : public coordination::WatchObserver {
 public:
  TaskRunner(transport::Scheduler& scheduler, coordination::CoordinationStore& store,
             const OwnershipOptions& options, std::string prefix, MemberIdentity identity);
  ~TaskRunner() override;

  // Names the factory of the tasks of one kind of work. To be called before start().
  void register_kind(const std::string& kind, OwnedTaskFactory factory);

  // Is called with keys under fleet/ that are neither members nor work; an empty value: the key is gone.
  using KeyObserver = std::function<void(const std::string& key, const std::string& value)>;

  // Observes the keys that begin with `key_prefix`. To be called before start().
  void observe_keys(const std::string& key_prefix, KeyObserver observer);

  void start();

  // Releases all work, and then leaves the fleet.
  void drain();
  bool drained() const;

  // The kinds of work that the policy in force allows; nothing: all.
  void set_allowed_kinds(std::optional<std::set<std::string>> kinds);

  // Keeps a key that ends with this process's session, across new sessions. An empty value deletes it.
  void set_session_key(const std::string& key, const std::string& value) { session_.set_key(key, value); }

  // Returns one object of JSON, for the health page.
  std::string status() const;

  const MemberIdentity& identity() const { return session_.identity(); }

  // The watch over all keys under fleet/.
  void on_snapshot(coordination::Revision revision, const std::vector<coordination::Entry>& entries) override;
  void on_changes(coordination::Revision revision,
                  const std::vector<coordination::KeyChange>& changes) override;
  void on_disconnected(const std::string& why) override;
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
  std::uint64_t last_view_version_ = 0;  // of the view that the lease manager was given
};

}  // namespace trailcourse::tasks
