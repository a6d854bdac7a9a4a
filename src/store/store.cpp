#include "store/store.h"

#include <algorithm>
#include <cerrno>
#include <map>
#include <mutex>
#include <utility>

#include "store/maintenance.h"

namespace trailcourse::store {
namespace {

constexpr std::size_t kRowsPerStep = 8'192;   // of the index, loaded in one iteration of the event loop
constexpr std::size_t kMaxOpenSegments = 24;  // for reading
constexpr std::size_t kWriteBufferBytes = 4U << 20U;
constexpr double kLiveShare = 0.85;  // of the disk; the rest is for segments that are being cleared
constexpr std::int64_t kTickMs = 100;
constexpr const char* kFormatFile = "format";
constexpr std::string_view kFormatContent = "trailcourse store 1\n";
constexpr const char* kClockMark = "clock_ms";

std::uint64_t megabytes(std::int64_t count) { return static_cast<std::uint64_t>(count) << 20U; }

// Limits the segment size in small tiers, since some segments have to be free while one is cleared.
std::uint64_t segment_bytes(const Options& options) {
  return std::min({megabytes(options.segment_mb), megabytes(options.disk_mb) / 8, std::uint64_t{1} << 30U});
}

Placement::Options placement_options(const Options& options) {
  Placement::Options out;
  out.tier_bytes = static_cast<std::uint64_t>(static_cast<double>(megabytes(options.disk_mb)) * kLiveShare);
  out.max_share = options.max_share;
  out.write_bytes_per_s = options.write_kb_per_s * 1'024;
  out.write_burst_bytes = static_cast<std::int64_t>(megabytes(options.write_burst_mb));
  out.sketch_keys = static_cast<std::size_t>(options.expected_objects);
  return out;
}

}  // namespace

std::size_t PartialCopy::missing_bytes() const {
  std::size_t out = 0;
  for (std::size_t i = 0; i < have.size(); ++i) {
    out += have[i] ? 0
                   : part_length(static_cast<std::uint32_t>(bytes.size()), part_bytes,
                                 static_cast<std::uint32_t>(i));
  }
  return out;
}

std::pair<std::size_t, std::size_t> PartialCopy::first_missing_range(std::size_t from) const {
  while (from < have.size() && have[from]) {
    ++from;
  }
  std::size_t end = from;
  while (end < have.size() && !have[end]) {
    ++end;
  }
  const std::size_t begin = std::min(from * part_bytes, bytes.size());
  return {begin, std::min(end * part_bytes, bytes.size()) - begin};
}

// The files of the disk tier, used by jobs in the lanes. Only the write lane uses the index and the active
// segment; the read lane opens segments separately.
struct Store::DiskFiles {
  std::unique_ptr<Directory> directory;
  std::unique_ptr<Index> index;
  SegmentId last_segment = 0;  // the highest ever created
  std::unique_ptr<File> active;
  SegmentId active_id = 0;
  std::uint64_t active_end = 0;
  std::uint64_t segment_bytes = 0;
  bool compress = false;

  std::mutex mutex;
  std::map<SegmentId, std::shared_ptr<File>> open_segments;  // for reading

  std::shared_ptr<File> segment(SegmentId id) {
    {
      const std::lock_guard lock(mutex);
      if (const auto found = open_segments.find(id); found != open_segments.end()) {
        return found->second;
      }
    }
    std::shared_ptr<File> file = directory->open(segment_name(id));
    const std::lock_guard lock(mutex);
    if (open_segments.size() >= kMaxOpenSegments) {
      open_segments.erase(open_segments.begin());
    }
    open_segments.emplace(id, file);
    return file;
  }
  void close_segment(SegmentId id) {
    const std::lock_guard lock(mutex);
    open_segments.erase(id);
  }

  void begin_segment() {
    active_id = ++last_segment;
    active = directory->create(segment_name(active_id));
    active->write(0, encode_segment_head(active_id));
    active_end = kSegmentHeadBytes;
  }

  // Buffers the records of a batch and writes them with few calls. A segment is synced once, after its last
  // record of the batch and before the index refers to any of them: every record that the index refers to
  // survives a loss of power.
  class Appender {
   public:
    Appender(DiskFiles& disk, WriteResult& result) : disk_(disk), result_(result) {}

    // Ensures that a record of at most `bytes` fits; begins a new segment if the active one is full.
    void make_room(std::uint64_t bytes) {
      const bool full = disk_.active && disk_.active_end + buffer_.size() + bytes > disk_.segment_bytes &&
                        disk_.active_end + buffer_.size() > kSegmentHeadBytes;
      if (full) {
        finish();
        seal();
      }
      if (!disk_.active) {
        disk_.begin_segment();
        unsynced_name_ = true;
      }
    }
    // Returns the offset of the next record in the active segment.
    std::uint64_t offset() const { return disk_.active_end + buffer_.size(); }
    // Calls `append`, which has to append one record to the given string. Returns the record's length.
    template <typename Append>
    std::size_t add(Append append) {
      const std::size_t before = buffer_.size();
      append(buffer_);
      const std::size_t added = buffer_.size() - before;
      if (buffer_.size() >= kWriteBufferBytes) {
        write();
      }
      return added;
    }
    // Writes and syncs what is buffered.
    void finish() {
      write();
      if (unsynced_bytes_) {
        disk_.active->sync();
        result_.file_sizes.emplace_back(disk_.active_id, disk_.active_end);
      }
      if (std::exchange(unsynced_name_, false)) {
        disk_.directory->sync_names();
      }
      unsynced_bytes_ = false;
    }
    // Ends the active segment; the next record begins a new one.
    void seal() {
      if (disk_.active) {
        result_.sealed.push_back(disk_.active_id);
        disk_.active.reset();
      }
    }

   private:
    void write() {
      if (!buffer_.empty()) {
        disk_.active->write(disk_.active_end, buffer_);
        disk_.active_end += buffer_.size();
        buffer_.clear();
        unsynced_bytes_ = true;
      }
    }

    DiskFiles& disk_;
    WriteResult& result_;
    std::string buffer_;
    bool unsynced_bytes_ = false;
    bool unsynced_name_ = false;
  };

  // Runs a write and sets its result. Seals the active segment after a failure, since any part of the failed
  // write may be in the file.
  template <typename Work>
  void run_write(WriteResult& result, Work work) {
    Appender appender(*this, result);
    try {
      work(appender);
      result.succeeded = true;
    } catch (const FileError& error) {
      result.disk_full = error.code() == ENOSPC || error.code() == EDQUOT;
      result.error = error.what();
    } catch (const std::exception& error) {
      result.error = error.what();
    }
    if (!result.succeeded) {
      if (active) {
        result.file_sizes.emplace_back(active_id, active_end);
      }
      appender.seal();
      result.rows.clear();
    }
  }

  void write(WriteBatch& batch, WriteResult& result) {
    run_write(result, [&](Appender& appender) {
      for (const PendingRecord& pending : batch.records) {
        const Record& record = pending.head;
        const std::string_view payload =
            pending.value ? std::string_view(*pending.value).substr(pending.from, pending.length) : "";
        appender.make_room(kRecordHeadBytes + record.name.size() + record.tag.size() + payload.size());
        const std::uint64_t offset = appender.offset();
        const std::size_t stored = appender.add(
            [&](std::string& out) { append_record(out, record, payload, active_id, offset, compress); });
        WrittenRecord written;
        written.object = pending.object;
        written.row.key = record.key;
        written.row.rank = record.rank;
        written.row.uses = 1;
        Location& location = written.row.location;
        location.origin_time_ms = record.origin_time_ms;
        location.copy = record.copy;
        location.segment = active_id;
        location.offset = static_cast<std::uint32_t>(offset);
        location.stored = static_cast<std::uint32_t>(stored);
        location.parts =
            record.kind == RecordKind::kManifest ? part_count(record.total_bytes, record.part_bytes) : 0;
        location.group_plus_one = static_cast<std::uint16_t>(record.group + 1);
        location.kind = static_cast<std::uint8_t>(record.kind);
        result.rows.push_back(written);
        batch.index.put.push_back(written.row);
      }
      appender.finish();
      if (!batch.index.empty()) {
        batch.index.marks[kSegmentMark] = last_segment;
        index->commit(batch.index);
      }
      // Files are removed after the commit: before it, a crash could leave an index that refers to them.
      for (const SegmentId id : batch.remove) {
        close_segment(id);
        directory->remove(segment_name(id));
      }
    });
  }

  // Opens the folder and its index. `wipe`: empties the folder first, because the index is damaged. Stores
  // the segments, purges and marks found, or the error, in `recovery`.
  void open(const Storage& storage, bool wipe, Recovery& recovery);
  // Reads the copy that `work` describes, completely or in part, and reports its damaged records.
  void read_copy(const Name& name, CopyRead& work);

  // Reads and checks one record; returns nothing if it is damaged.
  std::optional<Record> read(const Key& key, const Location& location) {
    try {
      std::string bytes = segment(location.segment)->read(location.offset, location.stored);
      std::optional<Record> record = decode_record(std::move(bytes), location.segment, location.offset);
      const bool same = record && record->key == key && record->copy == location.copy &&
                        record->origin_time_ms == location.origin_time_ms;
      return same ? std::move(record) : std::nullopt;
    } catch (const std::exception&) {
      return std::nullopt;
    }
  }

 private:
  void empty_folder();
  // Returns false, and sets the error in `recovery`, if another version or program wrote the folder.
  bool check_format(const std::vector<std::string>& names, Recovery& recovery);
  void write_format();
  // Opens the index. If the index is damaged, empties the folder and begins a new index, since the purges are
  // lost and purged copies could be served. `names` are the folder's files.
  void open_index(const Storage& storage, std::vector<std::string>& names, Recovery& recovery);
  void find_segments(const std::vector<std::string>& names, Recovery& recovery);
  // Reads the stored parts of the copy whose manifest is `first`.
  std::shared_ptr<PartialCopy> read_parts(const Record& first, CopyRead& work);
};

// The state of an open() in progress, shared by its steps on both threads.
struct Store::Recovery {
  bool succeeded = false;
  bool damaged = false;  // the index
  std::string error;
  IndexMarks marks;
  std::vector<PurgeRecord> purges;
  std::map<SegmentId, std::uint64_t> segments;
  std::vector<IndexRow> rows;
  std::optional<Key> after;
};

// A read of one copy in the read lane: the locations of its records, and the result.
struct Store::CopyRead {
  struct Part {
    Key key;
    std::optional<Location> location;  // empty: the part is not stored
  };
  std::vector<Part> parts;
  Location first;  // of the complete copy or of its manifest
  ReadResult result;
  std::vector<std::pair<Key, Location>> damaged;  // records that failed their checks
};

// A segment that is being cleared, and its records that are rewritten to another segment.
struct Store::SegmentMove {
  struct Item {
    Key key;
    Location from;
    std::uint8_t rank = 0;
    std::uint16_t uses = 0;
    std::optional<Location> to;
  };
  bool read = false;
  std::vector<std::pair<Key, std::uint32_t>> records;  // key and offset of each record in the file
  std::vector<Item> items;
  WriteResult result;
};

// ---- Jobs in the lanes ----

void Store::DiskFiles::open(const Storage& storage, bool wipe, Recovery& recovery) {
  try {
    directory = storage.open_directory();
    if (wipe) {
      empty_folder();
    }
    std::vector<std::string> names = directory->list();
    if (!check_format(names, recovery)) {
      return;
    }
    open_index(storage, names, recovery);
    recovery.marks = index->marks();
    find_segments(names, recovery);
    recovery.succeeded = true;
  } catch (const std::exception& error) {
    recovery.error = error.what();
  }
}

void Store::DiskFiles::empty_folder() {
  for (const std::string& name : directory->list()) {
    if (name != kFormatFile) {
      directory->remove(name);
    }
  }
}

bool Store::DiskFiles::check_format(const std::vector<std::string>& names, Recovery& recovery) {
  if (std::find(names.begin(), names.end(), kFormatFile) == names.end()) {
    write_format();
    return true;
  }
  const std::string content = directory->open(kFormatFile)->read(0, 64);
  if (content == kFormatContent) {
    return true;
  }
  recovery.error = "the folder holds another format: '" + content.substr(0, content.find('\n')) +
                   "'; `trailcourse store drop` empties it";
  return false;
}

// Writes the file under another name first: a crash must not leave an empty format file, which would be taken
// for another format.
void Store::DiskFiles::write_format() {
  const std::string next = std::string(kFormatFile) + ".next";
  const std::unique_ptr<File> file = directory->create(next);
  file->write(0, kFormatContent);
  file->sync();
  directory->rename(next, kFormatFile);
  directory->sync_names();
}

void Store::DiskFiles::open_index(const Storage& storage, std::vector<std::string>& names,
                                  Recovery& recovery) {
  try {
    index = storage.index();
    recovery.purges = index->purges();
  } catch (const IndexError& error) {
    if (!error.damaged()) {
      throw;
    }
    recovery.damaged = true;
    recovery.error = error.what();
    index.reset();
    empty_folder();
    names.clear();
    index = storage.index();
    recovery.purges = index->purges();
  }
}

void Store::DiskFiles::find_segments(const std::vector<std::string>& names, Recovery& recovery) {
  for (const std::string& name : names) {
    if (const std::optional<SegmentId> id = segment_of(name)) {
      const std::unique_ptr<File> file = directory->open(name);
      const std::uint64_t size = file->size();
      const bool good = is_segment_head(file->read(0, kSegmentHeadBytes), *id);
      recovery.segments[*id] = good ? size : 0;
      last_segment = std::max(last_segment, *id);
    }
  }
  const auto mark = recovery.marks.find(kSegmentMark);
  if (mark != recovery.marks.end()) {
    last_segment = std::max(last_segment, static_cast<SegmentId>(mark->second));
  }
}

void Store::DiskFiles::read_copy(const Name& name, CopyRead& work) {
  if (work.first.stored == 0) {
    return;
  }
  std::optional<Record> first = read(name.key, work.first);
  if (!first || first->name != name.text) {
    work.damaged.emplace_back(name.key, work.first);
    return;
  }
  if (first->kind == RecordKind::kSingle) {
    work.result.status = ReadStatus::kComplete;
    work.result.copy = Copy{std::move(first->tag), first->origin_time_ms, first->group,
                            std::make_shared<const std::string>(std::move(first->payload))};
    return;
  }
  std::shared_ptr<PartialCopy> partial = read_parts(*first, work);
  if (partial->missing_bytes() > 0) {
    work.result.status = ReadStatus::kPartial;
    work.result.partial = std::move(partial);
  } else if (checksum_of(partial->bytes) == partial->value_sum) {
    work.result.status = ReadStatus::kComplete;
    work.result.copy = Copy{partial->tag, partial->origin_time_ms, partial->group,
                            std::make_shared<const std::string>(std::move(partial->bytes))};
  } else {
    work.damaged.emplace_back(name.key, work.first);
  }
}

std::shared_ptr<PartialCopy> Store::DiskFiles::read_parts(const Record& first, CopyRead& work) {
  auto partial = std::make_shared<PartialCopy>();
  partial->tag = first.tag;
  partial->origin_time_ms = first.origin_time_ms;
  partial->group = first.group;
  partial->part_bytes = first.part_bytes;
  partial->value_sum = first.value_sum;
  partial->copy = first.copy;
  partial->bytes.resize(first.total_bytes);
  partial->have.assign(part_count(first.total_bytes, first.part_bytes), false);
  for (std::uint32_t i = 0; i < partial->have.size() && i < work.parts.size(); ++i) {
    const auto& [key, location] = work.parts[i];
    if (!location) {
      continue;
    }
    const std::optional<Record> part = read(key, *location);
    if (!part || part->kind != RecordKind::kPart || part->part != i ||
        part->payload.size() != part_length(first.total_bytes, first.part_bytes, i)) {
      work.damaged.emplace_back(key, *location);
      continue;
    }
    partial->bytes.replace(std::size_t{i} * first.part_bytes, part->payload.size(), part->payload);
    partial->have[i] = true;
  }
  return partial;
}

// ---- On the event loop's thread ----

Store::Store(const Options& options, Executor& executor, Storage storage, Clock clock, LogCallback log,
             std::uint64_t seed)
    : options_(options),
      executor_(executor),
      storage_(std::move(storage)),
      clock_(std::move(clock)),
      log_(std::move(log)),
      random_(static_cast<std::mt19937::result_type>(seed)),
      unix_clock_(clock_().steady_ms, clock_().unix_ms),
      placement_(placement_options(options)),
      purges_(static_cast<std::size_t>(options.purges)),
      segments_(megabytes(options.disk_mb), 2 * segment_bytes(options)),
      health_(DiskHealth::Options{}),
      memory_(EvictionWeights{}, 1'024),
      disk_(EvictionWeights{}, options.folder.empty() && !storage_.open_directory
                                   ? 64
                                   : static_cast<std::size_t>(options.expected_objects)),
      memory_limit_(megabytes(options.memory_mb)),
      disk_limit_(placement_options(options).tier_bytes),
      next_batch_(std::make_shared<WriteBatch>()) {}

Store::~Store() { *alive_ = false; }

Tick Store::tick() const { return static_cast<Tick>(steady() / kTickMs); }

void Store::open(std::function<void()> opened) {
  on_opened_ = std::move(opened);
  if (!storage_.open_directory) {
    on_opened_();
    return;
  }
  recovering_ = true;
  recovery_begun_ms_ = steady();
  begin_open(false);
}

void Store::begin_open(bool wipe) {
  disk_files_ = std::make_shared<DiskFiles>();
  disk_files_->segment_bytes = segment_bytes(options_);
  disk_files_->compress = options_.compress;
  recovery_ = std::make_shared<Recovery>();
  executor_.run(
      Executor::Lane::kWrite,
      [disk = disk_files_, recovery = recovery_, storage = storage_, wipe] {
        disk->open(storage, wipe, *recovery);
      },
      [this, alive = alive_] {
        if (*alive) {
          on_folder_opened();
        }
      });
}

void Store::on_folder_opened() {
  if (!recovery_->succeeded) {
    disable_disk(recovery_->error);
    return;
  }
  if (recovery_->damaged) {
    log_(true, "the index was damaged, all copies on disk are dropped: " + recovery_->error);
  }
  for (const PurgeRecord& purge : recovery_->purges) {
    purges_.add(purge);
  }
  last_sequence_ = recovery_->marks[kSequenceMark];
  unix_clock_.advance_to(steady(), recovery_->marks[kClockMark]);
  for (const auto& [id, bytes] : recovery_->segments) {
    segments_.set_file_bytes(id, bytes);
    segments_.mark_sealed(id);
  }
  load_rows();
}

void Store::load_rows() {
  executor_.run(
      Executor::Lane::kWrite,
      [disk = disk_files_, recovery = recovery_] {
        try {
          recovery->rows = disk->index->rows(recovery->after ? &*recovery->after : nullptr, kRowsPerStep);
        } catch (const IndexError& error) {
          recovery->succeeded = false;
          recovery->damaged = error.damaged();
          recovery->error = error.what();
        } catch (const std::exception& error) {
          recovery->succeeded = false;
          recovery->damaged = false;
          recovery->error = error.what();
        }
      },
      [this, alive = alive_] {
        if (!*alive) {
          return;
        }
        if (!recovery_->succeeded && recovery_->damaged) {
          log_(true, "the index was damaged, all copies on disk are dropped: " + recovery_->error);
          disk_ = DiskSet(EvictionWeights{}, static_cast<std::size_t>(options_.expected_objects));
          segments_ = SegmentTable(segments_.max_bytes(), 2 * segment_bytes(options_));
          next_batch_ = std::make_shared<WriteBatch>();
          stats_.recovered = 0;
          last_sequence_ = 0;
          begin_open(true);
          return;
        }
        if (!recovery_->succeeded) {
          disable_disk(recovery_->error);
          return;
        }
        add_recovered_rows(recovery_->rows);
        if (recovery_->rows.size() < kRowsPerStep) {
          finish_recovery();
        } else {
          recovery_->after = recovery_->rows.back().key;
          load_rows();
        }
      });
}

void Store::add_recovered_rows(const std::vector<IndexRow>& rows) {
  const Tick now = tick();
  for (const IndexRow& row : rows) {
    const Location& location = row.location;
    const auto segment = recovery_->segments.find(location.segment);
    const bool in_file = location.stored > 0 && segment != recovery_->segments.end() &&
                         std::uint64_t{location.offset} + location.stored <= segment->second;
    if (!in_file) {
      ++(location.stored == 0 ? stats_.damaged_rows : stats_.dropped_at_recovery);
      next_batch_->index.erase.push_back(row.key);
      continue;
    }
    disk_.insert(row.key, location.stored, row.rank, now, location, row.uses);
    segments_.add_live(location.segment, location.stored);
    ++stats_.recovered;
  }
}

void Store::finish_recovery() {
  recovering_ = false;
  stats_.recovery_ms = static_cast<std::uint64_t>(steady() - recovery_begun_ms_);
  health_.enable();
  recovery_.reset();
  log_(false, "disk tier open: " + std::to_string(stats_.recovered) + " records of " +
                  std::to_string(segments_.count()) + " segments in " + std::to_string(stats_.recovery_ms) +
                  " ms, " + std::to_string(stats_.dropped_at_recovery + stats_.damaged_rows) + " dropped");
  evict();
  // Copies that were inserted during recovery are in memory only and are offered to the disk now.
  for (MemorySet::Slot slot = 0; slot < memory_.end(); ++slot) {
    if (memory_.at(slot).occupied) {
      const std::shared_ptr<const NamedCopy> stored = memory_.at(slot).payload;
      insert_on_disk(stored->name, stored->copy, memory_.at(slot).rank, nullptr);
    }
  }
  dispatch();
  on_opened_();
}

// `error` is passed by value because recovery_, which may own it, is destroyed here.
void Store::disable_disk(std::string error) {  // NOLINT(performance-unnecessary-value-param)
  recovering_ = false;
  recovery_.reset();
  health_.disable(error);
  log_(true, "the disk tier is disabled, only memory is used: " + error);
  on_opened_();
  for (const auto& done : std::exchange(flush_callbacks_, {})) {
    done();
  }
}

Store::LookupResult Store::find(const Name& name, int rank) {
  placement_.record_request(name.key);
  LookupResult out;
  if (const auto slot = memory_.find(name.key); slot != MemorySet::kNone) {
    const std::shared_ptr<const NamedCopy> stored = memory_.at(slot).payload;
    const Copy* const copy = &stored->copy;
    if (purges_.allows(name.object, copy->group, copy->origin_time_ms)) {
      memory_.touch(slot, tick(), rank > 0 && rank < kRanks ? rank : memory_.at(slot).rank);
      out.tier = Tier::kMemory;
      out.copy = *copy;
      out.origin_time_ms = copy->origin_time_ms;
      ++stats_.hits_memory;
      // The disk may not have been open when the copy was inserted, or the write budget may have been used
      // up: the copy is offered to the disk again.
      if (rank > 0 && rank < kRanks && disk_.find(name.key) == DiskSet::kNone) {
        insert_on_disk(name, *copy, rank, nullptr);
      }
      return out;
    }
    ++stats_.purged_lookups;
    erase_memory(slot);
  }
  const auto slot = disk_.find(name.key);
  if (slot == DiskSet::kNone) {
    ++stats_.misses;
    return out;
  }
  const Location location = disk_.at(slot).payload;
  const int group = static_cast<int>(location.group_plus_one) - 1;
  if (!purges_.allows(name.object, group, location.origin_time_ms)) {
    ++stats_.purged_lookups;
    erase_disk(slot);
    dispatch();
    return out;
  }
  disk_.touch(slot, tick(), rank > 0 && rank < kRanks ? rank : disk_.at(slot).rank);
  if (!health_.may_read(steady())) {
    ++stats_.reads_shed;
    return out;
  }
  if (reads_in_flight_ >= static_cast<std::size_t>(options_.reads_at_once)) {
    ++stats_.reads_shed;
    return out;
  }
  out.tier = Tier::kDisk;
  out.origin_time_ms = location.origin_time_ms;
  out.copy.origin_time_ms = location.origin_time_ms;
  out.copy.group = group;
  return out;
}

std::uint64_t Store::read(const Name& name, ReadDone done) {
  const std::uint64_t read_id = ++last_read_id_;
  const std::int64_t begun = steady();
  PendingRead& reading = pending_reads_[read_id];
  reading.done = std::move(done);
  reading.begun_ms = begun;
  const auto work = std::make_shared<CopyRead>(locate_records(name));
  ++reads_in_flight_;
  executor_.run(
      Executor::Lane::kRead, [disk = disk_files_, work, name] { disk->read_copy(name, *work); },
      [this, alive = alive_, read_id, begun, work] {
        if (*alive) {
          on_read_done(read_id, steady() - begun, work->result, work->damaged);
        }
      });
  return read_id;
}

// Returns the locations of a copy's records, and counts a use of its parts.
Store::CopyRead Store::locate_records(const Name& name) {
  CopyRead out;
  const auto slot = disk_.find(name.key);
  if (slot == DiskSet::kNone) {
    return out;
  }
  out.first = disk_.at(slot).payload;
  const int rank = disk_.at(slot).rank;
  for (std::uint32_t i = 0; i < out.first.parts; ++i) {
    const Key key = part_key(name.key, out.first.copy, i);
    const auto part = disk_.find(key);
    if (part == DiskSet::kNone) {
      out.parts.push_back({key, std::nullopt});
      continue;
    }
    disk_.touch(part, tick(), rank);
    out.parts.push_back({key, disk_.at(part).payload});
  }
  return out;
}

void Store::on_read_done(std::uint64_t read_id, std::int64_t duration_ms, const ReadResult& result,
                         const std::vector<std::pair<Key, Location>>& damaged) {
  --reads_in_flight_;
  health_.on_read_done(duration_ms, options_.read_patience_ms);
  for (const auto& [key, location] : damaged) {
    ++stats_.read_failures;
    erase_record(key, location);
  }
  if (!damaged.empty()) {
    log_(true, "a damaged record on disk was dropped");
    dispatch();
  }
  const auto found = pending_reads_.find(read_id);
  if (found == pending_reads_.end()) {
    return;
  }
  const ReadDone done = std::move(found->second.done);
  pending_reads_.erase(found);
  stats_.hits_disk += result.status == ReadStatus::kComplete ? 1 : 0;
  done(result);
}

void Store::abandon_read(std::uint64_t read_id, bool late) {
  if (pending_reads_.erase(read_id) > 0 && late) {
    if (health_.state(steady()) != DiskHealth::State::kStalled) {
      log_(true, "a read from disk timed out: copies on disk are misses until a read completes in time");
    }
    health_.on_late_read(steady());
  }
}

void Store::insert(const Name& name, const Copy& copy, int rank) {
  if (rank <= 0 || rank >= kRanks || !copy.bytes || is_purged(name, copy) ||
      name.text.size() > kMaxNameBytes || copy.tag.size() > kMaxTagBytes || copy.size() > UINT32_MAX / 4) {
    return;
  }
  insert_into_memory(name, copy, rank);
  insert_on_disk(name, copy, rank, nullptr);
}

void Store::promote(const Name& name, const Copy& copy, int rank) {
  if (rank > 0 && rank < kRanks && !is_purged(name, copy)) {
    insert_into_memory(name, copy, rank);
  }
}

bool Store::complete(const Name& name, const PartialCopy& partial, const std::vector<bool>& had, int rank) {
  if (checksum_of(partial.bytes) != partial.value_sum) {
    drop(name);
    return false;
  }
  const Copy copy{partial.tag, partial.origin_time_ms, partial.group,
                  std::make_shared<const std::string>(partial.bytes)};
  if (!is_purged(name, copy) && rank > 0 && rank < kRanks) {
    insert_into_memory(name, copy, rank);
    insert_on_disk(name, copy, rank, &had);
  }
  return true;
}

void Store::drop(const Name& name) {
  if (const auto slot = memory_.find(name.key); slot != MemorySet::kNone) {
    erase_memory(slot);
  }
  if (const auto slot = disk_.find(name.key); slot != DiskSet::kNone) {
    erase_disk(slot);
    dispatch();
  }
}

void Store::insert_into_memory(const Name& name, const Copy& copy, int rank) {
  const std::uint64_t bytes = copy.size() + name.text.size() + copy.tag.size();
  if (bytes * 4 > memory_limit_) {
    return;
  }
  const auto old = memory_.find(name.key);
  if (old != MemorySet::kNone && memory_.at(old).payload->copy.origin_time_ms > copy.origin_time_ms) {
    return;
  }
  if (old == MemorySet::kNone && memory_.bytes() + bytes > memory_limit_) {
    const auto victim = memory_.victim(tick(), random_);
    if (victim != MemorySet::kNone && !placement_.admits_to_memory(name.key, rank, memory_.at(victim).uses)) {
      return;
    }
  }
  const auto slot = memory_.insert(name.key, static_cast<std::uint32_t>(bytes), rank, tick(),
                                   std::make_shared<const NamedCopy>(NamedCopy{name, copy}));
  while (memory_.bytes() > memory_limit_) {
    const auto victim = memory_.victim(tick(), random_, slot);
    if (victim == MemorySet::kNone) {
      break;
    }
    ++stats_.evicted_memory;
    erase_memory(victim);
  }
}

// Adds a copy to the next batch if the disk tier admits it. `had`: the parts that are on disk already; null
// if the complete copy is new. Returns whether the copy was added.
bool Store::insert_on_disk(const Name& name, const Copy& copy, int rank, const std::vector<bool>* had) {
  if (recovering_ || !disk_files_ || !health_.may_write(steady())) {
    return false;
  }
  if (std::exchange(disk_was_full_, false)) {
    segments_.restore();
    disk_limit_ = placement_.options().tier_bytes;
  }
  const std::uint64_t id = copy_id(copy.tag, copy.origin_time_ms, copy.size());
  if (is_stored_or_pending(name.key, id, copy.origin_time_ms, had != nullptr)) {
    return false;
  }
  const auto part_bytes = static_cast<std::uint32_t>(options_.part_kb) << 10U;
  const auto total = static_cast<std::uint32_t>(copy.size());
  const bool in_parts = total > part_bytes;
  if (had != nullptr && (!in_parts || had->size() != part_count(total, part_bytes))) {
    return false;
  }
  const std::uint64_t bytes = bytes_to_write(name, copy, in_parts ? part_bytes : 0, had);
  if (next_batch_->bytes + bytes > megabytes(options_.write_queue_mb)) {
    ++stats_.writes_shed;
    return false;
  }
  if (!is_admitted(name.key, bytes, rank)) {
    return false;
  }
  Record head;
  head.kind = in_parts ? RecordKind::kManifest : RecordKind::kSingle;
  head.rank = static_cast<std::uint8_t>(rank);
  head.key = name.key;
  head.copy = id;
  head.origin_time_ms = copy.origin_time_ms;
  head.group = copy.group;
  head.name = name.text;
  head.tag = copy.tag;
  head.total_bytes = total;
  head.part_bytes = in_parts ? part_bytes : 0;
  head.value_sum = checksum_of(*copy.bytes);
  enqueue(name, copy, head, had);
  next_batch_->bytes += bytes;
  next_batch_->names.push_back(name.key);
  pending_copies_[name.key] = id;
  dispatch();
  return true;
}

// Returns whether this copy is being written, or this copy or a later one of the name is on disk.
// `completing`: only missing parts are to be written, so a copy on disk is not considered.
bool Store::is_stored_or_pending(const Key& key, std::uint64_t copy, std::int64_t origin_time_ms,
                                 bool completing) const {
  const auto slot = disk_.find(key);
  if (slot != DiskSet::kNone && !completing) {
    const Location& location = disk_.at(slot).payload;
    if (location.copy == copy || location.origin_time_ms > origin_time_ms) {
      return true;
    }
  }
  const auto writing = pending_copies_.find(key);
  return writing != pending_copies_.end() && writing->second == copy;
}

// Returns the bytes of all records to be written for a copy. `part_bytes` 0: it is written in one record.
std::uint64_t Store::bytes_to_write(const Name& name, const Copy& copy, std::uint32_t part_bytes,
                                    const std::vector<bool>* had) {
  const auto total = static_cast<std::uint32_t>(copy.size());
  const std::uint64_t head = kRecordHeadBytes + name.text.size() + copy.tag.size();
  if (part_bytes == 0) {
    return head + total;
  }
  std::uint64_t out = head;
  for (std::uint32_t i = 0; i < part_count(total, part_bytes); ++i) {
    out += had != nullptr && (*had)[i] ? 0 : kRecordHeadBytes + part_length(total, part_bytes, i);
  }
  return out;
}

bool Store::is_admitted(const Key& key, std::uint64_t bytes, int rank) {
  Candidate candidate;
  candidate.key = key;
  candidate.bytes = bytes;
  candidate.rank = rank;
  candidate.replaces_stored = disk_.find(key) != DiskSet::kNone;
  const PlacementDecision decision = placement_.admit(candidate, disk_.bytes(), steady());
  ++stats_.decisions[static_cast<std::size_t>(decision)];
  return decision == PlacementDecision::kAdmit;
}

// Adds the records of a copy to the next batch. Parts precede their manifest, so that all parts of a manifest
// on disk were written before it. `had`: the parts that are on disk already, together with the manifest; null
// if the complete copy is new.
void Store::enqueue(const Name& name, const Copy& copy, const Record& head, const std::vector<bool>* had) {
  const bool in_parts = head.kind == RecordKind::kManifest;
  Record part = head;
  part.kind = RecordKind::kPart;
  part.name.clear();
  part.tag.clear();
  for (std::uint32_t i = 0; in_parts && i < part_count(head.total_bytes, head.part_bytes); ++i) {
    if (had == nullptr || !(*had)[i]) {
      part.key = part_key(name.key, head.copy, i);
      part.part = i;
      next_batch_->records.push_back(PendingRecord{part, copy.bytes, std::size_t{i} * head.part_bytes,
                                                   part_length(head.total_bytes, head.part_bytes, i),
                                                   name.object});
    }
  }
  if (had == nullptr) {
    next_batch_->records.push_back(
        PendingRecord{head, in_parts ? nullptr : copy.bytes, 0, in_parts ? 0 : copy.size(), name.object});
  }
}

void Store::erase_memory(MemorySet::Slot slot) { memory_.erase(slot); }

void Store::erase_disk(DiskSet::Slot slot) {
  const Key key = disk_.at(slot).key;
  const Location location = disk_.at(slot).payload;
  segments_.remove_live(location.segment, location.stored);
  next_batch_->index.erase.push_back(key);
  disk_.erase(slot);
  erase_parts(key, location);
}

void Store::erase_parts(const Key& value, const Location& manifest) {
  for (std::uint32_t i = 0; i < manifest.parts; ++i) {
    const auto part = disk_.find(part_key(value, manifest.copy, i));
    if (part != DiskSet::kNone) {
      erase_disk(part);
    }
  }
}

// Erases a record if the key still refers to that location.
void Store::erase_record(const Key& key, const Location& location) {
  const auto slot = disk_.find(key);
  if (slot != DiskSet::kNone && disk_.at(slot).payload == location) {
    erase_disk(slot);
  }
}

// Adds a record that is on disk and in the index. Erases it again if it was purged while it was written.
void Store::add_written_record(const WrittenRecord& written) {
  const Location& location = written.row.location;
  segments_.add_live(location.segment, location.stored);
  if (const auto old = disk_.find(written.row.key); old != DiskSet::kNone) {
    const Location before = disk_.at(old).payload;
    segments_.remove_live(before.segment, before.stored);
    if (before.copy != location.copy) {
      erase_parts(written.row.key, before);
    }
  }
  const auto slot = disk_.insert(written.row.key, location.stored, written.row.rank, tick(), location);
  if (!purges_.allows(written.object, static_cast<int>(location.group_plus_one) - 1,
                      location.origin_time_ms)) {
    erase_disk(slot);
  }
}

void Store::evict() {
  while (disk_.bytes() > disk_limit_) {
    const auto victim = disk_.victim(tick(), random_);
    if (victim == DiskSet::kNone) {
      return;
    }
    ++stats_.evicted_disk;
    erase_disk(victim);
  }
}

void Store::clear_pending(const WriteBatch& batch) {
  for (const Key& name : batch.names) {
    pending_copies_.erase(name);
  }
}

// Starts writing the next batch. Only one batch is written at a time; changes made meanwhile are collected in
// the next one, so that under load one sync covers many copies.
void Store::dispatch() {
  if (writing_ || recovering_ || !disk_files_ || !disk_files_->index) {
    return;
  }
  const bool idle = next_batch_->records.empty() && next_batch_->index.empty() && next_batch_->remove.empty();
  if (idle) {
    if (!clearing_) {
      for (const auto& done : std::exchange(flush_callbacks_, {})) {
        done();
      }
    }
    return;
  }
  if (!health_.may_write(steady()) || !segments_.has_room_for(next_batch_->bytes)) {
    stats_.writes_shed += next_batch_->records.size();
    clear_pending(*next_batch_);
    next_batch_->records.clear();
    next_batch_->names.clear();
    next_batch_->bytes = 0;
    if (next_batch_->index.empty() && next_batch_->remove.empty()) {
      clear_next_segment();
      dispatch();
      return;
    }
  }
  writing_ = true;
  const std::shared_ptr<WriteBatch> batch = std::exchange(next_batch_, std::make_shared<WriteBatch>());
  batch->index.marks[kClockMark] = unix_ms();
  auto result = std::make_shared<WriteResult>();
  executor_.run(
      Executor::Lane::kWrite, [disk = disk_files_, batch, result] { disk->write(*batch, *result); },
      [this, alive = alive_, batch, result] {
        if (*alive) {
          on_batch_written(batch, result);
        }
      });
}

void Store::on_batch_written(const std::shared_ptr<WriteBatch>& batch,
                             const std::shared_ptr<WriteResult>& result) {
  writing_ = false;
  clear_pending(*batch);
  for (const auto& [id, bytes] : result->file_sizes) {
    segments_.set_file_bytes(id, bytes);
  }
  for (const SegmentId id : result->sealed) {
    segments_.mark_sealed(id);
  }
  if (result->succeeded) {
    health_.on_write_done();
    ++stats_.commits;
    stats_.written_bytes += batch->bytes;
    for (const SegmentId id : batch->remove) {
      segments_.remove(id);
    }
    for (const WrittenRecord& written : result->rows) {
      add_written_record(written);
    }
    evict();
  } else {
    stats_.writes_shed += batch->records.size();
    if (result->disk_full) {
      // The disk is full: lowers the size limits to the space in use now. The first insert after the write
      // pause restores them, since other programs may have freed space by then.
      disk_was_full_ = true;
      segments_.shrink(segments_.file_bytes());
      disk_limit_ = std::min(
          disk_limit_, static_cast<std::uint64_t>(static_cast<double>(segments_.max_bytes()) * kLiveShare));
      evict();
    }
    log_(true, "a write to disk failed: " + result->error);
    health_.on_write_failed(steady(), result->error);
    // Purges and removals must not be lost: they are retried with the next batch.
    IndexBatch& retried = next_batch_->index;
    retried.erase.insert(retried.erase.end(), batch->index.erase.begin(), batch->index.erase.end());
    retried.add_purges.insert(retried.add_purges.end(), batch->index.add_purges.begin(),
                              batch->index.add_purges.end());
    retried.remove_purges.insert(retried.remove_purges.end(), batch->index.remove_purges.begin(),
                                 batch->index.remove_purges.end());
    for (const auto& [name, value] : batch->index.marks) {
      retried.marks.emplace(name, value);
    }
    next_batch_->remove.insert(next_batch_->remove.end(), batch->remove.begin(), batch->remove.end());
    for (const auto& done : std::exchange(flush_callbacks_, {})) {
      done();
    }
    return;  // dispatch() would retry in a loop here; the next insert or purge retries
  }
  clear_next_segment();
  dispatch();
}

void Store::clear_next_segment() {
  const std::optional<SegmentId> segment =
      clearing_ || !disk_files_ ? std::nullopt : segments_.next_to_clear();
  if (!segment) {
    return;
  }
  clearing_ = true;
  segments_.mark_clearing(*segment);
  auto move = std::make_shared<SegmentMove>();
  if (segments_.all().at(*segment).live == 0) {
    move->read = true;
    on_segment_listed(*segment, move);
    return;
  }
  executor_.run(
      Executor::Lane::kWrite,
      [disk = disk_files_, id = *segment, move] {
        try {
          const std::shared_ptr<File> file = disk->segment(id);
          const std::string bytes = file->read(0, static_cast<std::size_t>(file->size()));
          // After a damaged header the start of the next record is unknown. on_records_moved() finds the
          // later records by their entries and drops them with the segment.
          for (std::uint64_t at = kSegmentHeadBytes; at < bytes.size();) {
            const std::optional<RecordHead> head = decode_head(std::string_view(bytes).substr(at));
            if (!head) {
              break;
            }
            move->records.emplace_back(head->record.key, static_cast<std::uint32_t>(at));
            at += head->size();
          }
          move->read = true;
        } catch (const std::exception& error) {
          move->result.error = error.what();
        }
      },
      [this, alive = alive_, id = *segment, move] {
        if (*alive) {
          on_segment_listed(id, move);
        }
      });
}

void Store::on_segment_listed(SegmentId segment, const std::shared_ptr<SegmentMove>& move) {
  const bool may_write = health_.may_write(steady());
  for (const auto& [key, offset] : move->records) {
    const auto slot = disk_.find(key);
    if (slot == DiskSet::kNone) {
      continue;
    }
    const DiskSet::Entry& entry = disk_.at(slot);
    if (entry.payload.segment != segment || entry.payload.offset != offset) {
      continue;
    }
    const std::uint32_t uses =
        aged_uses(entry.uses, tick() - std::min(tick(), entry.last_used), EvictionWeights{}.half_life);
    if (may_write && segments_.has_room_for(entry.bytes) &&
        placement_.admit_move(entry.bytes, entry.rank, uses, steady())) {
      SegmentMove::Item item;
      item.key = key;
      item.from = entry.payload;
      item.rank = entry.rank;
      item.uses = entry.uses;
      move->items.push_back(item);
    }
  }
  executor_.run(
      Executor::Lane::kWrite,
      [disk = disk_files_, segment, move] {
        if (move->items.empty()) {
          move->result.succeeded = true;
          return;
        }
        disk->run_write(move->result, [&](DiskFiles::Appender& appender) {
          const std::shared_ptr<File> file = disk->segment(segment);
          IndexBatch changes;
          for (SegmentMove::Item& item : move->items) {
            const std::string bytes = file->read(item.from.offset, item.from.stored);
            appender.make_room(bytes.size());
            const std::uint64_t offset = appender.offset();
            const std::optional<std::string> moved_bytes =
                relocate_record(bytes, segment, item.from.offset, disk->active_id, offset);
            if (!moved_bytes) {
              continue;
            }
            appender.add([&moved_bytes](std::string& out) { out += *moved_bytes; });
            item.to = item.from;
            item.to->segment = disk->active_id;
            item.to->offset = static_cast<std::uint32_t>(offset);
            changes.put.push_back(IndexRow{item.key, *item.to, item.rank, item.uses});
          }
          appender.finish();
          changes.marks[kSegmentMark] = disk->last_segment;
          disk->index->commit(changes);
        });
      },
      [this, alive = alive_, segment, move] {
        if (*alive) {
          on_records_moved(segment, move);
        }
      });
}

// Updates the location of each moved record, and drops all other records of the segment.
void Store::on_records_moved(SegmentId segment, const std::shared_ptr<SegmentMove>& move) {
  for (const auto& [id, bytes] : move->result.file_sizes) {
    segments_.set_file_bytes(id, bytes);
  }
  for (const SegmentId id : move->result.sealed) {
    segments_.mark_sealed(id);
  }
  if (!move->result.succeeded) {
    log_(true, "clearing a segment failed: " + move->result.error);
    health_.on_write_failed(steady(), move->result.error);
  }
  for (const SegmentMove::Item& item : move->items) {
    if (!move->result.succeeded || !item.to) {
      continue;
    }
    const auto slot = disk_.find(item.key);
    if (slot != DiskSet::kNone && disk_.at(slot).payload == item.from) {
      segments_.remove_live(item.from.segment, item.from.stored);
      segments_.add_live(item.to->segment, item.to->stored);
      disk_.at(slot).payload = *item.to;
      stats_.moved_bytes += item.to->stored;
    } else {
      // The record was purged, evicted or replaced while it was moved, and the commit of the move has
      // restored its row.
      if (slot == DiskSet::kNone) {
        next_batch_->index.erase.push_back(item.key);
      } else {
        const DiskSet::Entry& entry = disk_.at(slot);
        next_batch_->index.put.push_back(IndexRow{entry.key, entry.payload, entry.rank, entry.uses});
      }
    }
  }
  const auto drop_from_segment = [this, segment](DiskSet::Slot slot) {
    if (disk_.at(slot).occupied && disk_.at(slot).payload.segment == segment) {
      ++stats_.evicted_disk;
      erase_disk(slot);
    }
  };
  for (const auto& [key, offset] : move->records) {
    if (const auto slot = disk_.find(key); slot != DiskSet::kNone) {
      drop_from_segment(slot);
    }
  }
  // Records after a damaged header were not listed. Only if there are such records, all entries of the tier
  // are checked.
  if (segments_.all().at(segment).live > 0) {
    for (DiskSet::Slot slot = 0; slot < disk_.end(); ++slot) {
      drop_from_segment(slot);
    }
  }
  next_batch_->remove.push_back(segment);
  ++stats_.segments_cleared;
  clearing_ = false;
  dispatch();
}

void Store::purge(const std::vector<PurgeRecord>& purges, std::int64_t sequence) {
  for (const PurgeRecord& purge : purges) {
    if (purges_.add(purge)) {
      next_batch_->index.add_purges.push_back(purge);
    }
  }
  for (const PurgeRecord& folded : purges_.drain_folded()) {
    (folded.kind == PurgeRecord::Kind::kAll ? next_batch_->index.add_purges
                                            : next_batch_->index.remove_purges)
        .push_back(folded);
  }
  if (sequence != last_sequence_) {
    last_sequence_ = sequence;
    next_batch_->index.marks[kSequenceMark] = sequence;
  }
  dispatch();
}

void Store::flush(std::function<void()> done) {
  if (!disk_files_ || (!recovering_ && !disk_files_->index)) {
    done();
    return;
  }
  flush_callbacks_.push_back(std::move(done));
  dispatch();
}

Stats Store::stats() const {
  Stats out = stats_;
  out.memory_copies = memory_.size();
  out.memory_bytes = memory_.bytes();
  out.disk_copies = disk_.size();
  out.disk_bytes = disk_.bytes();
  out.file_bytes = segments_.file_bytes();
  out.segments = segments_.count();
  out.purges = purges_.objects();
  return out;
}

}  // namespace trailcourse::store
