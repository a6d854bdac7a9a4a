// Measurements on a simulated fleet: calls and bytes while it is idle, policy changes in several conditions,
// acknowledgements of purges, queued policy changes, and random faults.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "scale/fleet_model.h"

namespace trailcourse::scale {

// Keeps all samples, so quantiles are exact.
class Samples {
 public:
  void add(double value) { values_.push_back(value); }
  void add(const Samples& other);
  std::size_t size() const { return values_.size(); }
  bool empty() const { return values_.empty(); }
  // The nearest-rank quantile for `share` from 0 to 1; 0 without samples.
  double quantile(double share) const;
  double max() const { return quantile(1.0); }
  double mean() const;

 private:
  std::vector<double> values_;
};

// Rates per second of an idle fleet.
struct IdleTraffic {
  double store_calls = 0.0;
  double store_bytes = 0.0;       // in and out
  double store_cpu_share = 0.0;   // of one core, by CostOptions
  double aggregator_calls = 0.0;  // mean of all aggregators
  double aggregator_bytes = 0.0;
  double router_bytes = 0.0;
};
IdleTraffic measure_idle_traffic(FleetModel& model, Micros time);

// The condition of the fleet during a measurement.
enum class Condition {
  kAllUp,
  kFewStopped,          // 0.4% of the routers are paused
  kAggregatorStopped,   // one aggregator is paused
  kRegionDisconnected,  // one region is cut off from the store
  kAllRestarted,        // all routers and aggregators restart within 3 ms
  kHalfRestarted        // every second router restarts
};
inline constexpr Condition kConditions[] = {Condition::kAllUp,
                                            Condition::kFewStopped,
                                            Condition::kAggregatorStopped,
                                            Condition::kRegionDisconnected,
                                            Condition::kAllRestarted,
                                            Condition::kHalfRestarted};
const char* to_string(Condition condition);
// Returns false for the conditions that need aggregators if the fleet has none.
bool is_applicable(Condition condition, const FleetModelOptions& options);

struct ChangeSeries {
  Samples duration_ms;  // from the proposal until all routers decide under the new version
  int unfinished = 0;   // changes that were not done within the limit
  Samples store_calls;  // of each change
  Samples store_bytes;
  Samples store_wait_ms;  // the longest queue time of a call at the store since the start of the run
  std::string violation;  // the first violation of a rule
};

struct ChangeSeriesOptions {
  int changes = 3;  // for each seed
  Micros limit{60'000'000};
};
// Requires a started and settled model. Leaves it settled if it can.
void measure_changes(FleetModel& model, Condition condition, const ChangeSeriesOptions& options,
                     ChangeSeries& series);

// Results for purges that are published continuously.
struct AcknowledgementSeries {
  Samples duration_ms;       // from the publication of a page until it is known to be applied by every router
  int unfinished = 0;        // pages not acknowledged within the time
  double rounds = 0.0;       // per second
  double store_calls = 0.0;  // per second, including renewals
  double store_bytes = 0.0;  // per second, in and out
  // Mean of all routers, per second, in and out, including leases; as counted by their servers.
  double router_bytes = 0.0;
  std::string violation;
};
struct AcknowledgementOptions {
  double events_per_second = 180.0;
  Micros page_interval{100'000};
  Micros time{20'000'000};  // of publishing; then waits as long for the last pages
};
// Requires a started and settled model.
void measure_acknowledgements(FleetModel& model, Condition condition, const AcknowledgementOptions& options,
                              AcknowledgementSeries& series);

// Results for proposals at random times. One change is open at a time; the others wait in a queue.
struct QueueResult {
  Samples duration_ms;  // from the proposal until the change is done, including the wait in the queue
  int longest_queue = 0;
  std::string violation;
};
QueueResult measure_queue(FleetModel& model, Micros mean_interval, Micros time);

// Results of random faults followed by a calm period. The rules must hold, and the fleet must recover.
struct FaultResult {
  std::uint64_t faults = 0, begun = 0, done = 0, aborted = 0, checked_policies = 0;
  std::string violation;
};
struct RandomFaultOptions {
  Micros time{60'000'000};
  Micros mean_interval{500'000};  // between two faults
  Micros region_cut{0};           // time for which one region is cut off, from the start; 0: none
  bool publish = false;           // publish events throughout, which the routers acknowledge
};
FaultResult run_random_faults(FleetModel& model, const RandomFaultOptions& options);

}  // namespace trailcourse::scale
