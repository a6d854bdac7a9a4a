// Measures the policy control of simulated fleets of any size, in virtual time and with the production state
// machines:
// - the traffic of the store, the aggregators and the routers while idle,
// - the duration of policy changes and of the acknowledgement of purges, and the traffic of the store during
//   them,
// - the polls at the discovery server,
// - whether the rules for effective policies hold under random faults.
//
// Prints one row for each measurement. All times are virtual.
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

#include "scale/discovery_poll_simulation.h"
#include "scale/fleet_model_runs.h"
#include "scale/slopes.h"

namespace {

using nlohmann::json;
using trailcourse::Micros;
using trailcourse::scale::AcknowledgementOptions;
using trailcourse::scale::AcknowledgementSeries;
using trailcourse::scale::ChangeSeries;
using trailcourse::scale::ChangeSeriesOptions;
using trailcourse::scale::complete_slope;
using trailcourse::scale::Condition;
using trailcourse::scale::DiscoveryPolls;
using trailcourse::scale::FaultResult;
using trailcourse::scale::fleet_model_options;
using trailcourse::scale::FleetModel;
using trailcourse::scale::FleetModelOptions;
using trailcourse::scale::IdleTraffic;
using trailcourse::scale::is_applicable;
using trailcourse::scale::kConditions;
using trailcourse::scale::loopback_network;
using trailcourse::scale::measure_acknowledgements;
using trailcourse::scale::measure_changes;
using trailcourse::scale::measure_idle_traffic;
using trailcourse::scale::measure_queue;
using trailcourse::scale::QueueResult;
using trailcourse::scale::RandomFaultOptions;
using trailcourse::scale::run_random_faults;
using trailcourse::scale::save_slopes;
using trailcourse::scale::simulate_discovery_polls;
using trailcourse::scale::Slope;
using trailcourse::scale::to_string;

constexpr Micros kStartSpread{1'000'000};
constexpr Micros kSettleLimit{60'000'000};
constexpr Micros kWarmUp{3'000'000};  // after the fleet has settled, before a measurement
constexpr Micros kIdleTime{10'000'000};
constexpr Micros kQueueTime{300'000'000};  // in which queued changes are proposed

// The command-line options, which read_options() describes.
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

// Shows the running measurement on a line of the terminal that it overwrites.
class Progress {
 public:
  void show(const std::string& text) const {
    if (shown_) {
      std::fprintf(stderr, "\r\033[K%s", text.c_str());
    }
  }
  ~Progress() { show(""); }

 private:
  bool shown_ = isatty(STDERR_FILENO) != 0;
};

// Collects measured points by the name of the slope, the function that is fitted to them.
class SlopeTable {
 public:
  void add_point(const std::string& name, const std::string& what, const std::string& unit,
                 const std::string& per, double x, double y) {
    Slope& slope = slopes_[name];
    slope.name = name;
    slope.what = what;
    slope.unit = unit;
    slope.per = per;
    slope.points.emplace_back(x, y);
  }
  // Fits a function to the points of each slope. `command` is recorded as the command that measured them.
  std::vector<Slope> fitted_slopes(const std::string& command) {
    std::vector<Slope> out;
    for (auto& [name, slope] : slopes_) {
      slope.setting = "hollow, virtual time";
      slope.command = command;
      out.push_back(complete_slope(slope));
    }
    return out;
  }

 private:
  std::map<std::string, Slope> slopes_;
};

constexpr const char* kIdleText = "at rest, a second";
constexpr const char* kChangeText = "a change, ";

// Each of the following functions adds the points of a row to the slopes.
void add_idle(SlopeTable& table, const json& row) {
  const std::string topology = row.at("way");
  const bool flat = topology == "flat";
  const std::string per = flat ? "routers" : "regions";
  const double x = row.at(per);
  table.add_point("store.calls.rest." + topology + ".hollow",
                  "calls at the store at rest, permissions of policy alone", "calls a second", per, x,
                  row.at("store_calls"));
  table.add_point("store.bytes.rest." + topology + ".hollow",
                  "bytes at the store at rest, both ways, without TCP and IP", "bytes a second", per, x,
                  row.at("store_bytes"));
  table.add_point("router.bytes.rest." + topology + ".hollow",
                  "bytes at a router at rest for its permission, both ways", "bytes a second", "routers",
                  row.at("routers"), row.at("router_bytes"));
  if (flat) {
    return;
  }
  const double routers_per_aggregator = row.at("routers_of_one");
  const std::string per_one = "routers of one aggregator";
  table.add_point("aggregator.calls.rest.hollow", "calls at an aggregator at rest", "calls a second", per_one,
                  routers_per_aggregator, row.at("aggregator_calls"));
  table.add_point("aggregator.bytes.rest.hollow",
                  "bytes at an aggregator at rest, both ways, without TCP and IP", "bytes a second", per_one,
                  routers_per_aggregator, row.at("aggregator_bytes"));
}

void add_change(SlopeTable& table, const json& row) {
  const std::string what = row.at("what");
  std::string condition = what.substr(std::string(kChangeText).size());
  const bool all_up = condition == to_string(Condition::kAllUp);
  std::replace(condition.begin(), condition.end(), ' ', '-');
  const std::string topology = row.at("way");
  const std::string name = topology + "." + condition + ".hollow";
  const double routers = row.at("routers");
  const std::string description = what + ": from its proposal until all decide under it";
  table.add_point("change.ms.p50." + name, description + ", median", "ms", "routers", routers,
                  row.at("p50_ms"));
  table.add_point("change.ms.p99." + name, description + ", p99", "ms", "routers", routers, row.at("p99_ms"));
  table.add_point("change.ms.worst." + name, description + ", worst", "ms", "routers", routers,
                  row.at("worst_ms"));
  if (!all_up) {
    return;
  }
  const std::string per = topology == "flat" ? "routers" : "regions";
  const double x = row.at(per);
  table.add_point("store.calls.change." + topology + ".hollow",
                  "calls at the store during one change, renewals among them", "calls", per, x,
                  row.at("store_calls"));
  table.add_point("store.bytes.change." + topology + ".hollow",
                  "bytes at the store during one change, both ways", "bytes", per, x, row.at("store_bytes"));
}

constexpr const char* kAcknowledgedText = "purges known to be done everywhere, ";

void add_acknowledgement(SlopeTable& table, const json& row) {
  const std::string what = row.at("what");
  std::string condition = what.substr(std::string(kAcknowledgedText).size());
  const bool all_up = condition == to_string(Condition::kAllUp);
  std::replace(condition.begin(), condition.end(), ' ', '-');
  const std::string topology = row.at("way");
  const std::string name = topology + "." + condition + ".hollow";
  const double routers = row.at("routers");
  const std::string description = what + ": from the board's page until it is told, 180 purges a second";
  table.add_point("acknowledged.ms.p50." + name, description + ", median", "ms", "routers", routers,
                  row.at("p50_ms"));
  table.add_point("acknowledged.ms.p99." + name, description + ", p99", "ms", "routers", routers,
                  row.at("p99_ms"));
  table.add_point("acknowledged.ms.worst." + name, description + ", worst", "ms", "routers", routers,
                  row.at("worst_ms"));
  if (all_up) {
    const std::string per = topology == "flat" ? "routers" : "regions";
    table.add_point("store.calls.acknowledged." + topology + ".hollow",
                    "calls at the store while 180 purges a second are acknowledged, renewals among them",
                    "calls a second", per, row.at(per), row.at("store_calls"));
    table.add_point("store.bytes.acknowledged." + topology + ".hollow", "the same, bytes both ways",
                    "bytes a second", per, row.at(per), row.at("store_bytes"));
    table.add_point(
        "router.bytes.acknowledged." + topology + ".hollow",
        "bytes at a router for its permission while 180 purges a second are acknowledged, both ways",
        "bytes a second", "routers", routers, row.at("router_bytes"));
  }
}

constexpr const char* kDiscoveryText = "calls at the notice board, ";
constexpr const char* kFleetStartText = "everybody starts";
constexpr const char* kServerReturnText = "the board is back after an hour";

void add_discovery_polls(SlopeTable& table, const json& row) {
  const std::string what = row.at("what");
  const std::string name = what.ends_with(kServerReturnText) ? "board-back" : "everybody-starts";
  const double routers = row.at("routers");
  table.add_point("board.calls.second." + name + ".hollow", what + ": most in a second", "calls a second",
                  "routers", routers, row.at("most_in_second"));
}

// The rows of the measurements, from which the slopes are computed. Can include rows of earlier runs, so that
// large fleets can be measured one at a time.
class Table {
 public:
  explicit Table(const Options& options) : options_(options) {}

  // Adds a row and prints it, unless finish() prints all rows as JSON.
  void add_row(json row) {
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
  // Adds the rows of an earlier run, from a file written with --json.
  void add_rows_of_file(const std::string& path) {
    std::ifstream in(path);
    for (json& row : json::parse(in)) {
      rows_.push_back(std::move(row));
    }
  }
  // Prints the rows as JSON and writes the slopes to a file, each if the options request it.
  void finish() const {
    if (options_.as_json) {
      std::cout << rows_.dump(1) << '\n' << std::flush;
    }
    SlopeTable slopes;
    for (const json& row : rows_) {
      const std::string what = row.at("what");
      const bool measured = row.value("p50_ms", 1.0) > 0.0;
      if (what == kIdleText) {
        add_idle(slopes, row);
      } else if (what.starts_with(kChangeText) && measured) {
        add_change(slopes, row);
      } else if (what.starts_with(kAcknowledgedText)) {
        add_acknowledgement(slopes, row);
      } else if (what.starts_with(kDiscoveryText)) {
        add_discovery_polls(slopes, row);
      }
    }
    if (!options_.write.empty()) {
      save_slopes(options_.write, slopes.fitted_slopes(options_.command));
    }
  }

 private:
  const Options& options_;
  json rows_ = json::array();
};

FleetModelOptions model_options(const Options& options, int size, std::uint64_t seed) {
  FleetModelOptions out = fleet_model_options(size, options.flat, seed);
  out.aggregators = options.aggregators;
  out.regions = options.regions;
  out.zones = options.zones;
  if (options.near) {
    out.network = loopback_network();
  }
  out.network.watch_follows_calls = !options.late_watch;
  return out;
}

// Starts the fleet and waits until it has settled. Throws std::runtime_error if it does not settle.
void start_and_settle(FleetModel& model) {
  model.start(kStartSpread);
  model.run_for(kStartSpread);
  if (!model.settle(kSettleLimit)) {
    throw std::runtime_error("the fleet did not settle: " + model.policy_check().violation() +
                             model.describe());
  }
  model.run_for(kWarmUp);
}

// Rounds to one decimal place.
double rounded(double value) { return std::round(value * 10.0) / 10.0; }

// Runs the measurements that the options select.
class Benchmark {
 public:
  explicit Benchmark(const Options& options) : options_(options), table_(options) {}

  // Returns false if a rule was violated.
  bool run() {
    for (const std::string& path : options_.join) {
      table_.add_rows_of_file(path);
    }
    for (const int size : options_.sizes) {
      if (options_.rest) {
        run_idle(size);
      }
      if (options_.change) {
        run_changes(size);
      }
      if (options_.acknowledge) {
        run_acknowledgements(size);
      }
      if (options_.queue) {
        run_queue(size, 4.5);
        run_queue(size, 1.5);
      }
      if (options_.board) {
        run_discovery_polls(size, kFleetStartText, Micros(0));
        run_discovery_polls(size, kServerReturnText, Micros(3'600'000'000));
      }
      for (int i = 0; i < options_.faults; ++i) {
        run_faults(size, options_.seed + static_cast<std::uint64_t>(i));
      }
    }
    table_.finish();
    return passed_;
  }

 private:
  std::string topology() const { return options_.flat ? "flat" : "regions"; }

  void run_idle(int size) {
    FleetModel model(model_options(options_, size, options_.seed));
    progress_.show("idle, " + std::to_string(size) + " routers");
    start_and_settle(model);
    const IdleTraffic traffic = measure_idle_traffic(model, kIdleTime);
    const std::size_t servers = std::max<std::size_t>(1, model.aggregators().size());
    const double routers_per_aggregator = size / static_cast<double>(servers);
    table_.add_row({{"routers", size},
                    {"way", topology()},
                    {"regions", model.options().regions},
                    {"what", kIdleText},
                    {"routers_of_one", routers_per_aggregator},
                    {"store_calls", rounded(traffic.store_calls)},
                    {"store_bytes", rounded(traffic.store_bytes)},
                    {"aggregator_calls", rounded(traffic.aggregator_calls)},
                    {"aggregator_bytes", rounded(traffic.aggregator_bytes)},
                    {"router_bytes", rounded(traffic.router_bytes)}});
    check(model.policy_check().violation());
  }

  void run_changes(int size) {
    for (const Condition condition : kConditions) {
      if (options_.all_up && condition != Condition::kAllUp) {
        continue;
      }
      ChangeSeries series;
      FleetModelOptions model_settings;
      for (int i = 0; i < options_.seeds; ++i) {
        model_settings = model_options(options_, size, options_.seed + static_cast<std::uint64_t>(i));
        if (!is_applicable(condition, model_settings)) {
          break;
        }
        progress_.show(std::to_string(size) + " routers, " + to_string(condition) + ", seed " +
                       std::to_string(model_settings.seed));
        FleetModel model(model_settings);
        model_settings = model.options();
        start_and_settle(model);
        ChangeSeriesOptions series_options;
        series_options.changes = options_.changes;
        measure_changes(model, condition, series_options, series);
      }
      if (!series.duration_ms.empty() || series.unfinished > 0) {
        add_row(model_settings, condition, series);
      }
      check(series.violation);
    }
  }

  void add_row(const FleetModelOptions& model_settings, Condition condition, const ChangeSeries& series) {
    table_.add_row({{"routers", model_settings.routers},
                    {"way", topology()},
                    {"regions", model_settings.regions},
                    {"what", std::string(kChangeText) + to_string(condition)},
                    {"changes", series.duration_ms.size()},
                    {"unfinished", series.unfinished},
                    {"p50_ms", rounded(series.duration_ms.quantile(0.5))},
                    {"p99_ms", rounded(series.duration_ms.quantile(0.99))},
                    {"worst_ms", rounded(series.duration_ms.max())},
                    {"store_calls", rounded(series.store_calls.mean())},
                    {"store_bytes", rounded(series.store_bytes.mean())},
                    {"store_longest_wait_ms", rounded(series.store_wait_ms.max())}});
  }

  void run_acknowledgements(int size) {
    for (const Condition condition : {Condition::kAllUp, Condition::kFewRoutersPaused,
                                      Condition::kAggregatorPaused, Condition::kRegionDisconnected}) {
      AcknowledgementSeries series;
      FleetModelOptions model_settings;
      for (int i = 0; i < options_.seeds; ++i) {
        model_settings = model_options(options_, size, options_.seed + static_cast<std::uint64_t>(i));
        if (!is_applicable(condition, model_settings) ||
            (options_.all_up && condition != Condition::kAllUp)) {
          break;
        }
        progress_.show(std::to_string(size) + " routers, acknowledgements, " + to_string(condition) +
                       ", seed " + std::to_string(model_settings.seed));
        FleetModel model(model_settings);
        model_settings = model.options();
        start_and_settle(model);
        measure_acknowledgements(model, condition, AcknowledgementOptions{}, series);
      }
      if (!series.duration_ms.empty()) {
        add_row(model_settings, condition, series);
      }
      check(series.violation);
    }
  }

  void add_row(const FleetModelOptions& model_settings, Condition condition,
               const AcknowledgementSeries& series) {
    table_.add_row({{"routers", model_settings.routers},
                    {"way", topology()},
                    {"regions", model_settings.regions},
                    {"what", std::string(kAcknowledgedText) + to_string(condition)},
                    {"pages", series.duration_ms.size()},
                    {"unfinished", series.unfinished},
                    {"p50_ms", rounded(series.duration_ms.quantile(0.5))},
                    {"p99_ms", rounded(series.duration_ms.quantile(0.99))},
                    {"worst_ms", rounded(series.duration_ms.max())},
                    {"rounds_a_second", rounded(series.rounds)},
                    {"store_calls", rounded(series.store_calls)},
                    {"store_bytes", rounded(series.store_bytes)},
                    {"router_bytes", rounded(series.router_bytes)}});
  }

  void run_queue(int size, double mean_interval_s) {
    FleetModel model(model_options(options_, size, options_.seed));
    progress_.show(std::to_string(size) + " routers, queued changes");
    start_and_settle(model);
    const QueueResult result =
        measure_queue(model, Micros(static_cast<Micros::rep>(mean_interval_s * 1e6)), kQueueTime);
    table_.add_row({{"routers", size},
                    {"way", topology()},
                    {"what", "changes that come every " + std::to_string(mean_interval_s).substr(0, 3) +
                                 " s on average"},
                    {"changes", result.duration_ms.size()},
                    {"p50_ms", rounded(result.duration_ms.quantile(0.5))},
                    {"p99_ms", rounded(result.duration_ms.quantile(0.99))},
                    {"worst_ms", rounded(result.duration_ms.max())},
                    {"longest_queue", result.longest_queue},
                    {"note", result.violation}});
    check(model.policy_check().violation());
  }

  // Measures polls with the poll options that the production program uses in a fleet.
  void run_discovery_polls(int size, const char* what, Micros available_at) {
    trailcourse::startup::PollOptions poll_options;
    poll_options.spread = true;
    const DiscoveryPolls polls = simulate_discovery_polls(poll_options, size, available_at, options_.seed);
    table_.add_row({{"routers", size},
                    {"what", std::string(kDiscoveryText) + what},
                    {"calls", polls.polls},
                    {"most_in_100_ms", polls.max_in_100_ms},
                    {"most_in_second", polls.max_in_second},
                    {"last_list_s", rounded(polls.last_poll_s)}});
  }

  void run_faults(int size, std::uint64_t seed) {
    progress_.show(std::to_string(size) + " routers, random faults, seed " + std::to_string(seed));
    FleetModel model(model_options(options_, size, seed));
    start_and_settle(model);
    RandomFaultOptions fault_options;
    fault_options.time = Micros(static_cast<Micros::rep>(options_.fault_seconds * 1e6));
    fault_options.region_cut = Micros(static_cast<Micros::rep>(options_.cut_seconds * 1e6));
    fault_options.publish = options_.acknowledge;
    const FaultResult result = run_random_faults(model, fault_options);
    table_.add_row({{"routers", size},
                    {"what", "drawn faults"},
                    {"seed", seed},
                    {"faults", result.faults},
                    {"begun", result.begun},
                    {"done", result.done},
                    {"aborted", result.aborted},
                    {"rulings", result.checked_policies},
                    {"done_event", model.acknowledged_event()},
                    {"broken", result.violation}});
    check(result.violation);
  }

  // Prints the violation and lets run() return false, unless the violation is empty.
  void check(const std::string& violation) {
    if (!violation.empty()) {
      passed_ = false;
      std::cerr << "rule violated: " << violation << '\n';
    }
  }

  const Options& options_;
  Table table_;
  Progress progress_;
  bool passed_ = true;
};

// Exits after printing the help, if it was requested.
Options read_options(int argc, char** argv) {
  cxxopts::Options parser("scale_bench", "Measures the policy control of simulated fleets in virtual time.");
  Options out;
  parser.add_options()(
      "sizes", "numbers of routers",
      cxxopts::value(out.sizes)->default_value("30,100,200,300,1000,3000,10000,19000,38000"))(
      "flat", "no aggregators: every router calls the store", cxxopts::value(out.flat))(
      "near", "use loopback delays instead of wide-area delays", cxxopts::value(out.near))(
      "aggregators", "aggregators in each region", cxxopts::value(out.aggregators)->default_value("2"))(
      "regions", "number of regions; 0: in proportion to the planned fleet, at least 2",
      cxxopts::value(out.regions)->default_value("0"))(
      "zones", "number of zones; 0: in proportion to the planned fleet",
      cxxopts::value(out.zones)->default_value("0"))("seed", "first random seed",
                                                     cxxopts::value(out.seed)->default_value("1"))(
      "seeds", "number of seeds for each condition", cxxopts::value(out.seeds)->default_value("3"))(
      "per-seed", "number of changes for each seed", cxxopts::value(out.changes)->default_value("3"))(
      "rest", "measure an idle fleet", cxxopts::value(out.rest))(
      "changes", "measure policy changes in each condition", cxxopts::value(out.change))(
      "all-up", "measure changes only without faults", cxxopts::value(out.all_up))(
      "queue", "measure queued changes, proposed at random times", cxxopts::value(out.queue))(
      "board", "measure the polls at the discovery server after a start or an outage",
      cxxopts::value(out.board))(
      "acknowledge", "measure the acknowledgement of purges; with --faults: publish purges during the faults",
      cxxopts::value(out.acknowledge))("faults", "number of seeds to run with random faults",
                                       cxxopts::value(out.faults)->default_value("0"))(
      "fault-seconds", "virtual seconds of random faults for each seed",
      cxxopts::value(out.fault_seconds)->default_value("60"))(
      "cut-seconds", "virtual seconds for which one region is cut off from the start; 0: none",
      cxxopts::value(out.cut_seconds)->default_value("0"))(
      "join", "files with rows of earlier runs, as printed with --json", cxxopts::value(out.join))(
      "command", "command line to record with the slopes; for joined rows: the commands that measured them",
      cxxopts::value(out.command))("write", "write the slopes to this file", cxxopts::value(out.write))(
      "json", "print the rows as JSON", cxxopts::value(out.as_json))("help", "print this help");
  const auto parsed = parser.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << parser.help();
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
    return Benchmark(options).run() ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << "scale_bench: " << error.what() << '\n';
    return 2;
  }
}
