// Purge floors: the latest purge that still binds an object sets the oldest copy that may answer for it.
#pragma once

#include <trailcourse/decider.h>

#include "decision_context.h"
#include "purge_history.h"

namespace trailcourse {

class PurgeFloors {
 public:
  // The context has to outlive this object.
  explicit PurgeFloors(const DecisionContext& context);

  // Records a purge, dated back by its age.
  void on_purged(const Purged& purged);

  // Returns the greatest age of a copy that may answer the request now; 0: any age. `allow_stale` adds the
  // grace of the class to its lifetime, but never admits a copy older than a purge.
  Micros max_age(const Request& request, bool allow_stale) const;

  // Returns whether a purge that came after the attempt was sent makes the age that it accepts too great.
  bool overtook(const Request& request, const Attempt& attempt) const;

 private:
  Micros last_purge(const Request& request) const;

  const DecisionContext& context_;
  PurgeHistory purges_;
};

}  // namespace trailcourse
