#include "startup/options.h"

#include <algorithm>

namespace trailcourse::startup {

using config::RealRange;
using config::WholeRange;
using config::Words;

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
        "How a router starts, and comes back to what it depends on, among many that do the same at that "
        "moment.");
    record
        .flag("spread", &StartOptions::spread,
              "calls and connections are drawn over windows that the fleet's size sets; false: as a plain "
              "router")
        .whole("routers", &StartOptions::routers, "routers", WholeRange{0, 1'000'000},
               "in the fleet; 0: as the settings tell, else as the board says")
        .real("board_calls_per_s", &StartOptions::board_calls_per_s, "calls/s", RealRange{0.1, 1e6},
              "that the board bears from all routers while they start or come back")
        .whole("window_most_ms", &StartOptions::window_most_ms, "ms", WholeRange{50, 3'600'000},
               "the longest time over which first calls, and calls after a failure, are drawn")
        .whole("reask_ms", &StartOptions::reask_ms, "ms", WholeRange{0, 10'000},
               "after news the next call is drawn from so much: all routers were told in the same moment")
        .whole("retry_after_most_s", &StartOptions::retry_after_most_s, "s", WholeRange{0, 3'600},
               "the longest wait named by the board that is obeyed in full")
        .real("node_opens_per_s", &StartOptions::node_opens_per_s, "connections/s", RealRange{0.0, 1e6},
              "that one cache or parent accepts from all routers; 0: opened as requests come")
        .whole("open_window_most_ms", &StartOptions::open_window_most_ms, "ms", WholeRange{0, 600'000},
               "the longest time over which routers begin to use a node that is new or back")
        .whole("node_connections", &StartOptions::node_connections, "connections", WholeRange{0, 1'000'000},
               "that one cache or parent holds from all routers; 0: not bounded here")
        .whole("flap_s", &StartOptions::flap_s, "s", WholeRange{0, 86'400},
               "a node that returns within so long of its last return is a flapping one: its window doubles")
        .text("unsure", &StartOptions::unsure, "-", Words{{"serve", "guard", "refuse"}, false},
              "while the list may be old: serve as before; guard, with age limits that exclude what a purge "
              "not heard of may forbid; refuse at once")
        .whole("told_within_ms", &StartOptions::told_within_ms, "ms", WholeRange{0, 600'000},
               "what the board tells binds so long after, heard or not; 0: the settings' purge grace, and "
               "with unsure `serve` no less than a call that is held takes")
        .whole("lapse_ms", &StartOptions::lapse_ms, "ms", WholeRange{0, 86'400'000},
               "without a word from the board for so long all is refused; 0: never");
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
