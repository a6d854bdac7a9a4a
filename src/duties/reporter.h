// The duty of the fleet's report: reads what the routers count, adds it up, writes one report under its term.
// A second writer is refused by the store, so there is one report, and it never goes back.
//
// Package `duties`. One thread.
#pragma once

#include <memory>

#include "duties/duty.h"
#include "duties/fleet_report.h"
#include "duties/options.h"
#include "transport/alarm.h"

namespace trailcourse::duties {

constexpr const char* kCounters = "counters/";  // counters/ROUTER
constexpr const char* kReport = "report/fleet";

class Reporter : public Duty {
 public:
  Reporter(transport::Scheduler& scheduler, coordination::SharedStore& store, std::string prefix,
           const OwnershipOptions& options, Charge charge);
  ~Reporter() override { *alive_ = false; }

  void begin() override { turn(); }
  void finish() override;

 private:
  void turn();
  void read(const std::vector<coordination::Entry>& entries);

  transport::Scheduler& scheduler_;
  coordination::SharedStore& store_;
  std::string prefix_;
  OwnershipOptions options_;
  Charge charge_;
  FleetReport report_;
  std::uint64_t number_ = 0;
  transport::Alarm timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace trailcourse::duties
