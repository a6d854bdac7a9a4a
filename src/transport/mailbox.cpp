#include "transport/mailbox.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <exception>
#include <system_error>
#include <utility>

#include "transport/log.h"

namespace trailcourse::transport {

struct Mailbox::State {
  explicit State(Scheduler& scheduler) : event(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    if (!event.valid()) {
      throw std::system_error(errno, std::generic_category(), "eventfd");
    }
    watch = std::make_unique<Watch>(scheduler, event.get());
  }

  Descriptor event;
  std::unique_ptr<Watch> watch;
  std::mutex mutex;
  std::vector<Scheduler::Job> jobs;
};

Mailbox::Mailbox(Scheduler& scheduler) : state_(std::make_shared<State>(scheduler)) {
  scheduler.spawn(deliver(scheduler, state_));
}

Mailbox::~Mailbox() { state_->watch->close(); }

void Mailbox::post(Scheduler::Job job) {
  const std::lock_guard lock(state_->mutex);
  state_->jobs.push_back(std::move(job));
  const std::uint64_t one = 1;
  // Fails only if the counter is full, in which case the descriptor is already readable.
  [[maybe_unused]] const ssize_t written = ::write(state_->event.get(), &one, sizeof one);
}

Task<void> Mailbox::deliver(Scheduler& scheduler, std::shared_ptr<State> state) {
  for (;;) {
    std::uint64_t count = 0;
    if (::read(state->event.get(), &count, sizeof count) != sizeof count) {
      state->watch->blocked_reading();
      const bool open = co_await state->watch->readable();
      if (!open) {
        co_return;
      }
      continue;
    }
    std::vector<Scheduler::Job> jobs;
    {
      const std::lock_guard lock(state->mutex);
      jobs.swap(state->jobs);
    }
    for (Scheduler::Job& job : jobs) {
      scheduler.post(std::move(job));
    }
  }
}

}  // namespace trailcourse::transport
