#include "source_selection.h"

#include <algorithm>

#include "hashing.h"
#include "rendezvous.h"

namespace trailcourse {
namespace {

constexpr double kQuotaDecrease = 0.8;   // factor of the quota after a bad fill
constexpr double kQuotaIncrease = 0.02;  // added to the quota after a good fill
constexpr double kMinQuota = 0.05;

}  // namespace

int SourceSelection::select(const Request& request, int cache) {
  const std::vector<int> order = candidates(request);
  int fallback = -1;
  for (const int index : order) {
    Node& node = context_.nodes.at(index);
    const bool usable = !request.avoids(index) && slow_start_.admits(node, slow_start_.cost(request));
    if (usable && outliers_.healthy(node) && within_quota(node, request)) {
      return index;
    }
    fallback = usable && fallback < 0 ? index : fallback;
  }
  if (fallback >= 0) {
    return fallback;
  }
  return order.empty() ? cache : order.back();
}

// Returns the parents, then the origins; only the origins for uncacheable requests.
std::vector<int> SourceSelection::candidates(const Request& request) const {
  std::vector<int> origins = rendezvous_order(context_.nodes, Role::kOrigin, request.object_key);
  if (!context_.cacheable(request)) {
    return origins;
  }
  std::vector<int> order = rendezvous_order(context_.nodes, Role::kParent, request.object_key);
  order.insert(order.end(), origins.begin(), origins.end());
  return order;
}

bool SourceSelection::within_quota(const Node& source, const Request& request) const {
  return !context_.cacheable(request) ||
         to_unit_interval(mix(source.hash) ^ request.object_key) < source.source_quota;
}

void SourceSelection::record_fill(Node& source, bool good, QuotaOwner owner) {
  const std::vector<int>& origins = context_.nodes.members(Role::kOrigin);
  const bool of_source = owner == QuotaOwner::kSource || origins.empty();
  double& quota = of_source ? source.source_quota : context_.nodes.at(origins.front()).source_quota;
  quota = good ? std::min(1.0, quota + kQuotaIncrease) : std::max(kMinQuota, quota * kQuotaDecrease);
}

}  // namespace trailcourse
