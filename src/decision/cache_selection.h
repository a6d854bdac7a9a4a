// Selects the cache for an attempt: the first in rendezvous order, or another one if the first fails, is in
// slow start or is far busier.
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

  // Returns the index of the cache for the next attempt, or -1 if there is none. If no cache is healthy, it
  // is the one that failed longest ago, which may have recovered. That cache gets one request at a time, or
  // all of them if it refuses connections immediately, since a refused connection costs no time.
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
