#include "transport/accept_loop.h"

#include <cerrno>
#include <utility>

#include "transport/task.h"

namespace trailcourse::transport {

struct AcceptLoop::State {
  State(Scheduler& owner, Descriptor socket, Clock::duration delay, AcceptCallback callback)
      : scheduler(owner),
        listener(std::move(socket)),
        watch(owner, listener.get()),
        retry_delay(delay),
        on_accepted(std::move(callback)) {}

  static Task<void> run(std::shared_ptr<State> state);

  Scheduler& scheduler;
  Descriptor listener;
  Watch watch;
  Clock::duration retry_delay;
  AcceptCallback on_accepted;
  bool ended = false;
};

Task<void> AcceptLoop::State::run(std::shared_ptr<State> state) {
  while (!state->ended) {
    Opened opened = accept_from(state->listener.get());
    if (opened.descriptor.valid()) {
      state->on_accepted(std::move(opened.descriptor));
    } else if (opened.error == EAGAIN || opened.error == EWOULDBLOCK) {
      state->watch.blocked_reading();
      const bool open = co_await state->watch.readable();
      if (!open) {
        co_return;
      }
    } else {
      co_await state->scheduler.sleep(state->retry_delay);
    }
  }
}

AcceptLoop::AcceptLoop(Scheduler& scheduler, const Address& address, int backlog, Clock::duration retry_delay,
                       AcceptCallback on_accepted)
    : state_(std::make_shared<State>(scheduler, listen_or_throw(address, backlog), retry_delay,
                                     std::move(on_accepted))) {
  scheduler.spawn(State::run(state_));
}

AcceptLoop::~AcceptLoop() {
  state_->ended = true;
  state_->watch.close();
}

}  // namespace trailcourse::transport
