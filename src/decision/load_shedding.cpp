#include "load_shedding.h"

#include <algorithm>
#include <cmath>

namespace trailcourse {
namespace {

constexpr double kBusyLoad = 1.0;        // of a node; below, nothing is shed
constexpr double kObjectiveShare = 0.9;  // of the objective that a predicted answer may take
constexpr double kMinAnsweredShare =
    0.6;  // of its class's answered share, below which a large object is underserved
constexpr double kMaxSizeStep = 2.0;  // largest size over the class's mean with a statistic of its own
constexpr double kSmoothing = 0.05;   // weight of a new answer

}  // namespace

// Large objects are shed from a smaller part of their objective: each takes the place of several small ones
// of the same priority weight. An idle node sheds nothing.
bool LoadShedding::misses_objective(const Request& request, const Node& node) const {
  const double left = latency_.objective(request) - latency_.elapsed(request);
  const double size_factor = std::min(1.0, std::sqrt(sending_times_.mean(request) / request.work));
  const double part = kObjectiveShare * size_factor;
  return idempotency_.may_reject(request) && loads_.load(node) >= kBusyLoad &&
         latency_.expected(request, node) > part * left;
}

std::size_t LoadShedding::size_step(const Request& request) const {
  return static_cast<std::size_t>(std::min(kMaxSizeStep, request.work / sending_times_.mean(request)));
}

bool LoadShedding::underserved(const Request& request) const {
  const AnsweredShares& shares = answered_[static_cast<std::size_t>(request.arrival.request_class)];
  return request.work > sending_times_.mean(request) &&
         shares.by_size[size_step(request)] < kMinAnsweredShare * shares.all;
}

void LoadShedding::record(const Request& request, bool answered) {
  AnsweredShares& shares = answered_[static_cast<std::size_t>(request.arrival.request_class)];
  for (double* share : {&shares.all, &shares.by_size[size_step(request)]}) {
    *share += kSmoothing * ((answered ? 1.0 : 0.0) - *share);
  }
}

}  // namespace trailcourse
