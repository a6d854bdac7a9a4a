#include "startup/relay_tree.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "decision/hashing.h"

namespace trailcourse::startup {

RelayTree::RelayTree(const std::string& self, std::vector<std::string> peers, int degree)
    : names_(std::move(peers)), degree_(static_cast<std::size_t>(std::max(1, degree))) {
  names_.push_back(self);
  std::sort(names_.begin(), names_.end(), [](const std::string& left, const std::string& right) {
    const std::uint64_t left_hash = mix(hash_text(left));
    const std::uint64_t right_hash = mix(hash_text(right));
    return left_hash != right_hash ? left_hash < right_hash : left < right;
  });
  names_.erase(std::unique(names_.begin(), names_.end()), names_.end());
  const auto found = std::find(names_.begin(), names_.end(), self);
  position_ = static_cast<std::size_t>(std::distance(names_.begin(), found));
}

std::vector<std::string> RelayTree::ancestors() const {
  std::vector<std::string> out;
  for (std::size_t position = position_; position > 0;) {
    position = (position - 1) / degree_;
    out.push_back(names_[position]);
  }
  return out;
}

std::vector<std::string> RelayTree::children() const {
  const std::size_t first = position_ * degree_ + 1;
  std::vector<std::string> out;
  for (std::size_t child = first; child < first + degree_ && child < names_.size(); ++child) {
    out.push_back(names_[child]);
  }
  return out;
}

}  // namespace trailcourse::startup
