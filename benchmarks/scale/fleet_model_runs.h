// Measurements on a simulated fleet: calls and bytes while idle, durations of policy changes under several
// conditions, acknowledgements of purges, queued policy changes, and random faults.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "scale/fleet_model.h"

namespace trailcourse::scale {

// A set of measured values. Keeps all of them, so quantiles are exact.
class Samples {
 public:
  void add(double value) { values_.push_back(value); }
  void add(const Samples& other);
  std::size_t size() const { return values_.size(); }
  bool empty() const { return values_.empty(); }
  // Returns the nearest-rank quantile for `share`, from 0 to 1; 0 if there are no samples.
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
  double aggregator_bytes = 0.0;  // mean of all aggregators, in and out
  double router_bytes = 0.0;      // mean of all routers, in and out
};
IdleTraffic measure_idle_traffic(FleetModel& model, Micros time);

// The fault during a measurement, or none.
enum class Condition {
  kAllUp,               // no fault
  kFewRoutersPaused,    // 0.4% of the routers are paused
  kAggregatorPaused,    // one aggregator is paused
  kRegionDisconnected,  // one region is cut off from the store
  kAllRestarted,        // all routers and aggregators restart within 3 ms
  kHalfRestarted        // every second router restarts within 5 s
};
inline constexpr Condition kConditions[] = {Condition::kAllUp,
                                            Condition::kFewRoutersPaused,
                                            Condition::kAggregatorPaused,
                                            Condition::kRegionDisconnected,
                                            Condition::kAllRestarted,
                                            Condition::kHalfRestarted};
const char* to_string(Condition condition);
// Returns false if the condition needs aggregators and the fleet has none.
bool is_applicable(Condition condition, const FleetModelOptions& options);

// Results of policy changes under one condition.
struct ChangeSeries {
  Samples duration_ms;    // from the proposal until all routers decide under the new version
  int unfinished = 0;     // changes that were not done within the limit
  Samples store_calls;    // of each change
  Samples store_bytes;    // of each change, in and out
  Samples store_wait_ms;  // longest queue time of a call at the store, from the start of the model on
  std::string violation;  // the first violation of a rule
};

struct ChangeSeriesOptions {
  int changes = 3;  // for each seed
  Micros limit{60'000'000};
};
// Makes changes under the condition and adds their results to `series`. Requires a started and settled model.
// After each change, undoes the fault and waits until the fleet has settled; a timeout is a violation.
void measure_changes(FleetModel& model, Condition condition, const ChangeSeriesOptions& options,
                     ChangeSeries& series);

// Results of purges that are published continuously.
struct AcknowledgementSeries {
  Samples duration_ms;       // from the publication of a page until it is known to be applied by every router
  int unfinished = 0;        // pages not acknowledged within the time
  double rounds = 0.0;       // per second
  double store_calls = 0.0;  // per second, including renewals
  double store_bytes = 0.0;  // per second, in and out
  // Mean of all routers, per second, in and out, including leases. Counted at the store or the aggregators.
  double router_bytes = 0.0;
  std::string violation;
};
struct AcknowledgementOptions {
  double events_per_second = 180.0;
  Micros page_interval{100'000};
  Micros time{20'000'000};  // of publishing; the wait for the last pages follows
};
// Publishes pages. Adds the durations to `series` and sets its rates. The fault of the condition begins after
// a quarter of the time. Requires a started and settled model.
void measure_acknowledgements(FleetModel& model, Condition condition, const AcknowledgementOptions& options,
                              AcknowledgementSeries& series);

// Results of policy changes that are proposed at random times. One is open at a time; the others wait in a
// queue.
struct QueueResult {
  Samples duration_ms;  // from the proposal until the change is done, including the wait in the queue
  int longest_queue = 0;
  std::string violation;
};
// Proposes changes during `time`, then waits at most as long for the queued ones.
QueueResult measure_queue(FleetModel& model, Micros mean_interval, Micros time);

// Results of random faults followed by a period without faults. It is a violation if a rule of
// EffectivePolicyCheck is broken or if the fleet does not recover.
struct FaultResult {
  std::uint64_t faults = 0, begun = 0, done = 0, aborted = 0, checked_policies = 0;
  std::string violation;
};
struct RandomFaultOptions {
  Micros time{60'000'000};
  Micros mean_interval{500'000};  // between two faults
  Micros region_cut{0};           // time for which one region is cut off, from the start; 0: none
  bool publish = false;           // whether to publish events, which the routers acknowledge
};
FaultResult run_random_faults(FleetModel& model, const RandomFaultOptions& options);

}  // namespace trailcourse::scale
