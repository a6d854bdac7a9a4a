#include "keep_rank.h"

#include <algorithm>
#include <cstddef>

#include "time_units.h"

namespace trailcourse {
namespace {

using std::chrono::seconds;

// The weights of the terms of the score.
constexpr double kRarityWeight = 1.0;  // of 1 / request count
constexpr double kSizeWeight = 0.9;    // of the size
constexpr double kHolderWeight = 0.3;  // of the share of the parents that are known holders
constexpr double kIdleWeight = 0.6;    // of the idle time

constexpr double kTopThreshold = 1.2;            // lower scores get the top rank
constexpr double kMiddleThreshold = 2.0;         // lower scores get at least the middle rank
constexpr double kTopShare = 0.25;               // maximum share of the requested bytes with the top rank
constexpr double kByteDecay = 0.9995;            // per request; it covers the last few thousand requests
constexpr Micros kCountHalfLife = seconds(60);   // known holders expire after the same time
constexpr Micros kDefaultMaxIdle = seconds(30);  // maximum idle time of a class without a lifetime

enum Rank { kLowestRank = 1, kMiddleRank = 2, kTopRank = 3 };

}  // namespace

int KeepRank::rank(const Request& request) {
  const double value = score(request);
  const int wanted = value < kTopThreshold ? kTopRank : value < kMiddleThreshold ? kMiddleRank : kLowestRank;
  const double size_kb = std::max(1.0, request.arrival.size_kb);
  const bool top = top_rank_kb_.add(size_kb, wanted == kTopRank, kTopShare, kByteDecay);
  return top ? kTopRank : std::min<int>(wanted, kMiddleRank);
}

double KeepRank::score(const Request& request) {
  ObjectEntry& entry = objects_.touch(request.object_key);
  const double idle = idle_share(entry, request);
  entry.halve_count(context_.now, kCountHalfLife);
  entry.remove_holders(context_.now - kCountHalfLife);
  entry.request_count += request.arrival.is_retry && entry.request_count > 0.0 ? 0.0 : 1.0;
  entry.last_request = context_.now;
  largest_kb_ = std::max(largest_kb_, request.arrival.size_kb);
  const double size = largest_kb_ > 0.0 ? request.arrival.size_kb / largest_kb_ : 0.0;
  return kRarityWeight / std::max(1.0, entry.request_count) + kSizeWeight * size +
         kHolderWeight * holder_share(entry) + kIdleWeight * idle;
}

// Returns the idle time divided by its maximum, limited to 1. A first request has the value 1.
double KeepRank::idle_share(const ObjectEntry& entry, const Request& request) const {
  const double lifetime = to_seconds(context_.class_of(request).lifetime);
  const double max_idle = lifetime > 0.0 ? lifetime : to_seconds(kDefaultMaxIdle);
  return entry.request_count > 0.0 ? std::min(1.0, to_seconds(context_.now - entry.last_request) / max_idle)
                                   : 1.0;
}

// Returns the share of the parents that are known holders.
double KeepRank::holder_share(const ObjectEntry& entry) const {
  const std::size_t parents = std::max<std::size_t>(1, context_.nodes.members(Role::kParent).size());
  return std::min(1.0, static_cast<double>(entry.holders.size()) / static_cast<double>(parents));
}

}  // namespace trailcourse
