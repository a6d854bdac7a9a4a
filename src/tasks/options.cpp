#include "tasks/options.h"

#include <algorithm>
#include <iterator>

namespace trailcourse::tasks {

using config::RealRange;
using config::WholeRange;
using std::chrono::milliseconds;

namespace {

constexpr const char* kKinds[] = {"probe", "fill", "report", "policy", "acknowledge"};

constexpr WholeRange kMilliseconds{1, 600'000};

// Adds the keys of shard ownership: assignment, leases and backoff.
void add_lease_keys(config::Record<OwnershipOptions>& record) {
  using O = OwnershipOptions;
  record
      .texts("kinds", &O::kinds, "-",
             "of work that this router takes on: probe, fill, report, policy, acknowledge")
      .whole("ttl_ms", &O::ttl_ms, "ms", WholeRange{200, 600'000},
             "for which the store gives a shard to its owner; so long it may be without one after a death")
      .real("drift_percent", &O::drift_percent, "%", RealRange{0.0, 20.0},
            "by which two clocks may run apart: an owner stops so much earlier")
      .whole("margin_ms", &O::margin_ms, "ms", WholeRange{0, 60'000},
             "between an owner's check and its effect's leaving")
      .whole("renew_ms", &O::renew_ms, "ms", kMilliseconds,
             "after which an owner renews; ttl_ms holds two at least")
      .whole("retry_ms", &O::retry_ms, "ms", kMilliseconds,
             "after a call to the store that was lost or refused")
      .whole("turn_ms", &O::turn_ms, "ms", WholeRange{0, 60'000},
             "that a candidate waits for each one before it: not all ask at once")
      .whole("longest_turn_ms", &O::longest_turn_ms, "ms", WholeRange{0, 600'000}, "and in all")
      .whole("settle_ms", &O::settle_ms, "ms", WholeRange{0, 3'600'000},
             "for which a better owner has to stand before it is given a shard")
      .whole("yield_ms", &O::yield_ms, "ms", WholeRange{0, 10'000},
             "for the last checkpoint when a shard is released, also while this router drains")
      .whole("stand_back_ms", &O::stand_back_ms, "ms", kMilliseconds,
             "for which a router that released a shard on request does not acquire it again")
      .whole("most_starts", &O::most_starts, "owners", WholeRange{1, 100},
             "in a row that died of a shard; then it is parked until staff resume it")
      .whole("poison_pause_ms", &O::poison_pause_ms, "ms", kMilliseconds,
             "before the second of them begins; it doubles")
      .whole("longest_poison_pause_ms", &O::longest_poison_pause_ms, "ms", WholeRange{1, 86'400'000},
             "to which that grows")
      .whole("most_owned", &O::most_owned, "shards", WholeRange{1, 10'000}, "of this router");
}

// Adds the keys of membership and of eligibility for work.
void add_membership_keys(config::Record<OwnershipOptions>& record) {
  using O = OwnershipOptions;
  record
      .whole("member_ttl_ms", &O::member_ttl_ms, "ms", WholeRange{200, 600'000},
             "after which a router that does not renew counts as gone")
      .whole("member_renew_ms", &O::member_renew_ms, "ms", kMilliseconds,
             "after which it renews its presence")
      .whole("neighbours", &O::neighbours, "routers", WholeRange{0, 10}, "that each tries to reach; 0: none")
      .whole("neighbour_ms", &O::neighbour_ms, "ms", kMilliseconds, "how often")
      .whole("neighbour_misses", &O::neighbour_misses, "tries", WholeRange{1, 100},
             "in a row that make a suspicion; two neighbours' suspicions take a router out of owned work")
      .real("flap_suppress", &O::flap_suppress, "returns", RealRange{1.0, 1'000.0},
            "of late beyond which a router is given no work")
      .real("flap_reuse", &O::flap_reuse, "returns", RealRange{0.01, 1'000.0},
            "of late below which it is again")
      .whole("flap_half_life_s", &O::flap_half_life_s, "s", WholeRange{1, 86'400},
             "after which a return counts half");
}

// Adds the keys of the individual kinds of work.
void add_task_keys(config::Record<OwnershipOptions>& record) {
  using O = OwnershipOptions;
  record
      .whole("suspect_after", &O::suspect_after, "failures", WholeRange{1, 1'000},
             "in a row after which a router names a cache to the prober")
      .whole("probe_ms", &O::probe_ms, "ms", kMilliseconds, "between two probes of a suspect cache")
      .whole("probe_timeout_ms", &O::probe_timeout_ms, "ms", kMilliseconds,
             "for a probe's connection, and for its answer")
      .whole("verdict_ms", &O::verdict_ms, "ms", kMilliseconds,
             "for which a verdict counts; the prober renews it after half of that")
      .whole("report_ms", &O::report_ms, "ms", WholeRange{100, 600'000},
             "between two counts of a router, and two reports of the fleet")
      .whole("acknowledge_ms", &O::acknowledge_ms, "ms", WholeRange{10, 600'000},
             "at least between two rounds in which all routers acknowledge events of the discovery service")
      .whole("fill_open", &O::fill_open, "requests", WholeRange{1, 1'000},
             "of announced filling open at once, of each shard")
      .whole("fill_tries", &O::fill_tries, "tries", WholeRange{1, 1'000}, "of one object")
      .whole("fill_retry_ms", &O::fill_retry_ms, "ms", kMilliseconds, "between them; doubles")
      .whole("fill_patience_ms", &O::fill_patience_ms, "ms", WholeRange{100, 60'000}, "of each try");
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
                                            "Work that one router does for all, one owner at a time; needs "
                                            "the section coordination.");
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
