// Quantiles of measured values by a truncated index, which the tables of ownership_bench and storage_bench
// use. fleet::quantile() uses the nearest rank instead.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace trailcourse::bench {

// Returns the value at index `share` (0 to 1) times the number of values, rounded down, in ascending order; 0
// if there are no values.
inline double truncated_quantile(std::vector<double> values, double share) {
  std::sort(values.begin(), values.end());
  const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size()));
  return values.empty() ? 0.0 : values[std::min(values.size() - 1, index)];
}

}  // namespace trailcourse::bench
