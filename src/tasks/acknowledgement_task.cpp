#include "tasks/acknowledgement_task.h"

#include <utility>

namespace trailcourse::tasks {

using coordination::Range;

AcknowledgementTask::AcknowledgementTask(transport::Scheduler& scheduler, coordination::SharedStore& store,
                                         std::string prefix, DiscoveryProgress& board, Micros least_round,
                                         TaskContext context)
    : ReconcileTask(scheduler, store, std::move(prefix), std::move(context)),
      board_(board),
      listener_(board.listen([this](const policy::BoardPosition& position) { took_in(position); })),
      driver_(least_round) {}

AcknowledgementTask::~AcknowledgementTask() { board_.leave(listener_); }

// While a round is open, its end is a reason to look anyhow.
void AcknowledgementTask::took_in(const policy::BoardPosition& position) {
  if (!round_open_ || position.board != asked_.board) {
    look_soon();
  }
}

coordination::Transaction AcknowledgementTask::looks_at() const {
  return policy::look_at_acknowledgements(prefix());
}

std::vector<Range> AcknowledgementTask::follows() const {
  return {Range{prefix() + policy::kPermits, true}, Range{prefix() + policy::kAcknowledgedKey, false}};
}

bool AcknowledgementTask::concerns(const std::string& key) const {
  return round_open_ || key == policy::kAcknowledgedKey;
}

ReconcileTask::Decision AcknowledgementTask::decide(Micros now, const coordination::Outcome& outcome) {
  const policy::AcknowledgementsSeen seen = policy::read_acknowledgements_seen(prefix(), outcome);
  round_open_ = seen.record.round > 0 && seen.record.done != seen.record.asked;
  asked_ = seen.record.asked;
  Decision out;
  if (const auto next = driver_.next(now, seen, board_.position())) {
    out.write = policy::write_record(prefix(), seen, *next);
  }
  out.look_at = driver_.due();
  return out;
}

}  // namespace trailcourse::tasks
