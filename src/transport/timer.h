// One job at one moment, which may be moved or taken back: the timer of a state machine that says when it is
// due next.
#pragma once

#include <optional>
#include <utility>

#include "transport/scheduler.h"

namespace trailcourse::transport {

// The scheduler outlives it. The job runs on the scheduler's thread, never from within set().
class Alarm {
 public:
  Alarm(Scheduler& scheduler, Scheduler::Job job) : scheduler_(scheduler), job_(std::move(job)) {}
  ~Alarm() { set(std::nullopt); }
  Alarm(const Alarm&) = delete;
  Alarm& operator=(const Alarm&) = delete;

  // At that moment and at no other; a moment that is past means the next turn. Nothing: not at all.
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
