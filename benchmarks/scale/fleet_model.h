// The policy control of a whole fleet in virtual time: simulated routers, aggregators in each region or none,
// one store, one discovery server and the coordinators. All run the production state machines. Two runs with
// the same seed are identical.
//
// The model was compared with real processes: `ownership_bench --policy` and `--rest` with 30 to 300 routers,
// and `scale_bench --near` with the same number of regions and one aggregator in each.
// - While idle, the model has 12% fewer calls at the store, as many calls at an aggregator, and 6% more bytes
//   there.
// - During a change, it has 3 to 22% fewer calls at the store if every router calls the store. With
//   aggregators it has 30 to 40% fewer, not counting the calls of the benchmark itself: use these numbers for
//   growth rates and not as counts.
// - Do not use the durations with loopback delays: the model lacks the processor time of hundreds of
//   processes on one machine.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "scale/simulated_aggregator.h"
#include "scale/simulated_coordinators.h"
#include "scale/simulated_discovery_server.h"
#include "scale/simulated_router.h"
#include "scale/simulated_store.h"

namespace trailcourse::scale {

struct FleetModelOptions {
  int routers = 1'000;
  bool flat = false;    // no aggregators: every router calls the store
  int regions = 0;      // 0: default_region_count(routers)
  int zones = 0;        // 0: as many for each region as in the planned fleet
  int aggregators = 2;  // of each region
  std::uint64_t seed = 1;
  NetworkOptions network = wide_area_network();
  CostOptions costs;
  SimulatedRouter::Options router;
  aggregation::AggregatorSettings aggregator;
  Micros min_round_interval{250'000};  // OwnershipOptions::acknowledge_ms
};
// Returns the number of regions in proportion to the planned fleet, which has 53 for 19,000 routers, but at
// least 2.
int default_region_count(int routers);
// Returns options with the default intervals and timeouts of the production program.
FleetModelOptions fleet_model_options(int routers, bool flat, std::uint64_t seed);

// Checks these rules whenever the effective policy of a router may have changed, so that no violation is
// missed:
// - A router decides requests only under the version in force, and never under one whose rollout was aborted.
// - Once a router has decided under a version, no router decides under an earlier one.
// - A router that decides requests has applied every event that the whole fleet has acknowledged.
class EffectivePolicyCheck {
 public:
  explicit EffectivePolicyCheck(const SimulatedStore& store) : store_(store) {}

  void set_routers(const std::vector<std::unique_ptr<SimulatedRouter>>& routers) { routers_ = &routers; }
  // Called when the effective policy of this router may have changed.
  void on_policy(SimulatedRouter& router, Micros now);
  // Called when the rollout of this version was aborted.
  void on_aborted(std::uint64_t version) { aborted_.insert(version); }
  // Called when the store records that every router has applied the events up to this one.
  void on_acknowledged(std::uint64_t event, Micros now);
  // Returns a description of the first violation of a rule; empty if there is none.
  const std::string& violation() const { return violation_; }
  // The newest version that a router has decided under.
  std::uint64_t newest_version() const { return newest_version_; }
  // The number of effective policies checked.
  std::uint64_t checked_policies() const { return checked_policies_; }

 private:
  // Records the first violation; ignores later ones.
  void record_violation(Micros now, const SimulatedRouter& router, const std::string& description);
  // Checks that the router has applied the acknowledged events if it decides requests.
  void check_events_applied(const SimulatedRouter& router, const policy::EffectivePolicy& effective_policy,
                            Micros now);

  const SimulatedStore& store_;
  const std::vector<std::unique_ptr<SimulatedRouter>>* routers_ = nullptr;
  std::set<std::uint64_t> aborted_;
  std::uint64_t newest_version_ = 0;
  std::uint64_t acknowledged_event_ = 0;
  std::uint64_t checked_policies_ = 0;
  std::string violation_;
};

// The result of one policy change.
struct ChangeResult {
  bool done = false;
  Micros to_commit{0};  // from the proposal
  Micros to_done{0};    // from the proposal until all routers decide under the new version
  Traffic store;        // traffic of the store during the change
};

class FleetModel {
 public:
  explicit FleetModel(const FleetModelOptions& options);

  // Starts the store, the coordinators and the discovery server at once, and each router and aggregator at a
  // random time within `spread`.
  void start(Micros spread);
  // Runs until `condition` holds. Returns false if it does not hold within `limit`. Stops at a violation.
  bool run_until(const std::function<bool()>& condition, Micros limit);
  void run_for(Micros time) {
    run_until([] { return false; }, time);
  }
  // Runs until each running router may decide under the version in force. Returns false after `limit`.
  bool settle(Micros limit);
  // Proposes a change and runs until it is done, at most for `limit`.
  ChangeResult change(Micros limit);
  // Proposes a change and returns at once. The proposal is refused if another rollout is open and this one is
  // not urgent.
  void propose(bool urgent);
  // Publishes a page with this number of events. The acknowledgement rounds begin with the first page.
  void publish(std::uint64_t events);
  std::uint64_t published() const { return discovery_server_->position().sequence; }
  // The last event that every router is known to have applied.
  std::uint64_t acknowledged_event() const { return acknowledged_event_; }
  // The number of acknowledgement records that the store has committed.
  std::uint64_t rounds() const { return rounds_; }

  // ---- Faults ----
  // Clients detect the change of a link or a server after their usual delays.
  // Cuts a region off from the store and the other regions, or reconnects it.
  void cut_region(int region, bool cut);
  void cut_from_other_regions(SimulatedAggregator& aggregator, bool cut);
  void cut_within_region(SimulatedAggregator& aggregator, bool cut);
  void kill(SimulatedAggregator& aggregator);
  void pause(SimulatedAggregator& aggregator);
  void resume(SimulatedAggregator& aggregator);
  void start(SimulatedAggregator& aggregator);

  const FleetModelOptions& options() const { return options_; }
  Simulation& simulation() { return *simulation_; }
  Micros now() const { return simulation_->events.now(); }
  SimulatedStore& store() { return *store_; }
  SimulatedRolloutCoordinator& rollout_coordinator() { return *rollout_coordinator_; }
  EffectivePolicyCheck& policy_check() { return *policy_check_; }
  std::vector<std::unique_ptr<SimulatedRouter>>& routers() { return routers_; }
  std::vector<std::unique_ptr<SimulatedAggregator>>& aggregators() { return aggregators_; }

  // Counts of the proposed changes.
  std::uint64_t begun() const { return begun_; }
  std::uint64_t refused() const { return refused_; }
  std::uint64_t finished() const { return finished_; }
  std::uint64_t aborted() const { return aborted_; }
  // Whether a rollout is neither done nor aborted.
  bool change_open() const { return open_version_ != 0; }
  // Describes the state for a failed check, with a few routers and aggregators that are not in the expected
  // state.
  std::string describe();

 private:
  void build();
  void on_step(const policy::RolloutStep& step);
  void on_record(const policy::Acknowledgement& record);
  void check_watches(int region);
  bool settled() const;

  FleetModelOptions options_;
  std::unique_ptr<Simulation> simulation_;
  std::unique_ptr<SimulatedStore> store_;
  std::unique_ptr<SimulatedDiscoveryServer> discovery_server_;
  std::unique_ptr<SimulatedRolloutCoordinator> rollout_coordinator_;
  std::unique_ptr<SimulatedAcknowledgementCoordinator> acknowledgement_coordinator_;
  std::unique_ptr<EffectivePolicyCheck> policy_check_;
  std::vector<std::unique_ptr<SimulatedAggregator>> aggregators_;
  std::vector<std::unique_ptr<SimulatedRouter>> routers_;
  std::uint64_t begun_ = 0, refused_ = 0, finished_ = 0, aborted_ = 0;
  std::uint64_t open_version_ = 0;  // of the rollout that is neither done nor aborted; 0: none
  std::uint64_t acknowledged_event_ = 0;
  std::uint64_t rounds_ = 0;
  Micros committed_at_{0};
  Micros finished_at_{0};
};

}  // namespace trailcourse::scale
