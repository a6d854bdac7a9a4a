#include "policy/options.h"

namespace trailcourse::policy {

using config::IntegerRange;
using config::NumberRange;
using config::StringRule;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

const config::Record<PolicyOptions>& policy_record() {
  static const config::Record<PolicyOptions> kRecord = [] {
    using O = PolicyOptions;
    config::Record<O> record(
        "policy",
        "The fleet's policy, which is changed on all routers or on none; needs the section coordination.");
    const IntegerRange ms{1, 600'000};
    record
        .boolean("follow", &O::follow,
                 "decide only by the policy in force, and only while this router has its lease")
        .string(
            "without", &O::without, "-", StringRule{{"both", "refuse"}, false},
            "behaviour while a rollout is suspending; both: serve what both versions allow; refuse: reject "
            "all requests. Without a lease all requests are rejected")
        .string(
            "folder", &O::folder, "path", StringRule{},
            "folder where policy versions are stored before they are reported as ready; none: they are not "
            "stored")
        .integer("ttl_ms", &O::ttl_ms, "ms", IntegerRange{200, 600'000},
                 "lease time; a rollout waits this long for a stopped router, and a router that cannot reach "
                 "the store stops serving after this time")
        .integer("renew_ms", &O::renew_ms, "ms", ms,
                 "time after which the lease is renewed; ttl_ms has to cover two renewals")
        .number("drift_percent", &O::drift_percent, "%", NumberRange{0.0, 20.0},
                "maximum difference in rate between two clocks")
        .integer("margin_ms", &O::margin_ms, "ms", IntegerRange{0, 60'000},
                 "time by which the lease ends early, for the delay between the clock check and the decision")
        .integer("retry_ms", &O::retry_ms, "ms", ms,
                 "delay before a retry of a store call that was lost or rejected")
        .integer("prepare_most_ms", &O::prepare_most_ms, "ms", IntegerRange{100, 3'600'000},
                 "maximum time for which a rollout waits until all routers are ready; it is then aborted")
        .integer(
            "hold_most_ms", &O::hold_most_ms, "ms", IntegerRange{100, 3'600'000},
            "maximum time for which a rollout waits until all routers have suspended the old version; has "
            "to be above ttl_ms");
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
