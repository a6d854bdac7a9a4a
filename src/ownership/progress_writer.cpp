#include "ownership/progress_writer.h"

#include <utility>

namespace trailcourse::ownership {

Progress ProgressWriter::next_progress(Term term, const std::string& member) const {
  Progress out = unconfirmed_ ? *unconfirmed_ : stored_.progress;
  out.writes = out.term == term ? out.writes + 1 : 1;
  out.term = term;
  out.by = member;
  return out;
}

std::optional<WriteProgressAction> ProgressWriter::step(Micros now, const ShardId& id, Term term) {
  if (in_flight_ || now < not_before_) {
    return std::nullopt;
  }
  if (!unconfirmed_) {
    if (!queued_) {
      return std::nullopt;
    }
    unconfirmed_ = std::exchange(queued_, std::nullopt);
  }
  in_flight_ = true;
  return WriteProgressAction{id, ++last_call_id_, term, stored_.modified, *unconfirmed_};
}

std::optional<Micros> ProgressWriter::next_step_at() const {
  return in_flight_ || idle() ? std::nullopt : std::optional<Micros>(not_before_);
}

std::optional<Progress> ProgressWriter::on_response(std::uint64_t call_id) {
  if (!in_flight_ || last_call_id_ != call_id) {
    return std::nullopt;
  }
  in_flight_ = false;
  return std::exchange(unconfirmed_, std::nullopt);
}

void ProgressWriter::on_no_response(Micros now, std::uint64_t call_id, Micros backoff) {
  if (in_flight_ && last_call_id_ == call_id) {
    in_flight_ = false;
    not_before_ = now + backoff;
  }
}

void ProgressWriter::cancel() {
  unconfirmed_.reset();
  queued_.reset();
  in_flight_ = false;
}

}  // namespace trailcourse::ownership
