// Measures the disk tier: each figure beside its baseline, in one run. A tool, no test: see docs/storage.md.
//
//   storage_bench FOLDER write|read|read-cold|memory|recovery|placement|index [NUMBER]
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

namespace trailcourse::store {
namespace {

using Clock = std::chrono::steady_clock;

double seconds_since(Clock::time_point begun) {
  return std::chrono::duration<double>(Clock::now() - begun).count();
}

// The thread that decides, as a queue: what the pool posts is run by whoever waits.
class Loop {
 public:
  void post(std::function<void()> job) {
    const std::lock_guard lock(mutex_);
    jobs_.push_back(std::move(job));
    more_.notify_one();
  }
  void run_until(const std::function<bool()>& done) {
    while (!done()) {
      std::function<void()> job;
      {
        std::unique_lock lock(mutex_);
        more_.wait(lock, [this] { return !jobs_.empty(); });
        job = std::move(jobs_.front());
        jobs_.pop_front();
      }
      job();
    }
  }

 private:
  std::mutex mutex_;
  std::condition_variable more_;
  std::deque<std::function<void()>> jobs_;
};

struct Rig {
  explicit Rig(const std::string& folder, const Options& options)
      : pool(static_cast<std::size_t>(options.read_threads),
             [this](std::function<void()> job) { loop.post(std::move(job)); }),
        store(
            options, pool,
            Store::Backing{[folder] { return open_folder(folder); },
                           [folder] { return open_sqlite_index(folder); }},
            [] {
              return Store::Now{
                  std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now().time_since_epoch())
                      .count(),
                  1'764'000'000'000};
            },
            [](bool bad, const std::string& what) {
              if (bad) {
                std::cerr << what << '\n';
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

  Loop loop;
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

Name numbered(std::uint64_t number) {
  char item[17];
  std::snprintf(item, sizeof item, "%016llx", static_cast<unsigned long long>(number));
  return Name::of("media", item, "0");
}

std::string noise(std::size_t size, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::string out(size, '\0');
  for (std::size_t i = 0; i + 8 <= size; i += 8) {
    const std::uint64_t word = random();
    std::memcpy(out.data() + i, &word, sizeof word);
  }
  return out;
}

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

void write_bench(const std::string& folder) {
  constexpr std::size_t kCount = 4'000;
  constexpr std::size_t kSize = 100'000;
  std::printf("| round | plain pwrite + fdatasync | store | share |\n| --- | --- | --- | --- |\n");
  std::vector<std::shared_ptr<const std::string>> values;
  values.reserve(64);
  for (std::size_t i = 0; i < 64; ++i) {
    values.push_back(std::make_shared<const std::string>(noise(kSize, i)));
  }
  for (int round = 0; round < 5; ++round) {
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    const int file = ::open((folder + "/plain").c_str(), O_RDWR | O_CREAT | O_TRUNC, 0600);
    Clock::time_point begun = Clock::now();
    std::string batch;
    off_t at = 0;
    // The same bytes in the same batches: 4 MB a write, a sync for each.
    for (std::size_t i = 0; i < kCount; ++i) {
      batch += *values[i % values.size()];
      if (batch.size() >= (4U << 20U) || i + 1 == kCount) {
        at += ::pwrite(file, batch.data(), batch.size(), at);
        ::fdatasync(file);
        batch.clear();
      }
    }
    const double plain = seconds_since(begun);
    ::close(file);
    std::filesystem::remove(folder + "/plain");

    Rig rig(folder + "/store", bench_options(4'096));
    rig.open();
    begun = Clock::now();
    for (std::size_t i = 0; i < kCount; ++i) {
      const Name name = numbered(i);
      rig.store.find(name, 2);
      rig.store.keep(name, Copy{"tag", 1, 3, values[i % values.size()]}, 2);
      // Not faster than the queue takes it: nothing is shed.
      if (i % 100 == 99) {
        rig.loop.run_until([&rig, i] { return rig.store.stats().disk_copies + 300 > i; });
      }
    }
    rig.flush();
    const double ours = seconds_since(begun);
    const double megabytes = kCount * kSize / 1e6;
    std::printf("| %d | %.0f MB/s | %.0f MB/s (%llu shed) | %.2f |\n", round, megabytes / plain,
                megabytes / ours, static_cast<unsigned long long>(rig.store.stats().writes_shed),
                plain / ours);
  }
}

double quantile(std::vector<double>& all, double share) {
  std::sort(all.begin(), all.end());
  return all[std::min(all.size() - 1, static_cast<std::size_t>(share * static_cast<double>(all.size())))];
}

constexpr std::size_t kReadCopies = 4'000;

// Reads of one size of value: by the store, and the same bytes by a plain pread in the same pool.
class ReadComparison {
 public:
  // `cold`: the system's cache is told to forget the bytes before each read, so that they come from the disk.
  ReadComparison(const std::string& folder, std::size_t size, bool cold)
      : folder_(folder), size_(size), cold_(cold), rig_(folder, bench_options(4'096)) {
    rig_.open();
    fill();
    open_segments();
  }

  // Reads in turns, so that what else the machine does falls on both. A plain read is run in the pool too:
  // the way there and back is that of any program that must not block.
  void run() {
    const std::size_t reads = cold_ ? 4'000 : 20'000;
    std::mt19937 random(3);
    for (std::size_t i = 0; i < reads; ++i) {
      read_plainly(rows_[random() % rows_.size()].location);
      read_by_store(numbered(random() % kReadCopies));
    }
  }

  void print() {
    const double plain_99 = quantile(plain_us_, 0.99);
    const double ours_99 = quantile(ours_us_, 0.99);
    std::printf("| %zu bytes | %.0f, %.0f us | %.0f, %.0f us | %.2f |\n", size_, quantile(plain_us_, 0.5),
                plain_99, quantile(ours_us_, 0.5), ours_99, ours_99 / plain_99);
  }

 private:
  void fill() {
    for (std::size_t i = 0; i < kReadCopies; ++i) {
      rig_.store.find(numbered(i), 2);
      rig_.store.keep(numbered(i), Copy{"tag", 1, 3, std::make_shared<const std::string>(noise(size_, i))},
                      2);
      if (i % 50 == 49) {
        rig_.loop.run_until([this, i] { return rig_.store.stats().disk_copies + 100 > i; });
      }
    }
    rig_.flush();
  }

  void open_segments() {
    rows_ = open_sqlite_index(folder_, true)->rows(nullptr, kReadCopies);
    for (const IndexRow& row : rows_) {
      locations_[row.key] = row.location;
      char name[32];
      std::snprintf(name, sizeof name, "/seg-%010u.dat", row.location.segment);
      if (!open_files_.contains(row.location.segment)) {
        open_files_[row.location.segment] = ::open((folder_ + name).c_str(), O_RDONLY);
      }
    }
  }

  void forget_if_cold(const Location& where) {
    if (cold_) {
      ::posix_fadvise(open_files_[where.segment], 0, 0, POSIX_FADV_DONTNEED);
    }
  }

  void read_plainly(const Location& where) {
    bool done = false;
    forget_if_cold(where);
    const Clock::time_point begun = Clock::now();
    rig_.pool.run(
        Executor::Lane::kRead,
        [this, &where] {
          std::string buffer(where.stored, '\0');
          if (::pread(open_files_[where.segment], buffer.data(), buffer.size(), where.offset) < 0) {
            std::perror("pread");
          }
        },
        [&done] { done = true; });
    rig_.loop.run_until([&done] { return done; });
    plain_us_.push_back(seconds_since(begun) * 1e6);
  }

  void read_by_store(const Name& name) {
    bool done = false;
    forget_if_cold(locations_[name.key]);
    const Clock::time_point begun = Clock::now();
    if (rig_.store.find(name, 2).where != Store::Where::kDisk) {
      std::fprintf(stderr, "not on disk\n");
      return;
    }
    rig_.store.read(name, [&done](const ReadResult& result) { done = result.status == ReadStatus::kWhole; });
    rig_.loop.run_until([&done] { return done; });
    ours_us_.push_back(seconds_since(begun) * 1e6);
  }

  std::string folder_;
  std::size_t size_;
  bool cold_;
  Rig rig_;
  std::vector<IndexRow> rows_;
  std::map<SegmentId, int> open_files_;
  std::map<Key, Location> locations_;
  std::vector<double> plain_us_;
  std::vector<double> ours_us_;
};

void read_bench(const std::string& folder, bool cold) {
  std::printf(
      "| value | plain pread p50, p99 | disk hit p50, p99 | p99 ratio |\n| --- | --- | --- | --- |\n");
  for (const std::size_t size : {4'096U, 64U << 10U, 240'000U}) {
    std::filesystem::remove_all(folder);
    ReadComparison comparison(folder, size, cold);
    comparison.run();
    comparison.print();
  }
}

// Records without much payload, so that a million fit; written by the store itself.
void fill_small(Rig& rig, std::size_t count) {
  const auto value = std::make_shared<const std::string>(std::string(32, 'x'));
  for (std::size_t i = 0; i < count; ++i) {
    rig.store.find(numbered(i), 2);
    rig.store.keep(numbered(i), Copy{"t", 1, 3, value}, 2);
    if (i % 20'000 == 19'999) {
      rig.flush();
    }
  }
  rig.flush();
}

void memory_bench(const std::string& folder, std::size_t count) {
  std::filesystem::remove_all(folder);
  Options options = bench_options(4'096);
  options.expected_objects = static_cast<std::int64_t>(count);
  // In another process: what this one had freed would be used again, and not be counted.
  const pid_t child = ::fork();
  if (child == 0) {
    Rig rig(folder, options);
    rig.open();
    fill_small(rig, count);
    ::_exit(0);
  }
  ::waitpid(child, nullptr, 0);
  const std::uint64_t before = anonymous_kb();
  Rig rig(folder, options);
  rig.open();
  const std::uint64_t after = anonymous_kb();
  std::printf(
      "| objects | on disk | memory beside the payload | bytes an object |\n| --- | --- | --- | --- |\n");
  std::printf("| %zu | %llu | %llu KB | %.0f |\n", count,
              static_cast<unsigned long long>(rig.store.stats().disk_copies),
              static_cast<unsigned long long>(after - before),
              static_cast<double>(after - before) * 1024.0 / static_cast<double>(count));
}

void recovery_bench(const std::string& folder) {
  std::printf(
      "| objects | after a clean stop | after SIGKILL | index | bytes |\n| --- | --- | --- | --- | --- |\n");
  for (const std::size_t count : {10'000U, 100'000U, 1'000'000U}) {
    std::filesystem::remove_all(folder);
    const pid_t child = ::fork();
    if (child == 0) {
      Rig rig(folder, bench_options(4'096));
      rig.open();
      fill_small(rig, count);
      ::raise(SIGKILL);
    }
    ::waitpid(child, nullptr, 0);
    double times[2] = {};
    std::uint64_t recovered = 0;
    for (double& took : times) {
      Rig rig(folder, bench_options(4'096));
      const Clock::time_point begun = Clock::now();
      rig.open();
      took = seconds_since(begun);
      recovered = rig.store.stats().recovered;
    }
    std::printf("| %llu | %.0f ms | %.0f ms | %.0f MB | %.0f MB |\n",
                static_cast<unsigned long long>(recovered), times[1] * 1e3, times[0] * 1e3,
                static_cast<double>(std::filesystem::file_size(folder + "/index.sqlite")) / 1e6,
                static_cast<double>(std::filesystem::file_size(folder + "/seg-0000000001.dat")) / 1e6);
  }
}

// ---- Placement on made traces.

struct Ask {
  std::uint32_t object = 0;
  std::uint32_t bytes = 0;
  int rank = 2;
  double at_s = 0.0;
};
using Trace = std::vector<Ask>;

std::uint32_t size_of(std::uint32_t object, std::mt19937& random) {
  static std::unordered_map<std::uint32_t, std::uint32_t> sizes;
  const auto [found, fresh] = sizes.emplace(object, 0);
  if (fresh) {
    // Log-normal: most are small, a few are large.
    std::normal_distribution<double> normal(10.0, 1.2);
    found->second = static_cast<std::uint32_t>(std::clamp(std::exp(normal(random)), 500.0, 4e6));
  }
  return found->second;
}

// Zipf by inversion over a table.
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
    const double at = static_cast<double>(random()) / 4294967296.0 * sums_.back();
    return static_cast<std::size_t>(std::lower_bound(sums_.begin(), sums_.end(), at) - sums_.begin());
  }

 private:
  std::vector<double> sums_;
};

// The rank that the design's routers send: the paper's score of a router's own count and the gap since its
// last request.
class Ranks {
 public:
  int rank(std::uint32_t object, std::uint32_t bytes, double at_s) {
    Seen& seen = seen_[object];
    const double gap = seen.count == 0.0 ? kMostGap : std::min(kMostGap, at_s - seen.at_s);
    seen.count = seen.count * std::pow(0.5, gap / 60.0) + 1.0;
    seen.at_s = at_s;
    const double value = 1.0 / seen.count + 0.9 * bytes / 4e6 + 0.6 * gap / kMostGap;
    return value < 1.2 ? 3 : value < 2.0 ? 2 : 1;
  }

 private:
  static constexpr double kMostGap = 600.0;
  struct Seen {
    double count = 0.0;
    double at_s = 0.0;
  };
  std::unordered_map<std::uint32_t, Seen> seen_;
};

Trace make_trace(const std::string& kind, std::size_t length) {
  std::mt19937 random(static_cast<std::mt19937::result_type>(std::hash<std::string>()(kind)));
  const Zipf zipf(20'000, 0.9);
  Trace out;
  std::uint32_t scanned = 1'000'000;
  Ranks ranks;
  for (std::size_t i = 0; i < length; ++i) {
    Ask ask;
    ask.at_s = static_cast<double>(i) / 200.0;
    const std::size_t place = zipf.draw(random);
    // The popular ones change: every 20,000 requests a tenth of the places has other objects.
    const auto drift = static_cast<std::uint32_t>(i / 20'000 * 2'000);
    ask.object = static_cast<std::uint32_t>(place) + (place % 10 == 3 ? drift * 100 : 0);
    ask.bytes = size_of(ask.object, random);
    if (kind == "scan" && i % 40'000 > 20'000 && random() % 2 == 0) {
      ask.object = ++scanned;  // each asked for once
      ask.bytes = size_of(ask.object, random);
    } else if (kind == "video" && i > length / 2 && random() % 20 == 0) {
      ask.object = 5'000'000 + random() % 40;  // the parts of a new one, each 1 MB
      ask.bytes = 1U << 20U;
    } else if (kind == "payout" && i > length / 2 && i < length * 3 / 4 && random() % 3 != 0) {
      ask.object = 6'000'000 + random() % 30'000;  // each its own statement, seldom twice
      ask.bytes = 30'000;
    }
    ask.rank = ranks.rank(ask.object, ask.bytes, ask.at_s);
    out.push_back(ask);
  }
  return out;
}

struct Result {
  double hits = 0.0;
  double fetched = 0.0;
  double written = 0.0;
  double asked = 0.0;
};

Result lru(const Trace& trace, std::uint64_t room, int from_request, std::uint32_t most_bytes) {
  std::list<std::uint32_t> order;
  std::unordered_map<std::uint32_t, std::pair<std::list<std::uint32_t>::iterator, std::uint32_t>> held;
  std::unordered_map<std::uint32_t, int> seen;
  std::uint64_t used = 0;
  Result out;
  for (const Ask& ask : trace) {
    out.asked += ask.bytes;
    const auto found = held.find(ask.object);
    if (found != held.end()) {
      out.hits += 1;
      order.splice(order.begin(), order, found->second.first);
      continue;
    }
    out.fetched += ask.bytes;
    if (++seen[ask.object] < from_request || ask.bytes > most_bytes) {
      continue;
    }
    out.written += ask.bytes;
    order.push_front(ask.object);
    held[ask.object] = {order.begin(), ask.bytes};
    used += ask.bytes;
    while (used > room) {
      const std::uint32_t last = order.back();
      used -= held[last].second;
      held.erase(last);
      order.pop_back();
    }
  }
  return out;
}

// Keeps what is asked for again soonest; where sizes differ that is near to the best, not the best (which is
// NP-hard).
Result belady(const Trace& trace, std::uint64_t room) {
  std::vector<std::size_t> next(trace.size());
  std::unordered_map<std::uint32_t, std::size_t> later;
  for (std::size_t i = trace.size(); i-- > 0;) {
    const auto found = later.find(trace[i].object);
    next[i] = found == later.end() ? trace.size() * 2 : found->second;
    later[trace[i].object] = i;
  }
  std::set<std::pair<std::size_t, std::uint32_t>> by_next;
  std::unordered_map<std::uint32_t, std::size_t> held;
  std::unordered_map<std::uint32_t, std::uint32_t> bytes;
  std::uint64_t used = 0;
  Result out;
  for (std::size_t i = 0; i < trace.size(); ++i) {
    const Ask& ask = trace[i];
    out.asked += ask.bytes;
    const auto found = held.find(ask.object);
    if (found != held.end()) {
      out.hits += 1;
      by_next.erase({found->second, ask.object});
      if (next[i] < trace.size()) {
        found->second = next[i];
        by_next.emplace(next[i], ask.object);
      } else {
        used -= ask.bytes;
        held.erase(found);
      }
      continue;
    }
    out.fetched += ask.bytes;
    if (next[i] >= trace.size()) {
      continue;
    }
    held[ask.object] = next[i];
    bytes[ask.object] = ask.bytes;
    by_next.emplace(next[i], ask.object);
    used += ask.bytes;
    out.written += ask.bytes;
    while (used > room) {
      const auto last = std::prev(by_next.end());
      used -= bytes[last->second];
      held.erase(last->second);
      by_next.erase(last);
    }
  }
  return out;
}

Result ours(const Trace& trace, std::uint64_t room, std::int64_t bytes_per_s) {
  Placement::Options options;
  options.tier_bytes = room;
  options.write_bytes_per_s = bytes_per_s;
  options.write_burst_bytes = static_cast<std::int64_t>(room / 4);
  options.sketch_keys = 20'000;
  Placement placement(options);
  EvictionSet<int> tier;
  std::mt19937 random(1);
  Result out;
  for (const Ask& ask : trace) {
    out.asked += ask.bytes;
    const Key key = numbered(ask.object).key;
    const auto now_ms = static_cast<std::int64_t>(ask.at_s * 1e3);
    const auto tick = static_cast<Tick>(ask.at_s * 10);
    placement.seen(key);
    const auto slot = tier.find(key);
    if (slot != EvictionSet<int>::kNone) {
      out.hits += 1;
      tier.touch(slot, tick, ask.rank);
      continue;
    }
    out.fetched += ask.bytes;
    if (placement.admit(Candidate{key, ask.bytes, ask.rank, false}, tier.bytes(), now_ms) != Verdict::kKeep) {
      continue;
    }
    out.written += ask.bytes;
    tier.insert(key, ask.bytes, ask.rank, tick, 0);
    while (tier.bytes() > room) {
      tier.erase(tier.victim(tick, random));
    }
  }
  return out;
}

void placement_bench(std::size_t length) {
  constexpr std::uint64_t kRoom = 200U << 20U;
  std::printf(
      "| trace | policy | hit share | bytes over the link | written a byte served | of the room to the best "
      "|\n"
      "| --- | --- | --- | --- | --- | --- |\n");
  for (const char* kind : {"zipf", "scan", "video", "payout"}) {
    const Trace trace = make_trace(kind, length);
    const Result all = lru(trace, kRoom, 1, UINT32_MAX);
    const Result best = belady(trace, kRoom);
    const auto line = [&](const char* name, const Result& one) {
      std::printf("| %s | %s | %.3f | %.3f | %.3f | %.2f |\n", kind, name,
                  one.hits / static_cast<double>(trace.size()), one.fetched / one.asked,
                  one.written / std::max(1.0, one.asked - one.fetched),
                  (all.fetched - one.fetched) / std::max(1.0, all.fetched - best.fetched));
    };
    line("LRU, all admitted", all);
    line("LRU, from the second request", lru(trace, kRoom, 2, UINT32_MAX));
    line("LRU, up to 200 KB", lru(trace, kRoom, 1, 200'000));
    line("placement, no write bound", ours(trace, kRoom, 0));
    line("placement, 1 MB/s", ours(trace, kRoom, 1 << 20));
    line("offline best (Belady by next use)", best);
  }
}

void index_bench(const std::string& folder, std::size_t count) {
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  const std::uint64_t before = anonymous_kb();
  const auto index = open_sqlite_index(folder);
  constexpr std::size_t kBatch = 100;
  Clock::time_point begun = Clock::now();
  for (std::size_t i = 0; i < count; i += kBatch) {
    IndexBatch batch;
    for (std::size_t k = 0; k < kBatch; ++k) {
      IndexRow row;
      row.key = numbered(i + k).key;
      row.location.stored = 1;
      batch.put.push_back(row);
    }
    index->commit(batch);
  }
  const double took = seconds_since(begun);
  const std::size_t commits = count / kBatch;
  begun = Clock::now();
  std::size_t rows = 0;
  std::optional<Key> after;
  for (;;) {
    const auto some = index->rows(after ? &*after : nullptr, 8'192);
    rows += some.size();
    if (some.size() < 8'192) {
      break;
    }
    after = some.back().key;
  }
  std::printf("| %zu rows | %.1f us a commit of %zu | scan %.0f ms | %.0f MB on disk | %llu KB of memory |\n",
              rows, took / static_cast<double>(commits) * 1e6, kBatch, seconds_since(begun) * 1e3,
              static_cast<double>(std::filesystem::file_size(folder + "/index.sqlite")) / 1e6,
              static_cast<unsigned long long>(anonymous_kb() - before));
}

int run(int count, char** words) {
  if (count < 3) {
    std::cerr << "storage_bench FOLDER write|read|read-cold|memory|recovery|placement|index [NUMBER]\n";
    return 2;
  }
  const std::string folder = std::string(words[1]) + "/storage-bench";
  const std::string what = words[2];
  const std::size_t number = count > 3 ? std::stoull(words[3]) : 1'000'000;
  if (what == "write") {
    write_bench(folder);
  } else if (what == "read" || what == "read-cold") {
    read_bench(folder, what == "read-cold");
  } else if (what == "memory") {
    memory_bench(folder, number);
  } else if (what == "recovery") {
    recovery_bench(folder);
  } else if (what == "placement") {
    placement_bench(count > 3 ? number : 400'000);
  } else if (what == "index") {
    index_bench(folder, number);
  } else {
    std::cerr << "no measurement '" << what << "'\n";
    return 2;
  }
  std::filesystem::remove_all(folder);
  return 0;
}

}  // namespace
}  // namespace trailcourse::store

int main(int count, char** words) { return trailcourse::store::run(count, words); }
