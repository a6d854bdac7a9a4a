// The task of driving changes of policy: looks at what stands in the store, asks the driver for the next
// step, and writes it where record and version are as they were seen and this router still owns the work.
// Nothing is known beside what stands in the store, so that a successor goes on from there.
//
// Package `tasks`, over `policy`. One thread.
#pragma once

#include <memory>
#include <string>

#include "policy/change.h"
#include "policy/options.h"
#include "tasks/owned_task.h"
#include "transport/alarm.h"

namespace trailcourse::tasks {

constexpr const char* kPolicyWork = "policy";  // name and kind of the work

class PolicyChangeTask : public OwnedTask, public coordination::Watcher {
 public:
  PolicyChangeTask(transport::Scheduler& scheduler, coordination::SharedStore& store, std::string prefix,
                   const policy::PolicyOptions& options, TaskContext context);
  ~PolicyChangeTask() override;

  void begin() override;
  void finish() override;

  // Any news of permits or of the change is a reason to look.
  void current(coordination::Revision, const std::vector<coordination::Entry>&) override { look(); }
  void changed(coordination::Revision, const std::vector<coordination::Change>&) override { look(); }
  void silent(const std::string&) override {}

 private:
  void look();
  void looked(const policy::Seen& seen);
  void wait(Micros longest);

  transport::Scheduler& scheduler_;
  coordination::SharedStore& store_;
  std::string prefix_;
  TaskContext context_;
  policy::Driver driver_;
  transport::Alarm timer_;
  coordination::SharedStore::WatchId permits_ = 0;
  coordination::SharedStore::WatchId policy_ = 0;
  bool looking_ = false;
  bool again_ = false;
  bool finishing_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace trailcourse::tasks
