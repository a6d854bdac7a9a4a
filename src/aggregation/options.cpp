#include "aggregation/options.h"

#include <chrono>
#include <set>

#include "transport/socket.h"

namespace trailcourse::aggregation {

using config::IntegerRange;
using config::KeyError;
using config::NumberRange;
using config::StringRule;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

// One transaction writes all summaries, and each of them needs a condition and a write in it.
constexpr std::size_t kMaxZones = 64;

void check_address(const std::string& key, const std::string& text) {
  if (!transport::parse_address(text)) {
    throw KeyError(key, "'" + text + "' is not an address like 10.0.0.4:4100");
  }
}

void check_zones(const AggregatorOptions& options) {
  if (options.zones.empty() || options.zones.size() > kMaxZones) {
    throw KeyError("aggregator.zones", std::to_string(options.zones.size()) + " are given, 1 to " +
                                           std::to_string(kMaxZones) + " are allowed");
  }
  std::set<std::string> zones;
  for (const std::string& zone : options.zones) {
    if (!coordination::is_name(options.name + "." + zone)) {
      throw KeyError("aggregator.zones", "'" + options.name + "." + zone +
                                             "' is not a name of up to 64 letters, digits, '.', '-', '_'");
    }
    if (!zones.insert(zone).second) {
      throw KeyError("aggregator.zones", "'" + zone + "' is listed twice");
    }
  }
}

void check_times(const AggregatorOptions& options, std::int64_t router_ttl_ms) {
  const Micros valid = ownership::guaranteed_duration(aggregator_settings(options).lease);
  const std::int64_t valid_ms = duration_cast<milliseconds>(valid).count();
  if (2 * options.renew_ms > valid_ms) {
    throw KeyError("aggregator.renew_ms", std::to_string(options.renew_ms) + " is over half of the " +
                                              std::to_string(valid_ms) +
                                              " ms for which its lease is guaranteed");
  }
  // The time left just before a renewal. A router's lease is granted for its full duration or not at all.
  const std::int64_t left_ms = valid_ms - options.renew_ms;
  if (router_ttl_ms > left_ms) {
    throw KeyError("aggregator.ttl_ms",
                   "its lease is guaranteed for " + std::to_string(valid_ms) + " ms, of which " +
                       std::to_string(left_ms) +
                       " ms are left before a renewal: less than policy.ttl_ms of routers, " +
                       std::to_string(router_ttl_ms));
  }
}

}  // namespace

const config::Record<AggregatorOptions>& aggregator_record() {
  static const config::Record<AggregatorOptions> kRecord = [] {
    using O = AggregatorOptions;
    config::Record<O> record(
        "aggregator",
        "A process between the routers of a region and the coordination store, which the "
        "section coordination sets.");
    const IntegerRange ms{1, 600'000};
    record
        .string("listen", &O::listen, "IP:PORT", StringRule{{}, true},
                "address on which the routers of the region connect")
        .string("name", &O::name, "-", StringRule{{}, true},
                "name of this aggregator; its summaries are stored under NAME.ZONE")
        .strings("zones", &O::zones, "-", "zones whose routers it serves; 1 to 64")
        .string("board", &O::board, "IP:PORT", StringRule{},
                "address of the discovery service; with it this aggregator may own the fleet's work of kind "
                "acknowledge")
        .integer("ttl_ms", &O::ttl_ms, "ms", IntegerRange{200, 600'000},
                 "duration of its own lease at the store; a rollout waits this long for a failed aggregator")
        .integer(
            "renew_ms", &O::renew_ms, "ms", ms,
            "time after which it renews its lease; ttl_ms has to cover two renewals, and one renewal plus "
            "policy.ttl_ms of the routers")
        .number("drift_percent", &O::drift_percent, "%", NumberRange{0.0, 20.0},
                "maximum difference in rate between its clock and the store's")
        .integer("margin_ms", &O::margin_ms, "ms", IntegerRange{0, 60'000},
                 "time by which its lease ends early, for the delay between the clock check and the response")
        .integer("retry_ms", &O::retry_ms, "ms", ms,
                 "delay before a retry of a store call that was lost or rejected")
        .integer("routers", &O::routers, "routers", IntegerRange{1, 100'000},
                 "maximum number of routers with a lease; others are rejected and try the next aggregator")
        .integer("connections", &O::connections, "connections", IntegerRange{1, 1'000'000},
                 "maximum open connections; a router has usually two, at most three");
    return record;
  }();
  return kRecord;
}

void check_aggregator(const AggregatorOptions& options, std::int64_t router_ttl_ms) {
  check_address("aggregator.listen", options.listen);
  if (!options.board.empty()) {
    check_address("aggregator.board", options.board);
  }
  check_zones(options);
  check_times(options, router_ttl_ms);
}

AggregatorSettings aggregator_settings(const AggregatorOptions& options) {
  AggregatorSettings settings;
  settings.lease.ttl = milliseconds(options.ttl_ms);
  settings.lease.drift = options.drift_percent / 100.0;
  settings.lease.margin = milliseconds(options.margin_ms);
  settings.lease.renew_after = milliseconds(options.renew_ms);
  settings.lease.retry_backoff = milliseconds(options.retry_ms);
  settings.routers.max_routers = static_cast<std::size_t>(options.routers);
  return settings;
}

const config::Record<AggregationOptions>& aggregation_record() {
  static const config::Record<AggregationOptions> kRecord = [] {
    config::Record<AggregationOptions> record(
        "aggregation",
        "The aggregators of a router's region. If they are set, the router gets the policy and its lease "
        "from "
        "them, and needs the store of the section coordination only for owned work.");
    record.strings(
        "endpoints", &AggregationOptions::endpoints, "IP:PORT",
        "addresses of aggregators that serve this router's zone, in the order in which they are tried");
    return record;
  }();
  return kRecord;
}

void check_aggregation(const AggregationOptions& options) {
  for (const std::string& endpoint : options.endpoints) {
    check_address("aggregation.endpoints", endpoint);
  }
}

coordination::CoordinationOptions through_aggregators(coordination::CoordinationOptions coordination,
                                                      const AggregationOptions& options) {
  coordination.store = "etcd";
  coordination.endpoints = options.endpoints;
  return coordination;
}

}  // namespace trailcourse::aggregation
