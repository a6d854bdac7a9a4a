// One router's part in the fleet's work, carried out: its session in the store, what it sees of the others,
// and the orders of its manager as calls and tasks. It decides nothing by itself; manager, view and lease do.
//
// Package `tasks`, over `coordination`, `membership` and `ownership`. One thread. No request ever waits for
// it.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "coordination/coordination_store.h"
#include "membership/membership_view.h"
#include "membership/peer_prober.h"
#include "ownership/lease_manager.h"
#include "tasks/options.h"
#include "tasks/owned_task.h"
#include "transport/alarm.h"
#include "transport/connection.h"
#include "transport/deferred.h"

namespace trailcourse::tasks {

class TaskRunner : public coordination::WatchObserver {
 public:
  struct Self {
    std::string name;
    std::string incarnation;
    std::string zone;
    std::string address;
    std::string version;
  };

  TaskRunner(transport::Scheduler& scheduler, coordination::CoordinationStore& store,
             const OwnershipOptions& options, std::string prefix, Self self);
  ~TaskRunner() override;

  // Before start().
  void add(const std::string& kind, OwnedTaskMaker maker) { makers_[kind] = std::move(maker); }
  // Keys under fleet/ that are neither members nor work; an empty value: gone.
  using KeyTaker = std::function<void(const std::string& key, const std::string& value)>;
  void tell_keys(const std::string& stem, KeyTaker taker) { takers_[stem] = std::move(taker); }
  void start();

  // Lets all work go and then leaves the fleet.
  void drain();
  bool drained() const;

  // The kinds that the policy in force allows.
  void allow(std::optional<std::set<std::string>> kinds);
  // A key that ends with this router's session; kept up over new sessions. An empty value takes it back.
  void keep(const std::string& key, const std::string& value);

  const membership::MembershipView& view() const { return view_; }
  const ownership::LeaseManager& manager() const { return lease_manager_; }
  bool heard() const { return heard_; }
  // One object of JSON, for the health check.
  std::string status() const;
  coordination::CoordinationStore& store() { return store_; }
  const std::string& prefix() const { return prefix_; }
  const Self& self() const { return self_; }
  const OwnershipOptions& options() const { return options_; }

  void on_snapshot(coordination::Revision revision, const std::vector<coordination::Entry>& entries) override;
  void on_changes(coordination::Revision revision,
                  const std::vector<coordination::KeyChange>& changes) override;
  void on_disconnected(const std::string& why) override;
  void heard_store();
  void on_heartbeat() override { heard_store(); }

 private:
  struct Running {
    std::unique_ptr<OwnedTask> task;
    ownership::Term term = 0;
  };

  static Micros now();
  void turn();
  void turn_soon() { next_turn_.post(); }
  void set_timer();
  void apply(const coordination::KeyChange& change);
  void told();
  void carry_out(const ownership::LeaseCallAction& ask);
  void carry_out(const ownership::WriteProgressAction& write);
  void carry_out(const ownership::StartTaskAction& begin);
  void carry_out(const ownership::StopTaskAction& finish);
  void carry_out(const ownership::AbortTaskAction& abandon);
  void acquire(const ownership::ShardId& id, std::uint64_t number);
  void own(const ownership::ShardId& id, std::uint64_t number, coordination::LeaseId lease);
  void give_up(coordination::LeaseId lease);
  TaskContext context(const ownership::StartTaskAction& begin, const ownership::Work& work);
  void drop(const ownership::ShardId& id, ownership::Term term);

  void step_session();
  void join(std::uint64_t number);
  std::string member_value() const;
  void put_kept(const std::string& key);

  transport::Task<void> try_peers();
  class Knock;

  transport::Scheduler& scheduler_;
  coordination::CoordinationStore& store_;
  OwnershipOptions options_;
  std::string prefix_;
  Self self_;
  membership::MembershipView view_;
  membership::PeerProber peers_;
  ownership::LeaseManager lease_manager_;
  ownership::Lease session_;
  coordination::LeaseId session_lease_ = 0;
  std::map<ownership::ShardId, coordination::LeaseId> leases_;
  std::map<ownership::ShardId, Running> running_;
  std::map<std::string, ownership::Work> works_;
  std::map<std::string, OwnedTaskMaker> makers_;
  std::map<std::string, KeyTaker> takers_;
  std::map<std::string, std::string> kept_;
  std::map<std::string, bool> kept_out_;  // keys being written; true: changed meanwhile
  std::set<std::string> known_;           // keys under fleet/
  std::map<std::string, int> doubts_told_;
  coordination::CoordinationStore::WatchId watch_ = 0;
  transport::Alarm timer_;
  transport::Deferred next_turn_;
  bool heard_ = false;
  bool draining_ = false;
  bool turning_ = false;
  std::uint64_t view_told_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace trailcourse::tasks
