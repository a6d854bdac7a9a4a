// The task of the fleet's report: reads what the routers count, adds it up, writes one report under its term.
// A second writer is refused by the store, so there is one report, and it never goes back.
//
// Package `tasks`. One thread.
#pragma once

#include <memory>

#include "tasks/fleet_report.h"
#include "tasks/options.h"
#include "tasks/owned_task.h"
#include "transport/alarm.h"

namespace trailcourse::tasks {

constexpr const char* kCounterPrefix = "counters/";  // counters/ROUTER
constexpr const char* kFleetReportKey = "report/fleet";

class FleetReportTask : public OwnedTask {
 public:
  FleetReportTask(transport::Scheduler& scheduler, coordination::SharedStore& store, std::string prefix,
                  const OwnershipOptions& options, TaskContext context);
  ~FleetReportTask() override { *alive_ = false; }

  void begin() override { turn(); }
  void finish() override;

 private:
  void turn();
  void read(const std::vector<coordination::Entry>& entries);

  transport::Scheduler& scheduler_;
  coordination::SharedStore& store_;
  std::string prefix_;
  OwnershipOptions options_;
  TaskContext context_;
  FleetReport report_;
  std::uint64_t number_ = 0;
  transport::Alarm timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace trailcourse::tasks
