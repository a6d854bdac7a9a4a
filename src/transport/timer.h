// A timer for one job, which can be moved or cancelled, for state machines that state when they are next due.
#pragma once

#include <optional>
#include <utility>

#include "transport/scheduler.h"

namespace trailcourse::transport {

// Runs a job at a given time. The scheduler has to outlive the timer. The job runs on the scheduler's thread,
// never from within set().
class Timer {
 public:
  Timer(Scheduler& scheduler, Scheduler::Job job) : scheduler_(scheduler), job_(std::move(job)) {}
  ~Timer() { set(std::nullopt); }
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  // Sets the time at which the job runs, in place of any earlier one; a time in the past means the next
  // iteration of the scheduler. Cancels the timer where `when` is empty.
  void set(std::optional<Clock::time_point> when) {
    if (key_ && when != key_->first) {
      scheduler_.cancel(*std::exchange(key_, std::nullopt));
    }
    if (when && !key_) {
      key_ = scheduler_.at(*when, [this] {
        key_.reset();
        job_();
      });
    }
  }

 private:
  Scheduler& scheduler_;
  Scheduler::Job job_;
  std::optional<Scheduler::TimerKey> key_;
};

}  // namespace trailcourse::transport
