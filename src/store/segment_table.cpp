#include "store/segment_table.h"

#include <algorithm>
#include <numeric>

namespace trailcourse::store {

void SegmentTable::remove_live(SegmentId id, std::uint64_t bytes) {
  const auto found = segments_.find(id);
  if (found != segments_.end()) {
    found->second.live -= std::min(found->second.live, bytes);
  }
}

std::uint64_t SegmentTable::file_bytes() const {
  return std::accumulate(segments_.begin(), segments_.end(), std::uint64_t{0},
                         [](std::uint64_t sum, const auto& entry) { return sum + entry.second.bytes; });
}

std::uint64_t SegmentTable::live_bytes() const {
  return std::accumulate(segments_.begin(), segments_.end(), std::uint64_t{0},
                         [](std::uint64_t sum, const auto& entry) { return sum + entry.second.live; });
}

std::optional<SegmentId> SegmentTable::next_to_clear() const {
  std::optional<SegmentId> best;
  double best_share = 2.0;
  for (const auto& [id, segment] : segments_) {
    if (segment.clearing) {
      return std::nullopt;
    }
    const double share =
        segment.bytes == 0 ? 0.0 : static_cast<double>(segment.live) / static_cast<double>(segment.bytes);
    if (segment.sealed && share < best_share) {
      best = id;
      best_share = share;
    }
  }
  const bool space_is_short = file_bytes() + reserve_ > max_bytes_;
  return best && (space_is_short || best_share <= 0.0) ? best : std::nullopt;
}

}  // namespace trailcourse::store
