// The coordinators of a simulated fleet. policy::RolloutCoordinator decides about policy rollouts, and
// policy::AcknowledgementCoordinator about acknowledged events. They read and write the records of the store
// at the same intervals as tasks::ReconcileTask.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "policy/acknowledgement_coordinator.h"
#include "policy/rollout_coordinator.h"
#include "scale/simulated_store.h"

namespace trailcourse::scale {

// A process that reads a snapshot of the store when a relevant key changes and periodically, and commits the
// transaction that decide() returns.
class SimulatedCoordinator : public SimulatedProcess {
 public:
  SimulatedCoordinator(Simulation& simulation, SimulatedStore& store, std::string name);

  // Called when a relevant key has changed in the store.
  void on_change() { read_soon(); }
  // Returns whether a change of the key can change the decision.
  virtual bool is_relevant(const std::string& key) const = 0;

 protected:
  struct Decision {
    std::optional<coordination::Transaction> write;
    std::function<void()> on_written;  // called when the store has committed `write`
    std::optional<Micros> read_at;     // time of the next read, by the clock of this process
  };

  void on_started() override;
  void step() override {}
  // Returns the transaction that reads a snapshot. Its last operation reads the reports.
  virtual coordination::Transaction snapshot_transaction() const = 0;
  virtual Decision decide(Micros now, const coordination::TransactionResult& snapshot) = 0;

  // Reads a snapshot as soon as the minimum interval between reads allows.
  void read_soon();
  // Reads a snapshot, decides and commits the decision.
  void reconcile();
  void read(std::function<void(const Reply&)> on_reply, std::function<void()> on_lost);
  void write(coordination::Transaction transaction, std::function<void(const Reply&)> on_reply,
             std::function<void()> on_lost);

 private:
  void on_snapshot(const Reply& reply);
  // Schedules the next read, in place of the one that was scheduled before.
  void read_after(Micros delay);

  SimulatedStore& store_;
  Micros last_read_at_{-1'000'000};  // by the clock of this process
  bool reading_ = false;
  bool read_again_ = false;  // a relevant key has changed during a read
  std::uint64_t timer_ = 0;  // number of the scheduled read; earlier ones are ignored
};

class SimulatedRolloutCoordinator : public SimulatedCoordinator {
 public:
  // Called for each step of a rollout, after the store has committed it.
  using StepCallback = std::function<void(const policy::RolloutStep&)>;

  SimulatedRolloutCoordinator(Simulation& simulation, SimulatedStore& store,
                              const policy::RolloutTimeouts& timeouts, StepCallback on_step);

  // Proposes a new version, as an operator does. Calls `on_begun` if its rollout has begun, and `on_refused`
  // if another rollout is open and this one is not urgent, or if a call to the store fails.
  void propose(bool urgent, const std::function<void(std::uint64_t version)>& on_begun,
               const std::function<void()>& on_refused);
  // Replaces the rollout coordinator by a new one without state, as after a restart.
  void replace();
  std::uint64_t last_version() const { return last_version_; }
  bool is_relevant(const std::string& key) const override;

 protected:
  void on_started() override;
  coordination::Transaction snapshot_transaction() const override { return policy::snapshot_transaction(""); }
  Decision decide(Micros now, const coordination::TransactionResult& snapshot) override;

 private:
  policy::RolloutTimeouts timeouts_;
  policy::RolloutCoordinator coordinator_;
  StepCallback on_step_;
  bool rollout_open_ = true;  // in the last snapshot; true before the first one
  std::uint64_t last_version_ = 0;
};

class SimulatedAcknowledgementCoordinator : public SimulatedCoordinator {
 public:
  // Called for each acknowledgement record, after the store has committed it.
  using RecordCallback = std::function<void(const policy::Acknowledgement&)>;

  SimulatedAcknowledgementCoordinator(Simulation& simulation, SimulatedStore& store,
                                      Micros min_round_interval, RecordCallback on_record);

  // Called when this process has received all events up to `position`.
  void on_events_applied(const policy::DiscoveryPosition& position);
  bool is_relevant(const std::string& key) const override;

 protected:
  coordination::Transaction snapshot_transaction() const override {
    return policy::acknowledgement_snapshot_transaction("");
  }
  Decision decide(Micros now, const coordination::TransactionResult& snapshot) override;

 private:
  policy::AcknowledgementCoordinator coordinator_;
  RecordCallback on_record_;
  policy::DiscoveryPosition position_;
  bool round_open_ = true;  // in the last snapshot; true before the first one
};

}  // namespace trailcourse::scale
