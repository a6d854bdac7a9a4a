#include "transport/accept_loop.h"

#include <cerrno>
#include <utility>

namespace trailcourse::transport {

Task<void> accept_loop(Scheduler& scheduler, int listener, Watch& watch, Clock::duration pause,
                       std::function<void(Descriptor)> take) {
  for (;;) {
    Opened opened = accept_from(listener);
    if (opened.descriptor.valid()) {
      take(std::move(opened.descriptor));
    } else if (opened.error == EAGAIN || opened.error == EWOULDBLOCK) {
      watch.blocked_reading();
      const bool open = co_await watch.readable();
      if (!open) {
        co_return;
      }
    } else {
      co_await scheduler.sleep(pause);
    }
  }
}

}  // namespace trailcourse::transport
