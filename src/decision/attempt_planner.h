// Plans one attempt: its target, its fill source, which copies it accepts and what it reserves in the fill
// window.
#pragma once

#include "cache_selection.h"
#include "fill_window.h"
#include "load_estimate.h"
#include "purge_floors.h"
#include "source_selection.h"

namespace trailcourse {

class AttemptPlanner {
 public:
  // The arguments have to outlive this object.
  AttemptPlanner(DecisionContext& context, const IdempotencyRules& idempotency,
                 const OutlierDetection& outliers, const LoadEstimate& loads, const PurgeFloors& purges,
                 CacheSelection& caches, SourceSelection& sources, FillWindow& fills)
      : context_(context),
        idempotency_(idempotency),
        outliers_(outliers),
        loads_(loads),
        purges_(purges),
        caches_(caches),
        sources_(sources),
        fills_(fills) {}

  // Returns the index of the target of the next attempt, or -1 if there is none. An uncacheable request is
  // sent directly to the origin if the settings allow it, otherwise to a cache.
  int select_target(const Request& request);

  // Returns the plan of an attempt at the target. If its fill does not fit the fill window, the attempt
  // accepts only what the cache or the selected healthy parent has cached, to take load off the origin.
  Attempt plan(const Request& request, int target);

  // Returns the action that sends the attempt.
  SendAttempt action(const Request& request, const Attempt& attempt) const;

 private:
  bool may_ask_parent(int target, int source) const;

  DecisionContext& context_;
  const IdempotencyRules& idempotency_;
  const OutlierDetection& outliers_;
  const LoadEstimate& loads_;
  const PurgeFloors& purges_;
  CacheSelection& caches_;
  SourceSelection& sources_;
  FillWindow& fills_;
};

}  // namespace trailcourse
