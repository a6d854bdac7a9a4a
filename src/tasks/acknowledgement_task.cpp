#include "tasks/acknowledgement_task.h"

#include <utility>

namespace trailcourse::tasks {

using coordination::Range;

AcknowledgementTask::AcknowledgementTask(transport::Scheduler& scheduler,
                                         coordination::CoordinationStore& store, std::string prefix,
                                         BoardFollower& board, Micros least_round, TaskContext context)
    : StoreDriverTask(scheduler, store, std::move(prefix), std::move(context)),
      board_(board),
      listener_(board.listen([this](const policy::DiscoveryPosition& position) { took_in(position); })),
      coordinator_(least_round) {}

AcknowledgementTask::~AcknowledgementTask() { board_.leave(listener_); }

// While a round is open, its end is a reason to look anyhow.
void AcknowledgementTask::took_in(const policy::DiscoveryPosition& position) {
  if (!round_open_ || position.source != asked_.source) {
    look_soon();
  }
}

coordination::Transaction AcknowledgementTask::looks_at() const {
  return policy::acknowledgement_snapshot_transaction(prefix());
}

std::vector<Range> AcknowledgementTask::follows() const {
  return {Range{prefix() + policy::kReportPrefix, true}, Range{prefix() + policy::kAcknowledgedKey, false}};
}

bool AcknowledgementTask::concerns(const std::string& key) const {
  return round_open_ || key == policy::kAcknowledgedKey;
}

StoreDriverTask::Decision AcknowledgementTask::decide(Micros now,
                                                      const coordination::TransactionResult& outcome) {
  const policy::AcknowledgementSnapshot seen = policy::read_acknowledgement_snapshot(prefix(), outcome);
  round_open_ = seen.record.round > 0 && seen.record.completed != seen.record.requested;
  asked_ = seen.record.requested;
  Decision out;
  if (const auto next = coordinator_.step(now, seen, board_.position())) {
    out.write = policy::write_acknowledgement_transaction(prefix(), seen, *next);
  }
  out.look_at = coordinator_.next_step_at();
  return out;
}

}  // namespace trailcourse::tasks
