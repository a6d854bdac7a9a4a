// Owned work of kind `acknowledge`: runs the acknowledgement rounds, which determine the events of the
// discovery service that every router has applied, with policy::AcknowledgementCoordinator. Each round
// requests the events that this process has applied itself.
//
// Library `tasks`, over `policy`. Not thread-safe: it belongs to its scheduler's thread.
#pragma once

#include <string>
#include <vector>

#include "policy/acknowledgement_coordinator.h"
#include "tasks/discovery_progress.h"
#include "tasks/reconcile_task.h"

namespace trailcourse::tasks {

constexpr const char* kAcknowledgeWork = "acknowledge";  // kind of the work

// Scheduler, store and progress have to outlive this object.
class AcknowledgementTask : public ReconcileTask {
 public:
  // `min_round_interval` is the shortest time between the starts of two rounds.
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
  // State of the last snapshot.
  bool round_open_ = true;  // true also before the first snapshot
  policy::DiscoveryPosition requested_;
};

}  // namespace trailcourse::tasks
