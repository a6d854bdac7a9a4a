// The engine of a cache node: a memory tier, a disk tier, their index and its recovery.
//
// What is where is decided on one thread, by Placement, EvictionSet, PurgeTable, SegmentTable and DiskHealth;
// this class carries it out. Disk work runs in an Executor. A copy leaves this class only whole, with both
// sums of each of its records checked, and only where no purge that was told forbids it at that moment.
//
// Package `store`; knows no socket. All calls and callbacks are on the thread that decides.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "store/disk_health.h"
#include "store/eviction_set.h"
#include "store/executor.h"
#include "store/files.h"
#include "store/format.h"
#include "store/index.h"
#include "store/options.h"
#include "store/placement.h"
#include "store/purge_table.h"
#include "store/segment_table.h"
#include "store/unix_clock.h"

namespace trailcourse::store {

// A value of which some parts are held. The holes of `bytes` are to be filled by whoever fetches them.
struct PartialCopy {
  std::string tag;
  std::int64_t t0_ms = 0;
  int group = kUnknownGroup;
  std::uint32_t part_bytes = 0;
  std::uint64_t whole_sum = 0;
  std::string bytes;       // as long as the whole value
  std::vector<bool> have;  // by part
  std::uint64_t copy = 0;

  std::size_t missing_bytes() const;
  // The first run of parts that are missing, from part `from` on: its offset and length; length 0: none.
  std::pair<std::size_t, std::size_t> hole(std::size_t from = 0) const;
};

enum class ReadStatus { kWhole, kPartial, kFailed };

struct ReadResult {
  ReadStatus status = ReadStatus::kFailed;
  Copy copy;                             // kWhole
  std::shared_ptr<PartialCopy> partial;  // kPartial
};

struct Stats {
  std::uint64_t memory_copies = 0, memory_bytes = 0, disk_copies = 0, disk_bytes = 0, file_bytes = 0;
  std::uint64_t segments = 0, purges = 0;
  std::uint64_t hits_memory = 0, hits_disk = 0, absent = 0, forbidden = 0, read_failures = 0, reads_shed = 0;
  std::uint64_t written_bytes = 0, moved_bytes = 0, writes_shed = 0, commits = 0, cleared = 0;
  std::uint64_t evicted_memory = 0, evicted_disk = 0;
  std::uint64_t recovered = 0, recovery_ms = 0, dropped_at_recovery = 0, damaged_rows = 0;
  std::uint64_t verdicts[5] = {};  // by Verdict
};

class Store {
 public:
  // Opens the folder and its index; run in the write lane.
  struct Backing {
    std::function<std::unique_ptr<Files>()> files;
    OpenIndex index;
  };
  struct Now {
    std::int64_t steady_ms = 0;
    std::int64_t unix_ms = 0;  // the system's; read at the start only
  };
  using Clock = std::function<Now()>;
  // Tells operators of what is worth a line; `bad` where they should look.
  using Say = std::function<void(bool bad, const std::string& what)>;
  enum class Where { kAbsent, kMemory, kDisk };
  struct Found {
    Where where = Where::kAbsent;
    Copy copy;  // its bytes are there where it is in memory
    std::int64_t t0_ms = 0;
  };
  using ReadDone = std::function<void(const ReadResult&)>;

  Store(const Options& options, Executor& executor, Backing backing, Clock clock, Say say,
        std::uint64_t seed);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  // Begins to recover what the folder holds; `opened` is called once that is over, whatever came of it. Until
  // then the disk tier holds nothing and takes nothing, and memory serves.
  void open(std::function<void()> opened);
  bool recovering() const { return recovering_; }

  // Unix time for ages; it never goes back.
  std::int64_t unix_ms() const { return clock_unix_.at(clock_().steady_ms); }
  // A copy came now that was given out at `t0_ms`; false where that cannot be.
  bool observe_origin_time(std::int64_t t0_ms) { return clock_unix_.heard(clock_().steady_ms, t0_ms); }

  // Looks a name up for a request at this rank, which counts as asked for.
  Found find(const Name& name, int rank);

  // Reads what find() told to be on disk. `done` is called once, later; its number is given.
  std::uint64_t read(const Name& name, ReadDone done);
  // That read is overdue, and nobody waits for it any more: `done` will not be called.
  void abandon_read(std::uint64_t number, bool late);

  // Keeps a copy that is whole, at this rank, as far as placement allows.
  void keep(const Name& name, const Copy& copy, int rank);
  // A copy that was read from disk goes to memory, as far as placement allows.
  void warm(const Name& name, const Copy& copy, int rank);
  // Keeps the parts of a copy that were missing on disk, once it is whole. False where its sum does not
  // match: then the parts held are not of one copy, and are dropped.
  bool complete(const Name& name, const PartialCopy& partial, const std::vector<bool>& had, int rank);
  // Drops what is held under a name.
  void drop(const Name& name);

  // Takes purges in; they bind at once, and are durable with the next commit together with `heard`, the
  // number of the last event of the notice board. What is not durable is told again after a crash, since
  // `heard` is not either.
  void purge(const std::vector<PurgeRecord>& purges, std::int64_t heard);
  // Whether a purge that was told forbids such a copy.
  bool forbidden(const Name& name, const Copy& copy) const {
    return !ledger_.allows(name.object, copy.group, copy.t0_ms);
  }
  std::int64_t purged_until(const Name& name, int group) const {
    return ledger_.purged_until(name.object, group);
  }
  // Calls back once everything kept so far is on disk and in the index, or given up.
  void flush(std::function<void()> done);

  Stats stats() const;
  DiskHealth::State disk_state() const { return health_.state(clock_().steady_ms); }
  const std::string& disk_error() const { return health_.why(); }

 private:
  struct Pending {  // a record to be written
    Record head;    // without payload
    std::shared_ptr<const std::string> value;
    std::size_t from = 0;
    std::size_t length = 0;
    std::optional<ObjectId> object;
  };
  struct Batch {
    std::vector<Pending> records;
    std::vector<Key> names;  // of the copies that the records make up
    IndexBatch index;
    std::vector<SegmentId> remove;
    std::uint64_t bytes = 0;
  };
  struct Written {
    IndexRow row;
    std::optional<ObjectId> object;
  };
  struct Outcome {
    bool good = false;
    bool full = false;
    std::string why;
    std::vector<Written> rows;
    std::vector<std::pair<SegmentId, std::uint64_t>> grown;
    std::vector<SegmentId> sealed;
  };
  struct Opening;
  struct ReadWork;
  struct Disk;
  using DiskSet = EvictionSet<Location>;
  struct Named {
    Name name;
    Copy copy;
  };
  using MemorySet = EvictionSet<std::shared_ptr<const Named>>;
  struct Reading {
    ReadDone done;
    std::int64_t begun_ms = 0;
    std::vector<std::pair<Key, Location>> of;
  };
  struct Moving;

  Tick tick() const;
  std::int64_t steady() const { return clock_().steady_ms; }

  void begin_open(bool wipe);
  void folder_opened();
  void load_rows();
  void took_rows(const std::vector<IndexRow>& rows);
  void recovered();
  void unusable(std::string why);

  void into_memory(const Name& name, const Copy& copy, int rank);
  bool to_disk(const Name& name, const Copy& copy, int rank, const std::vector<bool>* had);
  bool is_held_or_written(const Key& key, std::uint64_t copy, std::int64_t t0_ms, bool completing) const;
  static std::uint64_t bytes_to_write(const Name& name, const Copy& copy, std::uint32_t part_bytes,
                                      const std::vector<bool>* had);
  bool is_admitted(const Key& key, std::uint64_t bytes, int rank);
  void enqueue(const Name& name, const Copy& copy, const Record& head, const std::vector<bool>* had);
  ReadWork records_of(const Name& name);
  void erase_memory(MemorySet::Slot slot);
  void erase_disk(DiskSet::Slot slot);
  void erase_parts(const Key& whole, const Location& manifest);
  void erase_at(const Key& key, const Location& location);
  void place(const Written& written);
  void evict();

  void written_or_not(const Batch& batch);
  void dispatch();
  void finished(const std::shared_ptr<Batch>& batch, const std::shared_ptr<Outcome>& outcome);
  void clear_one();
  void listed(SegmentId segment, const std::shared_ptr<Moving>& moving);
  void moved(SegmentId segment, const std::shared_ptr<Moving>& moving);
  void read_back(std::uint64_t number, std::int64_t took_ms, const ReadResult& result,
                 const std::vector<std::pair<Key, Location>>& bad);

  Options options_;
  Executor& executor_;
  Backing backing_;
  Clock clock_;
  Say say_;
  std::mt19937 random_;
  UnixClock clock_unix_;
  Placement placement_;
  PurgeTable ledger_;
  SegmentTable book_;
  DiskHealth health_;
  MemorySet memory_;
  DiskSet disk_;
  std::uint64_t memory_limit_;
  std::uint64_t disk_limit_;  // of live records

  std::shared_ptr<Disk> on_disk_;  // used in the lanes
  std::shared_ptr<Batch> next_;
  bool writing_ = false;
  bool clearing_ = false;
  bool shrunk_ = false;  // the disk was full at the last write
  bool recovering_ = false;
  std::int64_t opened_ms_ = 0;
  std::function<void()> opened_;
  std::shared_ptr<Opening> opening_;
  std::int64_t heard_ = 0;
  std::vector<std::function<void()>> flushing_;
  std::map<Key, std::uint64_t> being_written_;  // names, and which copy of each
  std::unordered_map<std::uint64_t, Reading> readings_;
  std::uint64_t last_read_ = 0;
  std::size_t reads_out_ = 0;  // in the lane, given up or not
  mutable Stats stats_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace trailcourse::store
