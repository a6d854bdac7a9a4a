#include "program/start_options.h"

#include <chrono>

namespace trailcourse::program {

using config::RealRange;
using config::WholeRange;
using config::Words;
using std::chrono::milliseconds;

const config::Record<RelayOptions>& relay_record() {
  static const config::Record<RelayOptions> kRecord = [] {
    config::Record<RelayOptions> record("relay",
                                        "The board's pages passed on between the routers of a zone, where "
                                        "the deployment lets them talk; off unless "
                                        "peers are named.");
    record
        .text("listen", &RelayOptions::listen, "IP:PORT", Words{},
              "where this router's peers ask; none: it passes "
              "nothing on")
        .texts("peers", &RelayOptions::peers, "NAME=IP:PORT",
               "the routers of this zone and where each passes pages on; the same list at each")
        .whole("degree", &RelayOptions::degree, "routers", WholeRange{1, 1'000},
               "that ask one relay; a hash of the names makes the tree")
        .whole("linger_ms", &RelayOptions::linger_ms, "ms", WholeRange{1, 5'000},
               "how long a relay holds a call: each level adds so much to the age of what it says, at most")
        .whole("grace_ms", &RelayOptions::grace_ms, "ms", WholeRange{1, 5'000},
               "beyond that a relay is silent: with linger_ms, what a dead or stalled one costs")
        .whole("most_age_ms", &RelayOptions::most_age_ms, "ms", WholeRange{10, 60'000},
               "the oldest page that is believed or passed on: what a relay tells is late by so much at most")
        .whole("pass_over_ms", &RelayOptions::pass_over_ms, "ms", WholeRange{1, 600'000},
               "a relay that failed is not asked for so long; it doubles, up to 30 s")
        .whole("distrust_s", &RelayOptions::distrust_s, "s", WholeRange{1, 86'400},
               "one that withheld what the board tells is not asked for so long")
        .real("audits_per_s", &RelayOptions::audits_per_s, "calls/s", RealRange{0.0, 1e5},
              "of all routers together, to the board itself, to find out relays that withhold; 0: none")
        .whole("connections", &RelayOptions::connections, "connections", WholeRange{1, 100'000},
               "from peers at once");
    return record;
  }();
  return kRecord;
}

startup::RelaySelectorOptions relay_selector_options(const RelayOptions& options) {
  startup::RelaySelectorOptions rules;
  rules.max_age = milliseconds(options.most_age_ms);
  rules.initial_quarantine = milliseconds(options.pass_over_ms);
  rules.withholding_quarantine = std::chrono::seconds(options.distrust_s);
  rules.audits_per_s = options.audits_per_s;
  return rules;
}

}  // namespace trailcourse::program
