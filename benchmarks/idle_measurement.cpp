#include "idle_measurement.h"

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

constexpr milliseconds kSettleTime{8'000};  // before the measurement begins
constexpr milliseconds kMeasurementTime{20'000};
constexpr double kMeasurementSeconds = 20.0;
// Logged by a router that becomes the owner of shard 0 of work w.
constexpr const char* kOwnerStartedText = "starts w/0";

// The deployments whose idle cost is compared.
enum class Deployment { kWithoutStore, kTasks, kTasksAndPolicy, kAggregators };

const char* to_string(Deployment deployment) {
  switch (deployment) {
    case Deployment::kWithoutStore:
      return "none";
    case Deployment::kTasks:
      return "registry";
    case Deployment::kTasksAndPolicy:
      return "registry+policy";
    case Deployment::kAggregators:
      break;
  }
  return "aggregators";
}

// The sum of the resources that all routers use.
struct RouterCost {
  double anonymous_kb = 0.0;  // anonymous resident memory
  double cpu_ms_per_s = 0.0;
  double sockets = 0.0;
};

// The following functions read `proc`, the folder of one process in /proc.

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
  constexpr int kUserTicksField = 11;  // counted from the first field after the program's name
  constexpr int kSystemTicksField = 12;
  std::ifstream stat(proc + "/stat");
  const std::string text{std::istreambuf_iterator<char>(stat), std::istreambuf_iterator<char>()};
  std::istringstream words(text.substr(text.rfind(')') + 2));
  std::string field;
  double ticks = 0.0;
  for (int i = 0; i <= kSystemTicksField && words >> field; ++i) {
    ticks += i >= kUserTicksField ? std::strtod(field.c_str(), nullptr) : 0.0;
  }
  return ticks * 1e3 / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double count_open_sockets(const std::string& proc) {
  double count = 0.0;
  for (const auto& entry : std::filesystem::directory_iterator(proc + "/fd")) {
    std::error_code ignored;
    count += std::filesystem::read_symlink(entry.path(), ignored).string().starts_with("socket:") ? 1.0 : 0.0;
  }
  return count;
}

std::string proc_folder(FleetBench& bench, const std::string& router) {
  return "/proc/" + std::to_string(bench.supervisor().pid(router));
}

// Measures one idle fleet.
class IdleFleetMeasurement {
 public:
  IdleFleetMeasurement(Deployment deployment, int routers, const Topology& topology,
                       const std::string& program)
      : deployment_(deployment), bench_(fleet_spec(deployment, routers, topology), program, {}) {
    if (runs_tasks()) {
      bench_.await("an answer from the store", [this] { return store_is_available(); });
      bench_.add_fill_work("w", 10'000, 1.0);
      program::WorkCommand report;
      report.action = "add";
      report.name = "counts";
      report.kind = "report";
      bench_.run_work_command(report);
    }
    if (bench_.layout().spec().policy.empty()) {
      return;
    }
    bench_.await("permission of all routers", [this] { return all_permitted(); });
  }

  // Measures the fleet and prints its row. Throws MeasurementError.
  void measure_and_print_row() {
    bench_.run_for(kSettleTime);
    const std::vector<std::string> routers = bench_.layout().names(Kind::kRouter);
    std::vector<double> cpu_before;
    cpu_before.reserve(routers.size());
    for (const std::string& router : routers) {
      cpu_before.push_back(cpu_ms(proc_folder(bench_, router)));
    }
    const Metrics store_before = request_store_metrics();
    const auto aggregators_before = bench_.request_aggregator_metrics();
    bench_.run_for(kMeasurementTime);
    const Metrics store_after = request_store_metrics();
    const Traffic aggregator = busiest_traffic(aggregators_before, bench_.request_aggregator_metrics());
    RouterCost cost;
    for (std::size_t i = 0; i < routers.size(); ++i) {
      const std::string proc = proc_folder(bench_, routers[i]);
      cost.anonymous_kb += anonymous_kb(proc);
      cost.cpu_ms_per_s += (cpu_ms(proc) - cpu_before[i]) / kMeasurementSeconds;
      cost.sockets += count_open_sockets(proc);
    }
    const auto count = static_cast<double>(routers.size());
    const double calls =
        static_cast<double>(traffic_between(store_before, store_after).calls) / kMeasurementSeconds;
    const double renewals = increase("renewals", store_before, store_after) / kMeasurementSeconds;
    const double failover_calls = has_store() ? extra_calls_at_failover(calls) : 0.0;
    std::printf("%8zu %-15s %11.0f %14.2f %9.1f %12.1f %14.1f %16.0f %20.1f %18.2f\n", routers.size(),
                to_string(deployment_), cost.anonymous_kb / count, cost.cpu_ms_per_s / count,
                cost.sockets / count, calls, renewals, failover_calls,
                static_cast<double>(aggregator.calls) / kMeasurementSeconds,
                static_cast<double>(aggregator.bytes) / 1e3 / kMeasurementSeconds);
    std::fflush(stdout);
  }

 private:
  static fleet::FleetSpec fleet_spec(Deployment deployment, int routers, const Topology& topology) {
    fleet::FleetSpec spec = deployment == Deployment::kAggregators
                                ? aggregated_fleet(routers, topology.regions_for(routers))
                                : flat_fleet(routers);
    spec.has_coordination_server = deployment != Deployment::kWithoutStore;
    spec.max_sockets = 256;
    if (deployment == Deployment::kTasksAndPolicy) {
      spec.policy = {{"ttl_ms", 3'000}};
    }
    return spec;
  }

  bool has_store() const { return deployment_ != Deployment::kWithoutStore; }
  bool runs_tasks() const {
    return deployment_ == Deployment::kTasks || deployment_ == Deployment::kTasksAndPolicy;
  }
  Metrics request_store_metrics() { return has_store() ? bench_.request_metrics("registry") : Metrics{}; }
  // Returns whether the store answers an operator command. It can be too busy while all routers join at once.
  bool store_is_available() {
    program::WorkCommand list;
    list.action = "list";
    std::string output;
    return bench_.run_work_command(list, output) == 0;
  }
  bool all_permitted() {
    bench_.run_for(milliseconds(100));
    return bench_.count_permitted_routers() >= bench_.layout().names(Kind::kRouter).size();
  }

  // Returns the increase of one counter, or 0 if a reading lacks the counter.
  static double increase(const std::string& name, const Metrics& before, const Metrics& after) {
    const auto old = before.find(name);
    const auto current = after.find(name);
    return old == before.end() || current == after.end()
               ? 0.0
               : static_cast<double>(current->second) - static_cast<double>(old->second);
  }

  // Kills the owner of a task and waits until another router owns it. In a fleet with aggregators, kills an
  // aggregator instead and waits until all routers have permission again. Returns the number of calls at the
  // store during this time, less those that the idle fleet makes at `calls_per_s`; at least 0.
  double extra_calls_at_failover(double calls_per_s) {
    const auto [owner, old_starts] = bench_.find_in_router_logs(kOwnerStartedText);
    const Metrics before = request_store_metrics();
    const Clock::time_point killed = Clock::now();
    if (runs_tasks()) {
      bench_.supervisor().kill(owner);
      bench_.await("another owner", [&, starts = old_starts] {
        return bench_.find_in_router_logs(kOwnerStartedText).count > starts;
      });
    } else {
      bench_.supervisor().kill(bench_.layout().names(Kind::kAggregator).front());
      bench_.await("permission of all routers again", [this] { return all_permitted(); });
    }
    const double seconds = to_ms(Clock::now() - killed) / 1e3;
    const double calls = static_cast<double>(traffic_between(before, request_store_metrics()).calls);
    return std::max(0.0, calls - calls_per_s * seconds);
  }

  Deployment deployment_;
  FleetBench bench_;
};

}  // namespace

int measure_idle_fleets(const std::string& program, const std::vector<int>& sizes, const Topology& topology) {
  std::printf(
      "cost of an idle router, and calls at the store (real processes, default times; report_ms 10,000)\n");
  std::printf("%8s %-15s %11s %14s %9s %12s %14s %16s %20s %18s\n", "routers", "store", "anon KB",
              "CPU ms a s", "sockets", "calls a s", "renewals a s", "calls at a death",
              "aggregator calls a s", "aggregator KB a s");
  const std::vector<Deployment> deployments =
      topology.flat ? std::vector<Deployment>{Deployment::kWithoutStore, Deployment::kTasks,
                                              Deployment::kTasksAndPolicy}
                    : std::vector<Deployment>{Deployment::kAggregators};
  int missing = 0;
  for (const int size : sizes) {
    for (const Deployment deployment : deployments) {
      try {
        IdleFleetMeasurement(deployment, size, topology, program).measure_and_print_row();
      } catch (const std::runtime_error& error) {
        std::printf("%8d %-15s not measured: %s\n", size, to_string(deployment), error.what());
        std::fflush(stdout);
        ++missing;
      }
    }
  }
  return missing;
}

}  // namespace trailcourse::bench
