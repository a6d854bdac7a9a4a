// A job that runs once soon after one or more requests to run it.
#pragma once

#include <memory>
#include <utility>

#include "transport/scheduler.h"

namespace trailcourse::transport {

// Runs its job from a later job of the scheduler: never from within post(), and not after this object is
// destroyed.
class DeferredJob {
 public:
  DeferredJob(Scheduler& scheduler, Scheduler::Job job) : scheduler_(scheduler), job_(std::move(job)) {}
  ~DeferredJob() { *alive_ = false; }
  DeferredJob(const DeferredJob&) = delete;
  DeferredJob& operator=(const DeferredJob&) = delete;

  // Requests a run of the job. Further calls have no effect until the job runs.
  void post() {
    if (std::exchange(posted_, true)) {
      return;
    }
    scheduler_.post([this, alive = alive_] {
      if (*alive) {
        posted_ = false;
        job_();
      }
    });
  }

 private:
  Scheduler& scheduler_;
  Scheduler::Job job_;
  bool posted_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace trailcourse::transport
