#include "program/start_options.h"

#include <chrono>

namespace trailcourse::program {

using config::IntegerRange;
using config::NumberRange;
using config::StringRule;
using std::chrono::milliseconds;

const config::Record<RelayOptions>& relay_record() {
  static const config::Record<RelayOptions> kRecord = [] {
    config::Record<RelayOptions> record(
        "relay",
        "Relays of discovery pages between the routers of a zone, where the deployment lets them connect to "
        "each other; off unless peers are named.");
    record
        .string("listen", &RelayOptions::listen, "IP:PORT", StringRule{},
                "address on which this router's peers connect; none: it is not a relay")
        .strings("peers", &RelayOptions::peers, "NAME=IP:PORT",
                 "routers of this zone and their relay addresses; the same list at each router")
        .integer("degree", &RelayOptions::degree, "routers", IntegerRange{1, 1'000},
                 "number of routers that poll one relay; the tree is computed from a hash of the names")
        .integer("linger_ms", &RelayOptions::linger_ms, "ms", IntegerRange{1, 5'000},
                 "long-poll timeout of a relay; each level of the tree adds up to this to the age of a page")
        .integer(
            "grace_ms", &RelayOptions::grace_ms, "ms", IntegerRange{1, 5'000},
            "time after linger_ms at which a poll of a relay has failed; linger_ms and grace_ms together "
            "are the delay that a dead or stalled relay causes")
        .integer(
            "most_age_ms", &RelayOptions::most_age_ms, "ms", IntegerRange{10, 60'000},
            "maximum age of a page that is accepted or relayed; a relay delays an update by at most this")
        .integer("pass_over_ms", &RelayOptions::pass_over_ms, "ms", IntegerRange{1, 600'000},
                 "time for which a relay that failed is quarantined; doubles with each failure, up to 30 s")
        .integer("distrust_s", &RelayOptions::distrust_s, "s", IntegerRange{1, 86'400},
                 "time for which a relay that withheld an update is quarantined")
        .number("audits_per_s", &RelayOptions::audits_per_s, "calls/s", NumberRange{0.0, 1e5},
                "polls of the discovery service itself, of all routers together, to detect relays that "
                "withhold updates; 0: none")
        .integer("connections", &RelayOptions::connections, "connections", IntegerRange{1, 100'000},
                 "maximum open connections of peers");
    return record;
  }();
  return kRecord;
}

startup::RelaySelectorOptions relay_selector_options(const RelayOptions& options) {
  startup::RelaySelectorOptions out;
  out.max_age = milliseconds(options.most_age_ms);
  out.initial_quarantine = milliseconds(options.pass_over_ms);
  out.withholding_quarantine = std::chrono::seconds(options.distrust_s);
  out.audits_per_s = options.audits_per_s;
  return out;
}

}  // namespace trailcourse::program
