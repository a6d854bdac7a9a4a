#include "store/disk_health.h"

#include <algorithm>
#include <utility>

namespace trailcourse::store {
namespace {

constexpr int kMaxDoublings = 20;

}  // namespace

void DiskHealth::disable(std::string error) {
  open_ = false;
  error_ = std::move(error);
}

void DiskHealth::on_late_read(std::int64_t now_ms) {
  if (!stalled_) {
    stalled_ = true;
    ++stalls_;
    error_ = "reads time out";
    next_probe_ms_ = now_ms + options_.probe_interval_ms;
  }
}

void DiskHealth::on_read_done(std::int64_t duration_ms, std::int64_t patience_ms) {
  if (stalled_ && duration_ms <= patience_ms) {
    stalled_ = false;
  }
}

void DiskHealth::on_write_failed(std::int64_t now_ms, std::string error) {
  const int doublings = std::min(consecutive_write_failures_, kMaxDoublings);
  const std::int64_t pause = std::min(options_.max_pause_ms, options_.min_pause_ms << doublings);
  write_after_ms_ = now_ms + pause;
  ++consecutive_write_failures_;
  ++write_failures_;
  error_ = std::move(error);
}

void DiskHealth::on_write_done() {
  consecutive_write_failures_ = 0;
  write_after_ms_ = INT64_MIN;
}

bool DiskHealth::may_read(std::int64_t now_ms) {
  if (!open_) {
    return false;
  }
  if (!stalled_) {
    return true;
  }
  if (now_ms < next_probe_ms_) {
    return false;
  }
  next_probe_ms_ = now_ms + options_.probe_interval_ms;
  return true;
}

DiskHealth::State DiskHealth::state(std::int64_t now_ms) const {
  return !open_                     ? State::kOff
         : stalled_                 ? State::kStalled
         : now_ms < write_after_ms_ ? State::kReadOnly
                                    : State::kGood;
}

const char* to_string(DiskHealth::State state) {
  switch (state) {
    case DiskHealth::State::kOff:
      return "off";
    case DiskHealth::State::kGood:
      return "good";
    case DiskHealth::State::kStalled:
      return "stalled";
    case DiskHealth::State::kReadOnly:
      return "read-only";
  }
  return "unknown";
}

}  // namespace trailcourse::store
