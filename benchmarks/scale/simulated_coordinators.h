// The coordinators of a simulated fleet, which read and write records of the store as tasks::ReconcileTask
// does: policy rollouts by policy::RolloutCoordinator, acknowledged events by
// policy::AcknowledgementCoordinator.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "policy/acknowledgement_coordinator.h"
#include "policy/rollout_coordinator.h"
#include "scale/simulated_store.h"

namespace trailcourse::scale {

// A process that reads a snapshot of the store when a relevant key changes, and writes what its coordinator
// decides.
class SimulatedCoordinator : public SimulatedProcess {
 public:
  SimulatedCoordinator(Simulation& simulation, SimulatedStore& store, std::string name);

  // A relevant key has changed in the store.
  void on_change() { read_soon(); }
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
  // Reads a snapshot and executes the decision.
  void reconcile();
  void read(std::function<void(const Reply&)> on_reply, std::function<void()> on_lost);
  void write(coordination::Transaction transaction, std::function<void(const Reply&)> on_reply,
             std::function<void()> on_lost);

 private:
  void on_snapshot(const Reply& reply);
  // Schedules the next read. Replaces the one scheduled before.
  void read_after(Micros delay);

  SimulatedStore& store_;
  Micros last_read_at_{-1'000'000};  // by the clock of this process
  bool reading_ = false;
  bool read_again_ = false;  // a relevant key has changed during a read
  std::uint64_t timer_ = 0;
};

class SimulatedRolloutCoordinator : public SimulatedCoordinator {
 public:
  // Called for each step of a rollout that the store has committed.
  using StepCallback = std::function<void(const policy::RolloutStep&)>;

  SimulatedRolloutCoordinator(Simulation& simulation, SimulatedStore& store,
                              const policy::RolloutTimeouts& timeouts, StepCallback on_step);

  // Proposes a new version, as an operator does. Calls `on_refused` if a rollout is open and this one is not
  // urgent, or if the store did not answer.
  void propose(bool urgent, const std::function<void(std::uint64_t version)>& on_begun,
               const std::function<void()>& on_refused);
  // Replaces the coordinator by a new one, which knows only the records of the store.
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
  // Called for each acknowledgement record that the store has committed.
  using RecordCallback = std::function<void(const policy::Acknowledgement&)>;

  SimulatedAcknowledgementCoordinator(Simulation& simulation, SimulatedStore& store,
                                      Micros min_round_interval, RecordCallback on_record);

  // This process has received all events up to `position`.
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
