// Attributes the outcome of an attempt to a node, and determines which nodes the request avoids afterwards.
// The note of an answer distinguishes a failing source from a failing cache.
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

  // Records a success of the nodes of an answered attempt. A late fill through a cache that is not overloaded
  // counts against its source if the source had the object cached, or if the first byte came early and the
  // transfer was slow, as over a slow link; otherwise it counts against the origin.
  void on_success(const Request& request, const Attempt& attempt, const AttemptEnded& ended);

  // Records a failure of the target or the source of a failed attempt, and sets which of them the request
  // avoids.
  void on_failure(Attempt& attempt, const AttemptEnded& ended);

  // Handles an attempt that is overdue:
  // - If its cache has answered nothing since the send, the cache is ejected as silent.
  // - If its cache has answered others but its source has not, the failure counts against the source.
  // - If both have answered others, fills do not fail and the cache is not overloaded, the answer is
  //   considered lost, and no node is penalised.
  // - Otherwise the answer is only slow.
  // Returns whether another attempt should be made, which is so in all cases but the last.
  bool on_overdue(Attempt& attempt);

 private:
  void attribute_fill(const Request& request, const Attempt& attempt, const AttemptEnded& ended);
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
