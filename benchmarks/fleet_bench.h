// A fleet of real processes in a folder of its own, for a measurement: started, looked at as staff do, and
// ended with whoever measures. What could not be measured is told by an exception of its own.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "fleet/layout.h"
#include "fleet/port_allocator.h"
#include "fleet/scenario.h"
#include "program/policy_command.h"
#include "program/work_command.h"
#include "transport/scheduler.h"

namespace trailcourse::bench {

constexpr std::chrono::milliseconds kAwaited{90'000};

// A row that cannot be measured, and why, in one line: the store is lost, a process did not come up, what was
// awaited did not come. The tool goes on with the next row.
class NotMeasured : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A folder that goes with its owner.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// What processes report of themselves: figures by name.
using Figures = std::map<std::string, std::uint64_t>;

// Calls and bytes (read and written) that a process served between two reports.
struct Served {
  std::uint64_t calls = 0;
  std::uint64_t bytes = 0;
};
Served served_between(const Figures& before, const Figures& after);

class FleetBench {
 public:
  // Starts all and waits until they listen. Throws NotMeasured. `proxied`: on which links a fault proxy
  // stands. Children end with this object, and with this process however it ends.
  FleetBench(const fleet::FleetSpec& shape, const std::string& program,
             const std::vector<std::string>& proxied);

  fleet::Layout& layout() { return *layout_; }
  fleet::Scenario& scenario() { return *scenario_; }
  fleet::Supervisor& supervisor() { return scenario_->supervisor(); }
  transport::Scheduler& scheduler() { return scheduler_; }
  const std::string& folder() const { return folder_.path(); }

  // From now on the store may end without the measurement ending with it.
  void let_store_end() { needs_store_ = false; }

  // Commands of staff, at the store itself. They give the exit status, and what was printed.
  int work(program::WorkCommand command, std::string& said);
  int policy(program::PolicyCommand command, std::string& said);
  // The same; throw NotMeasured with what was printed where it is not 0.
  std::string work(const program::WorkCommand& command);
  std::string policy(const program::PolicyCommand& command);
  // `policy status`; an empty object where the store did not answer. Throws NotMeasured where it did not
  // several times in a row.
  nlohmann::json policy_status();
  // Routers that have permission, as the store or the living aggregators say.
  std::size_t permitted_routers();
  // Announces work that fills a cache.
  void fill(const std::string& name, int objects, double rate);

  // Turns until done, or until `longest` has passed; whether it was done. Throws NotMeasured where the store
  // has ended.
  bool until(const std::function<bool()>& done, std::chrono::milliseconds longest = kAwaited);
  // The same; throws NotMeasured with `what` where it was not done.
  void await(const std::string& what, const std::function<bool()>& done,
             std::chrono::milliseconds longest = kAwaited);
  void run_for(std::chrono::milliseconds time);

  // The router whose log says these words last, and how often any did.
  std::pair<std::string, std::size_t> begun(const std::string& words);
  // What the registry or an aggregator reports now, as a line and as figures. Throw NotMeasured where it says
  // nothing.
  std::string report(const std::string& member);
  Figures figures(const std::string& member);
  // Of all aggregators.
  std::map<std::string, Figures> aggregator_figures();

 private:
  // Runs a staff's command against the store itself; its status, and all that it said.
  template <typename Command, typename Run>
  int ask_store(Command command, Run run, std::string& said);
  void await_aggregators();
  // Throws NotMeasured where the store has ended.
  void check_store();
  // Throws NotMeasured: a command of staff failed and printed this.
  [[noreturn]] void fail(const std::string& command, const std::string& said);

  transport::Scheduler scheduler_;
  fleet::PortAllocator ports_;
  TemporaryFolder folder_;
  std::unique_ptr<fleet::Layout> layout_;
  std::unique_ptr<fleet::Scenario> scenario_;
  bool needs_store_ = false;
  int unanswered_ = 0;  // looks at the policy in a row
};

// What the busiest aggregator served between two reports of all; nothing where there are none.
Served busiest(const std::map<std::string, Figures>& before, const std::map<std::string, Figures>& after);

double in_ms(transport::Clock::duration time);

// Measures each size in turn. `rows` keeps `which` at the row that it is at; where that cannot be measured, a
// row says why and the next size follows. Gives how many could not be measured.
int measure_sizes(const std::vector<int>& sizes,
                  const std::function<void(int size, std::string& which)>& rows);

// A fleet of one zone whose routers ask the store themselves.
fleet::FleetSpec flat_shape(int routers);
// One whose routers follow the policy by way of aggregators: one aggregator, zone and cache for each region.
fleet::FleetSpec aggregated_shape(int routers, int regions);

}  // namespace trailcourse::bench
