// The storage engine of a cache node: a memory tier, a disk tier, their index and its recovery.
//
// Placement, EvictionSet, PurgeTable, SegmentTable and DiskHealth decide, on the event loop's thread, what is
// stored where; this class carries the decisions out. Disk work runs in an Executor. The store returns only
// complete copies, whose records all passed both checksums, and no copy that is purged at that moment.
//
// Library `store`; no sockets. All calls and callbacks are on the event loop's thread.
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

// A copy of which some parts are not stored. The caller fetches the missing parts and writes them
// into `bytes`.
struct PartialCopy {
  std::string tag;
  std::int64_t origin_time_ms = 0;
  int group = kUnknownGroup;
  std::uint32_t part_bytes = 0;
  std::uint64_t value_sum = 0;  // XXH3 of the complete value
  std::string bytes;            // as long as the complete value
  std::vector<bool> have;       // by part
  std::uint64_t copy = 0;       // copy_id()

  std::size_t missing_bytes() const;
  // Returns offset and length, in bytes of the value, of the first run of missing parts at or after part
  // `from`; length 0: no part is missing there.
  std::pair<std::size_t, std::size_t> first_missing_range(std::size_t from = 0) const;
};

// kFailed: the copy is no longer stored, or its records are damaged.
enum class ReadStatus { kComplete, kPartial, kFailed };

struct ReadResult {
  ReadStatus status = ReadStatus::kFailed;
  Copy copy;                             // kComplete
  std::shared_ptr<PartialCopy> partial;  // kPartial
};

// Gauges of the tiers, and counters since the start of this process.
struct Stats {
  std::uint64_t memory_copies = 0, memory_bytes = 0, disk_copies = 0, disk_bytes = 0, file_bytes = 0;
  std::uint64_t segments = 0, purges = 0;
  std::uint64_t hits_memory = 0, hits_disk = 0, misses = 0, purged_lookups = 0, read_failures = 0;
  std::uint64_t reads_shed = 0;
  std::uint64_t written_bytes = 0, moved_bytes = 0, writes_shed = 0, commits = 0, segments_cleared = 0;
  std::uint64_t evicted_memory = 0, evicted_disk = 0;
  std::uint64_t recovered = 0, recovery_ms = 0, dropped_at_recovery = 0, damaged_rows = 0;
  std::uint64_t decisions[5] = {};  // by PlacementDecision
};

// The two tiers of one cache node. The memory tier is empty after construction; open() starts the disk tier.
class Store {
 public:
  // Functions that open the folder and its index, called in the write lane. Empty: there is no disk tier.
  struct Storage {
    std::function<std::unique_ptr<Directory>()> open_directory;
    OpenIndex index;
  };
  struct TimeReading {
    std::int64_t steady_ms = 0;
    std::int64_t unix_ms = 0;  // of the system clock; used only at the start
  };
  using Clock = std::function<TimeReading()>;
  // Receives messages for operators; `warning`: the message reports a fault.
  using LogCallback = std::function<void(bool warning, const std::string& message)>;
  // Where a copy was found; kAbsent: a miss.
  enum class Tier { kAbsent, kMemory, kDisk };
  struct LookupResult {
    Tier tier = Tier::kAbsent;
    Copy copy;  // complete if it is in memory; without tag and bytes if it is on disk
    std::int64_t origin_time_ms = 0;
  };
  using ReadDone = std::function<void(const ReadResult&)>;

  // `executor` has to outlive this object. `seed` is for the random choice of eviction candidates.
  Store(const Options& options, Executor& executor, Storage storage, Clock clock, LogCallback log,
        std::uint64_t seed);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  // Starts the recovery of the folder's content. Calls `opened` when recovery has ended, also if it failed.
  // Until then the disk tier is empty and accepts nothing; the memory tier is in use.
  void open(std::function<void()> opened);
  // Returns whether recovery is in progress.
  bool recovering() const { return recovering_; }

  // Returns the Unix time by which ages are computed; it never goes back.
  std::int64_t unix_ms() const { return unix_clock_.at(clock_().steady_ms); }
  // Reports that a copy of this origin time was received now. Returns false if that time is too far in the
  // future to be correct.
  bool observe_origin_time(std::int64_t origin_time_ms) {
    return unix_clock_.observe_origin_time(clock_().steady_ms, origin_time_ms);
  }

  // Looks a name up for a request of this keep rank, and counts the request. Returns kAbsent also if the disk
  // may not be read now.
  LookupResult find(const Name& name, int rank);

  // Reads a copy that find() located on disk. Calls `done` once, later, unless the read is abandoned. Returns
  // the identifier of the read.
  std::uint64_t read(const Name& name, ReadDone done);
  // Abandons a read, whose `done` is then not called. `late`: the read exceeded its time limit.
  void abandon_read(std::uint64_t read_id, bool late);

  // Stores a complete copy at this keep rank, as far as placement admits it.
  void insert(const Name& name, const Copy& copy, int rank);
  // Adds a copy that was read from disk to the memory tier, as far as placement admits it.
  void promote(const Name& name, const Copy& copy, int rank);
  // Stores the parts of a copy that were missing on disk, after the caller has filled them in. `had`: the
  // parts that were on disk. Returns false and drops the stored parts if the checksum does not match, because
  // the parts then belong to different copies.
  bool complete(const Name& name, const PartialCopy& partial, const std::vector<bool>& had, int rank);
  // Drops the copies of a name.
  void drop(const Name& name);

  // Applies purges. They take effect at once and become durable with the next commit, together with
  // `sequence`, the sequence number of the last discovery event. Purges that a crash loses are received
  // again, since their sequence number is lost with them.
  void purge(const std::vector<PurgeRecord>& purges, std::int64_t sequence);
  // Returns whether a purge applies to the copy.
  bool is_purged(const Name& name, const Copy& copy) const {
    return !purges_.allows(name.object, copy.group, copy.origin_time_ms);
  }
  // Returns the Unix millisecond up to which copies of the name are purged; INT64_MIN if no purge applies.
  std::int64_t purged_until(const Name& name, int group) const {
    return purges_.purged_until(name.object, group);
  }
  // Calls `done` when everything inserted so far is on disk and in the index, or its write has failed.
  void flush(std::function<void()> done);

  // Returns a snapshot of the gauges and counters.
  Stats stats() const;
  DiskHealth::State disk_state() const { return health_.state(clock_().steady_ms); }
  // Returns the latest error of the disk tier; empty if there was none.
  const std::string& disk_error() const { return health_.error(); }

 private:
  struct PendingRecord {  // a record to be written
    Record head;          // without payload
    std::shared_ptr<const std::string> value;
    std::size_t from = 0;
    std::size_t length = 0;
    std::optional<ObjectId> object;
  };
  struct WriteBatch {
    std::vector<PendingRecord> records;
    std::vector<Key> names;  // of the copies that the records belong to
    IndexBatch index;
    std::vector<SegmentId> remove;  // once the index is committed
    std::uint64_t bytes = 0;
  };
  struct WrittenRecord {
    IndexRow row;
    std::optional<ObjectId> object;
  };
  struct WriteResult {
    bool succeeded = false;
    bool disk_full = false;
    std::string error;
    std::vector<WrittenRecord> rows;
    std::vector<std::pair<SegmentId, std::uint64_t>> file_sizes;
    std::vector<SegmentId> sealed;
  };
  struct Recovery;
  struct CopyRead;
  struct DiskFiles;
  using DiskSet = EvictionSet<Location>;
  struct NamedCopy {
    Name name;
    Copy copy;
  };
  using MemorySet = EvictionSet<std::shared_ptr<const NamedCopy>>;
  struct PendingRead {
    ReadDone done;
    std::int64_t begun_ms = 0;
    std::vector<std::pair<Key, Location>> records;
  };
  struct SegmentMove;

  Tick tick() const;
  std::int64_t steady() const { return clock_().steady_ms; }

  // Recovery, in the order of its steps. `wipe`: the index is damaged, so the folder is emptied first.
  void begin_open(bool wipe);
  void on_folder_opened();
  void load_rows();
  void add_recovered_rows(const std::vector<IndexRow>& rows);
  void finish_recovery();
  void disable_disk(std::string error);

  void insert_into_memory(const Name& name, const Copy& copy, int rank);
  bool insert_on_disk(const Name& name, const Copy& copy, int rank, const std::vector<bool>* had);
  bool is_stored_or_pending(const Key& key, std::uint64_t copy, std::int64_t origin_time_ms,
                            bool completing) const;
  static std::uint64_t bytes_to_write(const Name& name, const Copy& copy, std::uint32_t part_bytes,
                                      const std::vector<bool>* had);
  bool is_admitted(const Key& key, std::uint64_t bytes, int rank);
  void enqueue(const Name& name, const Copy& copy, const Record& head, const std::vector<bool>* had);
  CopyRead locate_records(const Name& name);
  void erase_memory(MemorySet::Slot slot);
  void erase_disk(DiskSet::Slot slot);
  void erase_parts(const Key& value, const Location& manifest);
  void erase_record(const Key& key, const Location& location);
  void add_written_record(const WrittenRecord& written);
  void evict();

  void clear_pending(const WriteBatch& batch);
  void dispatch();
  void on_batch_written(const std::shared_ptr<WriteBatch>& batch, const std::shared_ptr<WriteResult>& result);
  // Clearing a segment, in the order of the steps.
  void clear_next_segment();
  void on_segment_listed(SegmentId segment, const std::shared_ptr<SegmentMove>& move);
  void on_records_moved(SegmentId segment, const std::shared_ptr<SegmentMove>& move);
  void on_read_done(std::uint64_t read_id, std::int64_t duration_ms, const ReadResult& result,
                    const std::vector<std::pair<Key, Location>>& damaged);

  Options options_;
  Executor& executor_;
  Storage storage_;
  Clock clock_;
  LogCallback log_;
  std::mt19937 random_;
  UnixClock unix_clock_;
  Placement placement_;
  PurgeTable purges_;
  SegmentTable segments_;
  DiskHealth health_;
  MemorySet memory_;
  DiskSet disk_;
  std::uint64_t memory_limit_;
  std::uint64_t disk_limit_;  // of live records

  std::shared_ptr<DiskFiles> disk_files_;  // used by jobs in the executor's lanes
  std::shared_ptr<WriteBatch> next_batch_;
  bool writing_ = false;
  bool clearing_ = false;
  bool disk_was_full_ = false;  // at the last write
  bool recovering_ = false;
  std::int64_t recovery_begun_ms_ = 0;
  std::function<void()> on_opened_;
  std::shared_ptr<Recovery> recovery_;
  std::int64_t last_sequence_ = 0;
  std::vector<std::function<void()>> flush_callbacks_;
  std::map<Key, std::uint64_t> pending_copies_;  // by name: the copy_id() of the copy being written
  std::unordered_map<std::uint64_t, PendingRead> pending_reads_;
  std::uint64_t last_read_id_ = 0;
  std::size_t reads_in_flight_ = 0;  // queued or running in the read lane, including abandoned ones
  mutable Stats stats_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace trailcourse::store
