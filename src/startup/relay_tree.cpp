#include "startup/relay_tree.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "decision/hashing.h"

namespace trailcourse::startup {

RelayTree::RelayTree(const std::string& self, std::vector<std::string> peers, int degree)
    : order_(std::move(peers)), degree_(static_cast<std::size_t>(std::max(1, degree))) {
  order_.push_back(self);
  std::sort(order_.begin(), order_.end(), [](const std::string& one, const std::string& other) {
    const std::uint64_t left = mix(hash_text(one));
    const std::uint64_t right = mix(hash_text(other));
    return left != right ? left < right : one < other;
  });
  order_.erase(std::unique(order_.begin(), order_.end()), order_.end());
  place_ =
      static_cast<std::size_t>(std::distance(order_.begin(), std::find(order_.begin(), order_.end(), self)));
}

std::vector<std::string> RelayTree::ancestors() const {
  std::vector<std::string> out;
  for (std::size_t at = place_; at > 0;) {
    at = (at - 1) / degree_;
    out.push_back(order_[at]);
  }
  return out;
}

std::vector<std::string> RelayTree::children() const {
  std::vector<std::string> out;
  for (std::size_t at = place_ * degree_ + 1; at <= place_ * degree_ + degree_ && at < order_.size(); ++at) {
    out.push_back(order_[at]);
  }
  return out;
}

}  // namespace trailcourse::startup
