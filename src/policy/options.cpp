#include "policy/options.h"

namespace trailcourse::policy {

using config::RealRange;
using config::WholeRange;
using config::Words;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

const config::Record<PolicyOptions>& policy_record() {
  static const config::Record<PolicyOptions> kRecord = [] {
    using O = PolicyOptions;
    config::Record<O> record("policy",
                             "The fleet's policy, which takes hold everywhere or nowhere; needs the section "
                             "coordination.");
    const WholeRange ms{1, 600'000};
    record
        .flag("follow", &O::follow,
              "this router decides only by the policy in force, and while it has its lease")
        .text("without", &O::without, "-", Words{{"both", "refuse"}, false},
              "what it does between two versions: serve what both allow, or refuse at once; without the "
              "store it refuses")
        .text("folder", &O::folder, "path", Words{},
              "where versions are stored before they are reported as ready; none: they are not stored")
        .whole(
            "ttl_ms", &O::ttl_ms, "ms", WholeRange{200, 600'000},
            "of a lease: a change waits so long for a router that is stopped, and a router without the store "
            "serves no longer")
        .whole("renew_ms", &O::renew_ms, "ms", ms, "after which it is renewed; ttl_ms holds two at least")
        .real("drift_percent", &O::drift_percent, "%", RealRange{0.0, 20.0},
              "by which two clocks may run apart")
        .whole("margin_ms", &O::margin_ms, "ms", WholeRange{0, 60'000},
               "by which a lease ends sooner: between a look at the clock and the decision")
        .whole("retry_ms", &O::retry_ms, "ms", ms, "after a call to the store that was lost or refused")
        .whole("prepare_most_ms", &O::prepare_most_ms, "ms", WholeRange{100, 3'600'000},
               "for which a change waits until all are ready; then it is aborted")
        .whole("hold_most_ms", &O::hold_most_ms, "ms", WholeRange{100, 3'600'000},
               "for which it waits until all hold; over ttl_ms");
    return record;
  }();
  return kRecord;
}

void check_policy(const PolicyOptions& options) {
  const std::int64_t guaranteed_ms =
      duration_cast<milliseconds>(ownership::guaranteed_duration(participant_options(options).lease)).count();
  if (2 * options.renew_ms > guaranteed_ms) {
    throw config::KeyError("policy.renew_ms", std::to_string(options.renew_ms) + " is over half of the " +
                                                  std::to_string(guaranteed_ms) +
                                                  " ms for which a lease is guaranteed");
  }
  if (options.hold_most_ms <= options.ttl_ms) {
    throw config::KeyError(
        "policy.hold_most_ms",
        std::to_string(options.hold_most_ms) + " is not over ttl_ms, " + std::to_string(options.ttl_ms));
  }
}

ParticipantOptions participant_options(const PolicyOptions& options) {
  ParticipantOptions out;
  out.lease.ttl = milliseconds(options.ttl_ms);
  out.lease.drift = options.drift_percent / 100.0;
  out.lease.margin = milliseconds(options.margin_ms);
  out.lease.renew_after = milliseconds(options.renew_ms);
  out.lease.retry_backoff = milliseconds(options.retry_ms);
  out.serve_intersection = options.without == "both";
  return out;
}

RolloutTimeouts rollout_timeouts(const PolicyOptions& options) {
  RolloutTimeouts out;
  out.prepare_timeout = milliseconds(options.prepare_most_ms);
  out.suspend_timeout = milliseconds(options.hold_most_ms);
  return out;
}

}  // namespace trailcourse::policy
