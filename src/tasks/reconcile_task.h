// Owned work that moves a record of the store from state to state: reads a snapshot, decides on the next
// state, and writes it if the store is unchanged since the snapshot and this process still owns the work. All
// state is in the store, so that a successor continues from there.
//
// Library `tasks`. Not thread-safe: it belongs to its scheduler's thread.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/coordination_store.h"
#include "tasks/owned_task.h"
#include "transport/timer.h"

namespace trailcourse::tasks {

// Scheduler and store have to outlive this object.
class ReconcileTask : public OwnedTask, public coordination::WatchObserver {
 public:
  ReconcileTask(transport::Scheduler& scheduler, coordination::CoordinationStore& store, std::string prefix,
                TaskContext context);
  ~ReconcileTask() override;

  void start() override;
  void stop() override;

  // WatchObserver: receives the changes in watched_ranges().
  void on_snapshot(coordination::Revision, const std::vector<coordination::Entry>&) override {
    schedule_reconcile();
  }
  void on_changes(coordination::Revision, const std::vector<coordination::KeyChange>& changes) override;
  void on_disconnected(const std::string&) override {}

 protected:
  struct Decision {
    std::optional<coordination::Transaction> write;
    std::string log_text;                // log line on the write; empty: none
    std::optional<Micros> next_step_at;  // steady time at which the decision may change without other events
  };

  // Returns the transaction that reads the snapshot.
  virtual coordination::Transaction snapshot_transaction() const = 0;

  // Returns the ranges to watch. Relevant changes in them cause a new snapshot.
  virtual std::vector<coordination::Range> watched_ranges() const = 0;

  // Returns whether a change of the key (without the store's prefix) may change the decision.
  virtual bool is_relevant(const std::string& key) const = 0;

  // Decides on the outcome of snapshot_transaction().
  virtual Decision decide(Micros now, const coordination::TransactionResult& snapshot) = 0;

  // Reconciles now, or as soon as the minimum interval between two snapshots has passed.
  void schedule_reconcile();

  const std::string& prefix() const { return prefix_; }

 private:
  void reconcile();
  void handle_snapshot(const coordination::TransactionResult& snapshot);
  void write(coordination::Transaction transaction);
  void reconcile_in(Micros time);

  coordination::CoordinationStore& store_;
  std::string prefix_;
  TaskContext context_;
  transport::Timer timer_;
  std::vector<coordination::CoordinationStore::WatchId> watches_;
  transport::Clock::time_point last_snapshot_at_;
  bool snapshot_in_flight_ = false;
  bool reconcile_again_ = false;  // after the snapshot in flight
  bool stopping_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace trailcourse::tasks
