// Failure attribution: which node the outcome of an attempt counts for or against, and which nodes the
// request avoids from now on. The note of an answer distinguishes a failing source from a failing cache.
#pragma once

#include "fill_window.h"
#include "latency_model.h"
#include "load_estimate.h"
#include "outlier_detection.h"
#include "source_selection.h"

namespace trailcourse {

class FailureAttribution {
 public:
  // The arguments have to outlive this object.
  FailureAttribution(DecisionContext& context, const LoadEstimate& loads, const LatencyModel& latency,
                     const FillWindow& fills, OutlierDetection& outliers, SourceSelection& sources)
      : context_(context),
        loads_(loads),
        latency_(latency),
        fills_(fills),
        outliers_(outliers),
        sources_(sources) {}

  // Credits the nodes of an answered attempt. A late fill through a cache that is not overloaded counts
  // against its source if that had the object cached, or if the fill began soon and was then slow, as over a
  // slow link; else against the origin.
  void on_success(const Request& request, const Attempt& attempt, const AttemptEnded& ended);

  // Penalises the node or the source of a failed attempt, and excludes them for the request.
  void on_failure(Attempt& attempt, const AttemptEnded& ended);

  // Judges an attempt that is overdue. If its cache has answered nothing since, the machine is silent; if
  // only its source has not, the source is; if both have and neither fills fail nor the cache is overloaded,
  // the answer is lost, for which nobody is penalised. Returns whether another attempt should be made; if
  // not, the answer is slow, and waiting is best.
  bool on_overdue(Attempt& attempt);

 private:
  void judge_fill(const Request& request, const Attempt& attempt, const AttemptEnded& ended);
  void penalise_source(Attempt& attempt, Note note);
  void penalise_node(Attempt& attempt, Status status);

  DecisionContext& context_;
  const LoadEstimate& loads_;
  const LatencyModel& latency_;
  const FillWindow& fills_;
  OutlierDetection& outliers_;
  SourceSelection& sources_;
};

}  // namespace trailcourse
