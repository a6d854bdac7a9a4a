// The keep rank of a request: the paper's Criteria Weighted score, V = alpha/f + beta*s/smax + mu*r/rmax +
// nu*t/tmax, mapped to the three ranks at which caches store a copy.
#pragma once

#include <cstddef>

#include "decision_context.h"
#include "object_table.h"
#include "running_statistics.h"

namespace trailcourse {

// The capacity of the object table.
inline constexpr std::size_t kMaxObjects = 50'000;

class KeepRank {
 public:
  // The context and the objects have to outlive this object.
  KeepRank(const DecisionContext& context, ObjectTable& objects) : context_(context), objects_(objects) {}

  // Counts the request of a cacheable object and returns its rank, from 1 (dropped first) to 3.
  int rank(const Request& request);

 private:
  double score(const Request& request);
  double idle_share(const ObjectEntry& entry, const Request& request) const;
  double holder_share(const ObjectEntry& entry) const;

  const DecisionContext& context_;
  ObjectTable& objects_;
  double largest_kb_ = 0.0;
  BoundedShare top_bytes_;  // requested kilobytes that got the top rank
};

}  // namespace trailcourse
