#include "load_shedding.h"

#include <algorithm>
#include <cmath>

namespace trailcourse {
namespace {

constexpr double kBusyLoad = 1.0;        // load of a node below which nothing is shed
constexpr double kObjectiveShare = 0.9;  // share of the remaining objective that a predicted answer may take
constexpr double kMaxSizeBucket = 2.0;   // the last bucket: sizes from twice the mean of the class
constexpr double kSmoothing = 0.05;      // weight of the latest request in the averages of AnsweredShares
// A size is underserved if its answered share is less than this fraction of the answered share of its class.
constexpr double kMinAnsweredShare = 0.6;

}  // namespace

// Objects larger than the mean are rejected at a smaller part of their objective, since each takes the
// capacity of several small ones of the same priority weight. Nothing is shed at a node with spare capacity.
bool LoadShedding::misses_objective(const Request& request, const Node& node) const {
  const double left = latency_.objective(request) - latency_.elapsed(request);
  const double size_factor = std::min(1.0, std::sqrt(sending_times_.mean(request) / request.work));
  const double part = kObjectiveShare * size_factor;
  return idempotency_.may_reject(request) && loads_.load(node) >= kBusyLoad &&
         latency_.expected(request, node) > part * left;
}

std::size_t LoadShedding::size_bucket(const Request& request) const {
  return static_cast<std::size_t>(std::min(kMaxSizeBucket, request.work / sending_times_.mean(request)));
}

bool LoadShedding::underserved(const Request& request) const {
  const AnsweredShares& shares = answered_[static_cast<std::size_t>(request.arrival.request_class)];
  return request.work > sending_times_.mean(request) &&
         shares.by_size[size_bucket(request)] < kMinAnsweredShare * shares.all;
}

void LoadShedding::record(const Request& request, bool answered) {
  AnsweredShares& shares = answered_[static_cast<std::size_t>(request.arrival.request_class)];
  for (double* share : {&shares.all, &shares.by_size[size_bucket(request)]}) {
    *share += kSmoothing * ((answered ? 1.0 : 0.0) - *share);
  }
}

}  // namespace trailcourse
