// Outlier detection: a node that fails is ejected for a time, and then gets a single trial attempt before it
// is used again.
#pragma once

#include <vector>

#include "decision_context.h"

namespace trailcourse {

// The weight of a failure in the count of consecutive failures.
struct FailurePenalty {
  static constexpr double kFailure = 1.0;
  static constexpr double kNoConnection = 1.5;
  static constexpr double kReset = 0.5;  // if the machine is down, the next attempt cannot connect either
  static constexpr double kLate = 0.0;   // counts only in the failure rate
};

class OutlierDetection {
 public:
  // The context has to outlive this object.
  explicit OutlierDetection(DecisionContext& context) : context_(context) {}

  // Returns whether the node may get attempts: it is not ejected, or its trial may be sent now.
  bool healthy(const Node& node) const {
    return node.health.ejected_until < context_.now &&
           !(node.health.ejections > 0 && node.health.trial_in_flight);
  }

  // Returns whether more than half of the nodes are ejected, which indicates a common cause elsewhere.
  bool mostly_ejected(const std::vector<int>& nodes) const;

  // Returns whether the attempt that is being sent is the node's trial, and marks the trial as in flight.
  static bool start_trial(Node& node);

  // Records whether a connection to the target was established, and ends the trials of the attempt.
  static void on_attempt_ended(Node& node, Node& source, const Attempt& attempt, const AttemptEnded& ended);

  // Records a success. It lowers the ejection count by one, and ends an ejection for silence immediately. It
  // does not end an ejection for failures: otherwise each success of a cache that fails part of its requests
  // would end its ejection.
  void record_success(Node& node);

  // Records a failure with its penalty. Failures at the same time count once, since one broken connection
  // ends all attempts on it.
  void record_failure(Node& node, double penalty);

  // Records a rejection that the source, the origin behind it or the cache may have caused. The source is
  // ejected only if its failure rate is high and far above the lowest of the other parents, as that of a dead
  // parent is, or if it was ejected before.
  void record_ambiguous_rejection(Node& source);

  // Ejects a node that has not answered at all since an attempt was sent to it.
  void eject_for_silence(Node& node) { eject(node, true); }

  // Applies the result of another router's health check, which supplements this router's own observations and
  // does not replace them.
  void on_health_check(const HealthCheckResult& result);

 private:
  void eject(Node& node, bool for_silence);

  DecisionContext& context_;
};

}  // namespace trailcourse
