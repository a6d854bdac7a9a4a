// Accepts connections one after another, for a listener that takes whatever comes.
#pragma once

#include <functional>
#include <memory>

#include "transport/scheduler.h"
#include "transport/socket.h"

namespace trailcourse::transport {

// Listens on an address and hands on each socket, from jobs of the scheduler, until it is destroyed; a socket
// that is not kept is closed. What cannot be accepted, as with no descriptor left, is tried again after a
// pause. It may go before the scheduler does, also while a connection waits: `take` is not called any more.
class AcceptLoop {
 public:
  using Take = std::function<void(Descriptor)>;

  // Throws std::system_error where the address cannot be listened on.
  AcceptLoop(Scheduler& scheduler, const Address& address, int backlog, Clock::duration pause, Take take);
  ~AcceptLoop();
  AcceptLoop(const AcceptLoop&) = delete;
  AcceptLoop& operator=(const AcceptLoop&) = delete;

 private:
  struct State;

  std::shared_ptr<State> state_;  // shared with the coroutine, which ends in a later job than this
};

}  // namespace trailcourse::transport
