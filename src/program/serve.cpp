#include "program/serve.h"

#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <system_error>
#include <utility>

#include "program/descriptors.h"
#include "program/fleet_work.h"
#include "program/signals.h"
#include "program/start_support.h"
#include "routing/cache_client.h"
#include "routing/discovery_client.h"
#include "routing/discovery_update_handler.h"
#include "routing/endpoint_directory.h"
#include "routing/fastcgi_server.h"
#include "routing/module_clock.h"
#include "routing/router.h"
#include "transport/log.h"
#include "transport/scheduler.h"

namespace trailcourse::program {

using std::chrono::milliseconds;
using transport::Clock;
using transport::Level;
using transport::log_line;

namespace {

constexpr milliseconds kDrainCheck{10};
constexpr milliseconds kLetGo{800};
constexpr milliseconds kFlush{300};             // for the last answers, where a client is slow to take them
constexpr milliseconds kHalfSaid{500};          // for the rest of a request of which some has come
constexpr milliseconds kLinger{500};            // for the other side of a connection that was closed here
constexpr milliseconds kFarewell{200};          // the same, at the end of the program
constexpr milliseconds kDefaultConnect{1'000};  // where the settings tell none
constexpr milliseconds kDefaultIdle{15'000};
constexpr int kDefaultStreams = 32;

// The connections that get these bounds share one count.
void let_linger(transport::Connection::Bounds& bounds, const Configuration& configuration) {
  bounds.linger = kLinger;
  bounds.lingering = std::make_shared<transport::Lingering>();
  bounds.lingering->most = configuration.most_lingering();
}

routing::CacheClient::Bounds cache_bounds(const Configuration& configuration, const StartSupport& start) {
  const protocol::Profile& profile = configuration.profile;
  const Tuning& tuning = configuration.tuning;
  routing::CacheClient::Bounds bounds;
  bounds.pool.streams = profile.streams_per_connection > 0 ? profile.streams_per_connection : kDefaultStreams;
  bounds.pool.connections_per_peer = start.connections(static_cast<int>(tuning.cache_connections));
  bounds.pool.total_connections = configuration.most_cache_connections();
  // The cache closes after the told time, and a request may cross that: it ends earlier from here.
  const Micros idle = profile.connection_idle.count() > 0 ? profile.connection_idle : Micros(kDefaultIdle);
  bounds.pool.idle = idle / 2;
  bounds.pool.connection.connect_timeout =
      profile.connect_timeout.count() > 0 ? profile.connect_timeout : Micros(kDefaultConnect);
  let_linger(bounds.pool.connection, configuration);
  bounds.silent_after = milliseconds(tuning.cache_silent_ms);
  bounds.stall_after = milliseconds(tuning.cache_stall_ms);
  bounds.max_partial_bytes = configuration.most_answer_bytes();
  bounds.answers.last_bytes = static_cast<std::size_t>(tuning.answer_bytes);
  return bounds;
}

routing::Router::Bounds router_bounds(const Configuration& configuration) {
  routing::Router::Bounds bounds;
  bounds.open = configuration.most_open_requests();
  bounds.bytes = configuration.most_open_bytes();
  bounds.request_bytes = static_cast<std::size_t>(configuration.tuning.open_request_bytes);
  return bounds;
}

routing::FastCgiServer::Bounds front_bounds(const Configuration& configuration) {
  const Tuning& tuning = configuration.tuning;
  routing::FastCgiServer::Bounds bounds;
  bounds.client_lead = milliseconds(tuning.client_lead_ms);
  bounds.backlog = static_cast<int>(tuning.listen_backlog);
  bounds.max_unsent_bytes = configuration.most_waiting_bytes();
  bounds.max_partial_bytes = configuration.most_partial_bytes();
  bounds.record_bytes = static_cast<std::size_t>(tuning.answer_record_bytes);
  bounds.max_clients = configuration.most_clients();
  bounds.max_unread_answers = static_cast<std::size_t>(tuning.client_untaken_answers);
  bounds.max_unread_bytes = static_cast<std::size_t>(tuning.client_untaken_bytes);
  bounds.client_young = milliseconds(tuning.client_young_ms);
  bounds.client_idle = milliseconds(tuning.client_idle_ms);
  bounds.client_request = milliseconds(tuning.client_request_ms);
  bounds.connection.stall_timeout = milliseconds(tuning.client_stall_ms);
  bounds.connection.low_mark = static_cast<std::size_t>(tuning.write_low_mark);
  bounds.connection.send_buffer = static_cast<int>(tuning.client_send_buffer);
  bounds.connection.end_on_hang_up = true;
  let_linger(bounds.connection, configuration);
  return bounds;
}

// Serves on until arrivals have ceased and all is answered.
transport::Task<void> drain(transport::Scheduler& scheduler, routing::FastCgiServer& front,
                            routing::Router& router, FleetWork& work, const Configuration& configuration) {
  front.start_draining();
  work.drain();
  const Clock::time_point asked = Clock::now();
  const milliseconds linger(configuration.tuning.drain_linger_ms);
  const milliseconds quiet(configuration.tuning.drain_quiet_ms);
  const milliseconds longest = configuration.drain_answer();
  for (;;) {
    const Clock::duration since = Clock::now() - asked;
    if (since >= longest && router.open_requests() > 0) {
      log_line(Level::kWarning) << router.open_requests() << " requests failed: the time to drain is over";
      router.fail_open_requests();
    }
    const bool awaited = front.has_partial_request() && since < linger + kHalfSaid;
    const bool ceased = since >= linger && Clock::now() - front.last_arrival() >= quiet && !awaited;
    const bool answered = router.open_requests() == 0 && front.idle();
    // What it owns of the fleet's work is given back meanwhile; a store that does not answer is not waited
    // for.
    if (ceased && answered) {
      work.leave();
    }
    const bool let_go = (work.drained() && work.left()) || since >= kLetGo;
    if ((ceased && answered && let_go && front.accept_pending()) || since >= longest + kFlush) {
      break;
    }
    co_await scheduler.sleep(kDrainCheck);
  }
  front.close_all();
  const Clock::time_point closed = Clock::now();
  while (front.has_lingering_connections() && Clock::now() - closed < kFarewell) {
    co_await scheduler.sleep(kDrainCheck);
  }
  log_line(Level::kInfo) << "drained, ending";
  scheduler.stop();
}

// What a new configuration file changes in a router that serves: the address of the notice board, and what
// `known` tells beyond the events taken in. All else needs a restart, which the log says; a file that cannot
// be used changes nothing. It must never cost a request.
void reload(const Reread& reread, const Configuration& running, routing::DiscoveryClient& board,
            routing::DiscoveryUpdateHandler& taker) {
  try {
    const Configuration next = reread();
    taker.apply(next.known);
    const bool moved = board.set_server(next.board);
    log_line(Level::kInfo) << "configuration read again: notice board " << to_string(next.board)
                           << (moved ? " from now on" : " as before") << ", event " << taker.last_sequence();
    if (next.fixed != running.fixed) {
      log_line(Level::kWarning) << "other keys have changed too: they need a restart";
    }
  } catch (const std::exception& error) {
    log_line(Level::kError) << "the configuration stays as it was: " << error.what();
  }
}

// SIGHUP reads the configuration again, also while draining; SIGTERM and SIGINT begin the end, once.
transport::Task<void> heed_signals(transport::Scheduler& scheduler, Signals& signals,
                                   routing::FastCgiServer& front, routing::Router& router, FleetWork& work,
                                   routing::DiscoveryClient& board, routing::DiscoveryUpdateHandler& taker,
                                   const Configuration& configuration, const Reread& reread) {
  bool draining = false;
  for (;;) {
    const int signal = co_await signals.next();
    if (signal == SIGHUP) {
      reload(reread, configuration, board, taker);
    } else if (!std::exchange(draining, true)) {
      log_line(Level::kInfo) << "signal " << signal << ": draining, " << router.open_requests()
                             << " requests open";
      scheduler.spawn(drain(scheduler, front, router, work, configuration));
    }
  }
}

// The start's line of JSON with the fleet's work and policy in it.
std::string status_of(const std::string& start, const FleetWork& work) {
  const std::string owned = work.status();
  const std::string policy = work.policy_status();
  if (owned.empty() && policy.empty()) {
    return start;
  }
  nlohmann::json out = nlohmann::json::parse(start, nullptr, false);
  out = out.is_object() ? out : nlohmann::json::object();
  if (!owned.empty()) {
    out["work"] = nlohmann::json::parse(owned, nullptr, false);
  }
  if (!policy.empty()) {
    out["policy"] = nlohmann::json::parse(policy, nullptr, false);
  }
  return out.dump();
}

// Large buffers come from the system and go back to it, whatever lies between them, and a free end of the
// heap does too: else days of changing sizes leave more and more memory in pieces.
void keep_heap_small() {
  constexpr int kOwnPages = 128 << 10;
  constexpr int kFreeEnd = 512 << 10;
  mallopt(M_MMAP_THRESHOLD, kOwnPages);
  mallopt(M_TRIM_THRESHOLD, kFreeEnd);
}

}  // namespace

int serve(const Configuration& configuration, const Reread& reread) {
  keep_heap_small();
  limit_descriptors(configuration.sockets);
  const protocol::Profile& profile = configuration.profile;
  transport::Scheduler scheduler;
  Signals signals(scheduler);
  const routing::ModuleClock clock;
  Decider decider(profile.settings, configuration.seed);
  StartSupport start(scheduler, configuration);
  routing::Router router(
      scheduler, clock, profile.settings,
      [&decider, &start](Micros now, const Event& event, std::vector<Action>& out) {
        std::vector<Event> first;
        start.before(now, first);
        for (const Event& one : first) {
          decider.handle(now, one, out);
        }
        decider.handle(now, event, out);
      },
      router_bounds(configuration));
  router.set_send_check([&decider](Micros now, RequestId request, int attempt) {
    return decider.may_begin(now, request, attempt);
  });
  routing::EndpointDirectory directory;
  routing::CacheClient caches(scheduler, router, directory, profile.report_fields,
                              cache_bounds(configuration, start));
  router.set_upstream(caches);
  routing::DiscoveryUpdateHandler taker(router, directory,
                                        [&caches](const std::string& name) { caches.drop(name); });
  start.begin(router, taker);
  FleetWork work(scheduler, configuration, router, directory);
  routing::FastCgiServer front(
      scheduler, router, profile.settings, profile.class_index, front_bounds(configuration),
      [&taker, &start, &work] { return taker.has_ready_endpoint() && start.ready() && work.ready(); },
      [&caches] { return caches.close_one_idle(); });
  front.set_status_source([&start, &work] { return status_of(start.status(), work); });
  front.listen(configuration.listen);
  start.listen();
  routing::DiscoveryClient::Hooks hooks = start.hooks();
  hooks.on_applied = [&work](const std::string& id, std::uint64_t last) { work.took_in({id, last}); };
  routing::DiscoveryClient board(scheduler, configuration.board, taker, profile, configuration.seed,
                                 start.watcher_bounds(), std::move(hooks), start.relays());
  start.use(board);
  board.start();
  work.start();
  scheduler.spawn(heed_signals(scheduler, signals, front, router, work, board, taker, configuration, reread));
  log_line(Level::kInfo) << "router " << configuration.name << " listens on "
                         << to_string(configuration.listen) << ", " << configuration.most_open_requests()
                         << " open requests and " << configuration.most_cache_connections()
                         << " cache connections at most";
  scheduler.run();
  return 0;
}

}  // namespace trailcourse::program
