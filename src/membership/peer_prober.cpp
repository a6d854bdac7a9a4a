#include "membership/peer_prober.h"

#include <algorithm>
#include <cstdint>

#include "decision/hashing.h"

namespace trailcourse::membership {
namespace {

struct RingPosition {
  std::uint64_t distance = 0;  // from this member along the ring
  std::string member;

  friend auto operator<=>(const RingPosition&, const RingPosition&) = default;
};

}  // namespace

std::vector<std::string> PeerProber::select_targets(const std::vector<std::string>& members) const {
  std::vector<RingPosition> ring;
  for (const std::string& member : members) {
    if (member != self_) {
      ring.push_back(RingPosition{hash_text(member) - hash_text(self_), member});
    }
  }
  std::sort(ring.begin(), ring.end());
  ring.resize(std::min(target_count_, ring.size()));
  std::vector<std::string> targets;
  targets.reserve(ring.size());
  for (const RingPosition& position : ring) {
    targets.push_back(position.member);
  }
  return targets;
}

void PeerProber::set_targets(const std::vector<std::string>& members) {
  std::map<std::string, int> next;
  for (const std::string& member : members) {
    const auto found = failures_in_a_row_.find(member);
    next[member] = found == failures_in_a_row_.end() ? 0 : found->second;
  }
  failures_in_a_row_ = std::move(next);
}

void PeerProber::on_probe_result(const std::string& member, bool reached) {
  const auto found = failures_in_a_row_.find(member);
  if (found != failures_in_a_row_.end()) {
    found->second = reached ? 0 : found->second + 1;
  }
}

std::map<std::string, Suspicion> PeerProber::suspicions() const {
  const auto is_suspected = [this](const auto& target) { return target.second >= failure_threshold_; };
  const auto failed = std::count_if(failures_in_a_row_.begin(), failures_in_a_row_.end(), is_suspected);
  std::map<std::string, Suspicion> out;
  for (const auto& target : failures_in_a_row_) {
    if (is_suspected(target)) {
      out[target.first] = Suspicion{target.first, self_, static_cast<int>(failures_in_a_row_.size()),
                                    static_cast<int>(failed)};
    }
  }
  return out;
}

}  // namespace trailcourse::membership
