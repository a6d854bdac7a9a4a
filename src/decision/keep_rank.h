// The keep rank of a request: the Criteria Weighted score V = alpha/f + beta*s/smax + mu*r/rmax + nu*t/tmax,
// mapped to the three ranks with which caches store a copy. f is the request count, s the size, r the number
// of known holders among the rmax parents, and t the idle time. smax is the largest size requested so far;
// tmax is the lifetime of the class, or a default. The weights alpha, beta, mu and nu are kRarityWeight,
// kSizeWeight, kHolderWeight and kIdleWeight.
#pragma once

#include <cstddef>

#include "decision_context.h"
#include "object_table.h"
#include "running_statistics.h"

namespace trailcourse {

// Maximum number of entries in the object table.
inline constexpr std::size_t kMaxObjects = 50'000;

class KeepRank {
 public:
  // The context and the objects have to outlive this object.
  KeepRank(const DecisionContext& context, ObjectTable& objects) : context_(context), objects_(objects) {}

  // Counts a request for a cacheable object and returns its keep rank, from 1 (evicted first) to 3.
  int rank(const Request& request);

 private:
  double score(const Request& request);
  double idle_share(const ObjectEntry& entry, const Request& request) const;
  double holder_share(const ObjectEntry& entry) const;

  const DecisionContext& context_;
  ObjectTable& objects_;
  double largest_kb_ = 0.0;   // the largest object size requested so far, in kilobytes
  BoundedShare top_rank_kb_;  // kilobytes of all ranked requests, and of those with the top rank
};

}  // namespace trailcourse
