// The worst stretch of time in a list of moments.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <vector>

namespace trailcourse::fleet {

// The most moments within any stretch of that length, its end not counted. In any order.
template <typename Moment = std::chrono::steady_clock::time_point, typename Stretch>
std::size_t max_count_within(std::vector<Moment> moments, Stretch stretch) {
  std::sort(moments.begin(), moments.end());
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < moments.size(); ++last) {
    while (moments[last] - moments[first] >= stretch) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

}  // namespace trailcourse::fleet
