// A whole fleet's control of policy in virtual time: hollow routers on the real state machines, aggregators
// of their regions or none, one store, one driver. Two runs with one seed are the same.
//
// How far it agrees with real processes (`ownership_bench --policy` and `--rest`, 30 to 300 routers, against
// --near with as many regions and one aggregator each). At rest: calls at the store 12% low, at an aggregator
// equal, bytes there 6% high. During a change: with every router at the store, calls 3 to 22% low; by
// regions 30 to 40% low once the tool's own are taken off, so those are used for how they grow and not as
// counts. Its times on one machine are not used: the processor time of hundreds of processes is not in it.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "scale/hollow_aggregator.h"
#include "scale/hollow_board.h"
#include "scale/hollow_driver.h"
#include "scale/hollow_router.h"
#include "scale/hollow_store.h"

namespace trailcourse::scale {

struct FleetShape {
  int routers = 1'000;
  bool flat = false;    // every router at the store
  int regions = 0;      // 0: regions_of(routers)
  int zones = 0;        // 0: as many for each region as in the fleet ahead
  int aggregators = 2;  // of each region
  std::uint64_t seed = 1;
  NetworkRules network = wide_area();
  CostRules costs;
  HollowRouter::Rules router;
  aggregation::AggregatorSettings aggregator;
  Micros least_round{250'000};  // OwnershipOptions::acknowledge_ms
};
// As in the fleet ahead, 53 at 19,000 routers; at least 2.
int regions_of(int routers);
// With the default times of the program.
FleetShape shape_of(int routers, bool flat, std::uint64_t seed);

// No request is decided under a version once one was decided under a later one, nor under one that is not in
// force or was aborted; nor by a router that has not taken in an event that was told to be done everywhere.
// Exact: rulings are looked at whenever they may change.
class RulingCheck {
 public:
  explicit RulingCheck(const HollowStore& store) : store_(store) {}

  void watch(const std::vector<std::unique_ptr<HollowRouter>>& routers) { routers_ = &routers; }
  void ruled(HollowRouter& router, Micros now);
  void aborted(std::uint64_t version) { aborted_.insert(version); }
  // Told: every router has taken in this event of the board.
  void done(std::uint64_t event, Micros now);
  // Empty, or the first thing that broke the rule.
  const std::string& broken() const { return broken_; }
  std::uint64_t newest() const { return newest_; }
  std::uint64_t rulings() const { return rulings_; }

 private:
  void fail(Micros now, const HollowRouter& router, const std::string& what);
  void check_event(const HollowRouter& router, const policy::EffectivePolicy& effective_policy, Micros now);

  const HollowStore& store_;
  const std::vector<std::unique_ptr<HollowRouter>>* routers_ = nullptr;
  std::set<std::uint64_t> aborted_;
  std::uint64_t newest_ = 0;
  std::uint64_t done_event_ = 0;
  std::uint64_t rulings_ = 0;
  std::string broken_;
};

// What became of one change.
struct ChangeFigures {
  bool done = false;
  Micros to_commit{0};  // from its proposal
  Micros to_done{0};    // until all decide under it
  Traffic store;        // meanwhile
};

class FleetModel {
 public:
  explicit FleetModel(const FleetShape& shape);

  // Every process starts within `spread`.
  void start(Micros spread);
  // False where `limit` is over first.
  bool run_until(const std::function<bool()>& over, Micros limit);
  void run_for(Micros time) {
    run_until([] { return false; }, time);
  }
  // Until each router that runs may decide under what is in force.
  bool settle(Micros limit);
  ChangeFigures change(Micros limit);
  // Proposes and goes on; refused where another one is open.
  void propose(bool urgent);
  // The board tells a page of so many events; rounds of acknowledgement begin with the first one.
  void publish(std::uint64_t events);
  std::uint64_t published() const { return board_->position().sequence; }
  // The last event that every router is known to have taken in.
  std::uint64_t done_event() const { return done_event_; }
  std::uint64_t rounds() const { return rounds_; }

  // Faults. Whoever watches over what they concern finds out in its time.
  void cut_region(int region, bool cut);
  void cut_above(HollowAggregator& aggregator, bool cut);
  void cut_below(HollowAggregator& aggregator, bool cut);
  void kill(HollowAggregator& aggregator);
  void pause(HollowAggregator& aggregator);
  void wake(HollowAggregator& aggregator);
  void begin(HollowAggregator& aggregator);

  const FleetShape& shape() const { return shape_; }
  Simulation& simulation() { return *simulation_; }
  Micros now() const { return simulation_->events.now(); }
  HollowStore& store() { return *store_; }
  HollowDriver& driver() { return *driver_; }
  RulingCheck& check() { return *check_; }
  std::vector<std::unique_ptr<HollowRouter>>& routers() { return routers_; }
  std::vector<std::unique_ptr<HollowAggregator>>& aggregators() { return aggregators_; }

  std::uint64_t begun() const { return begun_; }
  std::uint64_t refused() const { return refused_; }
  std::uint64_t finished() const { return finished_; }
  std::uint64_t aborted() const { return aborted_; }
  bool change_open() const { return open_version_ != 0; }
  // For a failed check: who is not as it should be, at most a few.
  std::string describe();

 private:
  void build();
  void stepped(const policy::RolloutStep& step);
  void recorded(const policy::Acknowledgement& record);
  void check_watches(int region);
  bool settled() const;

  FleetShape shape_;
  std::unique_ptr<Simulation> simulation_;
  std::unique_ptr<HollowStore> store_;
  std::unique_ptr<HollowBoard> board_;
  std::unique_ptr<HollowDriver> driver_;
  std::unique_ptr<HollowAcknowledgementDriver> acknowledgements_;
  std::unique_ptr<RulingCheck> check_;
  std::vector<std::unique_ptr<HollowAggregator>> aggregators_;
  std::vector<std::unique_ptr<HollowRouter>> routers_;
  std::uint64_t begun_ = 0, refused_ = 0, finished_ = 0, aborted_ = 0;
  std::uint64_t open_version_ = 0;  // not committed, done or aborted
  std::uint64_t done_event_ = 0;
  std::uint64_t rounds_ = 0;
  Micros committed_at_{0};
  Micros finished_at_{0};
};

}  // namespace trailcourse::scale
