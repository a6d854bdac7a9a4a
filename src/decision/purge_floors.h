// Purge floors: no copy from before the latest purge of an object may answer a request for it.
#pragma once

#include <trailcourse/decider.h>

#include "decision_context.h"
#include "purge_history.h"

namespace trailcourse {

class PurgeFloors {
 public:
  // The context has to outlive this object.
  explicit PurgeFloors(const DecisionContext& context);

  // Records a purge at the time `Purged::age` ago.
  void on_purged(const Purged& purged);

  // Returns the maximum age of a copy that may answer the request now; 0: any age. `allow_stale` adds the
  // grace of the class to its lifetime, but does not permit a copy from before a purge. A reported purge
  // applies for as long as it is remembered: a cache that is cut off from the discovery service has not
  // dropped its copies by `Settings::purge_done`, and nothing shows when it does.
  Micros max_age(const Request& request, bool allow_stale) const;

  // Returns the maximum age of a copy that caches are likely to have: like max_age(), but without the purges
  // after which connected caches have dropped their copies.
  Micros max_age_at_connected_caches(const Request& request) const;

  // Returns whether the attempt must not be sent any more, since its maximum age permits a copy from before a
  // purge that was reported later.
  bool invalidates(const Request& request, const Attempt& attempt) const;

 private:
  Micros last_purge(const Request& request) const;
  Micros last_purge_in_progress(const Request& request) const;
  Micros last_possible_purge(const Request& request) const;
  Micros limited_by(Micros age, Micros purge) const;

  const DecisionContext& context_;
  PurgeHistory purges_;
  PurgeHistory possible_purges_;  // apply within their retention only
};

}  // namespace trailcourse
