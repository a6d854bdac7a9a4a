#include "tasks/acknowledgement_task.h"

#include <utility>

namespace trailcourse::tasks {

using coordination::Range;

AcknowledgementTask::AcknowledgementTask(transport::Scheduler& scheduler,
                                         coordination::CoordinationStore& store, std::string prefix,
                                         DiscoveryProgress& progress, Micros min_round_interval,
                                         TaskContext context)
    : ReconcileTask(scheduler, store, std::move(prefix), std::move(context)),
      progress_(progress),
      subscription_(
          progress.subscribe([this](const policy::DiscoveryPosition& position) { on_progress(position); })),
      coordinator_(min_round_interval) {}

AcknowledgementTask::~AcknowledgementTask() { progress_.unsubscribe(subscription_); }

// Does nothing while a round of the same source is open, since its end causes a reconciliation anyway.
void AcknowledgementTask::on_progress(const policy::DiscoveryPosition& position) {
  if (!round_open_ || position.source != requested_.source) {
    schedule_reconcile();
  }
}

coordination::Transaction AcknowledgementTask::snapshot_transaction() const {
  return policy::acknowledgement_snapshot_transaction(prefix());
}

std::vector<Range> AcknowledgementTask::watched_ranges() const {
  return {Range{prefix() + policy::kReportPrefix, true}, Range{prefix() + policy::kAcknowledgedKey, false}};
}

bool AcknowledgementTask::is_relevant(const std::string& key) const {
  return round_open_ || key == policy::kAcknowledgedKey;
}

ReconcileTask::Decision AcknowledgementTask::decide(Micros now,
                                                    const coordination::TransactionResult& outcome) {
  const policy::AcknowledgementSnapshot snapshot = policy::read_acknowledgement_snapshot(prefix(), outcome);
  round_open_ = snapshot.record.round > 0 && snapshot.record.completed != snapshot.record.requested;
  requested_ = snapshot.record.requested;
  Decision decision;
  if (const auto next = coordinator_.step(now, snapshot, progress_.position())) {
    decision.write = policy::write_acknowledgement_transaction(prefix(), snapshot, *next);
  }
  decision.next_step_at = coordinator_.next_step_at();
  return decision;
}

}  // namespace trailcourse::tasks
