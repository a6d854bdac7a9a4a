// Selects the source of a fill: the home parent of the object, which is the first listed parent in rendezvous
// order. If that one is ejected, in slow start or has just failed the request, the next parent is used, and
// after the parents the origin.
//
// A source whose fills are rejected, late or never answered serves only a quota of the objects. All routers
// move the same objects to the next source, so that a slow or overloaded source serves as much as it can. If
// all parents are slow, this shifts more load to the origin, up to its own quota.
#pragma once

#include <vector>

#include "decision_context.h"
#include "outlier_detection.h"
#include "slow_start.h"

namespace trailcourse {

// The node whose quota the outcome of a fill changes: the source itself, or the origin behind it.
enum class QuotaOwner { kSource, kOrigin };

class SourceSelection {
 public:
  // The arguments have to outlive this object.
  SourceSelection(DecisionContext& context, const SlowStart& slow_start, const OutlierDetection& outliers)
      : context_(context), slow_start_(slow_start), outliers_(outliers) {}

  // Returns the index of the source that a miss at the cache is filled from. If no source is healthy and
  // within its quota, the cause is probably elsewhere, and it is the first usable one. If no source is
  // usable, it is the last candidate, and if none is listed, the cache itself.
  int select(const Request& request, int cache);

  // Raises the quota of the source, or of the origin behind it, if the fill was `good`, and lowers it
  // otherwise.
  void record_fill(Node& source, bool good, QuotaOwner owner);

 private:
  std::vector<int> candidates(const Request& request) const;
  bool within_quota(const Node& source, const Request& request) const;

  DecisionContext& context_;
  const SlowStart& slow_start_;
  const OutlierDetection& outliers_;
};

}  // namespace trailcourse
