// The control of policy in fleets of any size, in virtual time on the real state machines: what the store,
// the aggregators and the routers pay at rest and for a change, how long a change takes, and whether the rule
// holds under drawn faults. Prints a table; times are virtual but for the progress.
//
//     scale_bench --rest --changes --write docs/capacity/slopes.json
//     scale_bench --flat --rest --changes --sizes 30,100,200,300,1000,3000
//     scale_bench --faults 20 --sizes 1000
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <cxxopts.hpp>
#include <exception>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "scale/fleet_model_runs.h"
#include "scale/hollow_start.h"
#include "scale/slopes.h"

namespace {

using nlohmann::json;
using trailcourse::Micros;
using trailcourse::scale::AcknowledgementOptions;
using trailcourse::scale::AcknowledgementSeries;
using trailcourse::scale::applies;
using trailcourse::scale::BoardCalls;
using trailcourse::scale::ChangeSeries;
using trailcourse::scale::Condition;
using trailcourse::scale::FaultFigures;
using trailcourse::scale::FaultOptions;
using trailcourse::scale::FleetModel;
using trailcourse::scale::FleetShape;
using trailcourse::scale::kConditions;
using trailcourse::scale::loopback;
using trailcourse::scale::measure_acknowledgements;
using trailcourse::scale::measure_board;
using trailcourse::scale::measure_changes;
using trailcourse::scale::measure_queue;
using trailcourse::scale::measure_rest;
using trailcourse::scale::measured_here;
using trailcourse::scale::QueueFigures;
using trailcourse::scale::RestFigures;
using trailcourse::scale::run_faults;
using trailcourse::scale::save_slopes;
using trailcourse::scale::SeriesOptions;
using trailcourse::scale::shape_of;
using trailcourse::scale::Slope;
using trailcourse::scale::to_string;

constexpr Micros kStartSpread{1'000'000};
constexpr Micros kSettle{60'000'000};
constexpr Micros kSteady{3'000'000};  // after the start, before anything is measured
constexpr Micros kRest{10'000'000};

struct Options {
  std::vector<int> sizes;
  bool flat = false;
  bool near = false;
  bool late_watch = false;
  std::uint64_t seed = 1;
  int seeds = 3;
  int changes = 3;
  int aggregators = 2;
  int regions = 0;
  int zones = 0;
  bool rest = false;
  bool change = false;
  bool all_up = false;
  bool queue = false;
  bool board = false;
  bool acknowledge = false;
  int faults = 0;
  double fault_seconds = 60.0;
  double cut_seconds = 0.0;
  std::vector<std::string> join;
  std::string write;
  bool as_json = false;
  std::string command;
};

class Progress {
 public:
  void say(const std::string& what) const {
    if (shown_) {
      std::fprintf(stderr, "\r\033[K%s", what.c_str());
    }
  }
  ~Progress() { say(""); }

 private:
  bool shown_ = isatty(STDERR_FILENO) != 0;
};

// Slopes by name, gathered point by point.
class SlopeTable {
 public:
  void point(const std::string& name, const std::string& what, const std::string& unit,
             const std::string& per, double x, double y) {
    Slope& slope = slopes_[name];
    slope.name = name;
    slope.what = what;
    slope.unit = unit;
    slope.per = per;
    slope.points.emplace_back(x, y);
  }
  std::vector<Slope> measured(const std::string& command) {
    std::vector<Slope> out;
    for (auto& [name, slope] : slopes_) {
      slope.setting = "hollow, virtual time";
      slope.command = command;
      out.push_back(measured_here(slope));
    }
    return out;
  }

 private:
  std::map<std::string, Slope> slopes_;
};

constexpr const char* kAtRest = "at rest, a second";
constexpr const char* kChange = "a change, ";

void add_rest(SlopeTable& table, const json& row) {
  const std::string way = row.at("way");
  const bool flat = way == "flat";
  const std::string per = flat ? "routers" : "regions";
  const double x = row.at(per);
  table.point("store.calls.rest." + way + ".hollow",
              "calls at the store at rest, permissions of policy alone", "calls a second", per, x,
              row.at("store_calls"));
  table.point("store.bytes.rest." + way + ".hollow",
              "bytes at the store at rest, both ways, without TCP and IP", "bytes a second", per, x,
              row.at("store_bytes"));
  table.point("router.bytes.rest." + way + ".hollow",
              "bytes at a router at rest for its permission, both ways", "bytes a second", "routers",
              row.at("routers"), row.at("router_bytes"));
  if (flat) {
    return;
  }
  const double below = row.at("routers_of_one");
  const std::string per_one = "routers of one aggregator";
  table.point("aggregator.calls.rest.hollow", "calls at an aggregator at rest", "calls a second", per_one,
              below, row.at("aggregator_calls"));
  table.point("aggregator.bytes.rest.hollow", "bytes at an aggregator at rest, both ways, without TCP and IP",
              "bytes a second", per_one, below, row.at("aggregator_bytes"));
}

void add_change(SlopeTable& table, const json& row) {
  const std::string what = row.at("what");
  std::string condition = what.substr(std::string(kChange).size());
  const bool all_up = condition == to_string(Condition::kAllUp);
  std::replace(condition.begin(), condition.end(), ' ', '-');
  const std::string way = row.at("way");
  const std::string name = way + "." + condition + ".hollow";
  const double routers = row.at("routers");
  const std::string words = what + ": from its proposal until all decide under it";
  table.point("change.ms.p50." + name, words + ", median", "ms", "routers", routers, row.at("p50_ms"));
  table.point("change.ms.p99." + name, words + ", p99", "ms", "routers", routers, row.at("p99_ms"));
  table.point("change.ms.worst." + name, words + ", worst", "ms", "routers", routers, row.at("worst_ms"));
  if (!all_up) {
    return;
  }
  const std::string per = way == "flat" ? "routers" : "regions";
  const double x = row.at(per);
  table.point("store.calls.change." + way + ".hollow",
              "calls at the store during one change, renewals among them", "calls", per, x,
              row.at("store_calls"));
  table.point("store.bytes.change." + way + ".hollow", "bytes at the store during one change, both ways",
              "bytes", per, x, row.at("store_bytes"));
}

constexpr const char* kAcknowledged = "purges known to be done everywhere, ";

void add_acknowledged(SlopeTable& table, const json& row) {
  const std::string what = row.at("what");
  std::string condition = what.substr(std::string(kAcknowledged).size());
  const bool all_up = condition == to_string(Condition::kAllUp);
  std::replace(condition.begin(), condition.end(), ' ', '-');
  const std::string way = row.at("way");
  const std::string name = way + "." + condition + ".hollow";
  const double routers = row.at("routers");
  const std::string words = what + ": from the board's page until it is told, 180 purges a second";
  table.point("acknowledged.ms.p50." + name, words + ", median", "ms", "routers", routers, row.at("p50_ms"));
  table.point("acknowledged.ms.p99." + name, words + ", p99", "ms", "routers", routers, row.at("p99_ms"));
  table.point("acknowledged.ms.worst." + name, words + ", worst", "ms", "routers", routers,
              row.at("worst_ms"));
  if (all_up) {
    const std::string per = way == "flat" ? "routers" : "regions";
    table.point("store.calls.acknowledged." + way + ".hollow",
                "calls at the store while 180 purges a second are acknowledged, renewals among them",
                "calls a second", per, row.at(per), row.at("store_calls"));
    table.point("store.bytes.acknowledged." + way + ".hollow", "the same, bytes both ways", "bytes a second",
                per, row.at(per), row.at("store_bytes"));
    table.point("router.bytes.acknowledged." + way + ".hollow",
                "bytes at a router for its permission while 180 purges a second are acknowledged, both ways",
                "bytes a second", "routers", routers, row.at("router_bytes"));
  }
}

constexpr const char* kBoard = "calls at the notice board, ";
constexpr const char* kStarts = "everybody starts";
constexpr const char* kBack = "the board is back after an hour";

void add_board(SlopeTable& table, const json& row) {
  const std::string what = row.at("what");
  const std::string name = what.ends_with(kBack) ? "board-back" : "everybody-starts";
  const double routers = row.at("routers");
  table.point("board.calls.second." + name + ".hollow", what + ": most in a second", "calls a second",
              "routers", routers, row.at("most_in_second"));
}

// Rows as they are printed, and the slopes that are worked out from them. Rows of earlier runs can be joined,
// so that large sizes are measured one by one.
class Table {
 public:
  explicit Table(const Options& options) : options_(options) {}

  void row(json row) {
    if (!options_.as_json) {
      std::string line;
      for (const auto& [key, value] : row.items()) {
        line += (line.empty() ? "" : "  ") + key + "=" +
                (value.is_string() ? value.get<std::string>() : value.dump());
      }
      std::cout << line << '\n' << std::flush;
    }
    rows_.push_back(std::move(row));
  }
  void join(const std::string& path) {
    std::ifstream in(path);
    for (json& row : json::parse(in)) {
      rows_.push_back(std::move(row));
    }
  }
  void finish() const {
    if (options_.as_json) {
      std::cout << rows_.dump(1) << '\n' << std::flush;
    }
    SlopeTable slopes;
    for (const json& row : rows_) {
      const std::string what = row.at("what");
      const bool measured = row.value("p50_ms", 1.0) > 0.0;
      if (what == kAtRest) {
        add_rest(slopes, row);
      } else if (what.starts_with(kChange) && measured) {
        add_change(slopes, row);
      } else if (what.starts_with(kAcknowledged)) {
        add_acknowledged(slopes, row);
      } else if (what.starts_with(kBoard)) {
        add_board(slopes, row);
      }
    }
    if (!options_.write.empty()) {
      save_slopes(options_.write, slopes.measured(options_.command));
    }
  }

 private:
  const Options& options_;
  json rows_ = json::array();
};

FleetShape shape_for(const Options& options, int size, std::uint64_t seed) {
  FleetShape out = shape_of(size, options.flat, seed);
  out.aggregators = options.aggregators;
  out.regions = options.regions;
  out.zones = options.zones;
  if (options.near) {
    out.network = loopback();
  }
  out.network.watch_follows_calls = !options.late_watch;
  return out;
}

// Throws where it does not settle.
void start(FleetModel& model) {
  model.start(kStartSpread);
  model.run_for(kStartSpread);
  if (!model.settle(kSettle)) {
    throw std::runtime_error("the fleet does not settle: " + model.check().broken() + model.describe());
  }
  model.run_for(kSteady);
}

double rounded(double value) { return std::round(value * 10.0) / 10.0; }

class Bench {
 public:
  explicit Bench(const Options& options) : options_(options), table_(options) {}

  bool run() {
    for (const std::string& path : options_.join) {
      table_.join(path);
    }
    for (const int size : options_.sizes) {
      if (options_.rest) {
        rest(size);
      }
      if (options_.change) {
        changes(size);
      }
      if (options_.acknowledge) {
        acknowledgements(size);
      }
      if (options_.queue) {
        queue(size, 4.5);
        queue(size, 1.5);
      }
      if (options_.board) {
        board(size, kStarts, Micros(0));
        board(size, kBack, Micros(3'600'000'000));
      }
      for (int i = 0; i < options_.faults; ++i) {
        faults(size, options_.seed + static_cast<std::uint64_t>(i));
      }
    }
    table_.finish();
    return sound_;
  }

 private:
  std::string way() const { return options_.flat ? "flat" : "regions"; }

  void rest(int size) {
    FleetModel model(shape_for(options_, size, options_.seed));
    progress_.say("at rest, " + std::to_string(size) + " routers");
    start(model);
    const RestFigures figures = measure_rest(model, kRest);
    const std::size_t servers = std::max<std::size_t>(1, model.aggregators().size());
    const double below = size / static_cast<double>(servers);
    table_.row({{"routers", size},
                {"way", way()},
                {"regions", model.shape().regions},
                {"what", kAtRest},
                {"routers_of_one", below},
                {"store_calls", rounded(figures.store_calls)},
                {"store_bytes", rounded(figures.store_bytes)},
                {"aggregator_calls", rounded(figures.aggregator_calls)},
                {"aggregator_bytes", rounded(figures.aggregator_bytes)},
                {"router_bytes", rounded(figures.router_bytes)}});
    check(model.check().broken());
  }

  void changes(int size) {
    for (const Condition condition : kConditions) {
      if (options_.all_up && condition != Condition::kAllUp) {
        continue;
      }
      ChangeSeries series;
      FleetShape shape;
      for (int i = 0; i < options_.seeds; ++i) {
        shape = shape_for(options_, size, options_.seed + static_cast<std::uint64_t>(i));
        if (!applies(condition, shape)) {
          break;
        }
        progress_.say(std::to_string(size) + " routers, " + to_string(condition) + ", seed " +
                      std::to_string(shape.seed));
        FleetModel model(shape);
        shape = model.shape();
        start(model);
        SeriesOptions rules;
        rules.changes = options_.changes;
        measure_changes(model, condition, rules, series);
      }
      if (!series.ms.empty() || series.unfinished > 0) {
        tell(shape, condition, series);
      }
      check(series.broken);
    }
  }

  void tell(const FleetShape& shape, Condition condition, const ChangeSeries& series) {
    table_.row({{"routers", shape.routers},
                {"way", way()},
                {"regions", shape.regions},
                {"what", std::string(kChange) + to_string(condition)},
                {"changes", series.ms.size()},
                {"unfinished", series.unfinished},
                {"p50_ms", rounded(series.ms.quantile(0.5))},
                {"p99_ms", rounded(series.ms.quantile(0.99))},
                {"worst_ms", rounded(series.ms.worst())},
                {"store_calls", rounded(series.store_calls.mean())},
                {"store_bytes", rounded(series.store_bytes.mean())},
                {"store_longest_wait_ms", rounded(series.store_wait_ms.worst())}});
  }

  void acknowledgements(int size) {
    for (const Condition condition :
         {Condition::kAllUp, Condition::kFewStopped, Condition::kAggregatorStopped, Condition::kRegionCut}) {
      AcknowledgementSeries series;
      FleetShape shape;
      for (int i = 0; i < options_.seeds; ++i) {
        shape = shape_for(options_, size, options_.seed + static_cast<std::uint64_t>(i));
        if (!applies(condition, shape) || (options_.all_up && condition != Condition::kAllUp)) {
          break;
        }
        progress_.say(std::to_string(size) + " routers, acknowledgements, " + to_string(condition) +
                      ", seed " + std::to_string(shape.seed));
        FleetModel model(shape);
        shape = model.shape();
        start(model);
        measure_acknowledgements(model, condition, AcknowledgementOptions{}, series);
      }
      if (!series.ms.empty()) {
        tell(shape, condition, series);
      }
      check(series.broken);
    }
  }

  void tell(const FleetShape& shape, Condition condition, const AcknowledgementSeries& series) {
    table_.row({{"routers", shape.routers},
                {"way", way()},
                {"regions", shape.regions},
                {"what", std::string(kAcknowledged) + to_string(condition)},
                {"pages", series.ms.size()},
                {"unfinished", series.unfinished},
                {"p50_ms", rounded(series.ms.quantile(0.5))},
                {"p99_ms", rounded(series.ms.quantile(0.99))},
                {"worst_ms", rounded(series.ms.worst())},
                {"rounds_a_second", rounded(series.rounds)},
                {"store_calls", rounded(series.store_calls)},
                {"store_bytes", rounded(series.store_bytes)},
                {"router_bytes", rounded(series.router_bytes)}});
  }

  void queue(int size, double mean_seconds) {
    FleetModel model(shape_for(options_, size, options_.seed));
    progress_.say(std::to_string(size) + " routers, changes in a row");
    start(model);
    const QueueFigures figures =
        measure_queue(model, Micros(static_cast<Micros::rep>(mean_seconds * 1e6)), Micros(300'000'000));
    table_.row(
        {{"routers", size},
         {"way", way()},
         {"what", "changes that come every " + std::to_string(mean_seconds).substr(0, 3) + " s on average"},
         {"changes", figures.ms.size()},
         {"p50_ms", rounded(figures.ms.quantile(0.5))},
         {"p99_ms", rounded(figures.ms.quantile(0.99))},
         {"worst_ms", rounded(figures.ms.worst())},
         {"longest_queue", figures.longest_queue},
         {"note", figures.broken}});
    check(model.check().broken());
  }

  // By the program's rules for a fleet.
  void board(int size, const char* what, Micros back) {
    trailcourse::startup::PollOptions rules;
    rules.spread = true;
    const BoardCalls figures = measure_board(rules, size, back, options_.seed);
    table_.row({{"routers", size},
                {"what", std::string(kBoard) + what},
                {"calls", figures.calls},
                {"most_in_100_ms", figures.most_in_100_ms},
                {"most_in_second", figures.most_in_second},
                {"last_list_s", rounded(figures.last_list_s)}});
  }

  void faults(int size, std::uint64_t seed) {
    progress_.say(std::to_string(size) + " routers, drawn faults, seed " + std::to_string(seed));
    FleetModel model(shape_for(options_, size, seed));
    start(model);
    FaultOptions rules;
    rules.time = Micros(static_cast<Micros::rep>(options_.fault_seconds * 1e6));
    rules.region_cut = Micros(static_cast<Micros::rep>(options_.cut_seconds * 1e6));
    rules.publish = options_.acknowledge;
    const FaultFigures figures = run_faults(model, rules);
    table_.row({{"routers", size},
                {"what", "drawn faults"},
                {"seed", seed},
                {"faults", figures.faults},
                {"begun", figures.begun},
                {"done", figures.done},
                {"aborted", figures.aborted},
                {"rulings", figures.rulings},
                {"done_event", model.done_event()},
                {"broken", figures.broken}});
    check(figures.broken);
  }

  void check(const std::string& broken) {
    if (!broken.empty()) {
      sound_ = false;
      std::cerr << "BROKEN: " << broken << '\n';
    }
  }

  const Options& options_;
  Table table_;
  Progress progress_;
  bool sound_ = true;
};

Options read_options(int argc, char** argv) {
  cxxopts::Options rules("scale_bench", "The control of policy in fleets of any size, in virtual time.");
  Options out;
  rules.add_options()("sizes", "routers",
                      cxxopts::value(out.sizes)->default_value("30,100,200,300,1000,3000,10000,19000,38000"))(
      "flat", "every router at the store", cxxopts::value(out.flat))(
      "near", "the delays of one machine's loopback, not of regions all over the world",
      cxxopts::value(out.near))("aggregators", "of each region",
                                cxxopts::value(out.aggregators)->default_value("2"))(
      "regions", "0: as in the fleet ahead, two at least", cxxopts::value(out.regions)->default_value("0"))(
      "zones", "0: as in the fleet ahead", cxxopts::value(out.zones)->default_value("0"))(
      "seed", "the first one", cxxopts::value(out.seed)->default_value("1"))(
      "seeds", "of each condition of a change", cxxopts::value(out.seeds)->default_value("3"))(
      "per-seed", "changes of each seed", cxxopts::value(out.changes)->default_value("3"))(
      "rest", "measure a fleet at rest", cxxopts::value(out.rest))(
      "changes", "measure changes, in each condition", cxxopts::value(out.change))(
      "all-up", "changes while all is well, and no others", cxxopts::value(out.all_up))(
      "queue", "measure changes that come at drawn times", cxxopts::value(out.queue))(
      "board", "measure the first calls at the notice board", cxxopts::value(out.board))(
      "acknowledge", "measure until purges are known to be done; with --faults: purges come meanwhile",
      cxxopts::value(out.acknowledge))("faults", "so many seeds of drawn faults",
                                       cxxopts::value(out.faults)->default_value("0"))(
      "fault-seconds", "virtual time of each", cxxopts::value(out.fault_seconds)->default_value("60"))(
      "cut-seconds", "for which one region is cut off meanwhile",
      cxxopts::value(out.cut_seconds)->default_value("0"))(
      "join", "files of rows of earlier runs, as --json printed them", cxxopts::value(out.join))(
      "command", "what is recorded with slopes of joined rows: the commands that measured them",
      cxxopts::value(out.command))("write", "the file of slopes", cxxopts::value(out.write))(
      "json", "rows as JSON", cxxopts::value(out.as_json))("help", "this");
  const auto parsed = rules.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << rules.help();
    std::exit(0);
  }
  if (!out.command.empty()) {
    return out;
  }
  out.command = "scale_bench";
  for (int i = 1; i < argc; ++i) {
    out.command += std::string(" ") + argv[i];
  }
  return out;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    const Options options = read_options(argc, argv);
    return Bench(options).run() ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << "scale_bench: " << error.what() << '\n';
    return 2;
  }
}
