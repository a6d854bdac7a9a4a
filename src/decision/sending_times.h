// The mean sending time of each request class, estimated from the sizes of requests.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

#include "request.h"
#include "running_statistics.h"

namespace trailcourse {

// Not thread-safe. Classes are numbered from 0; the class of a passed request has to exist.
class SendingTimes {
 public:
  explicit SendingTimes(std::size_t classes) : means_(classes) {}

  // Adds an observed sending time to the mean of the request's class.
  void add(const Request& request, double seconds) { mean_of(request).add(seconds); }

  // Returns the mean sending time of the request's class in seconds.
  double mean(const Request& request) const { return mean_of(request).value(kDefaultSeconds); }

  // Returns the mean plus a margin that shrinks with the number of observations, in seconds. It is the cost
  // of a request at a node in slow start.
  double upper_mean(const Request& request) const {
    return mean_of(request).upper_value(kDefaultSeconds, kUncertainty);
  }

  // Returns the largest `upper_mean` of all classes.
  double largest_upper_mean() const {
    if (means_.empty()) {
      return kDefaultSeconds;
    }
    double largest = 0.0;
    for (const Mean& mean : means_) {
      largest = std::max(largest, mean.upper_value(kDefaultSeconds, kUncertainty));
    }
    return largest;
  }

  // Sets the number of classes to `classes`; new ones start without observations.
  void resize(std::size_t classes) { means_.resize(classes); }

  // Copies the observations of the class `from` to the class `to`.
  void copy_class(std::size_t from, std::size_t to) { means_[to] = means_[from]; }

 private:
  static constexpr double kDefaultSeconds = 0.2;  // mean of a class without observations
  static constexpr double kUncertainty = 1.0;     // margin of `upper_mean`, as a fraction of the mean

  Mean& mean_of(const Request& request) {
    return means_[static_cast<std::size_t>(request.arrival.request_class)];
  }
  const Mean& mean_of(const Request& request) const {
    return means_[static_cast<std::size_t>(request.arrival.request_class)];
  }

  std::vector<Mean> means_;
};

}  // namespace trailcourse
