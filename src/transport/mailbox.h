// Jobs for the scheduler from other threads.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "transport/scheduler.h"

namespace trailcourse::transport {

// Made and destroyed on the scheduler's thread; post() may come from any. What was not run when it goes is
// dropped.
class Mailbox {
 public:
  // Throws std::system_error where the system gives no descriptor.
  explicit Mailbox(Scheduler& scheduler);
  ~Mailbox();
  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;

  void post(Scheduler::Job job);

 private:
  struct State;
  static Task<void> deliver(Scheduler& scheduler, std::shared_ptr<State> state);

  std::shared_ptr<State> state_;
};

}  // namespace trailcourse::transport
