#include "aggregation/region_world.h"

#include "aggregation/region_world_constants.h"

namespace trailcourse::aggregation {

using policy::EffectivePolicy;
using policy::RolloutSnapshot;
using std::chrono::seconds;
using testing_support::CallRules;

namespace {

CallRules call_rules() {
  CallRules out;
  out.lost_percent = 2;
  out.late_percent = 8;
  return out;
}

}  // namespace

void WorldResult::add(const WorldResult& other) {
  decided += other.decided;
  decided_by_intersection += other.decided_by_intersection;
  rejected += other.rejected;
  rollouts += other.rollouts;
  commits += other.commits;
  aborts += other.aborts;
  rollbacks += other.rollbacks;
  moves += other.moves;
  joins += other.joins;
  summaries += other.summaries;
  store_restores += other.store_restores;
  acknowledgement_rounds += other.acknowledgement_rounds;
}

// The order of the statements determines the order of random draws. Recorded seeds depend on it.
RegionWorld::RegionWorld(std::uint64_t seed, Defect defect)
    : VirtualWorld(seed, call_rules()), defect_(defect) {
  record_versions_in_force();
  same_name_ = chance(30);
  for (int i = 0; i < kAggregators; ++i) {
    AggregatorProcess& aggregator = aggregators_.emplace_back();
    aggregator.index = i;
    aggregator.name = same_name_ ? "agg" : "agg" + std::to_string(i);
  }
  for (int i = 0; i < kRouters; ++i) {
    RouterProcess& router = routers_.emplace_back();
    router.index = i;
    router.zone = kZoneNames[static_cast<std::size_t>(i) % kZoneNames.size()];
  }
  for (AggregatorProcess& aggregator : aggregators_) {
    start(aggregator);
  }
  for (RouterProcess& router : routers_) {
    start(router);
  }
  run_rollout_coordinator();
  run_acknowledgement_coordinator();
  publish_events();
  propose_rollouts();
  draw_faults();
  draw_rare_faults();
  generate_requests();
  expire_leases_periodically();
}

WorldResult RegionWorld::run() {
  play(kFaultsEnd, kEnd, [this] { end_faults(); }, [] {});
  check_end();
  result_.failure = failure_;
  return result_;
}

// ---- The end ----

void RegionWorld::check_end() {
  const RolloutSnapshot snapshot = rollout_snapshot();
  if (completed_event_ != published_.sequence) {
    const auto acknowledgements = policy::read_acknowledgement_snapshot(
        "", store_.commit(policy::acknowledgement_snapshot_transaction("")));
    fail("event " + std::to_string(completed_event_) + " is completed, and event " +
         std::to_string(published_.sequence) + " is published" + describe(snapshot) + "\n  " +
         policy::write_acknowledgement(acknowledgements.record));
  }
  if (snapshot.rollout && snapshot.rollout->is_open()) {
    fail(std::string("a rollout is stuck: ") + policy::to_string(snapshot.rollout->state) +
         describe(snapshot));
  }
  for (const RouterProcess& router : routers_) {
    check_decides_in_force(router, snapshot);
  }
}

void RegionWorld::check_decides_in_force(const RouterProcess& router, const RolloutSnapshot& snapshot) {
  const auto own_version = snapshot.zone_versions.find(router.zone);
  const std::uint64_t in_force =
      own_version == snapshot.zone_versions.end() ? snapshot.current_version : own_version->second;
  const EffectivePolicy effective_policy = router.participant->effective_policy(clock(router));
  if (effective_policy.kind != EffectivePolicy::Kind::kSingle || effective_policy.version != in_force) {
    fail("router " + std::to_string(router.index) + " does not decide under the version in force: " +
         policy::to_string(router.participant->state(clock(router))) + describe(snapshot));
  }
}

std::string RegionWorld::describe(const RolloutSnapshot& snapshot) {
  std::string out;
  for (const auto& [name, report] : snapshot.reports) {
    out += "\n  " + name + " " + policy::write_report(report);
  }
  if (snapshot.rollout) {
    out += "\n  " + policy::write_rollout(*snapshot.rollout);
  }
  return out + "\n  current " + std::to_string(snapshot.current_version);
}

}  // namespace trailcourse::aggregation
