#include "program/drain.h"

#include <chrono>

#include "transport/log.h"

namespace trailcourse::program {

using std::chrono::milliseconds;
using transport::Clock;
using transport::Level;
using transport::log_line;

namespace {

constexpr milliseconds kDrainCheck{10};
constexpr milliseconds kReleaseTimeout{800};  // for owned work and the policy lease
constexpr milliseconds kFlushTimeout{300};    // for the last responses to slow clients
constexpr milliseconds kPartialTimeout{500};  // for the rest of a partial request
constexpr milliseconds kFinalLinger{200};     // for the peer to close a connection that was closed here

}  // namespace

transport::Task<void> drain(transport::Scheduler& scheduler, routing::FastCgiServer& server,
                            routing::Router& router, FleetWork& work, const Configuration& configuration) {
  server.start_draining();
  work.drain();
  const Clock::time_point drain_start = Clock::now();
  const milliseconds linger(configuration.tuning.drain_linger_ms);
  const milliseconds idle_time(configuration.tuning.drain_quiet_ms);
  const milliseconds timeout = configuration.drain_timeout();
  for (;;) {
    const Clock::duration elapsed = Clock::now() - drain_start;
    if (elapsed >= timeout && router.open_requests() > 0) {
      log_line(Level::kWarning) << router.open_requests()
                                << " requests failed: the drain timeout has expired";
      router.fail_open_requests();
    }
    const bool receiving = server.has_partial_request() && elapsed < linger + kPartialTimeout;
    const bool arrivals_ended =
        elapsed >= linger && Clock::now() - server.last_arrival() >= idle_time && !receiving;
    const bool answered = router.open_requests() == 0 && server.idle();
    // Owned work is released at the same time. The wait for a store that does not respond is limited.
    if (arrivals_ended && answered) {
      work.stop_policy();
    }
    const bool released = (work.drained() && work.policy_stopped()) || elapsed >= kReleaseTimeout;
    if ((arrivals_ended && answered && released && server.accept_pending()) ||
        elapsed >= timeout + kFlushTimeout) {
      break;
    }
    co_await scheduler.sleep(kDrainCheck);
  }
  server.close_all();
  const Clock::time_point closed = Clock::now();
  while (server.has_lingering_connections() && Clock::now() - closed < kFinalLinger) {
    co_await scheduler.sleep(kDrainCheck);
  }
  log_line(Level::kInfo) << "drained, ending";
  scheduler.stop();
}

}  // namespace trailcourse::program
