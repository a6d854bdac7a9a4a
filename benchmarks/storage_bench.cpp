// Benchmarks of the disk tier, each next to its baseline in the same run. They are not part of the tests; see
// docs/storage.md.
//
//   storage_bench FOLDER write|read|read-cold|memory|recovery|placement|index [NUMBER]
//
// NUMBER is the number of objects (memory), requests (placement) or rows (index). The default is 400,000 for
// placement, otherwise 1,000,000.
#include <fcntl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <list>
#include <map>
#include <mutex>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "store/store.h"
#include "truncated_quantile.h"

namespace trailcourse::store {
namespace {

using Clock = std::chrono::steady_clock;

double seconds_since(Clock::time_point start) {
  return std::chrono::duration<double>(Clock::now() - start).count();
}

// A minimal event loop: run_until() runs the jobs that the pool posts.
class JobLoop {
 public:
  void post(std::function<void()> job) {
    const std::lock_guard lock(mutex_);
    jobs_.push_back(std::move(job));
    job_posted_.notify_one();
  }
  void run_until(const std::function<bool()>& done) {
    while (!done()) {
      std::function<void()> job;
      {
        std::unique_lock lock(mutex_);
        job_posted_.wait(lock, [this] { return !jobs_.empty(); });
        job = std::move(jobs_.front());
        jobs_.pop_front();
      }
      job();
    }
  }

 private:
  std::mutex mutex_;
  std::condition_variable job_posted_;
  std::deque<std::function<void()>> jobs_;
};

constexpr std::int64_t kUnixMs = 1'764'000'000'000;  // fixed system time of the store

// A store with its thread pool and event loop. Prints warnings of the store to stderr.
struct BenchStore {
  explicit BenchStore(const std::string& folder, const Options& options)
      : pool(static_cast<std::size_t>(options.read_threads),
             [this](std::function<void()> job) { loop.post(std::move(job)); }),
        store(
            options, pool,
            Store::Storage{[folder] { return open_folder(folder); },
                           [folder] { return open_sqlite_index(folder); }},
            [] {
              return Store::TimeReading{
                  std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now().time_since_epoch())
                      .count(),
                  kUnixMs};
            },
            [](bool warning, const std::string& message) {
              if (warning) {
                std::cerr << message << '\n';
              }
            },
            1) {}

  void open() {
    bool opened = false;
    store.open([&opened] { opened = true; });
    loop.run_until([&opened] { return opened; });
  }
  void flush() {
    bool done = false;
    store.flush([&done] { done = true; });
    loop.run_until([&done] { return done; });
  }

  JobLoop loop;
  IoPool pool;
  Store store;
};

Options bench_options(std::int64_t disk_mb) {
  Options options;
  options.folder = "bench";
  options.disk_mb = disk_mb;
  options.memory_mb = 0;
  options.segment_mb = 64;
  options.part_kb = 1'024;
  options.write_kb_per_s = 0;
  options.write_queue_mb = 64;
  options.expected_objects = 1'000'000;
  options.reads_at_once = 1'024;
  options.compress = false;
  return options;
}

Name make_name(std::uint64_t number) {
  char item[17];
  std::snprintf(item, sizeof item, "%016llx", static_cast<unsigned long long>(number));
  return Name::of("media", item, "0");
}

// Returns pseudo-random bytes. If `size` is not a multiple of 8, the last bytes are 0.
std::string random_bytes(std::size_t size, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::string out(size, '\0');
  for (std::size_t i = 0; i + 8 <= size; i += 8) {
    const std::uint64_t word = random();
    std::memcpy(out.data() + i, &word, sizeof word);
  }
  return out;
}

// Returns the anonymous resident memory of this process.
std::uint64_t anonymous_kb() {
  std::ifstream status("/proc/self/status");
  std::string word;
  while (status >> word) {
    if (word == "RssAnon:") {
      std::uint64_t kb = 0;
      status >> kb;
      return kb;
    }
  }
  return 0;
}

// Measures the write throughput of the store, next to plain writes to a file.
void measure_writes(const std::string& folder) {
  constexpr std::size_t kValues = 4'000;
  constexpr std::size_t kValueBytes = 100'000;
  std::printf("| round | plain pwrite + fdatasync | store | share |\n| --- | --- | --- | --- |\n");
  std::vector<std::shared_ptr<const std::string>> values;
  values.reserve(64);
  for (std::size_t i = 0; i < 64; ++i) {
    values.push_back(std::make_shared<const std::string>(random_bytes(kValueBytes, i)));
  }
  for (int round = 0; round < 5; ++round) {
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    const int file = ::open((folder + "/plain").c_str(), O_RDWR | O_CREAT | O_TRUNC, 0600);
    Clock::time_point start = Clock::now();
    std::string batch;
    off_t offset = 0;
    // The baseline writes the same bytes in batches as large as those of the store (4 MB), with a sync after
    // each.
    for (std::size_t i = 0; i < kValues; ++i) {
      batch += *values[i % values.size()];
      if (batch.size() >= (4U << 20U) || i + 1 == kValues) {
        offset += ::pwrite(file, batch.data(), batch.size(), offset);
        ::fdatasync(file);
        batch.clear();
      }
    }
    const double pwrite_s = seconds_since(start);
    ::close(file);
    std::filesystem::remove(folder + "/plain");

    BenchStore bench_store(folder + "/store", bench_options(4'096));
    bench_store.open();
    start = Clock::now();
    for (std::size_t i = 0; i < kValues; ++i) {
      const Name name = make_name(i);
      bench_store.store.find(name, 2);
      bench_store.store.insert(name, Copy{"tag", 1, 3, values[i % values.size()]}, 2);
      // Waits until fewer than 300 writes are queued, so that the store sheds none.
      if (i % 100 == 99) {
        bench_store.loop.run_until(
            [&bench_store, i] { return bench_store.store.stats().disk_copies + 300 > i; });
      }
    }
    bench_store.flush();
    const double store_s = seconds_since(start);
    const double megabytes = kValues * kValueBytes / 1e6;
    std::printf("| %d | %.0f MB/s | %.0f MB/s (%llu shed) | %.2f |\n", round, megabytes / pwrite_s,
                megabytes / store_s, static_cast<unsigned long long>(bench_store.store.stats().writes_shed),
                pwrite_s / store_s);
  }
}

constexpr std::size_t kReadCopies = 4'000;

// Compares reads of values of one size by the store with reads of the same bytes by pread in the same pool.
class ReadComparison {
 public:
  // `cold`: drops the segment from the page cache before each read, so that the bytes come from the disk.
  ReadComparison(const std::string& folder, std::size_t size, bool cold)
      : folder_(folder), size_(size), cold_(cold), bench_store_(folder, bench_options(4'096)) {
    bench_store_.open();
    fill_store();
    open_segments();
  }

  // Alternates both kinds of reads, so that other load on the machine affects both. The plain preads also run
  // in the pool, as in any program whose main thread must not block.
  void run() {
    const std::size_t reads = cold_ ? 4'000 : 20'000;
    std::mt19937 random(3);
    for (std::size_t i = 0; i < reads; ++i) {
      read_by_pread(rows_[random() % rows_.size()].location);
      read_by_store(make_name(random() % kReadCopies));
    }
  }

  void print() {
    const double pread_99 = bench::truncated_quantile(pread_us_, 0.99);
    const double store_99 = bench::truncated_quantile(store_us_, 0.99);
    std::printf("| %zu bytes | %.0f, %.0f us | %.0f, %.0f us | %.2f |\n", size_,
                bench::truncated_quantile(pread_us_, 0.5), pread_99,
                bench::truncated_quantile(store_us_, 0.5), store_99, store_99 / pread_99);
  }

 private:
  void fill_store() {
    for (std::size_t i = 0; i < kReadCopies; ++i) {
      bench_store_.store.find(make_name(i), 2);
      bench_store_.store.insert(
          make_name(i), Copy{"tag", 1, 3, std::make_shared<const std::string>(random_bytes(size_, i))}, 2);
      if (i % 50 == 49) {
        bench_store_.loop.run_until([this, i] { return bench_store_.store.stats().disk_copies + 100 > i; });
      }
    }
    bench_store_.flush();
  }

  // Reads the location of each copy from the index and opens the segment files for pread.
  void open_segments() {
    rows_ = open_sqlite_index(folder_, true)->rows(nullptr, kReadCopies);
    for (const IndexRow& row : rows_) {
      locations_[row.key] = row.location;
      char file_name[32];
      std::snprintf(file_name, sizeof file_name, "/seg-%010u.dat", row.location.segment);
      if (!open_files_.contains(row.location.segment)) {
        open_files_[row.location.segment] = ::open((folder_ + file_name).c_str(), O_RDONLY);
      }
    }
  }

  void drop_page_cache_if_cold(const Location& location) {
    if (cold_) {
      ::posix_fadvise(open_files_[location.segment], 0, 0, POSIX_FADV_DONTNEED);
    }
  }

  void read_by_pread(const Location& location) {
    bool done = false;
    drop_page_cache_if_cold(location);
    const Clock::time_point start = Clock::now();
    bench_store_.pool.run(
        Executor::Lane::kRead,
        [this, &location] {
          std::string buffer(location.stored, '\0');
          if (::pread(open_files_[location.segment], buffer.data(), buffer.size(), location.offset) < 0) {
            std::perror("pread");
          }
        },
        [&done] { done = true; });
    bench_store_.loop.run_until([&done] { return done; });
    pread_us_.push_back(seconds_since(start) * 1e6);
  }

  void read_by_store(const Name& name) {
    bool done = false;
    drop_page_cache_if_cold(locations_[name.key]);
    const Clock::time_point start = Clock::now();
    if (bench_store_.store.find(name, 2).tier != Store::Tier::kDisk) {
      std::fprintf(stderr, "the copy is not on disk\n");
      return;
    }
    bench_store_.store.read(
        name, [&done](const ReadResult& result) { done = result.status == ReadStatus::kComplete; });
    bench_store_.loop.run_until([&done] { return done; });
    store_us_.push_back(seconds_since(start) * 1e6);
  }

  std::string folder_;
  std::size_t size_;
  bool cold_;
  BenchStore bench_store_;
  std::vector<IndexRow> rows_;
  std::map<SegmentId, int> open_files_;
  std::map<Key, Location> locations_;
  std::vector<double> pread_us_;
  std::vector<double> store_us_;
};

// Measures the latency of reads by the store, next to plain preads, for several value sizes.
void measure_reads(const std::string& folder, bool cold) {
  std::printf(
      "| value | plain pread p50, p99 | disk hit p50, p99 | p99 ratio |\n| --- | --- | --- | --- |\n");
  for (const std::size_t size : {4'096U, 64U << 10U, 240'000U}) {
    std::filesystem::remove_all(folder);
    ReadComparison comparison(folder, size, cold);
    comparison.run();
    comparison.print();
  }
}

// Stores `count` values of 32 bytes each, so that a million of them fit in the disk tier.
void store_small_values(BenchStore& bench_store, std::size_t count) {
  const auto value = std::make_shared<const std::string>(std::string(32, 'x'));
  for (std::size_t i = 0; i < count; ++i) {
    bench_store.store.find(make_name(i), 2);
    bench_store.store.insert(make_name(i), Copy{"t", 1, 3, value}, 2);
    if (i % 20'000 == 19'999) {
      bench_store.flush();
    }
  }
  bench_store.flush();
}

// Measures the memory that the store uses per object on disk.
void measure_memory(const std::string& folder, std::size_t count) {
  std::filesystem::remove_all(folder);
  Options options = bench_options(4'096);
  options.expected_objects = static_cast<std::int64_t>(count);
  // A child process stores the values. If this process stored them, it would reuse the freed memory for the
  // store that is measured, and the difference between the two readings would be too small.
  const pid_t child = ::fork();
  if (child == 0) {
    BenchStore bench_store(folder, options);
    bench_store.open();
    store_small_values(bench_store, count);
    ::_exit(0);
  }
  ::waitpid(child, nullptr, 0);
  const std::uint64_t before = anonymous_kb();
  BenchStore bench_store(folder, options);
  bench_store.open();
  const std::uint64_t after = anonymous_kb();
  std::printf(
      "| objects | on disk | memory beside the payload | bytes an object |\n| --- | --- | --- | --- |\n");
  std::printf("| %zu | %llu | %llu KB | %.0f |\n", count,
              static_cast<unsigned long long>(bench_store.store.stats().disk_copies),
              static_cast<unsigned long long>(after - before),
              static_cast<double>(after - before) * 1024.0 / static_cast<double>(count));
}

// Measures how long the store takes to open after a SIGKILL and after a clean stop.
void measure_recovery(const std::string& folder) {
  std::printf(
      "| objects | after a clean stop | after SIGKILL | index | bytes |\n| --- | --- | --- | --- | --- |\n");
  for (const std::size_t count : {10'000U, 100'000U, 1'000'000U}) {
    std::filesystem::remove_all(folder);
    const pid_t child = ::fork();
    if (child == 0) {
      BenchStore bench_store(folder, bench_options(4'096));
      bench_store.open();
      store_small_values(bench_store, count);
      ::raise(SIGKILL);
    }
    ::waitpid(child, nullptr, 0);
    double times[2] = {};  // of the open after the SIGKILL, and of the open after a clean stop
    std::uint64_t recovered = 0;
    for (double& elapsed_s : times) {
      BenchStore bench_store(folder, bench_options(4'096));
      const Clock::time_point start = Clock::now();
      bench_store.open();
      elapsed_s = seconds_since(start);
      recovered = bench_store.store.stats().recovered;
    }
    std::printf("| %llu | %.0f ms | %.0f ms | %.0f MB | %.0f MB |\n",
                static_cast<unsigned long long>(recovered), times[1] * 1e3, times[0] * 1e3,
                static_cast<double>(std::filesystem::file_size(folder + "/index.sqlite")) / 1e6,
                static_cast<double>(std::filesystem::file_size(folder + "/seg-0000000001.dat")) / 1e6);
  }
}

// ---- Placement on synthetic traces ----

// A request of a synthetic trace.
struct TraceRequest {
  std::uint32_t object = 0;
  std::uint32_t bytes = 0;
  int keep_rank = 2;
  double at_s = 0.0;
};
using Trace = std::vector<TraceRequest>;

// Returns the size of the object in bytes, which is drawn at the first call for this object.
std::uint32_t size_of(std::uint32_t object, std::mt19937& random) {
  static std::unordered_map<std::uint32_t, std::uint32_t> sizes;
  const auto [found, inserted] = sizes.emplace(object, 0);
  if (inserted) {
    // Log-normal sizes: most objects are small, a few are large.
    std::normal_distribution<double> normal(10.0, 1.2);
    found->second = static_cast<std::uint32_t>(std::clamp(std::exp(normal(random)), 500.0, 4e6));
  }
  return found->second;
}

// Draws from a Zipf distribution, by inversion over a table.
class Zipf {
 public:
  Zipf(std::size_t count, double skew) {
    double sum = 0.0;
    for (std::size_t i = 1; i <= count; ++i) {
      sum += 1.0 / std::pow(static_cast<double>(i), skew);
      sums_.push_back(sum);
    }
  }
  std::size_t draw(std::mt19937& random) const {
    const double point = static_cast<double>(random()) / 4294967296.0 * sums_.back();
    return static_cast<std::size_t>(std::lower_bound(sums_.begin(), sums_.end(), point) - sums_.begin());
  }

 private:
  std::vector<double> sums_;  // cumulative weights
};

// Computes the keep rank of an object as routers do: by a score of its decayed request count, its size and
// the time since its last request.
class KeepRankModel {
 public:
  int rank(std::uint32_t object, std::uint32_t bytes, double at_s) {
    History& history = histories_[object];
    const double gap_s = history.count == 0.0 ? kMaxGapS : std::min(kMaxGapS, at_s - history.at_s);
    history.count = history.count * std::pow(0.5, gap_s / 60.0) + 1.0;
    history.at_s = at_s;
    const double score = 1.0 / history.count + 0.9 * bytes / 4e6 + 0.6 * gap_s / kMaxGapS;
    return score < 1.2 ? 3 : score < 2.0 ? 2 : 1;
  }

 private:
  static constexpr double kMaxGapS = 600.0;
  struct History {
    double count = 0.0;  // of requests, with a half-life of 60 s
    double at_s = 0.0;   // time of the last request
  };
  std::unordered_map<std::uint32_t, History> histories_;
};

// Returns a trace of 200 requests per second with Zipf popularity. Depending on `kind`, some requests are for
// other objects: objects that are requested once ("scan"), the parts of a new video ("video"), or many
// documents that are rarely requested again ("payout"). "zipf" has no such requests.
Trace make_trace(const std::string& kind, std::size_t length) {
  std::mt19937 random(static_cast<std::mt19937::result_type>(std::hash<std::string>()(kind)));
  const Zipf zipf(20'000, 0.9);
  Trace out;
  std::uint32_t last_scanned_object = 1'000'000;
  KeepRankModel keep_ranks;
  for (std::size_t i = 0; i < length; ++i) {
    TraceRequest request;
    request.at_s = static_cast<double>(i) / 200.0;
    const std::size_t popularity_rank = zipf.draw(random);
    // The popular objects change: every 20,000 requests a tenth of the popularity ranks gets other objects.
    const auto drift = static_cast<std::uint32_t>(i / 20'000 * 2'000);
    request.object =
        static_cast<std::uint32_t>(popularity_rank) + (popularity_rank % 10 == 3 ? drift * 100 : 0);
    request.bytes = size_of(request.object, random);
    if (kind == "scan" && i % 40'000 > 20'000 && random() % 2 == 0) {
      request.object = ++last_scanned_object;  // each of these objects is requested once
      request.bytes = size_of(request.object, random);
    } else if (kind == "video" && i > length / 2 && random() % 20 == 0) {
      request.object = 5'000'000 + random() % 40;  // the parts of a new video, 1 MB each
      request.bytes = 1U << 20U;
    } else if (kind == "payout" && i > length / 2 && i < length * 3 / 4 && random() % 3 != 0) {
      request.object = 6'000'000 + random() % 30'000;  // one statement per user, rarely requested twice
      request.bytes = 30'000;
    }
    request.keep_rank = keep_ranks.rank(request.object, request.bytes, request.at_s);
    out.push_back(request);
  }
  return out;
}

// The hits and bytes of a trace under one placement policy.
struct PlacementResult {
  double hits = 0.0;
  double fetched_bytes = 0.0;  // over the link, on misses
  double written_bytes = 0.0;  // to the tier
  double requested_bytes = 0.0;
};

// Simulates LRU. On a miss, stores the object if this is at least its request number `from_request` and the
// object is not larger than `max_object_bytes`.
PlacementResult simulate_lru(const Trace& trace, std::uint64_t capacity, int from_request,
                             std::uint32_t max_object_bytes) {
  std::list<std::uint32_t> order;
  std::unordered_map<std::uint32_t, std::pair<std::list<std::uint32_t>::iterator, std::uint32_t>> stored;
  std::unordered_map<std::uint32_t, int> requests;
  std::uint64_t used = 0;
  PlacementResult out;
  for (const TraceRequest& request : trace) {
    out.requested_bytes += request.bytes;
    const auto found = stored.find(request.object);
    if (found != stored.end()) {
      out.hits += 1;
      order.splice(order.begin(), order, found->second.first);
      continue;
    }
    out.fetched_bytes += request.bytes;
    if (++requests[request.object] < from_request || request.bytes > max_object_bytes) {
      continue;
    }
    out.written_bytes += request.bytes;
    order.push_front(request.object);
    stored[request.object] = {order.begin(), request.bytes};
    used += request.bytes;
    while (used > capacity) {
      const std::uint32_t last = order.back();
      used -= stored[last].second;
      stored.erase(last);
      order.pop_back();
    }
  }
  return out;
}

// Simulates Belady's algorithm: keeps the objects that are requested again soonest. For objects of different
// sizes this is close to the optimum, which is NP-hard to compute.
PlacementResult simulate_belady(const Trace& trace, std::uint64_t capacity) {
  // The index of the next request for the same object; at least trace.size() if there is none.
  std::vector<std::size_t> next_request(trace.size());
  std::unordered_map<std::uint32_t, std::size_t> next_use;
  for (std::size_t i = trace.size(); i-- > 0;) {
    const auto found = next_use.find(trace[i].object);
    next_request[i] = found == next_use.end() ? trace.size() * 2 : found->second;
    next_use[trace[i].object] = i;
  }
  std::set<std::pair<std::size_t, std::uint32_t>> by_next_use;
  std::unordered_map<std::uint32_t, std::size_t> stored;
  std::unordered_map<std::uint32_t, std::uint32_t> bytes;
  std::uint64_t used = 0;
  PlacementResult out;
  for (std::size_t i = 0; i < trace.size(); ++i) {
    const TraceRequest& request = trace[i];
    out.requested_bytes += request.bytes;
    const auto found = stored.find(request.object);
    if (found != stored.end()) {
      out.hits += 1;
      by_next_use.erase({found->second, request.object});
      if (next_request[i] < trace.size()) {
        found->second = next_request[i];
        by_next_use.emplace(next_request[i], request.object);
      } else {
        used -= request.bytes;
        stored.erase(found);
      }
      continue;
    }
    out.fetched_bytes += request.bytes;
    if (next_request[i] >= trace.size()) {
      continue;
    }
    stored[request.object] = next_request[i];
    bytes[request.object] = request.bytes;
    by_next_use.emplace(next_request[i], request.object);
    used += request.bytes;
    out.written_bytes += request.bytes;
    while (used > capacity) {
      const auto last = std::prev(by_next_use.end());
      used -= bytes[last->second];
      stored.erase(last->second);
      by_next_use.erase(last);
    }
  }
  return out;
}

// Simulates the placement policy and the eviction set of the store. `bytes_per_s` limits the writes (0: no
// limit).
PlacementResult simulate_placement(const Trace& trace, std::uint64_t capacity, std::int64_t bytes_per_s) {
  Placement::Options options;
  options.tier_bytes = capacity;
  options.write_bytes_per_s = bytes_per_s;
  options.write_burst_bytes = static_cast<std::int64_t>(capacity / 4);
  options.sketch_keys = 20'000;
  Placement placement(options);
  EvictionSet<int> tier;
  std::mt19937 random(1);
  PlacementResult out;
  for (const TraceRequest& request : trace) {
    out.requested_bytes += request.bytes;
    const Key key = make_name(request.object).key;
    const auto now_ms = static_cast<std::int64_t>(request.at_s * 1e3);
    const auto tick = static_cast<Tick>(request.at_s * 10);
    placement.record_request(key);
    const auto slot = tier.find(key);
    if (slot != EvictionSet<int>::kNone) {
      out.hits += 1;
      tier.touch(slot, tick, request.keep_rank);
      continue;
    }
    out.fetched_bytes += request.bytes;
    if (placement.admit(Candidate{key, request.bytes, request.keep_rank, false}, tier.bytes(), now_ms) !=
        PlacementDecision::kAdmit) {
      continue;
    }
    out.written_bytes += request.bytes;
    tier.insert(key, request.bytes, request.keep_rank, tick, 0);
    while (tier.bytes() > capacity) {
      tier.erase(tier.victim(tick, random));
    }
  }
  return out;
}

// Compares placement policies on each kind of trace.
void measure_placement(std::size_t length) {
  constexpr std::uint64_t kCapacityBytes = 200U << 20U;
  std::printf(
      "| trace | policy | hit share | bytes over the link | written a byte served | of the room to the best "
      "|\n"
      "| --- | --- | --- | --- | --- | --- |\n");
  for (const char* kind : {"zipf", "scan", "video", "payout"}) {
    const Trace trace = make_trace(kind, length);
    const PlacementResult lru = simulate_lru(trace, kCapacityBytes, 1, UINT32_MAX);
    const PlacementResult best = simulate_belady(trace, kCapacityBytes);
    const auto print_row = [&](const char* name, const PlacementResult& result) {
      std::printf(
          "| %s | %s | %.3f | %.3f | %.3f | %.2f |\n", kind, name,
          result.hits / static_cast<double>(trace.size()), result.fetched_bytes / result.requested_bytes,
          result.written_bytes / std::max(1.0, result.requested_bytes - result.fetched_bytes),
          (lru.fetched_bytes - result.fetched_bytes) / std::max(1.0, lru.fetched_bytes - best.fetched_bytes));
    };
    print_row("LRU, all admitted", lru);
    print_row("LRU, from the second request", simulate_lru(trace, kCapacityBytes, 2, UINT32_MAX));
    print_row("LRU, up to 200 KB", simulate_lru(trace, kCapacityBytes, 1, 200'000));
    print_row("placement, no write bound", simulate_placement(trace, kCapacityBytes, 0));
    print_row("placement, 1 MB/s", simulate_placement(trace, kCapacityBytes, 1 << 20));
    print_row("offline best (Belady by next use)", best);
  }
}

// Measures commits to the index, a scan of it, and its size on disk and in memory.
void measure_index(const std::string& folder, std::size_t count) {
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  const std::uint64_t before = anonymous_kb();
  const auto index = open_sqlite_index(folder);
  constexpr std::size_t kRowsPerCommit = 100;
  constexpr std::size_t kRowsPerRead = 8'192;
  Clock::time_point start = Clock::now();
  for (std::size_t i = 0; i < count; i += kRowsPerCommit) {
    IndexBatch batch;
    for (std::size_t k = 0; k < kRowsPerCommit; ++k) {
      IndexRow row;
      row.key = make_name(i + k).key;
      row.location.stored = 1;
      batch.put.push_back(row);
    }
    index->commit(batch);
  }
  const double elapsed_s = seconds_since(start);
  const std::size_t commits = count / kRowsPerCommit;
  start = Clock::now();
  std::size_t rows = 0;
  std::optional<Key> after;
  for (;;) {
    const auto rows_read = index->rows(after ? &*after : nullptr, kRowsPerRead);
    rows += rows_read.size();
    if (rows_read.size() < kRowsPerRead) {
      break;
    }
    after = rows_read.back().key;
  }
  std::printf("| %zu rows | %.1f us a commit of %zu | scan %.0f ms | %.0f MB on disk | %llu KB of memory |\n",
              rows, elapsed_s / static_cast<double>(commits) * 1e6, kRowsPerCommit,
              seconds_since(start) * 1e3,
              static_cast<double>(std::filesystem::file_size(folder + "/index.sqlite")) / 1e6,
              static_cast<unsigned long long>(anonymous_kb() - before));
}

int run(int argc, char** argv) {
  if (argc < 3) {
    std::cerr << "storage_bench FOLDER write|read|read-cold|memory|recovery|placement|index [NUMBER]\n";
    return 2;
  }
  const std::string folder = std::string(argv[1]) + "/storage-bench";
  const std::string measurement = argv[2];
  const std::size_t number = argc > 3 ? std::stoull(argv[3]) : 1'000'000;
  if (measurement == "write") {
    measure_writes(folder);
  } else if (measurement == "read" || measurement == "read-cold") {
    measure_reads(folder, measurement == "read-cold");
  } else if (measurement == "memory") {
    measure_memory(folder, number);
  } else if (measurement == "recovery") {
    measure_recovery(folder);
  } else if (measurement == "placement") {
    measure_placement(argc > 3 ? number : 400'000);
  } else if (measurement == "index") {
    measure_index(folder, number);
  } else {
    std::cerr << "unknown measurement '" << measurement << "'\n";
    return 2;
  }
  std::filesystem::remove_all(folder);
  return 0;
}

}  // namespace
}  // namespace trailcourse::store

int main(int argc, char** argv) { return trailcourse::store::run(argc, argv); }
