// The times of purges by key, in a container of bounded size.
#pragma once

#include <trailcourse/decider.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace trailcourse {

// Stores the latest purge of each key. A purge within the retention period is never forgotten; an older one
// is only where the capacity is exceeded, the earliest first. If most purges are within the period then, a
// single purge of all keys replaces them for that long. Not thread-safe.
class PurgeHistory {
 public:
  // Less than any time of a purge.
  static constexpr Micros kNever = Micros::min();

  PurgeHistory(std::size_t capacity, Micros retention) : capacity_(capacity), retention_(retention) {}

  // Records that the key was purged at `purged_at`. `now` must not be earlier than in previous calls.
  void add(std::uint64_t key, Micros purged_at, Micros now) {
    Micros& latest = purged_at_.try_emplace(key, purged_at).first->second;
    latest = std::max(latest, purged_at);
    if (purged_at_.size() > capacity_) {
      forget_earlier_half(now);
    }
  }

  // Returns the time of the latest purge of the key that is not forgotten, or kNever.
  Micros latest(std::uint64_t key, Micros now) const {
    const auto found = purged_at_.find(key);
    const Micros all = within_retention(all_purged_at_, now) ? all_purged_at_ : kNever;
    return found == purged_at_.end() ? all : std::max(all, found->second);
  }

  // Returns the time of the latest purge of the key within the retention period, or kNever.
  Micros latest_within_retention(std::uint64_t key, Micros now) const {
    const Micros time = latest(key, now);
    return within_retention(time, now) ? time : kNever;
  }

 private:
  bool within_retention(Micros time, Micros now) const { return time != kNever && now < time + retention_; }

  void forget_earlier_half(Micros now) {
    std::vector<Micros> times;
    times.reserve(purged_at_.size());
    for (const auto& [key, time] : purged_at_) {
      times.push_back(time);
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    const Micros median = *middle;
    if (within_retention(median, now)) {
      all_purged_at_ = now;
      purged_at_.clear();
      return;
    }
    // Of many purges at one time, such as those of a release, no more than needed.
    auto ties = std::count(times.begin(), middle, median);
    std::erase_if(purged_at_, [&](const auto& entry) {
      return entry.second < median || (entry.second == median && ties-- > 0);
    });
  }

  std::size_t capacity_;
  Micros retention_;
  std::unordered_map<std::uint64_t, Micros> purged_at_;
  Micros all_purged_at_ = kNever;
};

}  // namespace trailcourse
