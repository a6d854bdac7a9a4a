// Owned work of kind `report`: reads the counters of all routers from the store, adds them up, and writes one
// report under its term. The store rejects the writes of a former owner, so there is one report, and its sums
// never decrease.
//
// Library `tasks`. Not thread-safe: it belongs to its scheduler's thread.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "coordination/coordination_store.h"
#include "tasks/fleet_report.h"
#include "tasks/options.h"
#include "tasks/owned_task.h"
#include "transport/timer.h"

namespace trailcourse::tasks {

constexpr const char* kCounterPrefix = "counters/";  // counters/ROUTER
constexpr const char* kFleetReportKey = "report/fleet";

// Scheduler and store have to outlive this object.
class FleetReportTask : public OwnedTask {
 public:
  FleetReportTask(transport::Scheduler& scheduler, coordination::CoordinationStore& store, std::string prefix,
                  const OwnershipOptions& options, TaskContext context);
  ~FleetReportTask() override { *alive_ = false; }

  void start() override { run_step(); }
  void stop() override;

 private:
  // Reads the counters, and sets the timer for the next report.
  void run_step();
  void write_report(const std::vector<coordination::Entry>& counter_entries);

  coordination::CoordinationStore& store_;
  std::string prefix_;
  OwnershipOptions options_;
  TaskContext context_;
  FleetReport report_;
  std::uint64_t last_sequence_ = 0;
  transport::Timer timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace trailcourse::tasks
