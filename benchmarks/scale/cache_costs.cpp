// Measures the costs of a cache node: of a request, a purge, and each object that it stores on disk. In the
// text of a measured point, the ledger is the purge table.
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "cache_node/node_core.h"
#include "role_costs.h"
#include "sample_fleet.h"
#include "store/purge_table.h"
#include "store/store.h"

namespace trailcourse::scale {
namespace {

using store::Copy;
using store::Name;

constexpr std::array<int, 4> kPurgeCounts{1'000, 10'000, 30'000, 100'000};
constexpr std::array<int, 4> kObjectCounts{50'000, 100'000, 200'000, 400'000};
constexpr std::array<int, 4> kRequestCounts{1'000, 10'000, 30'000, 100'000};
constexpr std::size_t kMaxPurges = 100'000;  // capacity of a cache's purge table
// An arbitrary Unix time, to which the sample times are relative.
constexpr std::int64_t kBaseUnixMs = 1'764'000'000'000;

Name object_name(std::uint64_t number) {
  char item[17];
  std::snprintf(item, sizeof item, "%016llx", static_cast<unsigned long long>(number));
  return Name::of("media", item, "0");
}

// ---- Purges ----

store::PurgeRecord purge_of(std::uint64_t number) {
  return {store::PurgeRecord::Kind::kObject, number, kBaseUnixMs + static_cast<std::int64_t>(number)};
}

// Measures the memory of a purge table, and the CPU time of adding purges to a full one. Each added purge
// makes a full table fold its earliest purge into the purge of all objects.
void measure_purge_table(const CostSink& sink) {
  CostSeries memory{"cache.memory.purge",
                    "a cache's purges, held until more than 100,000 are",
                    "bytes",
                    "purges",
                    "in process",
                    {}};
  CostSeries cpu{"cache.cpu.purge",
                 "so many purges taken in by a full ledger, the earliest folded",
                 "us",
                 "purges",
                 "in process",
                 {}};
  std::uint64_t last_number = 0;
  const auto fill = [&](store::PurgeTable& table, std::size_t size) {
    while (table.objects() < size) {
      table.add(purge_of(++last_number));
    }
  };
  for (const int purges : kPurgeCounts) {
    const auto size = static_cast<std::size_t>(purges);
    memory.points.emplace_back(purges, bytes_held_by([&] {
                                 auto table = std::make_unique<store::PurgeTable>(size);
                                 fill(*table, size);
                                 return table;
                               }));
  }
  store::PurgeTable full(kMaxPurges);
  fill(full, kMaxPurges);
  for (const int purges : kPurgeCounts) {
    cpu.points.emplace_back(purges, cpu_us_per_call(1, [&] {
                              for (int i = 0; i < purges; ++i) {
                                full.add(purge_of(++last_number));
                                keep_result(full.drain_folded());
                              }
                            }));
  }
  sink(memory);
  sink(cpu);
}

// ---- Requests ----

protocol::ServeFields fields_of(std::uint64_t object) {
  char item[17];
  std::snprintf(item, sizeof item, "%016llx", static_cast<unsigned long long>(object));
  protocol::ServeFields fields;
  fields.request_class = "media";
  fields.item = item;
  fields.chunk = "0";
  fields.limit_ms = 2'000;
  fields.keep_rank = 2;
  return fields;
}

// Processes requests that the cache answers with a stored copy: encodes and parses the request, passes it to
// the node's core, which checks the copy against the purges, and writes the head of the answer.
class HitProcessor {
 public:
  HitProcessor()
      : core_(
            node_options(),
            [this](const Name& name, int group) { return purges_.purged_until(name.object, group); },
            [](const std::string&) { return true; }) {
    for (std::uint64_t i = 0; i < kMaxPurges; ++i) {
      purges_.add(purge_of(i));
    }
    lookup_result_.status = store::ReadStatus::kComplete;
    lookup_result_.copy =
        Copy{"tag", kBaseUnixMs + 1'000'000, 3, std::make_shared<const std::string>(20'000, 'x')};
  }

  void process_hit() {
    ++request_number_;
    const std::string encoded = protocol::write_serve_fields(fields_of(request_number_ * 7'919));
    auto parsed = protocol::read_serve_fields(encoded);
    actions_.clear();
    core_.on_request(now_, request_number_, std::move(std::get<protocol::ServeFields>(parsed)), "", actions_);
    core_.on_lookup_result(now_, request_number_, lookup_result_, actions_);
    for (const cache_node::Action& action : actions_) {
      if (const auto* answer = std::get_if<cache_node::Answer>(&action)) {
        keep_result(protocol::write_answer("1", answer->code, answer->fields, ""));
      }
    }
  }

 private:
  static cache_node::NodeCoreOptions node_options() {
    cache_node::NodeCoreOptions out;
    out.classes["media"] = {};
    return out;
  }

  store::PurgeTable purges_;
  cache_node::NodeCore core_;
  store::ReadResult lookup_result_;
  cache_node::EventContext now_{1'000, kBaseUnixMs + 2'000'000, 0};
  std::uint64_t request_number_ = 0;
  std::vector<cache_node::Action> actions_;
};

void measure_hits(const CostSink& sink) {
  CostSeries cpu{
      "cache.cpu.request",
      "so many hits: command read, decided, answer's head written; no sockets, 100,000 purges held",
      "us",
      "requests",
      "in process",
      {}};
  HitProcessor processor;
  for (const int requests : kRequestCounts) {
    cpu.points.emplace_back(requests, cpu_us_per_call(1, [&] {
                              for (int i = 0; i < requests; ++i) {
                                processor.process_hit();
                              }
                            }));
  }
  sink(cpu);
}

// ---- Objects on disk ----

// Replaces the node's main thread: queues the jobs that the I/O pool posts, and runs them in the thread that
// calls run_until().
class JobQueue {
 public:
  void post(std::function<void()> job) {
    const std::lock_guard lock(mutex_);
    jobs_.push_back(std::move(job));
    not_empty_.notify_one();
  }
  void run_until(const std::function<bool()>& done) {
    while (!done()) {
      pop()();
    }
  }

 private:
  std::function<void()> pop() {
    std::unique_lock lock(mutex_);
    not_empty_.wait(lock, [this] { return !jobs_.empty(); });
    std::function<void()> job = std::move(jobs_.front());
    jobs_.pop_front();
    return job;
  }

  std::mutex mutex_;
  std::condition_variable not_empty_;
  std::deque<std::function<void()>> jobs_;
};

store::Options disk_options(int objects) {
  store::Options options;
  options.folder = "bench";
  options.disk_mb = 4'096;
  options.memory_mb = 0;
  options.segment_mb = 64;
  options.write_kb_per_s = 0;
  options.write_queue_mb = 64;
  options.expected_objects = objects;
  options.compress = false;
  return options;
}

// A store with its I/O pool and the queue that receives its completions.
class DiskStore {
 public:
  DiskStore(const std::string& folder, int objects)
      : options_(disk_options(objects)),
        pool_(static_cast<std::size_t>(options_.read_threads),
              [this](std::function<void()> job) { queue_.post(std::move(job)); }),
        store_(
            options_, pool_,
            store::Store::Storage{[folder] { return store::open_folder(folder); },
                                  [folder] { return store::open_sqlite_index(folder); }},
            [] { return store::Store::TimeReading{static_cast<std::int64_t>(wall_us() / 1e3), kBaseUnixMs}; },
            [](bool, const std::string&) {}, 1) {}

  void open() {
    bool opened = false;
    store_.open([&opened] { opened = true; });
    queue_.run_until([&opened] { return opened; });
  }
  void flush() {
    bool done = false;
    store_.flush([&done] { done = true; });
    queue_.run_until([&done] { return done; });
  }
  // Stores `objects` small objects on disk.
  void fill(int objects) {
    constexpr int kBatchSize = 20'000;
    constexpr int kKeepRank = 2;
    const auto value = std::make_shared<const std::string>(std::string(32, 'x'));
    for (int i = 0; i < objects; ++i) {
      const Name name = object_name(static_cast<std::uint64_t>(i));
      store_.find(name, kKeepRank);  // as for a request that misses
      store_.insert(name, Copy{"t", 1, 3, value}, kKeepRank);
      if (i % kBatchSize == kBatchSize - 1) {
        flush();
      }
    }
    flush();
  }
  store::Stats stats() const { return store_.stats(); }

 private:
  store::Options options_;
  JobQueue queue_;
  store::IoPool pool_;
  store::Store store_;
};

// Fills the folder in a child process, so that this process frees no memory here. The measured store would
// reuse freed memory, and allocated_bytes() would not count it.
void fill_folder(const std::string& folder, int objects) {
  std::filesystem::remove_all(folder);
  const pid_t child = ::fork();
  if (child == 0) {
    DiskStore disk(folder, objects);
    disk.open();
    disk.fill(objects);
    ::_exit(0);
  }
  ::waitpid(child, nullptr, 0);
}

// Measures the memory of a store and the time to open it, with objects on disk.
void measure_recovery(const CostContext& context, const CostSink& sink) {
  CostSeries memory{"cache.memory.object",
                    "a store after recovery, beside payload: table, lists, sketch",
                    "bytes",
                    "objects on disk",
                    "in process",
                    {}};
  CostSeries time{"cache.time.recovery",
                  "from the start of recovery to its end",
                  "ms",
                  "objects on disk",
                  "in process",
                  {}};
  const std::string folder = context.folder + "/store";
  for (const int objects : kObjectCounts) {
    fill_folder(folder, objects);
    const double before = allocated_bytes();
    DiskStore disk(folder, objects);
    const double start_us = wall_us();
    disk.open();
    const double elapsed_ms = (wall_us() - start_us) / 1e3;
    const auto recovered = static_cast<double>(disk.stats().recovered);
    memory.points.emplace_back(recovered, allocated_bytes() - before);
    time.points.emplace_back(recovered, elapsed_ms);
  }
  std::filesystem::remove_all(folder);
  for (const CostSeries& series : {memory, time}) {
    sink(series);
  }
}

}  // namespace

void measure_cache(const CostContext& context, const CostSink& sink) {
  measure_purge_table(sink);
  measure_hits(sink);
  measure_recovery(context, sink);
}

}  // namespace trailcourse::scale
