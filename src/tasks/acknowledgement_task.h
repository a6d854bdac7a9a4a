// Owned work of kind `acknowledge`: finds out which events of the discovery service every router has applied,
// by policy::AcknowledgementCoordinator. Each round asks for the events that this process has applied itself.
//
// Package `tasks`, over `policy`. One thread.
#pragma once

#include <string>
#include <vector>

#include "policy/acknowledgement_coordinator.h"
#include "tasks/discovery_progress.h"
#include "tasks/reconcile_task.h"

namespace trailcourse::tasks {

constexpr const char* kAcknowledgeWork = "acknowledge";  // kind of the work

// Scheduler, store and progress outlive it.
class AcknowledgementTask : public ReconcileTask {
 public:
  // `min_round_interval` lies between the starts of two rounds.
  AcknowledgementTask(transport::Scheduler& scheduler, coordination::CoordinationStore& store,
                      std::string prefix, DiscoveryProgress& progress, Micros min_round_interval,
                      TaskContext context);
  ~AcknowledgementTask() override;

 protected:
  coordination::Transaction snapshot_transaction() const override;
  std::vector<coordination::Range> watched_ranges() const override;
  bool is_relevant(const std::string& key) const override;
  Decision decide(Micros now, const coordination::TransactionResult& outcome) override;

 private:
  void on_progress(const policy::DiscoveryPosition& position);

  DiscoveryProgress& progress_;
  DiscoveryProgress::SubscriptionId subscription_;
  policy::AcknowledgementCoordinator coordinator_;
  // Of the last snapshot.
  bool round_open_ = true;  // also before the first one
  policy::DiscoveryPosition requested_;
};

}  // namespace trailcourse::tasks
