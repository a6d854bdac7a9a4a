#include "scale/fleet_model_runs.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <numeric>

#include "scale/hollow_wire.h"

namespace trailcourse::scale {

namespace {

constexpr double kStoppedShare = 0.004;
constexpr Micros kBeforeProposal{4'000'000};  // at most: a fault is that old
constexpr Micros kRestartSpread{5'000'000};
constexpr Micros kStartSpread{3'000};
constexpr Micros kSettleLimit{120'000'000};
constexpr double kQuietShare = 0.25;      // of the time of pages, before the fault
constexpr Micros kBetweenPages{100'000};  // of drawn faults
constexpr std::uint64_t kEventsOfPage = 18;

double seconds_of(Micros time) { return static_cast<double>(time.count()) / 1e6; }
double ms_of(Micros time) { return static_cast<double>(time.count()) / 1e3; }
double bytes_of(const Traffic& traffic) { return static_cast<double>(traffic.bytes_in + traffic.bytes_out); }

template <typename Processes>
Traffic sum_of(const Processes& processes) {
  Traffic out;
  for (const auto& one : processes) {
    out.calls += one->traffic().calls;
    out.bytes_in += one->traffic().bytes_in;
    out.bytes_out += one->traffic().bytes_out;
  }
  return out;
}

std::size_t drawn_index(FleetModel& model, std::size_t size) { return model.simulation().random() % size; }

Micros drawn_exponential(FleetModel& model, Micros mean) {
  std::exponential_distribution<double> drawn(1.0 / static_cast<double>(mean.count()));
  return Micros(static_cast<Micros::rep>(drawn(model.simulation().random)));
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

// ---- At rest ----

RestFigures measure_rest(FleetModel& model, Micros time) {
  const Traffic store = model.store().traffic();
  const Traffic aggregators = sum_of(model.aggregators());
  const Traffic routers = sum_of(model.routers());
  model.run_for(time);
  const double length = seconds_of(time);
  const double beats =
      static_cast<double>(call_sizes().heartbeat) / seconds_of(model.simulation().network.watch_heartbeat);
  const Traffic at_store = model.store().traffic() - store;
  const Traffic at_aggregators = sum_of(model.aggregators()) - aggregators;
  const Traffic at_routers = sum_of(model.routers()) - routers;
  RestFigures out;
  out.store_calls = static_cast<double>(at_store.calls) / length;
  out.store_bytes = bytes_of(at_store) / length + beats * static_cast<double>(model.store().watches());
  out.store_busy = seconds_of(at_store.busy) / length;
  if (!model.aggregators().empty()) {
    const auto count = static_cast<double>(model.aggregators().size());
    std::size_t watches = 0;
    for (const auto& one : model.aggregators()) {
      watches += one->watches();
    }
    out.aggregator_calls = static_cast<double>(at_aggregators.calls) / length / count;
    out.aggregator_bytes =
        (bytes_of(at_aggregators) / length + beats * static_cast<double>(watches)) / count + beats;
  }
  out.router_bytes = bytes_of(at_routers) / length / static_cast<double>(model.routers().size()) + beats;
  return out;
}

// ---- Changes ----

const char* to_string(Condition condition) {
  switch (condition) {
    case Condition::kAllUp:
      return "all up";
    case Condition::kFewStopped:
      return "0.4% stopped";
    case Condition::kAggregatorStopped:
      return "an aggregator stopped";
    case Condition::kRegionCut:
      return "a region cut off";
    case Condition::kEverybodyStarts:
      return "everybody starts";
    case Condition::kHalfRestarted:
      return "half restarted";
  }
  return "";
}

bool applies(Condition condition, const FleetShape& shape) {
  return condition != Condition::kAggregatorStopped || !shape.flat;
}

namespace {

// One fault, and how it is undone.
class Disturbance {
 public:
  // The fault is up to `age` old once this is made.
  Disturbance(FleetModel& model, Condition condition, Micros age) : model_(model), condition_(condition) {
    begin();
    model_.run_for(model_.simulation().drawn(age));
  }

  void end() {
    for (HollowRouter* router : stopped_) {
      router->wake();
    }
    if (condition_ == Condition::kAggregatorStopped) {
      model_.wake(*aggregator_);
    }
    if (condition_ == Condition::kRegionCut) {
      model_.cut_region(region_, false);
    }
  }

 private:
  void begin() {
    switch (condition_) {
      case Condition::kAllUp:
        return;
      case Condition::kFewStopped:
        stop_few();
        return;
      case Condition::kAggregatorStopped:
        aggregator_ = model_.aggregators()[drawn_index(model_, model_.aggregators().size())].get();
        model_.pause(*aggregator_);
        return;
      case Condition::kRegionCut:
        region_ = static_cast<int>(drawn_index(model_, static_cast<std::size_t>(model_.shape().regions)));
        model_.cut_region(region_, true);
        return;
      case Condition::kEverybodyStarts:
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
          HollowRouter& router = *model_.routers()[i];
          restart(router, kRestartSpread);
        }
        return;
    }
  }
  void stop_few() {
    const auto few = std::max<std::size_t>(
        1, static_cast<std::size_t>(kStoppedShare * static_cast<double>(model_.routers().size())));
    while (stopped_.size() < few) {
      HollowRouter* router = model_.routers()[drawn_index(model_, model_.routers().size())].get();
      router->pause();
      stopped_.push_back(router);
    }
  }
  void restart(Node& node, Micros spread) {
    model_.simulation().events.after(model_.simulation().drawn(spread), [&node] { node.begin(); });
  }

  FleetModel& model_;
  Condition condition_;
  std::vector<HollowRouter*> stopped_;
  HollowAggregator* aggregator_ = nullptr;
  int region_ = 0;
};

}  // namespace

void measure_changes(FleetModel& model, Condition condition, const SeriesOptions& options,
                     ChangeSeries& series) {
  for (int i = 0; i < options.changes && model.check().broken().empty(); ++i) {
    Disturbance disturbance(model, condition, kBeforeProposal);
    const ChangeFigures figures = model.change(options.limit);
    if (figures.done) {
      series.ms.add(ms_of(figures.to_done));
      series.store_calls.add(static_cast<double>(figures.store.calls));
      series.store_bytes.add(bytes_of(figures.store));
      series.store_wait_ms.add(ms_of(figures.store.longest_wait));
    } else {
      ++series.unfinished;
    }
    disturbance.end();
    if (!model.settle(kSettleLimit) && series.broken.empty()) {
      series.broken = "not settled after " + std::string(to_string(condition)) + ": " + model.describe();
    }
    model.run_for(Micros(1'000'000));
  }
  if (series.broken.empty()) {
    series.broken = model.check().broken();
  }
}

void measure_acknowledgements(FleetModel& model, Condition condition, const AcknowledgementOptions& options,
                              AcknowledgementSeries& series) {
  struct Page {
    std::uint64_t last = 0;
    Micros at{0};
  };
  std::deque<Page> open;
  const Micros begun = model.now();
  const std::uint64_t rounds = model.rounds();
  const Traffic before = model.store().traffic();
  const Traffic servers_before = sum_of(model.aggregators());
  Micros next = begun;
  double owed = 0.0;
  const auto publish_and_look = [&] {
    const Micros now = model.now();
    if (now >= next && now < begun + options.time) {
      owed += options.events_per_second * seconds_of(options.between_pages);
      const auto events = static_cast<std::uint64_t>(owed);
      owed -= static_cast<double>(events);
      model.publish(events);
      open.push_back({model.published(), now});
      next += options.between_pages;
    }
    while (!open.empty() && open.front().last <= model.done_event()) {
      series.ms.add(ms_of(now - open.front().at));
      open.pop_front();
    }
    return open.empty() && now >= begun + options.time;
  };
  const auto fault = begun + std::chrono::duration_cast<Micros>(options.time * kQuietShare);
  model.run_until([&] { return publish_and_look() || model.now() >= fault; }, options.time);
  Disturbance disturbance(model, condition, Micros(0));
  model.run_until(publish_and_look, 2 * options.time);
  disturbance.end();
  const double length = seconds_of(model.now() - begun);
  const Traffic at_store = model.store().traffic() - before;
  const Traffic below = model.shape().flat ? at_store : sum_of(model.aggregators()) - servers_before;
  series.unfinished += static_cast<int>(open.size());
  series.rounds = static_cast<double>(model.rounds() - rounds) / length;
  series.store_calls = static_cast<double>(at_store.calls) / length;
  series.store_bytes = bytes_of(at_store) / length;
  series.router_bytes = bytes_of(below) / length / static_cast<double>(model.routers().size());
  if (series.broken.empty()) {
    series.broken = model.check().broken();
  }
}

QueueFigures measure_queue(FleetModel& model, Micros mean_between, Micros time) {
  QueueFigures out;
  std::deque<Micros> waiting;
  Micros next = model.now() + drawn_exponential(model, mean_between);
  const Micros end = model.now() + time;
  std::uint64_t finished = model.finished();
  bool open = false;
  model.run_until(
      [&] {
        const Micros now = model.now();
        for (; next <= now && now < end; next += drawn_exponential(model, mean_between)) {
          waiting.push_back(next);
        }
        out.longest_queue = std::max(out.longest_queue, static_cast<int>(waiting.size()));
        if (open && model.finished() > finished) {
          out.ms.add(ms_of(now - waiting.front()));
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
  out.broken = model.check().broken();
  if (out.broken.empty() && !waiting.empty()) {
    out.broken = std::to_string(waiting.size()) + " changes wait still: they come faster than they end";
  }
  return out;
}

// ---- Drawn faults ----

namespace {

class DrawnFaults {
 public:
  DrawnFaults(FleetModel& model, const FaultOptions& options) : model_(model), options_(options) {}

  FaultFigures run() {
    const Micros calm = model_.now() + std::max(options_.time, options_.region_cut);
    if (options_.region_cut > Micros(0)) {
      cut_first_region();
    }
    const Micros faults_end = model_.now() + options_.time;
    Micros next = model_.now();
    Micros proposal = model_.now();
    Micros page = model_.now();
    model_.run_until(
        [&] {
          if (model_.now() >= next && model_.now() < faults_end) {
            next = model_.now() + drawn_exponential(model_, options_.mean_between);
            draw();
          }
          if (options_.publish && model_.now() >= page) {
            page = model_.now() + kBetweenPages;
            model_.publish(kEventsOfPage);
          }
          if (model_.now() >= proposal) {
            proposal = model_.now() + drawn_exponential(model_, Micros(4'500'000));
            model_.propose(model_.simulation().chance(0.1));
          }
          return model_.now() >= calm;
        },
        calm - model_.now());
    end();
    return figures_;
  }

 private:
  // Undoes what it began, in any case, after a drawn time.
  void undo_after(Micros most, Job undo) {
    model_.simulation().events.after(model_.simulation().drawn(most), std::move(undo));
  }
  HollowAggregator& drawn_aggregator() {
    return *model_.aggregators()[drawn_index(model_, model_.aggregators().size())];
  }

  void cut_first_region() {
    model_.cut_region(0, true);
    model_.simulation().events.after(options_.region_cut, [this] { model_.cut_region(0, false); });
  }

  void draw() {
    ++figures_.faults;
    switch (model_.simulation().random() % 8) {
      case 0: {
        HollowAggregator& one = drawn_aggregator();
        model_.kill(one);
        undo_after(Micros(5'000'000), [this, &one] { model_.begin(one); });
        return;
      }
      case 1: {
        HollowAggregator& one = drawn_aggregator();
        model_.pause(one);
        undo_after(Micros(10'000'000), [this, &one] { model_.wake(one); });
        return;
      }
      case 2: {
        HollowAggregator& one = drawn_aggregator();
        model_.cut_above(one, true);
        undo_after(Micros(10'000'000), [this, &one] { model_.cut_above(one, false); });
        return;
      }
      case 3: {
        HollowAggregator& one = drawn_aggregator();
        model_.cut_below(one, true);
        undo_after(Micros(10'000'000), [this, &one] { model_.cut_below(one, false); });
        return;
      }
      case 4: {
        const int region =
            static_cast<int>(drawn_index(model_, static_cast<std::size_t>(model_.shape().regions)));
        model_.cut_region(region, true);
        undo_after(Micros(10'000'000), [this, region] {
          const bool for_long = region == 0 && options_.region_cut > Micros(0);
          for_long ? void() : model_.cut_region(region, false);
        });
        return;
      }
      case 5:
        stop_routers();
        return;
      case 6:
        restart_routers(0.02);
        return;
      default:
        if (model_.simulation().chance(0.1)) {
          restart_routers(0.5);
        } else {
          model_.driver().replace();
        }
    }
  }
  void stop_routers() {
    for (std::size_t i = 0; i < std::max<std::size_t>(1, model_.routers().size() / 100); ++i) {
      HollowRouter& one = *model_.routers()[drawn_index(model_, model_.routers().size())];
      one.pause();
      undo_after(Micros(8'000'000), [&one] { one.wake(); });
    }
  }
  void restart_routers(double share) {
    for (const auto& router : model_.routers()) {
      if (model_.simulation().chance(share)) {
        undo_after(kRestartSpread, [one = router.get()] { one->begin(); });
      }
    }
  }

  void end() {
    model_.run_for(Micros(12'000'000));  // all that was begun is undone
    const bool settled = model_.settle(kSettleLimit);
    const bool closed = model_.run_until([this] { return !model_.change_open(); }, Micros(90'000'000));
    figures_.begun = model_.begun();
    figures_.done = model_.finished();
    figures_.aborted = model_.aborted();
    figures_.rulings = model_.check().rulings();
    figures_.broken = model_.check().broken();
    const bool well = settled && closed && model_.settle(kSettleLimit);
    const bool told =
        model_.run_until([this] { return model_.done_event() == model_.published(); }, kSettleLimit);
    if (figures_.broken.empty() && !(well && told)) {
      figures_.broken = "not all is well in the end: " + model_.describe();
    }
  }

  FleetModel& model_;
  FaultOptions options_;
  FaultFigures figures_;
};

}  // namespace

FaultFigures run_faults(FleetModel& model, const FaultOptions& options) {
  return DrawnFaults(model, options).run();
}

}  // namespace trailcourse::scale
