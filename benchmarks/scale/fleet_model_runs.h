// What is measured on a simulated fleet: calls and bytes at rest, changes of policy while all is well and
// while something is not, changes that come faster than they end.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "scale/fleet_model.h"

namespace trailcourse::scale {

// Exact, of all samples.
class Samples {
 public:
  void add(double value) { values_.push_back(value); }
  void add(const Samples& other);
  std::size_t size() const { return values_.size(); }
  bool empty() const { return values_.empty(); }
  // The nearest rank; `share` from 0 to 1. 0 without any sample.
  double quantile(double share) const;
  double worst() const { return quantile(1.0); }
  double mean() const;

 private:
  std::vector<double> values_;
};

// A second of a fleet in which nothing changes.
struct RestFigures {
  double store_calls = 0.0;
  double store_bytes = 0.0;       // in and out
  double store_busy = 0.0;        // share of one core, by the cost rules
  double aggregator_calls = 0.0;  // the mean of all
  double aggregator_bytes = 0.0;
  double router_bytes = 0.0;
};
RestFigures measure_rest(FleetModel& model, Micros time);

enum class Condition {
  kAllUp,
  kFewStopped,         // 0.4% of the routers
  kAggregatorStopped,  // one
  kRegionCut,          // from the store
  kEverybodyStarts,
  kHalfRestarted
};
inline constexpr Condition kConditions[] = {
    Condition::kAllUp,     Condition::kFewStopped,      Condition::kAggregatorStopped,
    Condition::kRegionCut, Condition::kEverybodyStarts, Condition::kHalfRestarted};
const char* to_string(Condition condition);
// Whether a fleet without aggregators can be in it.
bool applies(Condition condition, const FleetShape& shape);

struct ChangeSeries {
  Samples ms;           // from the proposal until all decide under it
  int unfinished = 0;   // within the limit
  Samples store_calls;  // each change's
  Samples store_bytes;
  Samples store_wait_ms;  // the longest of a call at the store so far
  std::string broken;     // the first that broke a rule
};

struct SeriesOptions {
  int changes = 3;  // of each seed
  Micros limit{60'000'000};
};
// The model has been started and has settled; so it is left, if it can be.
void measure_changes(FleetModel& model, Condition condition, const SeriesOptions& options,
                     ChangeSeries& series);

// Purges that come without pause, and how long it takes until each is known to be taken in everywhere.
struct AcknowledgementSeries {
  Samples ms;                // from a page of the board until it is told to be done
  int unfinished = 0;        // pages, within the time
  double rounds = 0.0;       // a second
  double store_calls = 0.0;  // a second, renewals among them
  double store_bytes = 0.0;  // a second, in and out
  double router_bytes =
      0.0;  // the mean of all, a second, in and out, with permissions; of their servers' count
  std::string broken;
};
struct AcknowledgementOptions {
  double events_per_second = 180.0;
  Micros between_pages{100'000};
  Micros time{20'000'000};  // of pages; as long is waited for the last of them
};
// The model has been started and has settled.
void measure_acknowledgements(FleetModel& model, Condition condition, const AcknowledgementOptions& options,
                              AcknowledgementSeries& series);

// Proposals that come at drawn times wait for the change before them: one is open at a time.
struct QueueFigures {
  Samples ms;  // from the proposal's time until it is done
  int longest_queue = 0;
  std::string broken;
};
QueueFigures measure_queue(FleetModel& model, Micros mean_between, Micros time);

// Drawn faults for a while, then calm: the rule must hold, and all must be well in the end.
struct FaultFigures {
  std::uint64_t faults = 0, begun = 0, done = 0, aborted = 0, rulings = 0;
  std::string broken;
};
struct FaultOptions {
  Micros time{60'000'000};
  Micros mean_between{500'000};  // two faults
  Micros region_cut{0};          // one region is cut for so long, from the beginning; 0: none
  bool publish = false;          // events of the board come all the while, and are acknowledged
};
FaultFigures run_faults(FleetModel& model, const FaultOptions& options);

}  // namespace trailcourse::scale
