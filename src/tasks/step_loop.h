// Runs the steps of a state machine on a scheduler: soon after something happened, and at the time that the
// machine names itself.
//
// Package `tasks`. One thread.
#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "tasks/clock.h"
#include "transport/deferred_job.h"
#include "transport/timer.h"

namespace trailcourse::tasks {

// The scheduler outlives it. No step and no guarded handler runs once it is destroyed.
class StepLoop {
 public:
  // Does what is to be done now. Returns the steady time at which more is to be done by time alone.
  using Step = std::function<std::optional<Micros>()>;

  // Two steps by time alone lie at least `min_interval` apart.
  StepLoop(transport::Scheduler& scheduler, Micros min_interval, Step step)
      : step_(std::move(step)),
        min_interval_(min_interval),
        timer_(scheduler, [this] { run(); }),
        deferred_(scheduler, [this] { run(); }) {}
  ~StepLoop() { *alive_ = false; }
  StepLoop(const StepLoop&) = delete;
  StepLoop& operator=(const StepLoop&) = delete;

  // Runs a step soon, and once however often it is called meanwhile; never from within this call.
  void schedule() { deferred_.post(); }

  // Wraps the handler of an answer that may come after the loop is destroyed; it is then not called.
  template <typename Handler>
  auto guard(Handler handler) {
    return [alive = alive_, handler = std::move(handler)](const auto&... answer) {
      if (*alive) {
        handler(answer...);
      }
    };
  }

  // As guard(); the handler is followed by a step.
  template <typename Handler>
  auto then_step(Handler handler) {
    return guard([this, handler = std::move(handler)](const auto&... answer) {
      handler(answer...);
      schedule();
    });
  }

 private:
  void run() {
    std::optional<transport::Clock::time_point> wake_up;
    if (const std::optional<Micros> next = step_()) {
      wake_up = steady_time_point(std::max(*next, steady_now() + min_interval_));
    }
    timer_.set(wake_up);
  }

  Step step_;
  Micros min_interval_;
  transport::Alarm timer_;
  transport::Deferred deferred_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace trailcourse::tasks
