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
constexpr milliseconds kDrainMost{3'000};
constexpr milliseconds kFlushMost{5'000};

store::Store::Now system_now() {
  store::Store::Now now;
  now.steady_ms = std::chrono::duration_cast<milliseconds>(Clock::now().time_since_epoch()).count();
  now.unix_ms =
      std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
  return now;
}

store::Store::Backing backing_of(const store::Options& options) {
  store::Store::Backing backing;
  if (!options.folder.empty()) {
    backing.files = [folder = options.folder] { return store::open_folder(folder); };
    backing.index = [folder = options.folder] { return store::open_sqlite_index(folder); };
  }
  return backing;
}

// Takes nothing new, lets what is open end, writes what waits, and stops.
transport::Task<void> end_node(transport::Scheduler& scheduler, cache_node::Node& node, store::Store& store) {
  const Clock::time_point asked = Clock::now();
  while (node.open() > 0 && Clock::now() - asked < kDrainMost) {
    co_await scheduler.sleep(kDrainCheck);
  }
  node.stop();
  auto flushed = std::make_shared<bool>(false);
  const std::function<void()> done = [flushed] { *flushed = true; };
  store.flush(done);
  const Clock::time_point flushing = Clock::now();
  while (!*flushed && Clock::now() - flushing < kFlushMost) {
    co_await scheduler.sleep(kDrainCheck);
  }
  log_line(Level::kInfo) << node.report();
  scheduler.stop();
}

transport::Task<void> heed_node(transport::Scheduler& scheduler, Signals& signals, cache_node::Node& node,
                                store::Store& store) {
  bool ending = false;
  for (;;) {
    const int signal = co_await signals.next();
    if (signal == SIGHUP) {
      log_line(Level::kInfo) << node.report();
    } else if (!std::exchange(ending, true)) {
      log_line(Level::kInfo) << "signal " << signal << ": ending, " << node.open() << " requests open";
      scheduler.spawn(end_node(scheduler, node, store));
    }
  }
}

// `hangup` is run on SIGHUP.
transport::Task<void> heed(transport::Scheduler& scheduler, Signals& signals, std::function<void()> hangup) {
  for (;;) {
    const int signal = co_await signals.next();
    if (signal != SIGHUP) {
      scheduler.stop();
      co_return;
    }
    hangup();
  }
}

}  // namespace

int run_cache(const OperatorFile& file) {
  constexpr int kOwnPages = 128 << 10;
  mallopt(M_MMAP_THRESHOLD, kOwnPages);  // copies come from the system and go back to it
  transport::Scheduler scheduler;
  Signals signals(scheduler);
  transport::Mailbox mailbox(scheduler);
  std::random_device entropy;
  store::IoPool pool(static_cast<std::size_t>(file.store.read_threads),
                     [&mailbox](std::function<void()> job) { mailbox.post(std::move(job)); });
  store::Store store(
      file.store, pool, backing_of(file.store), system_now,
      [](bool bad, const std::string& what) {
        log_line(bad ? Level::kWarning : Level::kInfo) << "store: " << what;
      },
      entropy());
  cache_node::Node node(scheduler, file.cache, file.classes, file.store.read_patience_ms, store, entropy());
  const std::string fence_folder = !file.cache.fence_folder.empty() ? file.cache.fence_folder
                                   : !file.store.folder.empty()     ? file.store.folder + ".fence"
                                                                    : std::string();
  fencing::TokenStore terms(
      fence_folder.empty() ? nullptr : std::shared_ptr<store::Files>(store::open_folder(fence_folder)), pool);
  node.set_token_store(terms);
  node.start();
  scheduler.spawn(heed_node(scheduler, signals, node, store));
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
  const std::function<void()> edit = [&origin] {
    origin.increment_version();
    log_line(Level::kInfo) << "made objects are of a new version";
  };
  scheduler.spawn(heed(scheduler, signals, edit));
  log_line(Level::kInfo) << "origin listens on " << file.origin.listen << ", "
                         << (file.origin.folder.empty() ? "made objects" : file.origin.folder);
  scheduler.run();
  log_line(Level::kInfo) << "served=" << origin.served() << " bytes=" << origin.served_bytes();
  return 0;
}

int run_board(const OperatorFile& file) {
  transport::Scheduler scheduler;
  Signals signals(scheduler);
  std::random_device entropy;
  const std::uint64_t seed = (std::uint64_t{entropy()} << 32U) | entropy();
  DiscoveryFileServer board(scheduler, file.board, seed);
  board.listen(*transport::parse_address(file.board.listen));
  const std::function<void()> reread = [&board] {
    board.reread();
    log_line(Level::kInfo) << board.report();
  };
  scheduler.spawn(heed(scheduler, signals, reread));
  log_line(Level::kInfo) << "notice board listens on " << file.board.listen;
  scheduler.run();
  log_line(Level::kInfo) << board.report();
  return 0;
}

int run_registry(const OperatorFile& file) {
  transport::Scheduler scheduler;
  Signals signals(scheduler);
  coordination::CoordinationServer registry(scheduler, file.registry);
  registry.listen(*transport::parse_address(file.registry.listen));
  const std::function<void()> report = [&registry] { log_line(Level::kInfo) << registry.report(); };
  scheduler.spawn(heed(scheduler, signals, report));
  log_line(Level::kInfo) << "registry " << registry.id() << " listens on " << file.registry.listen
                         << ", keeps all in " << file.registry.folder;
  scheduler.run();
  log_line(Level::kInfo) << registry.report();
  return 0;
}

}  // namespace trailcourse::program
