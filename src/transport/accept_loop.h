// Accepts connections one after another, for a listener that takes whatever comes.
#pragma once

#include <functional>

#include "transport/scheduler.h"
#include "transport/socket.h"
#include "transport/task.h"

namespace trailcourse::transport {

// Hands on each socket until `watch`, which is the listener's, closes. What cannot be accepted, as with no
// descriptor left, is tried again after `pause`. Listener and watch outlive it; a socket not kept is closed.
Task<void> accept_loop(Scheduler& scheduler, int listener, Watch& watch, Clock::duration pause,
                       std::function<void(Descriptor)> take);

}  // namespace trailcourse::transport
