// The highest number of events in any window of time.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <vector>

namespace trailcourse::fleet {

// Returns the highest number of `times` that lie in any half-open interval of length `window`. `times` may be
// in any order.
template <typename Time = std::chrono::steady_clock::time_point, typename Window>
std::size_t max_count_within(std::vector<Time> times, Window window) {
  std::sort(times.begin(), times.end());
  std::size_t max_count = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] >= window) {
      ++first;
    }
    max_count = std::max(max_count, last - first + 1);
  }
  return max_count;
}

}  // namespace trailcourse::fleet
