// The mean sending time of each request class, learnt from the sizes of requests.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

#include "request.h"
#include "running_statistics.h"

namespace trailcourse {

class SendingTimes {
 public:
  explicit SendingTimes(std::size_t classes) : means_(classes) {}

  void add(const Request& request, double seconds) { mean_of(request).add(seconds); }

  // Returns the mean sending time of the request's class in seconds.
  double mean(const Request& request) const { return mean_of(request).value(kDefaultSeconds); }

  // Returns the same with a margin for a mean of few requests: what a request may cost a node in slow start.
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

  // Makes room for `classes` classes in all.
  void resize(std::size_t classes) { means_.resize(classes); }

  // Starts the class `to` with what the class `from` has learnt.
  void copy_class(std::size_t from, std::size_t to) { means_[to] = means_[from]; }

 private:
  static constexpr double kDefaultSeconds = 0.2;  // of sending where nothing is known yet
  static constexpr double kUncertainty = 1.0;     // of the mean, over the root of the requests seen

  Mean& mean_of(const Request& request) {
    return means_[static_cast<std::size_t>(request.arrival.request_class)];
  }
  const Mean& mean_of(const Request& request) const {
    return means_[static_cast<std::size_t>(request.arrival.request_class)];
  }

  std::vector<Mean> means_;
};

}  // namespace trailcourse
