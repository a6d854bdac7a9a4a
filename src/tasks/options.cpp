#include "tasks/options.h"

#include <algorithm>
#include <iterator>

namespace trailcourse::tasks {

using config::RealRange;
using config::WholeRange;
using std::chrono::milliseconds;

namespace {

constexpr const char* kKinds[] = {"probe", "fill", "report", "policy", "acknowledge"};

}  // namespace

const config::Record<OwnershipOptions>& ownership_record() {
  static const config::Record<OwnershipOptions> kRecord = [] {
    using O = OwnershipOptions;
    config::Record<O> record("ownership",
                             "Work that one router does for all, one owner at a time; needs the section "
                             "coordination.");
    const WholeRange ms{1, 600'000};
    record
        .texts("kinds", &O::kinds, "-",
               "of work that this router takes on: probe, fill, report, policy, acknowledge")
        .whole("ttl_ms", &O::ttl_ms, "ms", WholeRange{200, 600'000},
               "for which the store gives a shard to its owner; so long it may be without one after a death")
        .real("drift_percent", &O::drift_percent, "%", RealRange{0.0, 20.0},
              "by which two clocks may run apart: an owner stops so much earlier")
        .whole("margin_ms", &O::margin_ms, "ms", WholeRange{0, 60'000},
               "between an owner's check and its effect's leaving")
        .whole("renew_ms", &O::renew_ms, "ms", ms, "after which an owner renews; ttl_ms holds two at least")
        .whole("retry_ms", &O::retry_ms, "ms", ms, "after a call to the store that was lost or refused")
        .whole("turn_ms", &O::turn_ms, "ms", WholeRange{0, 60'000},
               "that a candidate waits for each one before it: not all ask at once")
        .whole("longest_turn_ms", &O::longest_turn_ms, "ms", WholeRange{0, 600'000}, "and in all")
        .whole("settle_ms", &O::settle_ms, "ms", WholeRange{0, 3'600'000},
               "for which a better owner has to stand before it is given a shard")
        .whole("yield_ms", &O::yield_ms, "ms", WholeRange{0, 10'000},
               "for the last checkpoint when a shard is let go, also while this router drains")
        .whole("stand_back_ms", &O::stand_back_ms, "ms", ms,
               "for which who let go on request does not ask again")
        .whole("most_starts", &O::most_starts, "owners", WholeRange{1, 100},
               "in a row that died of a shard; then it is parked until staff resume it")
        .whole("poison_pause_ms", &O::poison_pause_ms, "ms", ms,
               "before the second of them begins; it doubles")
        .whole("longest_poison_pause_ms", &O::longest_poison_pause_ms, "ms", WholeRange{1, 86'400'000},
               "to which that grows")
        .whole("most_owned", &O::most_owned, "shards", WholeRange{1, 10'000}, "of this router")
        .whole("member_ttl_ms", &O::member_ttl_ms, "ms", WholeRange{200, 600'000},
               "after which a router that is not heard counts as gone")
        .whole("member_renew_ms", &O::member_renew_ms, "ms", ms, "after which it says that it is there")
        .whole("neighbours", &O::neighbours, "routers", WholeRange{0, 10},
               "that each tries to reach; 0: none")
        .whole("neighbour_ms", &O::neighbour_ms, "ms", ms, "how often")
        .whole("neighbour_misses", &O::neighbour_misses, "tries", WholeRange{1, 100},
               "in a row that make a doubt; two neighbours' doubts take a router out of owned work")
        .real("flap_suppress", &O::flap_suppress, "returns", RealRange{1.0, 1'000.0},
              "of late beyond which a router is given no work")
        .real("flap_reuse", &O::flap_reuse, "returns", RealRange{0.01, 1'000.0},
              "of late below which it is again")
        .whole("flap_half_life_s", &O::flap_half_life_s, "s", WholeRange{1, 86'400},
               "after which a return counts half")
        .whole("suspect_after", &O::suspect_after, "failures", WholeRange{1, 1'000},
               "in a row after which a router names a cache to the prober")
        .whole("probe_ms", &O::probe_ms, "ms", ms, "between two probes of a suspect cache")
        .whole("probe_timeout_ms", &O::probe_timeout_ms, "ms", ms,
               "for a probe's connection, and for its answer")
        .whole("verdict_ms", &O::verdict_ms, "ms", ms,
               "for which a verdict counts; the prober says it again in half of that")
        .whole("report_ms", &O::report_ms, "ms", WholeRange{100, 600'000},
               "between two counts of a router, and two reports of the fleet")
        .whole("acknowledge_ms", &O::acknowledge_ms, "ms", WholeRange{10, 600'000},
               "at least between two rounds in which all routers acknowledge events of the notice board")
        .whole("fill_open", &O::fill_open, "requests", WholeRange{1, 1'000},
               "of announced filling open at once, of each shard")
        .whole("fill_tries", &O::fill_tries, "tries", WholeRange{1, 1'000}, "of one object")
        .whole("fill_retry_ms", &O::fill_retry_ms, "ms", ms, "between them; doubles")
        .whole("fill_patience_ms", &O::fill_patience_ms, "ms", WholeRange{100, 60'000}, "of each try");
    return record;
  }();
  return kRecord;
}

void check_ownership(const OwnershipOptions& options) {
  const auto lease = [](const char* key, std::int64_t renew_ms, const ownership::LeaseOptions& rules) {
    const std::int64_t sure =
        std::chrono::duration_cast<milliseconds>(ownership::guaranteed_duration(rules)).count();
    if (2 * renew_ms > sure) {
      throw config::KeyError(std::string("ownership.") + key,
                             std::to_string(renew_ms) + " is over half of the " + std::to_string(sure) +
                                 " ms that a lease surely holds: one lost renewal would end it");
    }
  };
  lease("renew_ms", options.renew_ms, lease_manager_rules(options).lease);
  lease("member_renew_ms", options.member_renew_ms, session_rules(options));
  if (options.flap_reuse >= options.flap_suppress) {
    throw config::KeyError("ownership.flap_reuse", "not below flap_suppress");
  }
  for (const std::string& kind : options.kinds) {
    if (std::find(std::begin(kKinds), std::end(kKinds), kind) == std::end(kKinds)) {
      throw config::KeyError("ownership.kinds",
                             "'" + kind + "' is none of probe, fill, report, policy, acknowledge");
    }
  }
}

ownership::LeaseOptions session_rules(const OwnershipOptions& options) {
  ownership::LeaseOptions rules;
  rules.ttl = milliseconds(options.member_ttl_ms);
  rules.drift = options.drift_percent / 100.0;
  rules.margin = Micros(0);
  rules.renew_after = milliseconds(options.member_renew_ms);
  rules.retry_backoff = milliseconds(options.retry_ms);
  return rules;
}

ownership::LeaseManagerOptions lease_manager_rules(const OwnershipOptions& options) {
  ownership::LeaseManagerOptions rules;
  rules.lease.ttl = milliseconds(options.ttl_ms);
  rules.lease.drift = options.drift_percent / 100.0;
  rules.lease.margin = milliseconds(options.margin_ms);
  rules.lease.renew_after = milliseconds(options.renew_ms);
  rules.lease.retry_backoff = milliseconds(options.retry_ms);
  rules.candidate_slot = milliseconds(options.turn_ms);
  rules.max_candidate_wait = milliseconds(options.longest_turn_ms);
  rules.handover_delay = milliseconds(options.settle_ms);
  rules.release_timeout = milliseconds(options.yield_ms);
  rules.cooldown = milliseconds(options.stand_back_ms);
  rules.max_starts = static_cast<std::uint64_t>(options.most_starts);
  rules.restart_backoff = milliseconds(options.poison_pause_ms);
  rules.max_restart_backoff = milliseconds(options.longest_poison_pause_ms);
  rules.max_owned = static_cast<std::size_t>(options.most_owned);
  return rules;
}

membership::MembershipOptions view_rules(const OwnershipOptions& options) {
  membership::MembershipOptions rules;
  rules.suppress = options.flap_suppress;
  rules.reuse = options.flap_reuse;
  rules.half_life = std::chrono::seconds(options.flap_half_life_s);
  return rules;
}

}  // namespace trailcourse::tasks
