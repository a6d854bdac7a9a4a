#include "scale/fleet_model_runs.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <numeric>

#include "scale/store_call_sizes.h"

namespace trailcourse::scale {

namespace {

constexpr double kPausedShare = 0.004;     // of the routers
constexpr Micros kMaxFaultAge{4'000'000};  // from the fault to the proposal of a change
constexpr Micros kRestartSpread{5'000'000};
constexpr Micros kStartSpread{3'000};
constexpr Micros kSettleLimit{120'000'000};
constexpr double kShareBeforeFault = 0.25;  // of the publishing time
constexpr Micros kPageInterval{100'000};    // during random faults
constexpr std::uint64_t kEventsPerPage = 18;
constexpr Micros kMeanProposalInterval{4'500'000};  // during random faults
constexpr double kUrgentShare = 0.1;                // of the proposals during random faults
constexpr Micros kRecoveryTime{12'000'000};         // longer than any random fault
constexpr Micros kCloseLimit{90'000'000};           // for the end of the open rollout

double seconds_of(Micros time) { return static_cast<double>(time.count()) / 1e6; }
double ms_of(Micros time) { return static_cast<double>(time.count()) / 1e3; }
double bytes_of(const Traffic& traffic) { return static_cast<double>(traffic.bytes_in + traffic.bytes_out); }

template <typename Processes>
Traffic sum_of(const Processes& processes) {
  Traffic out;
  for (const auto& process : processes) {
    out.calls += process->traffic().calls;
    out.bytes_in += process->traffic().bytes_in;
    out.bytes_out += process->traffic().bytes_out;
  }
  return out;
}

std::size_t random_index(FleetModel& model, std::size_t size) { return model.simulation().random() % size; }

Micros random_interval(FleetModel& model, Micros mean) {
  std::exponential_distribution<double> distribution(1.0 / static_cast<double>(mean.count()));
  return Micros(static_cast<Micros::rep>(distribution(model.simulation().random)));
}

}  // namespace

// ---- Samples ----

void Samples::add(const Samples& other) {
  values_.insert(values_.end(), other.values_.begin(), other.values_.end());
}

double Samples::quantile(double share) const {
  if (values_.empty()) {
    return 0.0;
  }
  std::vector<double> sorted = values_;
  std::sort(sorted.begin(), sorted.end());
  const double rank = std::ceil(share * static_cast<double>(sorted.size()));
  return sorted[static_cast<std::size_t>(std::max(1.0, rank)) - 1];
}

double Samples::mean() const {
  const double sum = std::accumulate(values_.begin(), values_.end(), 0.0);
  return values_.empty() ? 0.0 : sum / static_cast<double>(values_.size());
}

// ---- Idle traffic ----

IdleTraffic measure_idle_traffic(FleetModel& model, Micros time) {
  const Traffic store = model.store().traffic();
  const Traffic aggregators = sum_of(model.aggregators());
  const Traffic routers = sum_of(model.routers());
  model.run_for(time);
  const double seconds = seconds_of(time);
  const double heartbeat_bytes = static_cast<double>(call_sizes().heartbeat) /
                                 seconds_of(model.simulation().network.watch_heartbeat_interval);
  const Traffic at_store = model.store().traffic() - store;
  const Traffic at_aggregators = sum_of(model.aggregators()) - aggregators;
  const Traffic at_routers = sum_of(model.routers()) - routers;
  IdleTraffic out;
  out.store_calls = static_cast<double>(at_store.calls) / seconds;
  out.store_bytes =
      bytes_of(at_store) / seconds + heartbeat_bytes * static_cast<double>(model.store().watch_count());
  out.store_cpu_share = seconds_of(at_store.cpu_time) / seconds;
  if (!model.aggregators().empty()) {
    const auto count = static_cast<double>(model.aggregators().size());
    std::size_t watches = 0;
    for (const auto& aggregator : model.aggregators()) {
      watches += aggregator->watch_count();
    }
    out.aggregator_calls = static_cast<double>(at_aggregators.calls) / seconds / count;
    out.aggregator_bytes =
        (bytes_of(at_aggregators) / seconds + heartbeat_bytes * static_cast<double>(watches)) / count +
        heartbeat_bytes;
  }
  out.router_bytes =
      bytes_of(at_routers) / seconds / static_cast<double>(model.routers().size()) + heartbeat_bytes;
  return out;
}

// ---- Changes ----

const char* to_string(Condition condition) {
  switch (condition) {
    case Condition::kAllUp:
      return "all up";
    case Condition::kFewRoutersPaused:
      return "0.4% stopped";
    case Condition::kAggregatorPaused:
      return "an aggregator stopped";
    case Condition::kRegionDisconnected:
      return "a region cut off";
    case Condition::kAllRestarted:
      return "everybody starts";
    case Condition::kHalfRestarted:
      return "half restarted";
  }
  return "";
}

bool is_applicable(Condition condition, const FleetModelOptions& options) {
  return condition != Condition::kAggregatorPaused || !options.flat;
}

namespace {

// Injects the fault of a condition, and undoes it on request.
class InjectedFault {
 public:
  // Injects the fault and runs the model for a random time up to `max_age`.
  InjectedFault(FleetModel& model, Condition condition, Micros max_age)
      : model_(model), condition_(condition) {
    inject();
    model_.run_for(model_.simulation().random_duration(max_age));
  }

  void undo() {
    for (SimulatedRouter* router : paused_routers_) {
      router->resume();
    }
    if (condition_ == Condition::kAggregatorPaused) {
      model_.resume(*aggregator_);
    }
    if (condition_ == Condition::kRegionDisconnected) {
      model_.cut_region(region_, false);
    }
  }

 private:
  void inject() {
    switch (condition_) {
      case Condition::kAllUp:
        return;
      case Condition::kFewRoutersPaused:
        pause_few_routers();
        return;
      case Condition::kAggregatorPaused:
        aggregator_ = model_.aggregators()[random_index(model_, model_.aggregators().size())].get();
        model_.pause(*aggregator_);
        return;
      case Condition::kRegionDisconnected:
        region_ = static_cast<int>(random_index(model_, static_cast<std::size_t>(model_.options().regions)));
        model_.cut_region(region_, true);
        return;
      case Condition::kAllRestarted:
        for (const auto& aggregator : model_.aggregators()) {
          model_.kill(*aggregator);
          restart(*aggregator, kStartSpread);
        }
        for (const auto& router : model_.routers()) {
          router->kill();
          restart(*router, kStartSpread);
        }
        return;
      case Condition::kHalfRestarted:
        for (std::size_t i = 0; i < model_.routers().size(); i += 2) {
          SimulatedRouter& router = *model_.routers()[i];
          restart(router, kRestartSpread);
        }
        return;
    }
  }
  void pause_few_routers() {
    const auto count = std::max<std::size_t>(
        1, static_cast<std::size_t>(kPausedShare * static_cast<double>(model_.routers().size())));
    while (paused_routers_.size() < count) {
      SimulatedRouter* router = model_.routers()[random_index(model_, model_.routers().size())].get();
      router->pause();
      paused_routers_.push_back(router);
    }
  }
  void restart(SimulatedProcess& process, Micros spread) {
    model_.simulation().events.add_after(model_.simulation().random_duration(spread),
                                         [&process] { process.start(); });
  }

  FleetModel& model_;
  Condition condition_;
  std::vector<SimulatedRouter*> paused_routers_;
  SimulatedAggregator* aggregator_ = nullptr;
  int region_ = 0;
};

}  // namespace

void measure_changes(FleetModel& model, Condition condition, const ChangeSeriesOptions& options,
                     ChangeSeries& series) {
  for (int i = 0; i < options.changes && model.policy_check().violation().empty(); ++i) {
    InjectedFault fault(model, condition, kMaxFaultAge);
    const ChangeResult result = model.change(options.limit);
    if (result.done) {
      series.duration_ms.add(ms_of(result.to_done));
      series.store_calls.add(static_cast<double>(result.store.calls));
      series.store_bytes.add(bytes_of(result.store));
      series.store_wait_ms.add(ms_of(result.store.max_queue_time));
    } else {
      ++series.unfinished;
    }
    fault.undo();
    if (!model.settle(kSettleLimit) && series.violation.empty()) {
      series.violation =
          "the fleet did not settle after '" + std::string(to_string(condition)) + "': " + model.describe();
    }
    model.run_for(Micros(1'000'000));
  }
  if (series.violation.empty()) {
    series.violation = model.policy_check().violation();
  }
}

void measure_acknowledgements(FleetModel& model, Condition condition, const AcknowledgementOptions& options,
                              AcknowledgementSeries& series) {
  struct Page {
    std::uint64_t last_event = 0;
    Micros published_at{0};
  };
  std::deque<Page> unacknowledged;
  const Micros started_at = model.now();
  const std::uint64_t rounds = model.rounds();
  const Traffic before = model.store().traffic();
  const Traffic servers_before = sum_of(model.aggregators());
  Micros next_page = started_at;
  double events_due = 0.0;
  const auto publish_and_check = [&] {
    const Micros now = model.now();
    if (now >= next_page && now < started_at + options.time) {
      events_due += options.events_per_second * seconds_of(options.page_interval);
      const auto events = static_cast<std::uint64_t>(events_due);
      events_due -= static_cast<double>(events);
      model.publish(events);
      unacknowledged.push_back({model.published(), now});
      next_page += options.page_interval;
    }
    while (!unacknowledged.empty() && unacknowledged.front().last_event <= model.acknowledged_event()) {
      series.duration_ms.add(ms_of(now - unacknowledged.front().published_at));
      unacknowledged.pop_front();
    }
    return unacknowledged.empty() && now >= started_at + options.time;
  };
  const auto fault_at = started_at + std::chrono::duration_cast<Micros>(options.time * kShareBeforeFault);
  model.run_until([&] { return publish_and_check() || model.now() >= fault_at; }, options.time);
  InjectedFault fault(model, condition, Micros(0));
  model.run_until(publish_and_check, 2 * options.time);
  fault.undo();
  const double seconds = seconds_of(model.now() - started_at);
  const Traffic at_store = model.store().traffic() - before;
  const Traffic at_servers = model.options().flat ? at_store : sum_of(model.aggregators()) - servers_before;
  series.unfinished += static_cast<int>(unacknowledged.size());
  series.rounds = static_cast<double>(model.rounds() - rounds) / seconds;
  series.store_calls = static_cast<double>(at_store.calls) / seconds;
  series.store_bytes = bytes_of(at_store) / seconds;
  series.router_bytes = bytes_of(at_servers) / seconds / static_cast<double>(model.routers().size());
  if (series.violation.empty()) {
    series.violation = model.policy_check().violation();
  }
}

QueueResult measure_queue(FleetModel& model, Micros mean_interval, Micros time) {
  QueueResult out;
  std::deque<Micros> waiting;  // times of the proposals
  Micros next_proposal = model.now() + random_interval(model, mean_interval);
  const Micros end = model.now() + time;
  std::uint64_t finished = model.finished();
  bool open = false;
  model.run_until(
      [&] {
        const Micros now = model.now();
        for (; next_proposal <= now && now < end; next_proposal += random_interval(model, mean_interval)) {
          waiting.push_back(next_proposal);
        }
        out.longest_queue = std::max(out.longest_queue, static_cast<int>(waiting.size()));
        if (open && model.finished() > finished) {
          out.duration_ms.add(ms_of(now - waiting.front()));
          waiting.pop_front();
          open = false;
        }
        if (!open && !waiting.empty()) {
          finished = model.finished();
          model.propose(false);
          open = true;
        }
        return now >= end && waiting.empty();
      },
      2 * time);
  out.violation = model.policy_check().violation();
  if (out.violation.empty() && !waiting.empty()) {
    out.violation = std::to_string(waiting.size()) +
                    " changes are still queued: they are proposed faster than they finish";
  }
  return out;
}

// ---- Random faults ----

namespace {

// Injects random faults while changes are proposed and, if requested, events are published.
class RandomFaults {
 public:
  RandomFaults(FleetModel& model, const RandomFaultOptions& options) : model_(model), options_(options) {}

  FaultResult run() {
    const Micros end_at = model_.now() + std::max(options_.time, options_.region_cut);
    if (options_.region_cut > Micros(0)) {
      cut_first_region();
    }
    const Micros faults_end_at = model_.now() + options_.time;
    Micros next_fault = model_.now();
    Micros next_proposal = model_.now();
    Micros next_page = model_.now();
    model_.run_until(
        [&] {
          if (model_.now() >= next_fault && model_.now() < faults_end_at) {
            next_fault = model_.now() + random_interval(model_, options_.mean_interval);
            inject_random_fault();
          }
          if (options_.publish && model_.now() >= next_page) {
            next_page = model_.now() + kPageInterval;
            model_.publish(kEventsPerPage);
          }
          if (model_.now() >= next_proposal) {
            next_proposal = model_.now() + random_interval(model_, kMeanProposalInterval);
            model_.propose(model_.simulation().random_chance(kUrgentShare));
          }
          return model_.now() >= end_at;
        },
        end_at - model_.now());
    finish();
    return result_;
  }

 private:
  // Schedules the end of a fault, or a restart, after a random time up to `max`.
  void undo_within(Micros max, Job undo) {
    model_.simulation().events.add_after(model_.simulation().random_duration(max), std::move(undo));
  }
  SimulatedAggregator& random_aggregator() {
    return *model_.aggregators()[random_index(model_, model_.aggregators().size())];
  }

  void cut_first_region() {
    model_.cut_region(0, true);
    model_.simulation().events.add_after(options_.region_cut, [this] { model_.cut_region(0, false); });
  }

  void inject_random_fault() {
    ++result_.faults;
    switch (model_.simulation().random() % 8) {
      case 0: {
        SimulatedAggregator& aggregator = random_aggregator();
        model_.kill(aggregator);
        undo_within(Micros(5'000'000), [this, &aggregator] { model_.start(aggregator); });
        return;
      }
      case 1: {
        SimulatedAggregator& aggregator = random_aggregator();
        model_.pause(aggregator);
        undo_within(Micros(10'000'000), [this, &aggregator] { model_.resume(aggregator); });
        return;
      }
      case 2: {
        SimulatedAggregator& aggregator = random_aggregator();
        model_.cut_from_other_regions(aggregator, true);
        undo_within(Micros(10'000'000),
                    [this, &aggregator] { model_.cut_from_other_regions(aggregator, false); });
        return;
      }
      case 3: {
        SimulatedAggregator& aggregator = random_aggregator();
        model_.cut_within_region(aggregator, true);
        undo_within(Micros(10'000'000), [this, &aggregator] { model_.cut_within_region(aggregator, false); });
        return;
      }
      case 4: {
        const int region =
            static_cast<int>(random_index(model_, static_cast<std::size_t>(model_.options().regions)));
        model_.cut_region(region, true);
        undo_within(Micros(10'000'000), [this, region] {
          // The cut that run() made lasts until RandomFaultOptions::region_cut.
          const bool cut_for_longer = region == 0 && options_.region_cut > Micros(0);
          cut_for_longer ? void() : model_.cut_region(region, false);
        });
        return;
      }
      case 5:
        pause_routers();
        return;
      case 6:
        restart_routers(0.02);
        return;
      default:
        if (model_.simulation().random_chance(0.1)) {
          restart_routers(0.5);
        } else {
          model_.rollout_coordinator().replace();
        }
    }
  }
  void pause_routers() {
    for (std::size_t i = 0; i < std::max<std::size_t>(1, model_.routers().size() / 100); ++i) {
      SimulatedRouter& router = *model_.routers()[random_index(model_, model_.routers().size())];
      router.pause();
      undo_within(Micros(8'000'000), [&router] { router.resume(); });
    }
  }
  void restart_routers(double share) {
    for (const auto& router : model_.routers()) {
      if (model_.simulation().random_chance(share)) {
        undo_within(kRestartSpread, [process = router.get()] { process->start(); });
      }
    }
  }

  // Waits until the faults are undone, checks that the fleet recovers, and sets the result.
  void finish() {
    model_.run_for(kRecoveryTime);
    const bool settled = model_.settle(kSettleLimit);
    const bool closed = model_.run_until([this] { return !model_.change_open(); }, kCloseLimit);
    result_.begun = model_.begun();
    result_.done = model_.finished();
    result_.aborted = model_.aborted();
    result_.checked_policies = model_.policy_check().checked_policies();
    result_.violation = model_.policy_check().violation();
    const bool recovered = settled && closed && model_.settle(kSettleLimit);
    const bool acknowledged =
        model_.run_until([this] { return model_.acknowledged_event() == model_.published(); }, kSettleLimit);
    if (result_.violation.empty() && !(recovered && acknowledged)) {
      result_.violation = "the fleet did not recover after the faults: " + model_.describe();
    }
  }

  FleetModel& model_;
  RandomFaultOptions options_;
  FaultResult result_;
};

}  // namespace

FaultResult run_random_faults(FleetModel& model, const RandomFaultOptions& options) {
  return RandomFaults(model, options).run();
}

}  // namespace trailcourse::scale
