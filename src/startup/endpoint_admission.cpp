#include "startup/endpoint_admission.h"

#include <algorithm>
#include <utility>

namespace trailcourse::startup {
namespace {

constexpr int kMostFlaps = 10;
constexpr std::size_t kMostGone = 4'096;  // nodes that are not listed and still remembered
constexpr double kMicros = 1e6;

}  // namespace

Micros Opening::window(int flaps) const {
  if (rules_.opens_per_s <= 0.0) {
    return Micros(0);
  }
  const double whole =
      2.0 * routers_ / rules_.opens_per_s * kMicros * (1 << std::clamp(flaps, 0, kMostFlaps));
  return Micros(static_cast<Micros::rep>(std::min(whole, static_cast<double>(rules_.most_window.count()))));
}

bool Opening::appears(Micros now, const std::string& node, std::int64_t started) {
  Node& known = nodes_[node];
  const bool same = known.listed && known.started == started;
  if (same) {
    return known.open;
  }
  const bool back = known.appeared.count() > 0 && now - known.appeared < rules_.flap_memory;
  known.flaps = back ? std::min(known.flaps + 1, kMostFlaps) : 0;
  known.appeared = std::max(now, Micros(1));
  known.listed = true;
  known.started = started;
  std::uniform_int_distribution<Micros::rep> even(0, window(known.flaps).count());
  // What was drawn before still counts: a flap never makes an opening sooner.
  known.due = std::max(known.due, now) + Micros(even(random_));
  known.open = known.due <= now;
  return known.open;
}

void Opening::leaves(Micros now, const std::string& node) {
  const auto found = nodes_.find(node);
  if (found != nodes_.end()) {
    found->second.listed = false;
    found->second.open = false;
    forget(now);
  }
}

// Those gone for longer than a flap is remembered; beyond a bound all that are gone.
void Opening::forget(Micros now) {
  const bool crowded = nodes_.size() > kMostGone;
  std::erase_if(nodes_, [&](const auto& one) {
    const bool old = now - one.second.appeared >= rules_.flap_memory && one.second.due <= now;
    return !one.second.listed && (crowded || old);
  });
}

std::optional<Micros> Opening::due() const {
  std::optional<Micros> first;
  for (const auto& [name, node] : nodes_) {
    if (node.listed && !node.open && (!first || node.due < *first)) {
      first = node.due;
    }
  }
  return first;
}

std::vector<std::string> Opening::opened(Micros now) {
  std::vector<std::pair<Micros, std::string>> due;
  for (auto& [name, node] : nodes_) {
    if (node.listed && !node.open && node.due <= now) {
      node.open = true;
      due.emplace_back(node.due, name);
    }
  }
  std::sort(due.begin(), due.end());
  std::vector<std::string> out;
  out.reserve(due.size());
  for (auto& [at, name] : due) {
    out.push_back(std::move(name));
  }
  return out;
}

bool Opening::open(const std::string& node) const {
  const auto found = nodes_.find(node);
  return found != nodes_.end() && found->second.listed && found->second.open;
}

std::size_t Opening::waiting() const {
  return static_cast<std::size_t>(std::count_if(
      nodes_.begin(), nodes_.end(), [](const auto& one) { return one.second.listed && !one.second.open; }));
}

int Opening::connections() const {
  if (rules_.node_connections <= 0) {
    return rules_.per_peer;
  }
  return std::clamp(rules_.node_connections / routers_, 1, rules_.per_peer);
}

}  // namespace trailcourse::startup
