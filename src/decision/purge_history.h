// The times of recent purges by key, in a container of bounded size.
#pragma once

#include <trailcourse/decider.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace trailcourse {

// Stores the latest purge of each key for the retention period. When the capacity is exceeded and many
// purges are still within the period, they are replaced by a single purge of all keys. Not thread-safe.
class PurgeHistory {
 public:
  PurgeHistory(std::size_t capacity, Micros retention) : capacity_(capacity), retention_(retention) {}

  // Records that the key was purged at `purged_at`. `now` must not be earlier than in previous calls.
  void add(std::uint64_t key, Micros purged_at, Micros now) {
    Micros& latest = purged_at_.try_emplace(key, purged_at).first->second;
    latest = std::max(latest, purged_at);
    if (purged_at_.size() > capacity_) {
      std::erase_if(purged_at_, [&](const auto& entry) { return now >= entry.second + retention_; });
      if (purged_at_.size() > capacity_ / 2) {
        all_purged_at_ = now;
        purged_at_.clear();
      }
    }
  }

  // Returns the time of the latest purge of the key, or a negative time if it is past the retention period.
  Micros latest(std::uint64_t key, Micros now) const {
    const auto found = purged_at_.find(key);
    const Micros time = found == purged_at_.end() ? all_purged_at_ : std::max(all_purged_at_, found->second);
    return now < time + retention_ ? time : Micros(-1);
  }

 private:
  std::size_t capacity_;
  Micros retention_;
  std::unordered_map<std::uint64_t, Micros> purged_at_;
  Micros all_purged_at_{-1};  // time of the purge of all keys; negative: none
};

}  // namespace trailcourse
