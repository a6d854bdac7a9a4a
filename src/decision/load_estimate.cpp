#include "load_estimate.h"

#include <algorithm>
#include <cmath>

namespace trailcourse {
namespace {

constexpr double kSmoothing = 0.3;          // weight of a new report
constexpr double kMaxForeignLoad = 1000.0;  // requests; a higher report is not plausible
constexpr double kMaxUtilisation = 0.9;     // above it, the queue cannot be estimated

bool usable(double value) { return std::isfinite(value) && value >= 0.0; }

}  // namespace

void LoadEstimate::observe(Node& node, const LoadReport& report) {
  const double requests = reported_requests(node, report);
  if (!node.in_own_zone) {
    return;
  }
  observe_link(report);
  const double foreign = std::clamp(requests - node.in_flight, 0.0, kMaxForeignLoad);
  node.foreign_load += kSmoothing * (foreign - node.foreign_load);
}

// Returns the number of requests at the node: the reported number; or else, from its reported utilisation, an
// estimate of the running and the waiting ones; or else as many from each router as from this one, which is
// inaccurate where there are many routers.
double LoadEstimate::reported_requests(const Node& node, const LoadReport& report) const {
  const double routers = std::max(1, context_.settings.routers_in_zone);
  const double extrapolated = node.in_flight * routers;
  if (usable(report.concurrent)) {
    return report.concurrent;
  }
  if (!usable(report.utilisation)) {
    return extrapolated;
  }
  const double use = std::min(report.utilisation, kMaxUtilisation);
  const double present = node.transfer_capacity * use + use * use * use / (1.0 - use);
  return present + (extrapolated - present) / std::max(1.0, routers - 1.0);
}

void LoadEstimate::observe_link(const LoadReport& report) {
  if (usable(report.link_or_fetches)) {
    link_use_ += kSmoothing * (std::min(report.link_or_fetches, 2.0 * kBusyLink) - link_use_);
  }
}

}  // namespace trailcourse
