#include "snapshot/write_scheduler.h"

#include <algorithm>

namespace trailcourse::snapshot {
namespace {

constexpr std::int64_t kMostPauseMs = 300'000;
constexpr int kMostDoublings = 12;

}  // namespace

void Writer::changed(std::int64_t now_ms) {
  if (!changed_) {
    changed_at_ms_ = now_ms;
  }
  changed_ = true;
}

void Writer::confirmed(std::int64_t) { confirmed_ = true; }

std::optional<std::int64_t> Writer::due() const {
  if (writing_) {
    return std::nullopt;
  }
  if (changed_) {
    return std::max(changed_at_ms_, not_before_ms_);
  }
  return confirmed_ && confirm_at_ms_ > INT64_MIN
             ? std::optional<std::int64_t>(std::max(confirm_at_ms_, not_before_ms_))
             : std::nullopt;
}

void Writer::begun(std::int64_t) {
  writing_ = true;
  changed_ = false;
  confirmed_ = false;
}

bool Writer::ended(std::int64_t now_ms, bool good) {
  writing_ = false;
  // All routers of a fleet saw the change in one moment, and may share a disk: their writes are drawn apart.
  const auto drawn = [this](std::int64_t longest) {
    return std::uniform_int_distribution<std::int64_t>(longest / 2, longest)(random_);
  };
  if (good) {
    const bool back = failures_ > 0;
    failures_ = 0;
    not_before_ms_ = now_ms + drawn(options_.write_ms);
    confirm_at_ms_ = now_ms + drawn(options_.confirm_ms);
    return back;
  }
  const int doublings = std::min(failures_++, kMostDoublings);
  not_before_ms_ = now_ms + drawn(std::min(kMostPauseMs, options_.write_ms << doublings));
  if (!changed_) {
    changed_ = true;
    changed_at_ms_ = now_ms;
  }
  return failures_ == 1;
}

}  // namespace trailcourse::snapshot
