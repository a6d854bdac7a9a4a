#include "program/node_commands.h"

#include <malloc.h>

#include <chrono>
#include <random>
#include <utility>

#include "cache_node/node.h"
#include "cache_node/origin.h"
#include "coordination/coordination_server.h"
#include "program/discovery_file_server.h"
#include "program/signals.h"
#include "store/store.h"
#include "transport/log.h"
#include "transport/mailbox.h"

namespace trailcourse::program {

using std::chrono::milliseconds;
using transport::Clock;
using transport::Level;
using transport::log_line;

namespace {

constexpr milliseconds kDrainCheck{10};
constexpr milliseconds kMaxDrain{3'000};
constexpr milliseconds kMaxFlush{5'000};

store::Store::TimeReading system_now() {
  store::Store::TimeReading now;
  now.steady_ms = std::chrono::duration_cast<milliseconds>(Clock::now().time_since_epoch()).count();
  now.unix_ms =
      std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
  return now;
}

store::Store::Storage storage_of(const store::Options& options) {
  store::Store::Storage storage;
  if (!options.folder.empty()) {
    storage.open_directory = [folder = options.folder] { return store::open_folder(folder); };
    storage.index = [folder = options.folder] { return store::open_sqlite_index(folder); };
  }
  return storage;
}

// Waits for open requests, stops the node, writes queued copies to disk, and stops the scheduler.
transport::Task<void> shut_down_node(transport::Scheduler& scheduler, cache_node::Node& node,
                                     store::Store& store) {
  const Clock::time_point start = Clock::now();
  while (node.open_requests() > 0 && Clock::now() - start < kMaxDrain) {
    co_await scheduler.sleep(kDrainCheck);
  }
  node.stop();
  auto flushed = std::make_shared<bool>(false);
  const std::function<void()> done = [flushed] { *flushed = true; };
  store.flush(done);
  const Clock::time_point flushing = Clock::now();
  while (!*flushed && Clock::now() - flushing < kMaxFlush) {
    co_await scheduler.sleep(kDrainCheck);
  }
  log_line(Level::kInfo) << node.report();
  scheduler.stop();
}

transport::Task<void> handle_node_signals(transport::Scheduler& scheduler, Signals& signals,
                                          cache_node::Node& node, store::Store& store) {
  bool shutting_down = false;
  for (;;) {
    const int signal = co_await signals.next();
    if (signal == SIGHUP) {
      log_line(Level::kInfo) << node.report();
    } else if (!std::exchange(shutting_down, true)) {
      log_line(Level::kInfo) << "signal " << signal << ": shutting down, " << node.open_requests()
                             << " requests open";
      scheduler.spawn(shut_down_node(scheduler, node, store));
    }
  }
}

// Calls `on_hangup` on SIGHUP, and stops the scheduler on any other signal.
transport::Task<void> handle_signals(transport::Scheduler& scheduler, Signals& signals,
                                     std::function<void()> on_hangup) {
  for (;;) {
    const int signal = co_await signals.next();
    if (signal != SIGHUP) {
      scheduler.stop();
      co_return;
    }
    on_hangup();
  }
}

}  // namespace

int run_cache(const OperatorFile& file) {
  constexpr int kMmapThreshold = 128 << 10;
  mallopt(M_MMAP_THRESHOLD, kMmapThreshold);  // so that freed copies go back to the system
  transport::Scheduler scheduler;
  Signals signals(scheduler);
  transport::Mailbox mailbox(scheduler);
  std::random_device entropy;
  store::IoPool pool(static_cast<std::size_t>(file.store.read_threads),
                     [&mailbox](std::function<void()> job) { mailbox.post(std::move(job)); });
  store::Store store(
      file.store, pool, storage_of(file.store), system_now,
      [](bool warning, const std::string& message) {
        log_line(warning ? Level::kWarning : Level::kInfo) << "store: " << message;
      },
      entropy());
  cache_node::Node node(scheduler, file.cache, file.classes, file.store.read_patience_ms, store, entropy());
  const std::string fence_folder = !file.cache.fence_folder.empty() ? file.cache.fence_folder
                                   : !file.store.folder.empty()     ? file.store.folder + ".fence"
                                                                    : std::string();
  fencing::TokenStore token_store(
      fence_folder.empty() ? nullptr : std::shared_ptr<store::Directory>(store::open_folder(fence_folder)),
      pool);
  node.set_token_store(token_store);
  node.start();
  scheduler.spawn(handle_node_signals(scheduler, signals, node, store));
  log_line(Level::kInfo) << "cache node " << file.cache.name << " listens on " << file.cache.listen << ", "
                         << (file.store.folder.empty() ? "memory only" : "disk tier in " + file.store.folder);
  scheduler.run();
  return 0;
}

int run_origin(const OperatorFile& file) {
  transport::Scheduler scheduler;
  Signals signals(scheduler);
  cache_node::Origin origin(scheduler, file.origin);
  origin.start();
  const std::function<void()> update_objects = [&origin] {
    origin.increment_version();
    log_line(Level::kInfo) << "generated objects have a new version";
  };
  scheduler.spawn(handle_signals(scheduler, signals, update_objects));
  log_line(Level::kInfo) << "origin listens on " << file.origin.listen << ", "
                         << (file.origin.folder.empty() ? "generated objects" : file.origin.folder);
  scheduler.run();
  log_line(Level::kInfo) << "served=" << origin.served() << " bytes=" << origin.served_bytes();
  return 0;
}

int run_board(const OperatorFile& file) {
  transport::Scheduler scheduler;
  Signals signals(scheduler);
  std::random_device entropy;
  const std::uint64_t seed = (std::uint64_t{entropy()} << 32U) | entropy();
  DiscoveryFileServer server(scheduler, file.board, seed);
  server.listen(*transport::parse_address(file.board.listen));
  const std::function<void()> reload = [&server] {
    server.reread();
    log_line(Level::kInfo) << server.report();
  };
  scheduler.spawn(handle_signals(scheduler, signals, reload));
  log_line(Level::kInfo) << "discovery service listens on " << file.board.listen;
  scheduler.run();
  log_line(Level::kInfo) << server.report();
  return 0;
}

int run_registry(const OperatorFile& file) {
  transport::Scheduler scheduler;
  Signals signals(scheduler);
  coordination::CoordinationServer server(scheduler, file.registry);
  server.listen(*transport::parse_address(file.registry.listen));
  const std::function<void()> report = [&server] { log_line(Level::kInfo) << server.report(); };
  scheduler.spawn(handle_signals(scheduler, signals, report));
  log_line(Level::kInfo) << "coordination server " << server.id() << " listens on " << file.registry.listen
                         << ", stores its data in " << file.registry.folder;
  scheduler.run();
  log_line(Level::kInfo) << server.report();
  return 0;
}

}  // namespace trailcourse::program
