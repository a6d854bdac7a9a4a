// Runs the steps of a state machine on a scheduler: soon after an event, and at the time that the previous
// step returned as that of the next one.
//
// Library `tasks`. Not thread-safe: it belongs to its scheduler's thread.
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

// The scheduler has to outlive this object. After its destruction no step and no guarded handler runs.
class StepLoop {
 public:
  // Executes the actions that are due now. Returns the steady time of the next step, or nothing if only an
  // event can cause one.
  using Step = std::function<std::optional<Micros>()>;

  // A step that its time alone has caused runs at least `min_interval` after the last step.
  StepLoop(transport::Scheduler& scheduler, Micros min_interval, Step step)
      : step_(std::move(step)),
        min_interval_(min_interval),
        timer_(scheduler, [this] { run(); }),
        deferred_(scheduler, [this] { run(); }) {}
  ~StepLoop() { *alive_ = false; }
  StepLoop(const StepLoop&) = delete;
  StepLoop& operator=(const StepLoop&) = delete;

  // Schedules a step, which never runs within this call. Several calls before the step schedule only one.
  void schedule() { deferred_.post(); }

  // Wraps the handler of a response. The handler is not called once the loop is destroyed.
  template <typename Handler>
  auto guard(Handler handler) {
    return [alive = alive_, handler = std::move(handler)](const auto&... answer) {
      if (*alive) {
        handler(answer...);
      }
    };
  }

  // Wraps a handler as guard() does, and schedules a step after it.
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
  transport::Timer timer_;
  transport::DeferredJob deferred_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace trailcourse::tasks
