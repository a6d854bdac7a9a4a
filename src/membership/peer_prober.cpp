#include "membership/peers.h"

#include <algorithm>
#include <utility>

#include "decision/hashing.h"

namespace trailcourse::membership {

std::vector<std::string> Peers::to_try(const std::vector<std::string>& members) const {
  std::vector<std::pair<std::uint64_t, std::string>> ring;
  for (const std::string& name : members) {
    if (name != self_) {
      // How far along the ring from here.
      ring.emplace_back(hash_text(name) - hash_text(self_), name);
    }
  }
  std::sort(ring.begin(), ring.end());
  std::vector<std::string> out;
  for (std::size_t i = 0; i < std::min(count_, ring.size()); ++i) {
    out.push_back(ring[i].second);
  }
  return out;
}

void Peers::watch(const std::vector<std::string>& names) {
  std::map<std::string, int> next;
  for (const std::string& name : names) {
    const auto found = missed_.find(name);
    next[name] = found == missed_.end() ? 0 : found->second;
  }
  missed_ = std::move(next);
}

void Peers::tried(const std::string& name, bool reached) {
  const auto found = missed_.find(name);
  if (found != missed_.end()) {
    found->second = reached ? 0 : found->second + 1;
  }
}

std::map<std::string, Doubt> Peers::doubts() const {
  const auto missed = [this](const auto& one) { return one.second >= misses_; };
  const auto fails = std::count_if(missed_.begin(), missed_.end(), missed);
  std::map<std::string, Doubt> out;
  for (const auto& one : missed_) {
    if (missed(one)) {
      out[one.first] = Doubt{one.first, self_, static_cast<int>(missed_.size()), static_cast<int>(fails)};
    }
  }
  return out;
}

}  // namespace trailcourse::membership
