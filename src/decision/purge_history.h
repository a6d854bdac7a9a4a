// When what was purged last; a container of bounded size, nothing is decided here.
#pragma once

#include <trailcourse/decider.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace trailcourse {

// Times older than the span that a purge binds may be forgotten. Where too many bind at once, they fold into
// one time for all names, the latest.
class PurgeTimes {
 public:
  PurgeTimes(std::size_t capacity, Micros binding) : capacity_(capacity), binding_(binding) {}

  void add(std::uint64_t name, Micros made, Micros now) {
    Micros& last = times_.try_emplace(name, made).first->second;
    last = std::max(last, made);
    if (times_.size() > capacity_) {
      std::erase_if(times_, [&](const auto& one) { return now >= one.second + binding_; });
      if (times_.size() > capacity_ / 2) {
        for_all_ = now;
        times_.clear();
      }
    }
  }

  // The last purge of a name that still binds, or a negative time.
  Micros last(std::uint64_t name, Micros now) const {
    const auto found = times_.find(name);
    const Micros made = found == times_.end() ? for_all_ : std::max(for_all_, found->second);
    return now < made + binding_ ? made : Micros(-1);
  }

 private:
  std::size_t capacity_;
  Micros binding_;
  std::unordered_map<std::uint64_t, Micros> times_;
  Micros for_all_{-1};
};

}  // namespace trailcourse
