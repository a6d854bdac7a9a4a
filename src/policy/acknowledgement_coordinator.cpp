#include "policy/acknowledgement_coordinator.h"

namespace trailcourse::policy {

// Returns whether a round may start now. If so, records its start; if not, sets the time of the next step.
bool AcknowledgementCoordinator::start_round(Micros now) {
  if (round_started_at_ && now < *round_started_at_ + min_round_interval_) {
    next_step_at_ = *round_started_at_ + min_round_interval_;
    return false;
  }
  round_started_at_ = now;
  return true;
}

std::optional<Acknowledgement> AcknowledgementCoordinator::step(Micros now,
                                                                const AcknowledgementSnapshot& snapshot,
                                                                const DiscoveryPosition& position) {
  next_step_at_.reset();
  Acknowledgement out = snapshot.record;
  // A restarted source does not have the earlier events, so the open round could never complete.
  const bool is_new_source = position.source != out.requested.source;
  const bool is_complete = out.round > 0 && snapshot.is_acknowledged_by_all();
  if (is_complete && !is_new_source) {
    out.completed = out.requested;
  }
  const bool may_start = position.sequence > 0 && (is_new_source || is_complete || out.round == 0);
  const bool has_new_events = is_new_source || position.sequence > out.requested.sequence;
  if (may_start && has_new_events && start_round(now)) {
    ++out.round;
    out.requested = position;
    out.completed = is_new_source ? DiscoveryPosition{position.source, 0} : out.completed;
  }
  return out == snapshot.record ? std::nullopt : std::optional(out);
}

}  // namespace trailcourse::policy
