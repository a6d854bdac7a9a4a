// Load shedding: a request whose predicted latency misses its objective is rejected early, large objects
// first. Requests for a large size that is already answered far less often than its class are not shed:
// otherwise every retry for such an object would be rejected too.
#pragma once

#include <array>
#include <cstddef>
#include <vector>

#include "idempotency.h"
#include "latency_model.h"
#include "sending_times.h"

namespace trailcourse {

class LoadShedding {
 public:
  // All arguments but `classes` have to outlive this object.
  LoadShedding(const IdempotencyRules& idempotency, const LatencyModel& latency, const LoadEstimate& loads,
               const SendingTimes& sending_times, std::size_t classes)
      : idempotency_(idempotency),
        latency_(latency),
        loads_(loads),
        sending_times_(sending_times),
        answered_(classes) {}

  // Returns whether the request should be rejected instead of being sent to the node.
  bool sheds(const Request& request, const Node& node) const {
    return misses_objective(request, node) && !underserved(request);
  }

  // Returns whether the request is large and its size is answered far less often than its class.
  bool underserved(const Request& request) const;

  // Returns the sending time in seconds that the fill window assumes for the request: the mean of its class
  // if it is underserved.
  double fill_window_work(const Request& request) const {
    return underserved(request) ? sending_times_.mean(request) : request.work;
  }

  // Records whether a request was answered.
  void record(const Request& request, bool answered);

  // Sets the number of classes to `classes`; new ones start without observations.
  void resize(std::size_t classes) { answered_.resize(classes); }

 private:
  // Smoothed shares of the requests of a class that were answered, on time or late.
  struct AnsweredShares {
    double all = 1.0;
    // By size: below the mean of the class, from the mean, and from twice the mean.
    std::array<double, 3> by_size{1.0, 1.0, 1.0};
  };

  bool misses_objective(const Request& request, const Node& node) const;
  std::size_t size_bucket(const Request& request) const;

  const IdempotencyRules& idempotency_;
  const LatencyModel& latency_;
  const LoadEstimate& loads_;
  const SendingTimes& sending_times_;
  std::vector<AnsweredShares> answered_;
};

}  // namespace trailcourse
