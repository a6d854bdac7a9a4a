#include "transport/accept_loop.h"

#include <cerrno>
#include <utility>

#include "transport/task.h"

namespace trailcourse::transport {

struct AcceptLoop::State {
  State(Scheduler& told, Descriptor socket, Clock::duration between, Take then)
      : scheduler(told),
        listener(std::move(socket)),
        watch(told, listener.get()),
        pause(between),
        take(std::move(then)) {}

  static Task<void> run(std::shared_ptr<State> state);

  Scheduler& scheduler;
  Descriptor listener;
  Watch watch;
  Clock::duration pause;
  Take take;
  bool ended = false;
};

Task<void> AcceptLoop::State::run(std::shared_ptr<State> state) {
  while (!state->ended) {
    Opened opened = accept_from(state->listener.get());
    if (opened.descriptor.valid()) {
      state->take(std::move(opened.descriptor));
    } else if (opened.error == EAGAIN || opened.error == EWOULDBLOCK) {
      state->watch.blocked_reading();
      const bool open = co_await state->watch.readable();
      if (!open) {
        co_return;
      }
    } else {
      co_await state->scheduler.sleep(state->pause);
    }
  }
}

AcceptLoop::AcceptLoop(Scheduler& scheduler, const Address& address, int backlog, Clock::duration pause,
                       Take take)
    : state_(std::make_shared<State>(scheduler, listen_or_throw(address, backlog), pause, std::move(take))) {
  scheduler.spawn(State::run(state_));
}

AcceptLoop::~AcceptLoop() {
  state_->ended = true;
  state_->watch.close();
}

}  // namespace trailcourse::transport
