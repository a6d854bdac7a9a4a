#include "tasks/options.h"

#include <algorithm>
#include <iterator>

namespace trailcourse::tasks {

using config::IntegerRange;
using config::NumberRange;
using std::chrono::milliseconds;

namespace {

constexpr const char* kKinds[] = {"probe", "fill", "report", "policy", "acknowledge"};

constexpr IntegerRange kMilliseconds{1, 600'000};

// Adds the keys of shard ownership: assignment, leases and backoff.
void add_lease_keys(config::Record<OwnershipOptions>& record) {
  using O = OwnershipOptions;
  record
      .strings("kinds", &O::kinds, "-",
               "kinds of work that this router may own: probe, fill, report, policy, acknowledge")
      .integer("ttl_ms", &O::ttl_ms, "ms", IntegerRange{200, 600'000},
               "lease time of a shard; after its owner dies, the shard may be without an owner for this long")
      .number("drift_percent", &O::drift_percent, "%", NumberRange{0.0, 20.0},
              "maximum difference in rate between two clocks; an owner stops earlier by this share of the "
              "lease time")
      .integer("margin_ms", &O::margin_ms, "ms", IntegerRange{0, 60'000},
               "time between the lease check of an owner and the moment its effect is sent")
      .integer("renew_ms", &O::renew_ms, "ms", kMilliseconds,
               "time after which an owner renews its lease; ttl_ms has to cover two renewals")
      .integer("retry_ms", &O::retry_ms, "ms", kMilliseconds,
               "delay before a retry of a store call that was lost or rejected")
      .integer("turn_ms", &O::turn_ms, "ms", IntegerRange{0, 60'000},
               "delay of a candidate for each candidate before it, so that not all acquire at once")
      .integer("longest_turn_ms", &O::longest_turn_ms, "ms", IntegerRange{0, 600'000},
               "maximum delay of a candidate")
      .integer("settle_ms", &O::settle_ms, "ms", IntegerRange{0, 3'600'000},
               "time for which a preferred owner has to be available before a shard is handed over to it")
      .integer("yield_ms", &O::yield_ms, "ms", IntegerRange{0, 10'000},
               "maximum wait for the last checkpoint when a shard is released, also while this router drains")
      .integer(
          "stand_back_ms", &O::stand_back_ms, "ms", kMilliseconds,
          "cooldown after a release on request, during which this router does not acquire the shard again")
      .integer(
          "most_starts", &O::most_starts, "owners", IntegerRange{1, 100},
          "maximum consecutive starts that failed; the shard is then parked until an operator resumes it")
      .integer("poison_pause_ms", &O::poison_pause_ms, "ms", kMilliseconds,
               "backoff before the second start; doubles with each further start")
      .integer("longest_poison_pause_ms", &O::longest_poison_pause_ms, "ms", IntegerRange{1, 86'400'000},
               "maximum backoff before a start")
      .integer("most_owned", &O::most_owned, "shards", IntegerRange{1, 10'000},
               "maximum number of shards that this router owns");
}

// Adds the keys of membership and of eligibility for work.
void add_membership_keys(config::Record<OwnershipOptions>& record) {
  using O = OwnershipOptions;
  record
      .integer("member_ttl_ms", &O::member_ttl_ms, "ms", IntegerRange{200, 600'000},
               "time after which a router that does not renew its membership is no longer a member")
      .integer("member_renew_ms", &O::member_renew_ms, "ms", kMilliseconds,
               "time after which a router renews its membership")
      .integer("neighbours", &O::neighbours, "routers", IntegerRange{0, 10},
               "number of other routers that each router checks for reachability; 0: none")
      .integer("neighbour_ms", &O::neighbour_ms, "ms", kMilliseconds,
               "interval between two reachability checks")
      .integer(
          "neighbour_misses", &O::neighbour_misses, "tries", IntegerRange{1, 100},
          "consecutive failed checks that raise a suspicion; a router that two neighbours suspect gets no "
          "owned work")
      .number("flap_suppress", &O::flap_suppress, "returns", NumberRange{1.0, 1'000.0},
              "number of recent returns above which a router gets no work")
      .number("flap_reuse", &O::flap_reuse, "returns", NumberRange{0.01, 1'000.0},
              "number of recent returns below which a router gets work again")
      .integer("flap_half_life_s", &O::flap_half_life_s, "s", IntegerRange{1, 86'400},
               "half-life of a return in the count of recent returns");
}

// Adds the keys of the individual kinds of work.
void add_task_keys(config::Record<OwnershipOptions>& record) {
  using O = OwnershipOptions;
  record
      .integer("suspect_after", &O::suspect_after, "failures", IntegerRange{1, 1'000},
               "consecutive failures after which a router reports a cache to the router that owns its health "
               "checks")
      .integer("probe_ms", &O::probe_ms, "ms", kMilliseconds,
               "interval between two health checks of a suspected cache")
      .integer("probe_timeout_ms", &O::probe_timeout_ms, "ms", kMilliseconds,
               "timeout of the connection of a health check, and of its response")
      .integer("verdict_ms", &O::verdict_ms, "ms", kMilliseconds,
               "time for which the result of a health check is valid; the router that checks renews it after "
               "half of this "
               "time")
      .integer("report_ms", &O::report_ms, "ms", IntegerRange{100, 600'000},
               "interval between two counter updates of a router, and between two fleet reports")
      .integer("acknowledge_ms", &O::acknowledge_ms, "ms", IntegerRange{10, 600'000},
               "minimum interval between two rounds in which all routers acknowledge events of the discovery "
               "service")
      .integer("fill_open", &O::fill_open, "requests", IntegerRange{1, 1'000},
               "maximum concurrent prefetch requests of each shard")
      .integer("fill_tries", &O::fill_tries, "tries", IntegerRange{1, 1'000},
               "maximum attempts to prefetch one object")
      .integer("fill_retry_ms", &O::fill_retry_ms, "ms", kMilliseconds,
               "backoff between two attempts of one object; doubles with each")
      .integer("fill_patience_ms", &O::fill_patience_ms, "ms", IntegerRange{100, 60'000},
               "timeout of each prefetch attempt");
}

// Throws config::KeyError if one lost renewal would end the lease.
void check_renewal(const std::string& key, std::int64_t renew_ms, const ownership::LeaseOptions& lease) {
  const std::int64_t valid_ms =
      std::chrono::duration_cast<milliseconds>(ownership::guaranteed_duration(lease)).count();
  if (2 * renew_ms > valid_ms) {
    throw config::KeyError("ownership." + key,
                           std::to_string(renew_ms) + " is over half of the " + std::to_string(valid_ms) +
                               " ms for which a lease is guaranteed: one lost renewal would end it");
  }
}

}  // namespace

const config::Record<OwnershipOptions>& ownership_record() {
  static const config::Record<OwnershipOptions> kRecord = [] {
    config::Record<OwnershipOptions> record("ownership",
                                            "Work that one router does for the whole fleet, with one owner "
                                            "at a time; needs the section coordination.");
    add_lease_keys(record);
    add_membership_keys(record);
    add_task_keys(record);
    return record;
  }();
  return kRecord;
}

void check_ownership(const OwnershipOptions& options) {
  check_renewal("renew_ms", options.renew_ms, lease_manager_options(options).lease);
  check_renewal("member_renew_ms", options.member_renew_ms, session_lease_options(options));
  if (options.flap_reuse >= options.flap_suppress) {
    throw config::KeyError("ownership.flap_reuse", "has to be below flap_suppress");
  }
  for (const std::string& kind : options.kinds) {
    if (std::find(std::begin(kKinds), std::end(kKinds), kind) == std::end(kKinds)) {
      throw config::KeyError("ownership.kinds",
                             "'" + kind + "' is not one of probe, fill, report, policy, acknowledge");
    }
  }
}

ownership::LeaseOptions session_lease_options(const OwnershipOptions& options) {
  ownership::LeaseOptions out;
  out.ttl = milliseconds(options.member_ttl_ms);
  out.drift = options.drift_percent / 100.0;
  out.margin = Micros(0);
  out.renew_after = milliseconds(options.member_renew_ms);
  out.retry_backoff = milliseconds(options.retry_ms);
  return out;
}

ownership::LeaseManagerOptions lease_manager_options(const OwnershipOptions& options) {
  ownership::LeaseManagerOptions out;
  out.lease.ttl = milliseconds(options.ttl_ms);
  out.lease.drift = options.drift_percent / 100.0;
  out.lease.margin = milliseconds(options.margin_ms);
  out.lease.renew_after = milliseconds(options.renew_ms);
  out.lease.retry_backoff = milliseconds(options.retry_ms);
  out.candidate_slot = milliseconds(options.turn_ms);
  out.max_candidate_wait = milliseconds(options.longest_turn_ms);
  out.handover_delay = milliseconds(options.settle_ms);
  out.release_timeout = milliseconds(options.yield_ms);
  out.cooldown = milliseconds(options.stand_back_ms);
  out.max_starts = static_cast<std::uint64_t>(options.most_starts);
  out.restart_backoff = milliseconds(options.poison_pause_ms);
  out.max_restart_backoff = milliseconds(options.longest_poison_pause_ms);
  out.max_owned = static_cast<std::size_t>(options.most_owned);
  return out;
}

membership::MembershipOptions membership_options(const OwnershipOptions& options) {
  membership::MembershipOptions out;
  out.suppress = options.flap_suppress;
  out.reuse = options.flap_reuse;
  out.half_life = std::chrono::seconds(options.flap_half_life_s);
  return out;
}

}  // namespace trailcourse::tasks
