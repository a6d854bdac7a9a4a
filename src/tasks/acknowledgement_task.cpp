#include "tasks/acknowledgement_task.h"

#include <utility>

namespace trailcourse::tasks {

using coordination::Range;

AcknowledgementTask::AcknowledgementTask(transport::Scheduler& scheduler, coordination::SharedStore& store,
                                         std::string prefix, DiscoveryProgress& progress,
                                         Micros min_round_interval, TaskContext context)
    : ReconcileTask(scheduler, store, std::move(prefix), std::move(context)),
      progress_(progress),
      subscription_(
          progress.subscribe([this](const policy::BoardPosition& position) { on_progress(position); })),
      driver_(min_round_interval) {}

AcknowledgementTask::~AcknowledgementTask() { progress_.unsubscribe(subscription_); }

// The end of an open round is a reason to reconcile anyway.
void AcknowledgementTask::on_progress(const policy::BoardPosition& position) {
  if (!round_open_ || position.board != requested_.board) {
    schedule_reconcile();
  }
}

coordination::Transaction AcknowledgementTask::snapshot_transaction() const {
  return policy::look_at_acknowledgements(prefix());
}

std::vector<Range> AcknowledgementTask::watched_ranges() const {
  return {Range{prefix() + policy::kPermits, true}, Range{prefix() + policy::kAcknowledgedKey, false}};
}

bool AcknowledgementTask::is_relevant(const std::string& key) const {
  return round_open_ || key == policy::kAcknowledgedKey;
}

ReconcileTask::Decision AcknowledgementTask::decide(Micros now, const coordination::Outcome& outcome) {
  const policy::AcknowledgementsSeen snapshot = policy::read_acknowledgements_seen(prefix(), outcome);
  round_open_ = snapshot.record.round > 0 && snapshot.record.done != snapshot.record.asked;
  requested_ = snapshot.record.asked;
  Decision decision;
  if (const auto next = driver_.next(now, snapshot, progress_.position())) {
    decision.write = policy::write_record(prefix(), snapshot, *next);
  }
  decision.next_step_at = driver_.due();
  return decision;
}

}  // namespace trailcourse::tasks
