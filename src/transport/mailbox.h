// Passes jobs from other threads to a scheduler.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "transport/scheduler.h"

namespace trailcourse::transport {

// Created and destroyed on the scheduler's thread; post() may be called from any thread. Jobs that have not
// been passed to the scheduler when the mailbox is destroyed are dropped.
class Mailbox {
 public:
  // Throws std::system_error where no descriptor can be created.
  explicit Mailbox(Scheduler& scheduler);
  ~Mailbox();
  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;

  // Runs `job` on the scheduler's thread.
  void post(Scheduler::Job job);

 private:
  struct State;
  static Task<void> deliver(Scheduler& scheduler, std::shared_ptr<State> state);

  std::shared_ptr<State> state_;
};

}  // namespace trailcourse::transport
