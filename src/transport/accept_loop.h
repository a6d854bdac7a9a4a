// Accepts the connections of a listening socket.
#pragma once

#include <functional>
#include <memory>

#include "transport/scheduler.h"
#include "transport/socket.h"

namespace trailcourse::transport {

// Listens on an address and passes each accepted socket to a callback, from jobs of the scheduler, until it
// is destroyed. A socket that the callback does not keep is closed. Where accepting fails, for example
// because no descriptor is left, it is retried after `retry_delay`. An AcceptLoop may be destroyed before its
// scheduler, even while connections wait to be accepted; the callback is not called afterwards.
class AcceptLoop {
 public:
  using AcceptCallback = std::function<void(Descriptor)>;

  // Throws std::system_error where it cannot listen on the address.
  AcceptLoop(Scheduler& scheduler, const Address& address, int backlog, Clock::duration retry_delay,
             AcceptCallback on_accepted);
  ~AcceptLoop();
  AcceptLoop(const AcceptLoop&) = delete;
  AcceptLoop& operator=(const AcceptLoop&) = delete;

 private:
  struct State;

  std::shared_ptr<State> state_;  // shared with the coroutine, which ends after this object is destroyed
};

}  // namespace trailcourse::transport
