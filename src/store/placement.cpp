#include "store/placement.h"

#include <algorithm>
#include <cmath>

namespace trailcourse::store {
namespace {

constexpr int kTopRank = 3;
constexpr int kRepeatedRequests = 2;  // from this count on a copy is stored also in a full tier
constexpr int kFrequentRequests = 4;  // from this count on a copy may overdraw the budget by a burst

}  // namespace

std::int64_t WriteBudget::left(std::int64_t now_ms) {
  if (rate_ == 0) {
    return burst_;
  }
  if (filled_ms_ >= 0 && now_ms > filled_ms_) {
    // Computed in floating point, so that no time span overflows. The level is limited to the burst.
    const std::int64_t span = now_ms - filled_ms_;
    const double refill = static_cast<double>(rate_) * (static_cast<double>(span) / 1e3);
    level_ = refill >= static_cast<double>(burst_ - level_) ? burst_ : level_ + std::llround(refill);
  }
  filled_ms_ = std::max(filled_ms_, now_ms);
  return level_;
}

Placement::Placement(const Options& options)
    : options_(options),
      sketch_(options.sketch_keys),
      budget_(options.write_bytes_per_s, options.write_burst_bytes) {}

int Placement::weighted_requests(const Key& key, int rank) const {
  return sketch_.estimate(key) + (rank >= kTopRank ? 1 : 0);
}

PlacementDecision Placement::admit(const Candidate& candidate, std::uint64_t used, std::int64_t now_ms) {
  if (candidate.rank <= 0) {
    return PlacementDecision::kNoRank;
  }
  const double max_bytes = options_.max_share * static_cast<double>(options_.tier_bytes);
  if (static_cast<double>(candidate.bytes) > max_bytes) {
    return PlacementDecision::kTooLarge;
  }
  const int requests = weighted_requests(candidate.key, candidate.rank);
  const bool room = candidate.replaces_stored || used + candidate.bytes <= options_.tier_bytes;
  const std::int64_t left = budget_.left(now_ms);
  const auto bytes = static_cast<std::int64_t>(candidate.bytes);
  if (requests < kRepeatedRequests && !room) {
    return PlacementDecision::kNoCapacity;
  }
  const bool within_budget = requests < kRepeatedRequests   ? left - bytes >= budget_.burst() / 2
                             : requests < kFrequentRequests ? left > 0
                                                            : left > -budget_.burst();
  if (!within_budget) {
    return PlacementDecision::kNoBudget;
  }
  budget_.spend(bytes);
  return PlacementDecision::kAdmit;
}

bool Placement::admit_move(std::uint64_t bytes, int rank, std::uint32_t uses, std::int64_t now_ms) {
  const bool used_again = uses >= static_cast<std::uint32_t>(kRepeatedRequests) || rank >= kTopRank;
  if (!used_again || budget_.left(now_ms) <= 0) {
    return false;
  }
  budget_.spend(static_cast<std::int64_t>(bytes));
  return true;
}

bool Placement::admits_to_memory(const Key& key, int rank, std::uint32_t victim_uses) const {
  return rank > 0 && (weighted_requests(key, rank) >= kRepeatedRequests || victim_uses <= 1);
}

}  // namespace trailcourse::store
