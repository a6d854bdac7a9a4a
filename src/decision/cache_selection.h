// Cache selection: the first cache in rendezvous order; another only where that one fails, is in slow start
// or far busier.
#pragma once

#include "idempotency.h"
#include "load_estimate.h"
#include "outlier_detection.h"
#include "slow_start.h"

namespace trailcourse {

class CacheSelection {
 public:
  // The arguments have to outlive this object.
  CacheSelection(DecisionContext& context, const SlowStart& slow_start, const IdempotencyRules& idempotency,
                 const OutlierDetection& outliers, const LoadEstimate& loads)
      : context_(context),
        slow_start_(slow_start),
        idempotency_(idempotency),
        outliers_(outliers),
        loads_(loads) {}

  // Returns the index of the cache for the next attempt, or -1. Without a healthy cache it is the fallback:
  // the one that failed longest ago, which may have recovered. The fallback gets one request at a time, or
  // all of them if it refuses connections immediately, which costs no time.
  int select(const Request& request);

 private:
  bool usable(const Request& request, int index, double cost);
  int better_fallback(int fallback, int candidate) const;

  DecisionContext& context_;
  const SlowStart& slow_start_;
  const IdempotencyRules& idempotency_;
  const OutlierDetection& outliers_;
  const LoadEstimate& loads_;
};

}  // namespace trailcourse
