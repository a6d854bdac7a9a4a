#include "store/placement.h"

#include <algorithm>
#include <cmath>

namespace trailcourse::store {
namespace {

constexpr int kTopRank = 3;
constexpr int kAgain = 2;
constexpr int kOften = 4;

}  // namespace

std::int64_t WriteBudget::left(std::int64_t now_ms) {
  if (rate_ == 0) {
    return burst_;
  }
  if (filled_ms_ >= 0 && now_ms > filled_ms_) {
    // In seconds and the rest apart, so that no span overflows; what is over the burst is lost.
    const std::int64_t span = now_ms - filled_ms_;
    const double grown = static_cast<double>(rate_) * (static_cast<double>(span) / 1e3);
    level_ = grown >= static_cast<double>(burst_ - level_) ? burst_ : level_ + std::llround(grown);
  }
  filled_ms_ = std::max(filled_ms_, now_ms);
  return level_;
}

Placement::Placement(const Options& options)
    : options_(options),
      sketch_(options.sketch_keys),
      budget_(options.write_bytes_per_s, options.write_burst_bytes) {}

int Placement::counted(const Key& key, int rank) const {
  return sketch_.estimate(key) + (rank >= kTopRank ? 1 : 0);
}

Verdict Placement::admit(const Candidate& candidate, std::uint64_t used, std::int64_t now_ms) {
  if (candidate.rank <= 0) {
    return Verdict::kNoRank;
  }
  const double most = options_.most_share * static_cast<double>(options_.tier_bytes);
  if (static_cast<double>(candidate.bytes) > most) {
    return Verdict::kTooLarge;
  }
  const int times = counted(candidate.key, candidate.rank);
  const bool room = candidate.held || used + candidate.bytes <= options_.tier_bytes;
  const std::int64_t left = budget_.left(now_ms);
  const auto bytes = static_cast<std::int64_t>(candidate.bytes);
  if (times < kAgain && !room) {
    return Verdict::kNoRoom;
  }
  const bool afforded = times < kAgain   ? left - bytes >= budget_.burst() / 2
                        : times < kOften ? left > 0
                                         : left > -budget_.burst();
  if (!afforded) {
    return Verdict::kNoBudget;
  }
  budget_.spend(bytes);
  return Verdict::kKeep;
}

bool Placement::worth_moving(std::uint64_t bytes, int rank, std::uint32_t uses, std::int64_t now_ms) {
  const bool used_again = uses >= static_cast<std::uint32_t>(kAgain) || rank >= kTopRank;
  if (!used_again || budget_.left(now_ms) <= 0) {
    return false;
  }
  budget_.spend(static_cast<std::int64_t>(bytes));
  return true;
}

bool Placement::into_memory(const Key& key, int rank, std::uint32_t victim_uses) const {
  return rank > 0 && (counted(key, rank) >= kAgain || victim_uses <= 1);
}

}  // namespace trailcourse::store
