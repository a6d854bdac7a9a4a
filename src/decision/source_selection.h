// Source selection: the home parent of an object over all listed ones; the next, then the origin, where that
// one is ejected, in slow start or has just failed the request.
//
// A source whose fills are rejected, late or missing takes only a quota of the objects. Every router lets the
// same objects go on to the next source, so that a slow or overloaded one serves as much as it can. If all
// sources are slow, this shifts more load to the origin, up to its own quota.
#pragma once

#include <vector>

#include "decision_context.h"
#include "outlier_detection.h"
#include "slow_start.h"

namespace trailcourse {

// What the outcome of a fill counts for or against: the source itself, or the origin behind it.
enum class FillOrigin { kSource, kOrigin };

class SourceSelection {
 public:
  // The arguments have to outlive this object.
  SourceSelection(DecisionContext& context, const SlowStart& slow_start, const OutlierDetection& outliers)
      : context_(context), slow_start_(slow_start), outliers_(outliers) {}

  // Returns the index of the source that a miss at the cache is filled from. With no healthy source the cause
  // lies elsewhere, and it is the first usable one. Without any source it is the cache itself.
  int select(const Request& request, int cache);

  // Raises or lowers the quota of the source, or of the origin behind it.
  void record_fill(Node& source, bool good, FillOrigin origin);

 private:
  std::vector<int> candidates(const Request& request) const;
  bool within_quota(const Node& source, const Request& request) const;

  DecisionContext& context_;
  const SlowStart& slow_start_;
  const OutlierDetection& outliers_;
};

}  // namespace trailcourse
