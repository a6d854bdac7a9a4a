// One job that is to run soon and once, however often it is asked for meanwhile.
#pragma once

#include <memory>
#include <utility>

#include "transport/scheduler.h"

namespace trailcourse::transport {

// The job runs in a later job of the scheduler, never from within post(), and not after this is destroyed.
class Deferred {
 public:
  Deferred(Scheduler& scheduler, Scheduler::Job job) : scheduler_(scheduler), job_(std::move(job)) {}
  ~Deferred() { *alive_ = false; }
  Deferred(const Deferred&) = delete;
  Deferred& operator=(const Deferred&) = delete;

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
