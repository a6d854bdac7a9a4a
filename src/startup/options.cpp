#include "startup/options.h"

#include <algorithm>

namespace trailcourse::startup {

using config::IntegerRange;
using config::NumberRange;
using config::StringRule;

namespace {

Micros from_ms(std::int64_t ms) { return std::chrono::milliseconds(ms); }

// Parses the value of the key `unsure`, which the record has validated.
StalePolicy stale_policy(const std::string& unsure) {
  if (unsure == "guard") {
    return StalePolicy::kLimitAge;
  }
  return unsure == "refuse" ? StalePolicy::kReject : StalePolicy::kServe;
}

}  // namespace

const config::Record<StartOptions>& start_record() {
  static const config::Record<StartOptions> kRecord = [] {
    config::Record<StartOptions> record(
        "startup",
        "How a router starts, and reconnects to its dependencies, when many routers do so at the same time.");
    record
        .boolean("spread", &StartOptions::spread,
                 "spread calls and connections at random over windows whose length depends on the number of "
                 "routers; false: make them at once")
        .integer(
            "routers", &StartOptions::routers, "routers", IntegerRange{0, 1'000'000},
            "number of routers in the fleet; 0: the number in the settings, or else an estimate from the "
            "connections that the discovery service reports")
        .number(
            "board_calls_per_s", &StartOptions::board_calls_per_s, "calls/s", NumberRange{0.1, 1e6},
            "polls per second that the discovery service can serve, from all routers together, while they "
            "start or reconnect")
        .integer("window_most_ms", &StartOptions::window_most_ms, "ms", IntegerRange{50, 3'600'000},
                 "maximum window over which first calls, and calls after a failure, are spread")
        .integer(
            "reask_ms", &StartOptions::reask_ms, "ms", IntegerRange{0, 10'000},
            "maximum random delay of the poll that follows an update, because all routers receive an update "
            "at the same time")
        .integer("retry_after_most_s", &StartOptions::retry_after_most_s, "s", IntegerRange{0, 3'600},
                 "maximum Retry-After of the discovery service; a longer one is reduced to this")
        .number("node_opens_per_s", &StartOptions::node_opens_per_s, "connections/s", NumberRange{0.0, 1e6},
                "new connections per second, from all routers together, that one cache or parent can accept; "
                "0: no slow start, connections open as requests arrive")
        .integer("open_window_most_ms", &StartOptions::open_window_most_ms, "ms", IntegerRange{0, 600'000},
                 "maximum window over which routers start to use a new or returning node")
        .integer("node_connections", &StartOptions::node_connections, "connections",
                 IntegerRange{0, 1'000'000},
                 "connections, from all routers together, that one cache or parent can hold; 0: no limit")
        .integer("flap_s", &StartOptions::flap_s, "s", IntegerRange{0, 86'400},
                 "a node that returns again within this time is flapping, and its admission window doubles")
        .string("unsure", &StartOptions::unsure, "-", StringRule{{"serve", "guard", "refuse"}, false},
                "policy while the endpoint list may be stale; serve: serve as usual; guard: serve, except "
                "for cached copies that a missed purge may forbid; refuse: reject all requests")
        .integer(
            "told_within_ms", &StartOptions::told_within_ms, "ms", IntegerRange{0, 600'000},
            "time from the publication of an event of the discovery service until it is in force, whether it "
            "was received or not; 0: the purge grace of the settings, and with unsure `serve` at least the "
            "duration of a long poll")
        .integer("lapse_ms", &StartOptions::lapse_ms, "ms", IntegerRange{0, 86'400'000},
                 "time without a response of the discovery service after which all requests are rejected; 0: "
                 "never");
    return record;
  }();
  return kRecord;
}

PollOptions poll_options(const StartOptions& options, Micros min_backoff, Micros max_backoff,
                         Micros long_poll_timeout) {
  PollOptions out;
  out.spread = options.spread;
  out.calls_per_s = options.board_calls_per_s;
  out.min_backoff = min_backoff;
  out.max_backoff = max_backoff;
  out.max_window = from_ms(options.window_most_ms);
  out.update_jitter = options.spread ? from_ms(options.reask_ms) : Micros(0);
  out.max_retry_after = std::chrono::seconds(options.retry_after_most_s);
  out.long_poll_timeout = long_poll_timeout;
  out.max_long_poll_timeout = std::max(out.max_long_poll_timeout, long_poll_timeout);
  return out;
}

AdmissionOptions admission_options(const StartOptions& options, int max_connections_per_router) {
  AdmissionOptions out;
  out.admissions_per_s = options.spread ? options.node_opens_per_s : 0.0;
  out.max_window = from_ms(options.open_window_most_ms);
  out.endpoint_connections = static_cast<int>(options.node_connections);
  out.max_connections_per_router = max_connections_per_router;
  out.flap_window = std::chrono::seconds(options.flap_s);
  return out;
}

ReadinessOptions readiness_options(const StartOptions& options, const Settings& settings,
                                   Micros max_poll_duration) {
  ReadinessOptions out;
  out.stale_policy = stale_policy(options.unsure);
  out.purge_completion = settings.purge_done;
  out.expiry = from_ms(options.lapse_ms);
  if (options.told_within_ms > 0) {
    out.notification_bound = from_ms(options.told_within_ms);
  } else if (out.stale_policy == StalePolicy::kServe) {
    out.notification_bound = std::max(settings.purge_grace, max_poll_duration);
  } else {
    out.notification_bound = settings.purge_grace;
  }
  return out;
}

}  // namespace trailcourse::startup
