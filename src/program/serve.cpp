#include "program/serve.h"

#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <memory>
#include <system_error>
#include <utility>

#include "memory/memory_account.h"
#include "program/descriptors.h"
#include "program/drain.h"
#include "program/fleet_work.h"
#include "program/signals.h"
#include "program/start_support.h"
#include "routing/cache_client.h"
#include "routing/decider_clock.h"
#include "routing/discovery_client.h"
#include "routing/discovery_update_handler.h"
#include "routing/endpoint_directory.h"
#include "routing/fastcgi_server.h"
#include "routing/router.h"
#include "transport/log.h"
#include "transport/scheduler.h"

namespace trailcourse::program {

using std::chrono::milliseconds;
using transport::Level;
using transport::log_line;

namespace {

constexpr milliseconds kLinger{500};  // for the peer to close a connection that was closed here
constexpr milliseconds kDefaultConnectTimeout{1'000};  // if the settings have none
constexpr milliseconds kDefaultIdleTime{15'000};
constexpr int kDefaultStreams = 32;
constexpr std::size_t kClientReadBytes = 16U << 10U;  // of one turn of a client connection

// Sets a limit of lingering connections that all connections with these bounds share.
void set_linger_limit(transport::Connection::Bounds& bounds, const Configuration& configuration) {
  bounds.linger = kLinger;
  bounds.lingering = std::make_shared<transport::LingerLimit>();
  bounds.lingering->max = configuration.max_lingering();
}

using SharedMemoryAccount = std::shared_ptr<memory::MemoryAccount>;

routing::CacheClient::Bounds cache_bounds(const Configuration& configuration, const StartSupport& start,
                                          const SharedMemoryAccount& memory) {
  const protocol::DeploymentSettings& deployment = configuration.deployment;
  const Tuning& tuning = configuration.tuning;
  routing::CacheClient::Bounds bounds;
  bounds.pool.streams_per_connection =
      deployment.streams_per_connection > 0 ? deployment.streams_per_connection : kDefaultStreams;
  bounds.pool.connections_per_peer =
      start.max_connections_per_peer(static_cast<int>(tuning.cache_connections));
  bounds.pool.total_connections = configuration.max_cache_connections();
  // The cache closes an idle connection after this time. The router closes it after half of that, so that it
  // sends no request on a connection that the cache is about to close.
  const Micros idle =
      deployment.connection_idle.count() > 0 ? deployment.connection_idle : Micros(kDefaultIdleTime);
  bounds.pool.idle = idle / 2;
  bounds.pool.connection.connect_timeout =
      deployment.connect_timeout.count() > 0 ? deployment.connect_timeout : Micros(kDefaultConnectTimeout);
  set_linger_limit(bounds.pool.connection, configuration);
  bounds.silent_after = milliseconds(tuning.cache_silent_ms);
  bounds.stall_after = milliseconds(tuning.cache_stall_ms);
  bounds.memory = memory;
  bounds.answers.last_bytes = static_cast<std::size_t>(tuning.answer_bytes);
  return bounds;
}

routing::Router::Bounds router_bounds(const Configuration& configuration, const SharedMemoryAccount& memory) {
  routing::Router::Bounds bounds;
  bounds.open = configuration.max_open_requests();
  bounds.memory = memory;
  bounds.request_bytes = static_cast<std::size_t>(configuration.tuning.open_request_bytes);
  return bounds;
}

routing::FastCgiServer::Bounds server_bounds(const Configuration& configuration,
                                             const SharedMemoryAccount& memory) {
  const Tuning& tuning = configuration.tuning;
  routing::FastCgiServer::Bounds bounds;
  bounds.client_lead = milliseconds(tuning.client_lead_ms);
  bounds.backlog = static_cast<int>(tuning.listen_backlog);
  bounds.max_unsent_bytes = configuration.max_unsent_bytes();
  bounds.memory = memory;
  bounds.record_bytes = static_cast<std::size_t>(tuning.answer_record_bytes);
  bounds.max_clients = configuration.max_clients();
  bounds.max_unread_answers = static_cast<std::size_t>(tuning.client_untaken_answers);
  bounds.max_unread_bytes = static_cast<std::size_t>(tuning.client_untaken_bytes);
  bounds.client_young = milliseconds(tuning.client_young_ms);
  bounds.client_idle = milliseconds(tuning.client_idle_ms);
  bounds.client_request = milliseconds(tuning.client_request_ms);
  bounds.connection.stall_timeout = milliseconds(tuning.client_stall_ms);
  bounds.connection.low_mark = static_cast<std::size_t>(tuning.write_low_mark);
  bounds.connection.send_buffer = static_cast<int>(tuning.client_send_buffer);
  bounds.connection.end_on_hang_up = true;
  bounds.connection.read_bytes = kClientReadBytes;
  bounds.connection.background = true;
  set_linger_limit(bounds.connection, configuration);
  return bounds;
}

// Returns the function that passes events to the decision module, those that are due at the start first. All
// references have to outlive it.
routing::Router::Handler decider_handler(Decider& decider, StartSupport& start,
                                         memory::MemoryCharge& objects_charge) {
  return [&decider, &start, &objects_charge](Micros now, const Event& event, std::vector<Action>& out) {
    std::vector<Event> due;
    start.collect_due_events(now, due);
    for (const Event& due_event : due) {
      decider.handle(now, due_event, out);
    }
    decider.handle(now, event, out);
    objects_charge.set(decider.table_bytes());
  };
}

// Applies what a running router can change: the address of the discovery service, and events of `known` that
// it does not have yet. Other changes are logged and need a restart; an invalid file changes nothing. A
// reload fails no request.
void reload(const ReloadConfiguration& reload_configuration, const Configuration& running,
            routing::DiscoveryClient& discovery_client, routing::DiscoveryUpdateHandler& update_handler) {
  try {
    const Configuration next = reload_configuration();
    update_handler.apply(next.known);
    const bool moved = discovery_client.set_server(next.discovery_address);
    log_line(Level::kInfo) << "configuration reloaded: discovery service "
                           << to_string(next.discovery_address) << (moved ? " (changed)" : " (unchanged)")
                           << ", event " << update_handler.last_sequence();
    if (next.restart_keys != running.restart_keys) {
      log_line(Level::kWarning) << "configuration reloaded: changes of other keys need a restart";
    }
  } catch (const std::exception& error) {
    log_line(Level::kError) << "the configuration is unchanged: " << error.what();
  }
}

// Reloads the configuration on SIGHUP, also while draining; starts to drain on the first SIGTERM or SIGINT.
transport::Task<void> handle_signals(transport::Scheduler& scheduler, Signals& signals,
                                     routing::FastCgiServer& server, routing::Router& router, FleetWork& work,
                                     routing::DiscoveryClient& discovery_client,
                                     routing::DiscoveryUpdateHandler& update_handler,
                                     const Configuration& configuration,
                                     const ReloadConfiguration& reload_configuration) {
  bool draining = false;
  for (;;) {
    const int signal = co_await signals.next();
    if (signal == SIGHUP) {
      reload(reload_configuration, configuration, discovery_client, update_handler);
    } else if (!std::exchange(draining, true)) {
      log_line(Level::kInfo) << "signal " << signal << ": draining, " << router.open_requests()
                             << " requests open";
      scheduler.spawn(drain({scheduler, server, router, work, configuration}));
    }
  }
}

nlohmann::json memory_status(const memory::MemoryAccount& memory) {
  nlohmann::json used = nlohmann::json::object();
  for (std::size_t i = 0; i < memory::kMemoryUses; ++i) {
    const auto use = static_cast<memory::MemoryUse>(i);
    used[std::string(to_string(use))] = memory.used(use);
  }
  return {
      {"used", used}, {"total", memory.total()}, {"peak", memory.peak()}, {"limit", memory.limits().total}};
}

// Adds the status of owned work and policy to the JSON object `start_status`, which may be empty, and that of
// the memory account if `memory` is not null.
std::string full_status(const std::string& start_status, const FleetWork& work,
                        const memory::MemoryAccount* memory) {
  const std::string owned = work.work_status();
  const std::string policy = work.policy_status();
  if (owned.empty() && policy.empty() && memory == nullptr) {
    return start_status;
  }
  nlohmann::json out = nlohmann::json::parse(start_status, nullptr, false);
  out = out.is_object() ? out : nlohmann::json::object();
  if (memory != nullptr) {
    out["memory"] = memory_status(*memory);
  }
  if (!owned.empty()) {
    out["work"] = nlohmann::json::parse(owned, nullptr, false);
  }
  if (!policy.empty()) {
    out["policy"] = nlohmann::json::parse(policy, nullptr, false);
  }
  return out.dump();
}

// Makes the allocator return large buffers and the free end of the heap to the system. Otherwise the heap
// grows by fragmentation when the sizes of objects change over days.
void limit_heap_fragmentation() {
  constexpr int kMmapThreshold = 128 << 10;
  constexpr int kTrimThreshold = 512 << 10;
  mallopt(M_MMAP_THRESHOLD, kMmapThreshold);
  mallopt(M_TRIM_THRESHOLD, kTrimThreshold);
}

}  // namespace

int serve(const Configuration& configuration, const ReloadConfiguration& reload_configuration) {
  limit_heap_fragmentation();
  limit_descriptors(configuration.sockets);
  const protocol::DeploymentSettings& deployment = configuration.deployment;
  transport::Scheduler scheduler;
  Signals signals(scheduler);
  const routing::DeciderClock clock;
  Decider decider(deployment.settings, configuration.seed);
  const auto memory = std::make_shared<memory::MemoryAccount>(configuration.memory_limits());
  memory::MemoryCharge objects_charge(memory, memory::MemoryUse::kObjects);
  StartSupport start(scheduler, configuration);
  routing::Router router(scheduler, clock, deployment.settings,
                         decider_handler(decider, start, objects_charge),
                         router_bounds(configuration, memory));
  router.set_send_check([&decider](Micros now, RequestId request, int attempt) {
    return decider.may_begin(now, request, attempt);
  });
  routing::EndpointDirectory directory;
  routing::CacheClient caches(scheduler, router, directory, deployment.report_fields,
                              cache_bounds(configuration, start, memory));
  router.set_upstream(caches);
  routing::DiscoveryUpdateHandler update_handler(router, directory,
                                                 [&caches](const std::string& name) { caches.drop(name); });
  start.initialize(router, update_handler);
  FleetWork work(scheduler, configuration, router, directory);
  routing::FastCgiServer server(
      scheduler, router, deployment.settings, deployment.class_index, server_bounds(configuration, memory),
      [&update_handler, &start, &work] {
        return update_handler.has_ready_endpoint() && start.ready() && work.ready();
      },
      [&caches] { return caches.close_one_idle(); });
  server.set_status_source([&start, &work, &memory](bool traced) {
    return full_status(start.status(), work, traced ? memory.get() : nullptr);
  });
  server.listen(configuration.listen);
  start.listen();
  routing::DiscoveryClient::Hooks hooks = start.discovery_hooks();
  hooks.on_applied = [&work](const std::string& source, std::uint64_t sequence) {
    work.set_discovery_position({source, sequence});
  };
  routing::DiscoveryClient discovery_client(scheduler, configuration.discovery_address, update_handler,
                                            deployment, configuration.seed, start.discovery_options(),
                                            std::move(hooks), start.discovery_relays());
  start.set_discovery_client(discovery_client);
  discovery_client.start();
  work.start();
  scheduler.spawn(handle_signals(scheduler, signals, server, router, work, discovery_client, update_handler,
                                 configuration, reload_configuration));
  log_line(Level::kInfo) << "router " << configuration.name << " listens on "
                         << to_string(configuration.listen) << ", " << configuration.max_open_requests()
                         << " open requests and " << configuration.max_cache_connections()
                         << " cache connections at most";
  scheduler.run();
  return 0;
}

}  // namespace trailcourse::program
