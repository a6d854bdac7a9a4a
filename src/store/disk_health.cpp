#include "store/disk_health.h"

#include <algorithm>
#include <utility>

namespace trailcourse::store {
namespace {

constexpr int kMostDoublings = 20;

}  // namespace

void DiskHealth::closed(std::string why) {
  open_ = false;
  why_ = std::move(why);
}

void DiskHealth::read_late(std::int64_t now_ms) {
  if (!stalled_) {
    stalled_ = true;
    ++stalls_;
    why_ = "reads do not come back";
    next_probe_ms_ = now_ms + options_.probe_ms;
  }
}

void DiskHealth::read_back(std::int64_t took_ms, std::int64_t patience_ms) {
  if (stalled_ && took_ms <= patience_ms) {
    stalled_ = false;
  }
}

void DiskHealth::write_failed(std::int64_t now_ms, std::string why) {
  const int doublings = std::min(failures_, kMostDoublings);
  const std::int64_t pause = std::min(options_.most_pause_ms, options_.least_pause_ms << doublings);
  write_after_ms_ = now_ms + pause;
  ++failures_;
  ++write_failures_;
  why_ = std::move(why);
}

void DiskHealth::write_done() {
  failures_ = 0;
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
  next_probe_ms_ = now_ms + options_.probe_ms;
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
