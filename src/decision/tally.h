// Running figures; plain arithmetic, nothing is decided here.
#pragma once

#include <trailcourse/decider.h>

#include <algorithm>
#include <cmath>

#include "hashing.h"

namespace trailcourse {

// The mean of what was added, or `otherwise` before anything was.
class Mean {
 public:
  void add(double value) {
    sum_ += value;
    count_ += 1.0;
  }
  double value(double otherwise) const { return count_ > 0.0 ? sum_ / count_ : otherwise; }
  // The same, raised for a mean of few: where sizes have a long tail most of few lie under their mean.
  double surely(double otherwise, double doubt) const {
    return value(otherwise) * (1.0 + doubt / std::sqrt(1.0 + count_));
  }

 private:
  double sum_ = 0.0;
  double count_ = 0.0;
};

// What is added a second; `decay` weighs the past at each addition.
class Rate {
 public:
  void add(double value, Micros now, double decay) {
    sum_ = decay * sum_ + value;
    span_ = last_ >= Micros(0) ? decay * span_ + to_seconds(now - last_) : 0.0;
    last_ = now;
  }
  // Spread over `least` seconds or more.
  double per_second(double least) const { return sum_ / std::max(least, span_); }

 private:
  double sum_ = 0.0;
  double span_ = 0.0;
  Micros last_{-1};
};

// Tokens that are earned up to a bound and spent one at a time.
class Tokens {
 public:
  explicit Tokens(double most) : most_(most), held_(most) {}

  void earn(double amount) { held_ = std::min(most_, held_ + amount); }
  bool spend() {
    const bool granted = held_ >= 1.0;
    held_ -= granted ? 1.0 : 0.0;
    return granted;
  }

 private:
  double most_;
  double held_;
};

// A part that may hold no more than a share of the whole; `decay` weighs the past at each addition.
class BoundedPart {
 public:
  // Adds to the whole, and to the part where that is wanted and fits; whether it was added to the part.
  bool add(double amount, bool wanted, double share, double decay) {
    whole_ = decay * whole_ + amount;
    part_ *= decay;
    const bool fits = wanted && part_ + amount <= share * whole_;
    part_ += fits ? amount : 0.0;
    return fits;
  }

 private:
  double whole_ = 0.0;
  double part_ = 0.0;
};

}  // namespace trailcourse
