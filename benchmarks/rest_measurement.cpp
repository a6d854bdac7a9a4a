#include "rest_measurement.h"

#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

namespace trailcourse::bench {

using fleet::Kind;
using std::chrono::milliseconds;
using transport::Clock;

namespace {

constexpr milliseconds kSettling{8'000};
constexpr milliseconds kSpan{20'000};
constexpr double kSpanSeconds = 20.0;
constexpr const char* kOwnerBegins = "starts w/0";

enum class Row { kWithoutStore, kTasks, kTasksAndPolicy, kAggregators };

const char* to_string(Row row) {
  switch (row) {
    case Row::kWithoutStore:
      return "none";
    case Row::kTasks:
      return "registry";
    case Row::kTasksAndPolicy:
      return "registry+policy";
    case Row::kAggregators:
      break;
  }
  return "aggregators";
}

// Of a router, on average.
struct Cost {
  double rss_kb = 0.0;
  double cpu_ms_per_s = 0.0;
  double sockets = 0.0;
};

double anonymous_kb(const std::string& proc) {
  constexpr const char* kField = "RssAnon:";
  std::ifstream status(proc + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(kField)) {
      return std::strtod(line.c_str() + std::string(kField).size(), nullptr);
    }
  }
  return 0.0;
}

double cpu_ms(const std::string& proc) {
  constexpr int kUserTicks = 11;  // fields behind the program's name
  constexpr int kSystemTicks = 12;
  std::ifstream stat(proc + "/stat");
  const std::string text{std::istreambuf_iterator<char>(stat), std::istreambuf_iterator<char>()};
  std::istringstream words(text.substr(text.rfind(')') + 2));
  std::string word;
  double ticks = 0.0;
  for (int i = 0; i <= kSystemTicks && words >> word; ++i) {
    ticks += i >= kUserTicks ? std::strtod(word.c_str(), nullptr) : 0.0;
  }
  return ticks * 1e3 / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double open_sockets(const std::string& proc) {
  double out = 0.0;
  for (const auto& entry : std::filesystem::directory_iterator(proc + "/fd")) {
    std::error_code none;
    out += std::filesystem::read_symlink(entry.path(), none).string().starts_with("socket:") ? 1.0 : 0.0;
  }
  return out;
}

std::string proc_of(FleetBench& bench, const std::string& router) {
  return "/proc/" + std::to_string(bench.supervisor().pid(router));
}

class RestMeasurement {
 public:
  RestMeasurement(Row row, int routers, const Topology& topology, const std::string& program)
      : row_(row), bench_(shape_of(row, routers, topology), program, {}) {
    if (shares_tasks()) {
      bench_.await("an answer of the store", [this] { return store_answers(); });
      bench_.fill("w", 10'000, 1.0);
      program::WorkCommand report;
      report.action = "add";
      report.name = "counts";
      report.kind = "report";
      bench_.work(report);
    }
    if (bench_.layout().spec().policy.empty()) {
      return;
    }
    bench_.await("permission of all routers", [this] { return all_permitted(); });
  }

  // Throws NotMeasured.
  void print_row() {
    bench_.run_for(kSettling);
    const std::vector<std::string> routers = bench_.layout().names(Kind::kRouter);
    std::vector<double> cpu_before;
    cpu_before.reserve(routers.size());
    for (const std::string& router : routers) {
      cpu_before.push_back(cpu_ms(proc_of(bench_, router)));
    }
    const Figures store_before = store_figures();
    const auto aggregators_before = bench_.aggregator_figures();
    bench_.run_for(kSpan);
    const Figures store_after = store_figures();
    const Served aggregator = busiest(aggregators_before, bench_.aggregator_figures());
    Cost cost;
    for (std::size_t i = 0; i < routers.size(); ++i) {
      const std::string proc = proc_of(bench_, routers[i]);
      cost.rss_kb += anonymous_kb(proc);
      cost.cpu_ms_per_s += (cpu_ms(proc) - cpu_before[i]) / kSpanSeconds;
      cost.sockets += open_sockets(proc);
    }
    const auto count = static_cast<double>(routers.size());
    const double calls = static_cast<double>(served_between(store_before, store_after).calls) / kSpanSeconds;
    const double renewals = grown("renewals", store_before, store_after) / kSpanSeconds;
    const double death = has_store() ? calls_at_death(calls) : 0.0;
    std::printf("%8zu %-15s %11.0f %14.2f %9.1f %12.1f %14.1f %16.0f %20.1f %18.2f\n", routers.size(),
                to_string(row_), cost.rss_kb / count, cost.cpu_ms_per_s / count, cost.sockets / count, calls,
                renewals, death, static_cast<double>(aggregator.calls) / kSpanSeconds,
                static_cast<double>(aggregator.bytes) / 1e3 / kSpanSeconds);
    std::fflush(stdout);
  }

 private:
  static fleet::FleetSpec shape_of(Row row, int routers, const Topology& topology) {
    fleet::FleetSpec shape = row == Row::kAggregators
                                 ? aggregated_shape(routers, topology.regions_for(routers))
                                 : flat_shape(routers);
    shape.has_coordination_server = row != Row::kWithoutStore;
    shape.max_sockets = 256;
    if (row == Row::kTasksAndPolicy) {
      shape.policy = {{"ttl_ms", 3'000}};
    }
    return shape;
  }

  bool has_store() const { return row_ != Row::kWithoutStore; }
  bool shares_tasks() const { return row_ == Row::kTasks || row_ == Row::kTasksAndPolicy; }
  Figures store_figures() { return has_store() ? bench_.figures("registry") : Figures{}; }
  // While all routers join at once it may be too busy for staff.
  bool store_answers() {
    program::WorkCommand list;
    list.action = "list";
    std::string said;
    return bench_.work(list, said) == 0;
  }
  bool all_permitted() {
    bench_.run_for(milliseconds(100));
    return bench_.permitted_routers() >= bench_.layout().names(Kind::kRouter).size();
  }

  static double grown(const std::string& name, const Figures& before, const Figures& after) {
    const auto first = before.find(name);
    const auto last = after.find(name);
    return first == before.end() || last == after.end()
               ? 0.0
               : static_cast<double>(last->second) - static_cast<double>(first->second);
  }

  // What the store is asked beside its `usual` calls a second when the owner of a task dies, until another
  // has it; or an aggregator, until its routers have permission from others.
  double calls_at_death(double usual) {
    const auto [owner, count] = bench_.begun(kOwnerBegins);
    const Figures before = store_figures();
    const Clock::time_point killed = Clock::now();
    if (shares_tasks()) {
      bench_.supervisor().kill(owner);
      bench_.await("another owner", [&, seen = count] { return bench_.begun(kOwnerBegins).second > seen; });
    } else {
      bench_.supervisor().kill(bench_.layout().names(Kind::kAggregator).front());
      bench_.await("permission of all routers again", [this] { return all_permitted(); });
    }
    const double seconds = in_ms(Clock::now() - killed) / 1e3;
    const double calls = static_cast<double>(served_between(before, store_figures()).calls);
    return std::max(0.0, calls - usual * seconds);
  }

  Row row_;
  FleetBench bench_;
};

}  // namespace

int measure_rest(const std::string& program, const std::vector<int>& sizes, const Topology& topology) {
  std::printf(
      "a router at rest, and what the store is asked (real processes, default times; report_ms 10,000)\n");
  std::printf("%8s %-15s %11s %14s %9s %12s %14s %16s %20s %18s\n", "routers", "store", "anon KB",
              "CPU ms a s", "sockets", "calls a s", "renewals a s", "calls at a death",
              "aggregator calls a s", "aggregator KB a s");
  const std::vector<Row> rows = topology.flat
                                    ? std::vector<Row>{Row::kWithoutStore, Row::kTasks, Row::kTasksAndPolicy}
                                    : std::vector<Row>{Row::kAggregators};
  int missing = 0;
  for (const int size : sizes) {
    for (const Row row : rows) {
      try {
        RestMeasurement(row, size, topology, program).print_row();
      } catch (const std::runtime_error& error) {
        std::printf("%8d %-15s not measured: %s\n", size, to_string(row), error.what());
        std::fflush(stdout);
        ++missing;
      }
    }
  }
  return missing;
}

}  // namespace trailcourse::bench
