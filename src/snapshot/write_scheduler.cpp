#include "snapshot/write_scheduler.h"

#include <algorithm>

namespace trailcourse::snapshot {
namespace {

constexpr std::chrono::milliseconds kMaxBackoff{300'000};
constexpr int kMaxDoublings = 12;

}  // namespace

// Returns a random interval of at least half of `longest`. All routers of a fleet get a change at the same
// time and may share a disk, so their writes have to be spread.
WriteScheduler::Millis WriteScheduler::jitter(Millis longest) {
  std::uniform_int_distribution<Millis::rep> interval(longest.count() / 2, longest.count());
  return Millis(interval(random_));
}

void WriteScheduler::on_changed(Millis now) {
  if (!changed_) {
    changed_at_ = now;
  }
  changed_ = true;
}

std::optional<WriteScheduler::Millis> WriteScheduler::next_write_at() const {
  if (writing_) {
    return std::nullopt;
  }
  if (changed_) {
    return std::max(changed_at_, not_before_);
  }
  if (confirmed_ && confirm_at_) {
    return std::max(*confirm_at_, not_before_);
  }
  return std::nullopt;
}

void WriteScheduler::on_write_started() {
  writing_ = true;
  changed_ = false;
  confirmed_ = false;
}

bool WriteScheduler::on_write_finished(Millis now, bool succeeded) {
  writing_ = false;
  if (succeeded) {
    const bool failed_before = failures_ > 0;
    failures_ = 0;
    not_before_ = now + jitter(write_interval_);
    confirm_at_ = now + jitter(confirm_interval_);
    return failed_before;
  }
  const int doublings = std::min(failures_, kMaxDoublings);
  ++failures_;
  not_before_ = now + jitter(std::min(kMaxBackoff, write_interval_ * (1 << doublings)));
  on_changed(now);
  return failures_ == 1;
}

}  // namespace trailcourse::snapshot
