#include "startup/options.h"

#include <algorithm>

namespace trailcourse::startup {

using config::RealRange;
using config::WholeRange;
using config::Words;

namespace {

Micros from_ms(std::int64_t ms) { return std::chrono::milliseconds(ms); }

}  // namespace

const config::Record<StartOptions>& start_record() {
  static const config::Record<StartOptions> kRecord = [] {
    config::Record<StartOptions> record("startup",
                                        "How a router starts, and comes back to what it depends on, among "
                                        "many that do the same at that moment.");
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
              "not "
              "heard of may forbid; refuse at once")
        .whole("told_within_ms", &StartOptions::told_within_ms, "ms", WholeRange{0, 600'000},
               "what the board tells binds so long after, heard or not; 0: the settings' purge grace, and "
               "with unsure "
               "`serve` no less than a call that is held takes")
        .whole("lapse_ms", &StartOptions::lapse_ms, "ms", WholeRange{0, 86'400'000},
               "without a word from the board for so long all is refused; 0: never");
    return record;
  }();
  return kRecord;
}

AskingRules asking_rules(const StartOptions& options, Micros least_pause, Micros most_pause, Micros linger) {
  AskingRules rules;
  rules.spread = options.spread;
  rules.calls_per_s = options.board_calls_per_s;
  rules.least_pause = least_pause;
  rules.most_pause = most_pause;
  rules.most_window = from_ms(options.window_most_ms);
  rules.reask = options.spread ? from_ms(options.reask_ms) : Micros(0);
  rules.most_retry_after = std::chrono::seconds(options.retry_after_most_s);
  rules.linger = linger;
  rules.longest_linger = std::max(rules.longest_linger, linger);
  return rules;
}

OpeningRules opening_rules(const StartOptions& options, int per_peer) {
  OpeningRules rules;
  rules.opens_per_s = options.spread ? options.node_opens_per_s : 0.0;
  rules.most_window = from_ms(options.open_window_most_ms);
  rules.node_connections = static_cast<int>(options.node_connections);
  rules.per_peer = per_peer;
  rules.flap_memory = std::chrono::seconds(options.flap_s);
  return rules;
}

ReadinessRules readiness_rules(const StartOptions& options, const Settings& settings, Micros held) {
  ReadinessRules rules;
  rules.unsure = options.unsure == "guard"    ? ReadinessRules::Unsure::kGuard
                 : options.unsure == "refuse" ? ReadinessRules::Unsure::kRefuse
                                              : ReadinessRules::Unsure::kServe;
  const bool strict = rules.unsure != ReadinessRules::Unsure::kServe;
  rules.told_within = options.told_within_ms > 0 ? from_ms(options.told_within_ms)
                      : strict                   ? settings.purge_grace
                                                 : std::max(settings.purge_grace, held);
  rules.purge_done = settings.purge_done;
  rules.lapse = from_ms(options.lapse_ms);
  return rules;
}

}  // namespace trailcourse::startup
