// Outlier detection: nodes that fail are ejected for a time and come back by way of a single trial attempt.
#pragma once

#include <vector>

#include "decision_context.h"

namespace trailcourse {

// The weight of one failure in the count of consecutive ones.
struct FailurePenalty {
  static constexpr double kFailure = 1.0;
  static constexpr double kNoConnection = 1.5;
  static constexpr double kReset = 0.5;  // a broken connection: where the machine died, the next one fails
  static constexpr double kLate = 0.0;   // counts in the failure rate alone
};

class OutlierDetection {
 public:
  // The context has to outlive this object.
  explicit OutlierDetection(DecisionContext& context) : context_(context) {}

  // Returns whether the node takes ordinary attempts, or its trial can be made now.
  bool healthy(const Node& node) const {
    return node.health.ejected_until < context_.now &&
           !(node.health.ejections > 0 && node.health.trial_in_flight);
  }

  // Returns whether most of the nodes are ejected: a general symptom, whose cause lies elsewhere.
  bool mostly_ejected(const std::vector<int>& nodes) const;

  // Returns whether an attempt that is being sent is the node's trial.
  static bool start_trial(Node& node);

  // Records whether a connection to the target was made, and the end of trials.
  static void on_attempt_ended(Node& node, Node& source, const Attempt& attempt, const AttemptEnded& ended);

  // Records a success. It works off one ejection, and ends one for silence at once. It does not end one for
  // failures: a cache that fails some of its requests would be back with each of the others.
  void record_success(Node& node);

  // Records a failure with its penalty. Failures at the same instant count once: one broken connection ends
  // all attempts that it carries.
  void record_failure(Node& node, double penalty);

  // Records a rejection that the source may have caused, the origin behind it or the cache itself. It
  // ejects a parent only if that one stands out from the best of the others, as a dead one does.
  void record_ambiguous_rejection(Node& source);

  // Ejects a node that has not answered at all since an attempt was sent to it.
  void eject_for_silence(Node& node) { eject(node, true); }

  // Takes in the health check of another router, which adds to this router's own observations and replaces
  // none.
  void on_health_check(const HealthCheckResult& result);

 private:
  void eject(Node& node, bool for_silence);

  DecisionContext& context_;
};

}  // namespace trailcourse
