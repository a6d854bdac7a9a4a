#include "cache_selection.h"

#include <vector>

#include "rendezvous.h"

namespace trailcourse {
namespace {

constexpr int kCandidates = 2;  // healthy caches in hash order whose loads are compared
// The second cache is used if its load is less than this share of the first one's, since it needs a fill.
constexpr double kLoadAdvantage = 0.5;

}  // namespace

int CacheSelection::select(const Request& request) {
  const std::vector<int> order = rendezvous_order(context_.nodes, Role::kCache, request.object_key);
  const bool general_failure = outliers_.mostly_ejected(order);
  const double cost = slow_start_.cost(request);
  int best = -1;
  int fallback = -1;
  int candidates = 0;
  for (const int index : order) {
    if (!usable(request, index, cost)) {
      continue;
    }
    const Node& node = context_.nodes.at(index);
    if (!outliers_.healthy(node) && (!general_failure || node.health.connect_failed)) {
      fallback = better_fallback(fallback, index);
      continue;
    }
    if (best < 0 || loads_.load(node) < kLoadAdvantage * loads_.load(context_.nodes.at(best))) {
      best = index;
    }
    if (!loads_.overloaded(context_.nodes.at(best)) || ++candidates >= kCandidates) {
      break;
    }
  }
  return best >= 0 ? best : fallback;
}

bool CacheSelection::usable(const Request& request, int index, double cost) {
  Node& node = context_.nodes.at(index);
  return !request.avoids(index) && slow_start_.admits(node, cost) && idempotency_.may_send(request, node);
}

// Returns the one of two unhealthy caches that failed longer ago, if it may be tried now.
int CacheSelection::better_fallback(int fallback, int candidate) const {
  const NodeHealth& health = context_.nodes.at(candidate).health;
  const bool may_be_tried = !health.trial_in_flight || health.connect_refused;
  const bool longer_ago =
      fallback < 0 || health.last_failure < context_.nodes.at(fallback).health.last_failure;
  return may_be_tried && longer_ago ? candidate : fallback;
}

}  // namespace trailcourse
