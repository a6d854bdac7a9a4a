#include "outlier_detection.h"

#include <algorithm>
#include <cstddef>

#include "time_units.h"

namespace trailcourse {
namespace {

constexpr double kMaxConsecutiveFailures = 3.0;  // a node that reaches it is ejected
constexpr double kMaxFailureRate = 0.4;          // a node that exceeds it is ejected
constexpr double kRateSmoothing = 0.1;           // weight of the latest outcome in the average failure rate

// A parent is an outlier if its failure rate is above kDeadParentRate, which a running parent does not reach
// since some of its answers are hits, and above kOutlierFactor times the lowest rate of the other parents.
constexpr double kDeadParentRate = 0.75;
constexpr double kOutlierFactor = 3.0;

constexpr double kFirstEjection = 1.0;  // seconds; doubles with each further ejection
constexpr int kMaxDoublings = 3;
// As a share of the length of an ejection. It spreads the trials of the routers over time.
constexpr double kEjectionJitter = 0.25;

// A connection refused within this time costs a request almost no time.
constexpr Micros kImmediateRefusal = std::chrono::milliseconds(50);

}  // namespace

bool OutlierDetection::mostly_ejected(const std::vector<int>& nodes) const {
  const auto ejected = std::count_if(nodes.begin(), nodes.end(),
                                     [this](int index) { return !healthy(context_.nodes.at(index)); });
  return 2 * static_cast<std::size_t>(ejected) > nodes.size();
}

bool OutlierDetection::start_trial(Node& node) {
  const bool trial = node.health.ejections > 0 && !node.health.trial_in_flight;
  node.health.trial_in_flight |= trial;
  return trial;
}

void OutlierDetection::on_attempt_ended(Node& node, Node& source, const Attempt& attempt,
                                        const AttemptEnded& ended) {
  node.health.connect_failed = ended.status == Status::kConnectFailed;
  node.health.connect_refused = node.health.connect_failed && ended.latency < kImmediateRefusal;
  node.health.trial_in_flight &= !attempt.node_trial;
  source.health.trial_in_flight &= !attempt.source_trial;
}

void OutlierDetection::record_success(Node& node) {
  NodeHealth& health = node.health;
  health.last_success = context_.now;
  health.consecutive_failures = 0.0;
  health.failure_rate -= kRateSmoothing * health.failure_rate;
  health.ejections = std::max(0, health.ejections - 1);
  if (health.ejected_for_silence) {
    health.ejected_for_silence = false;
    health.ejections = 0;
    health.ejected_until = Micros(-1);
  }
}

void OutlierDetection::record_failure(Node& node, double penalty) {
  NodeHealth& health = node.health;
  if (health.last_failure == context_.now) {
    return;
  }
  health.last_failure = context_.now;
  health.consecutive_failures += penalty;
  health.failure_rate += kRateSmoothing * (1.0 - health.failure_rate);
  if (health.consecutive_failures >= kMaxConsecutiveFailures || health.failure_rate > kMaxFailureRate) {
    eject(node, false);
  }
}

void OutlierDetection::record_ambiguous_rejection(Node& source) {
  double lowest_rate = 1.0;
  for (const int index : context_.nodes.members(Role::kParent)) {
    const Node& parent = context_.nodes.at(index);
    lowest_rate = &parent != &source ? std::min(lowest_rate, parent.health.failure_rate) : lowest_rate;
  }
  NodeHealth& health = source.health;
  health.failure_rate += kRateSmoothing * (1.0 - health.failure_rate);
  const bool is_outlier =
      health.failure_rate > kDeadParentRate && health.failure_rate > kOutlierFactor * lowest_rate;
  if (health.ejections > 0 || is_outlier) {
    eject(source, false);
  }
}

void OutlierDetection::eject(Node& node, bool for_silence) {
  NodeHealth& health = node.health;
  if (health.ejected_until >= context_.now) {
    return;
  }
  const int doublings = std::min(health.ejections, kMaxDoublings);
  const double jitter = context_.draw(1.0 - kEjectionJitter, 1.0 + kEjectionJitter);
  health.ejected_until = context_.now + from_seconds(kFirstEjection * jitter * (1 << doublings));
  health.ejected_for_silence = for_silence;
  health.ejections = doublings + 1;
  health.consecutive_failures = 0.0;
  health.failure_rate *= 0.5;
}

// A failed check counts as a failure, or postpones the next trial of a node that was ejected by this router.
// A successful check permits the trial now.
void OutlierDetection::on_health_check(const HealthCheckResult& result) {
  for (Node& node : context_.nodes.all()) {
    if (!node.listed || node.endpoint.address != result.address) {
      continue;
    }
    NodeHealth& health = node.health;
    if (result.healthy) {
      health.ejected_until = std::min(health.ejected_until, context_.now - Micros(1));
    } else if (health.ejections > 0) {
      health.ejected_until = std::max(health.ejected_until, context_.now + result.valid_for);
    } else {
      record_failure(node, FailurePenalty::kFailure);
    }
  }
}

}  // namespace trailcourse
