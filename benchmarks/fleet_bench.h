// Runs a fleet of real processes in a temporary folder for one measurement: starts and stops the processes,
// runs operator commands against the store, and reads the metrics that the processes log.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "fleet/layout.h"
#include "fleet/port_allocator.h"
#include "fleet/scenario.h"
#include "program/policy_command.h"
#include "program/work_command.h"
#include "temporary_folder.h"
#include "transport/scheduler.h"

namespace trailcourse::bench {

constexpr std::chrono::milliseconds kAwaitTimeout{90'000};

// Thrown if a row could not be measured, with the reason in one line: for example, the store exited, a
// process did not start, or a wait timed out. The benchmark continues with the next row.
class MeasurementError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Metrics of one process by name, from the line that it logs on SIGHUP.
using Metrics = std::map<std::string, std::uint64_t>;

// Calls and bytes (read and written) that a process served between two readings of its metrics.
struct Traffic {
  std::uint64_t calls = 0;
  std::uint64_t bytes = 0;
};
// Returns the traffic between two readings. A counter adds 0 if it is missing in `after` or smaller than in
// `before`.
Traffic traffic_between(const Metrics& before, const Metrics& after);

// The number of log lines that contain a text, in the logs of all routers, and the router that logged the
// latest of them.
struct RouterLogMatches {
  std::string last_router;  // empty if there is no such line
  std::size_t count = 0;
};

// The fleet of one measurement. Its processes end with this object, and also if the benchmark is killed.
class FleetBench {
 public:
  // Starts all processes and waits until they listen. Puts a fault proxy on each link in `proxied_links`.
  // Throws MeasurementError.
  FleetBench(const fleet::FleetSpec& spec, const std::string& program,
             const std::vector<std::string>& proxied_links);

  fleet::Layout& layout() { return *layout_; }
  fleet::Scenario& scenario() { return *scenario_; }
  fleet::Supervisor& supervisor() { return scenario_->supervisor(); }
  transport::Scheduler& scheduler() { return scheduler_; }
  const std::string& folder() const { return folder_.path(); }

  // Allows the store to exit during the measurement. Without this call, run_until() throws MeasurementError
  // after the store has exited.
  void allow_store_end() { store_required_ = false; }

  // Run an operator command at the store. Return its exit status, and set `output` to what it printed.
  int run_work_command(program::WorkCommand command, std::string& output);
  int run_policy_command(program::PolicyCommand command, std::string& output);
  // Run an operator command at the store and return what it printed. Throw MeasurementError with the first
  // line of that output if the exit status is not 0.
  std::string run_work_command(const program::WorkCommand& command);
  std::string run_policy_command(const program::PolicyCommand& command);
  // Returns the result of `policy status`, or an empty object if the command failed. Throws MeasurementError
  // after several failures in a row.
  nlohmann::json policy_status();
  // Returns the number of routers that have a permit, as reported by the running aggregators, or by the store
  // if the fleet has no aggregators.
  std::size_t count_permitted_routers();
  // Adds work that fills a cache with `objects` objects, at most `objects_per_s` of them per second.
  void add_fill_work(const std::string& name, int objects, double objects_per_s);

  // Runs the scheduler until `done` returns true or `timeout` has passed. Returns whether `done` returned
  // true. Throws MeasurementError if the store has exited.
  bool run_until(const std::function<bool()>& done, std::chrono::milliseconds timeout = kAwaitTimeout);
  // Calls run_until(). On a timeout throws MeasurementError with `what`, which describes the expected event.
  void await(const std::string& what, const std::function<bool()>& done,
             std::chrono::milliseconds timeout = kAwaitTimeout);
  void run_for(std::chrono::milliseconds time);

  // Searches the logs of all routers for lines that contain `text`.
  RouterLogMatches find_in_router_logs(const std::string& text);
  // Send SIGHUP to the registry or to an aggregator and return the metrics that it logs, as the log line or
  // by name. Throw MeasurementError if it does not log them in time.
  std::string request_metrics_line(const std::string& member);
  Metrics request_metrics(const std::string& member);
  // Returns the metrics of each running aggregator by its name.
  std::map<std::string, Metrics> request_aggregator_metrics();

 private:
  // Runs an operator command at the store. Returns its exit status, and sets `output` to what it printed.
  template <typename Command, typename Run>
  int run_store_command(Command command, Run run, std::string& output);
  void await_aggregator_permission();
  // Throws MeasurementError if the store has exited and allow_store_end() was not called.
  void check_store_is_running();
  // Throws MeasurementError with the command that failed and the first line of its output.
  [[noreturn]] void throw_command_failure(const std::string& command, const std::string& output);

  transport::Scheduler scheduler_;
  fleet::PortAllocator ports_;
  TemporaryFolder folder_{"ownership-bench"};
  std::unique_ptr<fleet::Layout> layout_;
  std::unique_ptr<fleet::Scenario> scenario_;
  bool store_required_ = false;
  int failed_status_queries_ = 0;  // consecutive failures of `policy status`
};

// Returns the traffic of the aggregator that served the most calls between two readings of all aggregators,
// or no traffic if there is no aggregator.
Traffic busiest_traffic(const std::map<std::string, Metrics>& before,
                        const std::map<std::string, Metrics>& after);

double to_ms(transport::Clock::duration time);

// Calls `print_rows` for each size. `print_rows` sets `row_label` to the label of the row that it measures.
// If it throws std::runtime_error, prints a row with this label and the reason, and continues with the next
// size. Returns the number of sizes that failed.
int measure_sizes(const std::vector<int>& sizes,
                  const std::function<void(int size, std::string& row_label)>& print_rows);

// Returns a fleet of one zone whose routers connect to the store directly.
fleet::FleetSpec flat_fleet(int routers);
// Returns a fleet whose routers follow the policy through aggregators, with one aggregator, zone and cache
// for each region.
fleet::FleetSpec aggregated_fleet(int routers, int regions);

}  // namespace trailcourse::bench
