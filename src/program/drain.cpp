#include "program/drain.h"

#include <chrono>

#include "transport/log.h"

namespace trailcourse::program {

using std::chrono::milliseconds;
using transport::Clock;
using transport::Level;
using transport::log_line;
using transport::Task;

namespace {

constexpr milliseconds kDrainCheck{10};
constexpr milliseconds kReleaseTimeout{800};  // for owned work and the policy lease
constexpr int kFlushChecks = 30;              // for the last responses to slow clients, kDrainCheck apart
constexpr milliseconds kPartialTimeout{500};  // for the rest of a partial request
constexpr milliseconds kFinalLinger{200};     // for clients to close the connections that were closed here

class Drain {
 public:
  explicit Drain(const DrainedParts& parts) : parts_(parts) {}

  Task<void> run() {
    parts_.server.start_draining();
    parts_.work.drain();
    co_await serve_until_quiet();
    co_await close_connections();
    co_await await_clients();
    log_line(Level::kInfo) << "drained, ending";
    parts_.scheduler.stop();
  }

 private:
  Clock::duration elapsed() const { return Clock::now() - start_; }

  // Returns whether no request has arrived for some time and none is being received.
  bool arrivals_ended() const {
    const milliseconds linger(parts_.configuration.tuning.drain_linger_ms);
    const milliseconds idle_time(parts_.configuration.tuning.drain_quiet_ms);
    const bool receiving = parts_.server.has_partial_request() && elapsed() < linger + kPartialTimeout;
    return elapsed() >= linger && Clock::now() - parts_.server.last_arrival() >= idle_time && !receiving;
  }

  bool answered() const { return parts_.router.open_requests() == 0 && parts_.server.idle(); }

  // Owned work is released while requests are served. The wait for a store that does not respond is limited.
  bool released() const {
    return (parts_.work.drained() && parts_.work.policy_stopped()) || elapsed() >= kReleaseTimeout;
  }

  // Ends at the drain timeout if requests go on arriving.
  Task<void> serve_until_quiet() {
    const milliseconds timeout = parts_.configuration.drain_timeout();
    while (elapsed() < timeout) {
      const bool quiet = arrivals_ended() && answered();
      if (quiet) {
        parts_.work.stop_policy();
      }
      if (quiet && released() && parts_.server.accept_pending()) {
        co_return;
      }
      co_await parts_.scheduler.sleep(kDrainCheck);
    }
  }

  // From here on the router sends nothing to caches for clients, so each answer can be written before its
  // connection is closed. Checks are counted instead of time: while the process is suspended, it can neither
  // read nor answer.
  Task<void> close_connections() {
    parts_.server.start_closing();
    fail_open_requests();
    parts_.work.stop_policy();
    for (int checks = 0; checks < kFlushChecks && !(closed() && released()); ++checks) {
      parts_.server.close_answered();
      co_await parts_.scheduler.sleep(kDrainCheck);
    }
    parts_.server.close_all();
  }

  void fail_open_requests() {
    if (parts_.router.open_requests() > 0) {
      log_line(Level::kWarning) << parts_.router.open_requests()
                                << " requests failed: the drain timeout has expired";
      parts_.router.fail_open_requests();
    }
  }

  bool closed() { return parts_.server.accept_pending() && parts_.server.client_count() == 0; }

  Task<void> await_clients() {
    const Clock::time_point start = Clock::now();
    while (parts_.server.has_lingering_connections() && Clock::now() - start < kFinalLinger) {
      co_await parts_.scheduler.sleep(kDrainCheck);
    }
  }

  DrainedParts parts_;
  Clock::time_point start_ = Clock::now();
};

}  // namespace

Task<void> drain(DrainedParts parts) {
  Drain drain(parts);
  co_await drain.run();
}

}  // namespace trailcourse::program
