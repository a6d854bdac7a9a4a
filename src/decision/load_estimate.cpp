#include "load_estimate.h"

#include <algorithm>
#include <cmath>

namespace trailcourse {
namespace {

constexpr double kSmoothing = 0.3;          // weight of a new report
constexpr double kMaxForeignLoad = 1000.0;  // requests; beyond, a report is absurd
constexpr double kMaxUtilisation = 0.9;     // of a cache's cores; nearer to 1 its queue cannot be estimated

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

// Returns the requests at the node: as reported; else, from the use of its cores, those that run and those
// that then wait; else as many from each router as from this one, which says little where routers are many.
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
