// Running statistics: means, rates, token buckets and bounded shares.
#pragma once

#include <trailcourse/decider.h>

#include <algorithm>
#include <cmath>

#include "time_units.h"

namespace trailcourse {

// The arithmetic mean of all added values.
class Mean {
 public:
  void add(double value) {
    sum_ += value;
    count_ += 1.0;
  }

  // Returns the mean, or `fallback` if there are no values.
  double value(double fallback) const { return count_ > 0.0 ? sum_ / count_ : fallback; }

  // Returns the mean plus a margin that shrinks with the square root of the number of values. `margin` is a
  // fraction of the mean. For a long-tailed distribution, the mean of a few values is usually below the true
  // mean.
  double upper_value(double fallback, double margin) const {
    return value(fallback) * (1.0 + margin / std::sqrt(1.0 + count_));
  }

 private:
  double sum_ = 0.0;
  double count_ = 0.0;
};

// An average rate: the amount added per second. Each addition multiplies the weight of all earlier ones by
// its `decay`.
class Rate {
 public:
  void add(double amount, Micros now, double decay) {
    sum_ = decay * sum_ + amount;
    span_ = last_ >= Micros(0) ? decay * span_ + to_seconds(now - last_) : 0.0;
    last_ = now;
  }

  // Returns the rate over the observed span, or over `min_span` seconds if that is longer.
  double per_second(double min_span) const { return sum_ / std::max(min_span, span_); }

 private:
  double sum_ = 0.0;
  double span_ = 0.0;
  Micros last_{-1};
};

// A token bucket that starts full.
class TokenBucket {
 public:
  explicit TokenBucket(double capacity) : capacity_(capacity), tokens_(capacity) {}

  void add(double amount) { tokens_ = std::min(capacity_, tokens_ + amount); }

  // Takes one token and returns true, or returns false if less than one is left.
  bool try_consume() {
    const bool granted = tokens_ >= 1.0;
    tokens_ -= granted ? 1.0 : 0.0;
    return granted;
  }

 private:
  double capacity_;
  double tokens_;
};

// A total and a part of it that may not exceed a given share. Both decay with each addition.
class BoundedShare {
 public:
  // Adds `amount` to the total, and also to the part if `wanted` is true and the part stays within
  // `max_share` of the total. Returns whether it was added to the part.
  bool add(double amount, bool wanted, double max_share, double decay) {
    total_ = decay * total_ + amount;
    part_ *= decay;
    const bool fits = wanted && part_ + amount <= max_share * total_;
    part_ += fits ? amount : 0.0;
    return fits;
  }

 private:
  double total_ = 0.0;
  double part_ = 0.0;
};

}  // namespace trailcourse
