#include "store/store.h"

#include <algorithm>
#include <cerrno>
#include <map>
#include <mutex>
#include <utility>

#include "store/maintenance.h"

namespace trailcourse::store {
namespace {

constexpr std::size_t kRowsAtOnce = 8'192;  // of the index, taken in between two turns of the loop
constexpr std::size_t kSegmentsOpen = 24;   // for reading
constexpr std::size_t kWriteAtOnce = 4U << 20U;
constexpr double kLiveShare = 0.85;  // of the disk; the rest is for segments that are being cleared
constexpr const char* kFormatFile = "format";
constexpr std::string_view kFormatWords = "trailcourse store 1\n";
constexpr const char* kClockMark = "clock_ms";

std::uint64_t megabytes(std::int64_t count) { return static_cast<std::uint64_t>(count) << 20U; }

// Small tiers have small segments: some must be free while one is cleared.
std::uint64_t segment_bytes(const Options& options) {
  return std::min({megabytes(options.segment_mb), megabytes(options.disk_mb) / 8, std::uint64_t{1} << 30U});
}

Placement::Options placement_options(const Options& options) {
  Placement::Options out;
  out.tier_bytes = static_cast<std::uint64_t>(static_cast<double>(megabytes(options.disk_mb)) * kLiveShare);
  out.most_share = options.most_share;
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

std::pair<std::size_t, std::size_t> PartialCopy::hole(std::size_t from) const {
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

// What the lanes work on. The write lane alone uses the index and the open segment; readers open segments of
// their own.
struct Store::Disk {
  std::unique_ptr<Files> files;
  std::unique_ptr<Index> index;
  SegmentId last = 0;
  std::unique_ptr<File> active;
  SegmentId active_id = 0;
  std::uint64_t active_end = 0;
  std::uint64_t segment_bytes = 0;
  bool compress = false;

  std::mutex mutex;
  std::map<SegmentId, std::shared_ptr<File>> reading;

  std::shared_ptr<File> segment(SegmentId id) {
    {
      const std::lock_guard lock(mutex);
      if (const auto found = reading.find(id); found != reading.end()) {
        return found->second;
      }
    }
    std::shared_ptr<File> file = files->open(segment_name(id));
    const std::lock_guard lock(mutex);
    if (reading.size() >= kSegmentsOpen) {
      reading.erase(reading.begin());
    }
    reading.emplace(id, file);
    return file;
  }
  void forget(SegmentId id) {
    const std::lock_guard lock(mutex);
    reading.erase(id);
  }

  void begin_segment() {
    active_id = ++last;
    active = files->create(segment_name(active_id));
    active->write(0, encode_segment_head(active_id));
    active_end = kSegmentHeadBytes;
  }

  // Gathers records for one segment and writes them with few calls. A segment is synced once, when its last
  // record of a batch is written and before the index names any of them: what the index names is there after
  // a loss of power.
  class Appender {
   public:
    Appender(Disk& disk, Outcome& outcome) : disk_(disk), outcome_(outcome) {}

    // Where the next record of at most so many bytes will stand.
    void make_room(std::uint64_t bytes) {
      const bool full = disk_.active && disk_.active_end + buffer_.size() + bytes > disk_.segment_bytes &&
                        disk_.active_end + buffer_.size() > kSegmentHeadBytes;
      if (full) {
        finish();
        seal();
      }
      if (!disk_.active) {
        disk_.begin_segment();
        new_name_ = true;
      }
    }
    std::uint64_t offset() const { return disk_.active_end + buffer_.size(); }
    // `append` adds one record to the end of a string; its length is given.
    template <typename Append>
    std::size_t add(Append append) {
      const std::size_t before = buffer_.size();
      append(buffer_);
      const std::size_t added = buffer_.size() - before;
      if (buffer_.size() >= kWriteAtOnce) {
        write();
      }
      return added;
    }
    void finish() {
      write();
      if (touched_) {
        disk_.active->sync();
        outcome_.grown.emplace_back(disk_.active_id, disk_.active_end);
      }
      if (std::exchange(new_name_, false)) {
        disk_.files->sync_names();
      }
      touched_ = false;
    }
    void seal() {
      if (disk_.active) {
        outcome_.sealed.push_back(disk_.active_id);
        disk_.active.reset();
      }
    }

   private:
    void write() {
      if (!buffer_.empty()) {
        disk_.active->write(disk_.active_end, buffer_);
        disk_.active_end += buffer_.size();
        buffer_.clear();
        touched_ = true;
      }
    }

    Disk& disk_;
    Outcome& outcome_;
    std::string buffer_;
    bool touched_ = false;
    bool new_name_ = false;
  };

  // A write that failed may have left any part of itself behind: that segment takes no more.
  template <typename Work>
  void guarded(Outcome& outcome, Work work) {
    Appender appender(*this, outcome);
    try {
      work(appender);
      outcome.good = true;
    } catch (const FileError& error) {
      outcome.full = error.code() == ENOSPC || error.code() == EDQUOT;
      outcome.why = error.what();
    } catch (const std::exception& error) {
      outcome.why = error.what();
    }
    if (!outcome.good) {
      if (active) {
        outcome.grown.emplace_back(active_id, active_end);
      }
      appender.seal();
      outcome.rows.clear();
    }
  }

  void write(Batch& batch, Outcome& outcome) {
    guarded(outcome, [&](Appender& appender) {
      for (const Pending& pending : batch.records) {
        const Record& record = pending.head;
        const std::string_view payload =
            pending.value ? std::string_view(*pending.value).substr(pending.from, pending.length) : "";
        appender.make_room(kRecordHeadBytes + record.name.size() + record.tag.size() + payload.size());
        const std::uint64_t offset = appender.offset();
        const std::size_t stored = appender.add(
            [&](std::string& out) { append_record(out, record, payload, active_id, offset, compress); });
        Written written;
        written.object = pending.object;
        written.row.key = record.key;
        written.row.rank = record.rank;
        written.row.uses = 1;
        Location& where = written.row.location;
        where.t0_ms = record.t0_ms;
        where.copy = record.copy;
        where.segment = active_id;
        where.offset = static_cast<std::uint32_t>(offset);
        where.stored = static_cast<std::uint32_t>(stored);
        where.parts =
            record.kind == RecordKind::kManifest ? part_count(record.total_bytes, record.part_bytes) : 0;
        where.group = static_cast<std::uint16_t>(record.group + 1);
        where.kind = static_cast<std::uint8_t>(record.kind);
        outcome.rows.push_back(written);
        batch.index.put.push_back(written.row);
      }
      appender.finish();
      if (!batch.index.empty()) {
        batch.index.marks[kSegmentMark] = last;
        index->commit(batch.index);
      }
      // Only now: before, the index could still have named them after a crash.
      for (const SegmentId id : batch.remove) {
        forget(id);
        files->remove(segment_name(id));
      }
    });
  }

  // Opens the folder and its index. `wipe`: the index proved damaged, so nothing that stands in the folder is
  // of use. What was found, or why the folder cannot be used, is left in `opening`.
  void open(const Backing& backing, bool wipe, Opening& opening);
  // The copy that `work` names, whole or in part, with the records that are not as they were written.
  void read_copy(const Name& name, ReadWork& work);

  // One record, checked; nothing where it is not as it was written.
  std::optional<Record> read(const Key& key, const Location& where) {
    try {
      std::string bytes = segment(where.segment)->read(where.offset, where.stored);
      std::optional<Record> record = decode_record(std::move(bytes), where.segment, where.offset);
      const bool same =
          record && record->key == key && record->copy == where.copy && record->t0_ms == where.t0_ms;
      return same ? std::move(record) : std::nullopt;
    } catch (const std::exception&) {
      return std::nullopt;
    }
  }

 private:
  void empty_folder();
  // False, with the reason in `opening`, where another version or program wrote the folder.
  bool check_format(const std::vector<std::string>& names, Opening& opening);
  void write_format();
  // Opens the index, and begins an empty folder where the index is damaged: without it nothing says which
  // copies are purged. `names` are the folder's files.
  void open_index(const Backing& backing, std::vector<std::string>& names, Opening& opening);
  void find_segments(const std::vector<std::string>& names, Opening& opening);
  // The parts that are held of the copy whose manifest is `first`.
  std::shared_ptr<PartialCopy> read_parts(const Record& first, ReadWork& work);
};

struct Store::Opening {
  bool good = false;
  bool damaged = false;
  std::string why;
  IndexMarks marks;
  std::vector<PurgeRecord> purges;
  std::map<SegmentId, std::uint64_t> segments;
  std::vector<IndexRow> rows;
  std::optional<Key> after;
};

// A copy that is read in the lane: where its records stand, and what came of it.
struct Store::ReadWork {
  struct Part {
    Key key;
    std::optional<Location> location;  // nothing: it is not held
  };
  std::vector<Part> parts;
  Location first;  // of the whole copy or of its manifest
  ReadResult result;
  std::vector<std::pair<Key, Location>> bad;  // records that are not as they were written
};

// One segment being cleared: what of it is written anew.
struct Store::Moving {
  struct Item {
    Key key;
    Location from;
    std::uint8_t rank = 0;
    std::uint16_t uses = 0;
    std::optional<Location> to;
  };
  bool read = false;
  std::vector<std::pair<Key, std::uint32_t>> records;  // as they stand in the file
  std::vector<Item> items;
  Outcome outcome;
};

// ---- In the lanes ----

void Store::Disk::open(const Backing& backing, bool wipe, Opening& opening) {
  try {
    files = backing.files();
    if (wipe) {
      empty_folder();
    }
    std::vector<std::string> names = files->list();
    if (!check_format(names, opening)) {
      return;
    }
    open_index(backing, names, opening);
    opening.marks = index->marks();
    find_segments(names, opening);
    opening.good = true;
  } catch (const std::exception& error) {
    opening.why = error.what();
  }
}

void Store::Disk::empty_folder() {
  for (const std::string& name : files->list()) {
    if (name != kFormatFile) {
      files->remove(name);
    }
  }
}

bool Store::Disk::check_format(const std::vector<std::string>& names, Opening& opening) {
  if (std::find(names.begin(), names.end(), kFormatFile) == names.end()) {
    write_format();
    return true;
  }
  const std::string words = files->open(kFormatFile)->read(0, 64);
  if (words == kFormatWords) {
    return true;
  }
  opening.why = "the folder holds another format: '" + words.substr(0, words.find('\n')) +
                "'; `trailcourse store drop` empties it";
  return false;
}

// Under another name at first: a crash must not leave an empty file, which would be another format.
void Store::Disk::write_format() {
  const std::string next = std::string(kFormatFile) + ".next";
  const std::unique_ptr<File> file = files->create(next);
  file->write(0, kFormatWords);
  file->sync();
  files->rename(next, kFormatFile);
  files->sync_names();
}

void Store::Disk::open_index(const Backing& backing, std::vector<std::string>& names, Opening& opening) {
  try {
    index = backing.index();
    opening.purges = index->purges();
  } catch (const IndexError& error) {
    if (!error.damaged()) {
      throw;
    }
    opening.damaged = true;
    opening.why = error.what();
    index.reset();
    empty_folder();
    names.clear();
    index = backing.index();
    opening.purges = index->purges();
  }
}

void Store::Disk::find_segments(const std::vector<std::string>& names, Opening& opening) {
  for (const std::string& name : names) {
    if (const std::optional<SegmentId> id = segment_of(name)) {
      const std::unique_ptr<File> file = files->open(name);
      const std::uint64_t size = file->size();
      const bool good = good_segment_head(file->read(0, kSegmentHeadBytes), *id);
      opening.segments[*id] = good ? size : 0;
      last = std::max(last, *id);
    }
  }
  const auto mark = opening.marks.find(kSegmentMark);
  if (mark != opening.marks.end()) {
    last = std::max(last, static_cast<SegmentId>(mark->second));
  }
}

void Store::Disk::read_copy(const Name& name, ReadWork& work) {
  if (work.first.stored == 0) {
    return;
  }
  std::optional<Record> first = read(name.key, work.first);
  if (!first || first->name != name.text) {
    work.bad.emplace_back(name.key, work.first);
    return;
  }
  if (first->kind == RecordKind::kWhole) {
    work.result.status = ReadStatus::kWhole;
    work.result.copy = Copy{std::move(first->tag), first->t0_ms, first->group,
                            std::make_shared<const std::string>(std::move(first->payload))};
    return;
  }
  std::shared_ptr<PartialCopy> partial = read_parts(*first, work);
  if (partial->missing_bytes() > 0) {
    work.result.status = ReadStatus::kPartial;
    work.result.partial = std::move(partial);
  } else if (sum_of(partial->bytes) == partial->whole_sum) {
    work.result.status = ReadStatus::kWhole;
    work.result.copy = Copy{partial->tag, partial->t0_ms, partial->group,
                            std::make_shared<const std::string>(std::move(partial->bytes))};
  } else {
    work.bad.emplace_back(name.key, work.first);
  }
}

std::shared_ptr<PartialCopy> Store::Disk::read_parts(const Record& first, ReadWork& work) {
  auto partial = std::make_shared<PartialCopy>();
  partial->tag = first.tag;
  partial->t0_ms = first.t0_ms;
  partial->group = first.group;
  partial->part_bytes = first.part_bytes;
  partial->whole_sum = first.whole_sum;
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
      work.bad.emplace_back(key, *location);
      continue;
    }
    partial->bytes.replace(std::size_t{i} * first.part_bytes, part->payload.size(), part->payload);
    partial->have[i] = true;
  }
  return partial;
}

// ---- On the thread that decides ----

Store::Store(const Options& options, Executor& executor, Backing backing, Clock clock, Say say,
             std::uint64_t seed)
    : options_(options),
      executor_(executor),
      backing_(std::move(backing)),
      clock_(std::move(clock)),
      say_(std::move(say)),
      random_(static_cast<std::mt19937::result_type>(seed)),
      clock_unix_(clock_().steady_ms, clock_().unix_ms),
      placement_(placement_options(options)),
      ledger_(static_cast<std::size_t>(options.purges)),
      book_(megabytes(options.disk_mb), 2 * segment_bytes(options)),
      health_(DiskHealth::Options{}),
      memory_(KeepWeights{}, 1'024),
      disk_(KeepWeights{}, options.folder.empty() && !backing_.files
                               ? 64
                               : static_cast<std::size_t>(options.expected_objects)),
      memory_limit_(megabytes(options.memory_mb)),
      disk_limit_(placement_options(options).tier_bytes),
      next_(std::make_shared<Batch>()) {}

Store::~Store() { *alive_ = false; }

Tick Store::tick() const { return static_cast<Tick>(steady() / 100); }

void Store::open(std::function<void()> opened) {
  opened_ = std::move(opened);
  if (!backing_.files) {
    opened_();
    return;
  }
  recovering_ = true;
  opened_ms_ = steady();
  begin_open(false);
}

// `wipe`: the index proved damaged; nothing that stands in the folder is of use.
void Store::begin_open(bool wipe) {
  on_disk_ = std::make_shared<Disk>();
  on_disk_->segment_bytes = segment_bytes(options_);
  on_disk_->compress = options_.compress;
  opening_ = std::make_shared<Opening>();
  executor_.run(
      Executor::Lane::kWrite,
      [disk = on_disk_, opening = opening_, backing = backing_, wipe] {
        disk->open(backing, wipe, *opening);
      },
      [this, alive = alive_] {
        if (*alive) {
          folder_opened();
        }
      });
}

void Store::folder_opened() {
  if (!opening_->good) {
    unusable(opening_->why);
    return;
  }
  if (opening_->damaged) {
    say_(true, "the index was damaged, all copies on disk are dropped: " + opening_->why);
  }
  for (const PurgeRecord& purge : opening_->purges) {
    ledger_.add(purge);
  }
  heard_ = opening_->marks[kHeardMark];
  clock_unix_.not_before(steady(), opening_->marks[kClockMark]);
  for (const auto& [id, bytes] : opening_->segments) {
    book_.grown(id, bytes);
    book_.sealed(id);
  }
  load_rows();
}

void Store::load_rows() {
  executor_.run(
      Executor::Lane::kWrite,
      [disk = on_disk_, opening = opening_] {
        try {
          opening->rows = disk->index->rows(opening->after ? &*opening->after : nullptr, kRowsAtOnce);
        } catch (const IndexError& error) {
          opening->good = false;
          opening->damaged = error.damaged();
          opening->why = error.what();
        } catch (const std::exception& error) {
          opening->good = false;
          opening->damaged = false;
          opening->why = error.what();
        }
      },
      [this, alive = alive_] {
        if (!*alive) {
          return;
        }
        if (!opening_->good && opening_->damaged) {
          say_(true, "the index was damaged, all copies on disk are dropped: " + opening_->why);
          disk_ = DiskSet(KeepWeights{}, static_cast<std::size_t>(options_.expected_objects));
          book_ = SegmentTable(book_.most(), 2 * segment_bytes(options_));
          next_ = std::make_shared<Batch>();
          stats_.recovered = 0;
          heard_ = 0;
          begin_open(true);
          return;
        }
        if (!opening_->good) {
          unusable(opening_->why);
          return;
        }
        took_rows(opening_->rows);
        if (opening_->rows.size() < kRowsAtOnce) {
          recovered();
        } else {
          opening_->after = opening_->rows.back().key;
          load_rows();
        }
      });
}

void Store::took_rows(const std::vector<IndexRow>& rows) {
  const Tick now = tick();
  for (const IndexRow& row : rows) {
    const Location& where = row.location;
    const auto segment = opening_->segments.find(where.segment);
    const bool there = where.stored > 0 && segment != opening_->segments.end() &&
                       std::uint64_t{where.offset} + where.stored <= segment->second;
    if (!there) {
      ++(where.stored == 0 ? stats_.damaged_rows : stats_.dropped_at_recovery);
      next_->index.erase.push_back(row.key);
      continue;
    }
    disk_.insert(row.key, where.stored, row.rank, now, where, row.uses);
    book_.live_added(where.segment, where.stored);
    ++stats_.recovered;
  }
}

void Store::recovered() {
  recovering_ = false;
  stats_.recovery_ms = static_cast<std::uint64_t>(steady() - opened_ms_);
  health_.opened();
  opening_.reset();
  say_(false, "disk tier open: " + std::to_string(stats_.recovered) + " records of " +
                  std::to_string(book_.count()) + " segments in " + std::to_string(stats_.recovery_ms) +
                  " ms, " + std::to_string(stats_.dropped_at_recovery + stats_.damaged_rows) + " dropped");
  evict();
  // What came while the disk was not open yet is offered to it now.
  for (MemorySet::Slot slot = 0; slot < memory_.end(); ++slot) {
    if (memory_.at(slot).held) {
      const std::shared_ptr<const Named> held = memory_.at(slot).payload;
      to_disk(held->name, held->copy, memory_.at(slot).rank, nullptr);
    }
  }
  dispatch();
  opened_();
}

// The reason is copied: its owner, the opening, ends here.
void Store::unusable(std::string why) {  // NOLINT(performance-unnecessary-value-param)
  recovering_ = false;
  opening_.reset();
  health_.closed(why);
  say_(true, "no disk tier, memory alone serves: " + why);
  opened_();
  for (const auto& done : std::exchange(flushing_, {})) {
    done();
  }
}

Store::Found Store::find(const Name& name, int rank) {
  placement_.seen(name.key);
  Found out;
  if (const auto slot = memory_.find(name.key); slot != MemorySet::kNone) {
    const std::shared_ptr<const Named> held = memory_.at(slot).payload;
    const Copy* const copy = &held->copy;
    if (ledger_.allows(name.object, copy->group, copy->t0_ms)) {
      memory_.touch(slot, tick(), rank > 0 && rank < kRanks ? rank : memory_.at(slot).rank);
      out.where = Where::kMemory;
      out.copy = *copy;
      out.t0_ms = copy->t0_ms;
      ++stats_.hits_memory;
      // The disk may not have been open when it came, or the budget was spent: it is offered again.
      if (rank > 0 && rank < kRanks && disk_.find(name.key) == DiskSet::kNone) {
        to_disk(name, *copy, rank, nullptr);
      }
      return out;
    }
    ++stats_.forbidden;
    erase_memory(slot);
  }
  const auto slot = disk_.find(name.key);
  if (slot == DiskSet::kNone) {
    ++stats_.absent;
    return out;
  }
  const Location where = disk_.at(slot).payload;
  const int group = static_cast<int>(where.group) - 1;
  if (!ledger_.allows(name.object, group, where.t0_ms)) {
    ++stats_.forbidden;
    erase_disk(slot);
    dispatch();
    return out;
  }
  disk_.touch(slot, tick(), rank > 0 && rank < kRanks ? rank : disk_.at(slot).rank);
  if (!health_.may_read(steady())) {
    ++stats_.reads_shed;
    return out;
  }
  if (reads_out_ >= static_cast<std::size_t>(options_.reads_at_once)) {
    ++stats_.reads_shed;
    return out;
  }
  out.where = Where::kDisk;
  out.t0_ms = where.t0_ms;
  out.copy.t0_ms = where.t0_ms;
  out.copy.group = group;
  return out;
}

std::uint64_t Store::read(const Name& name, ReadDone done) {
  const std::uint64_t number = ++last_read_;
  const std::int64_t begun = steady();
  Reading& reading = readings_[number];
  reading.done = std::move(done);
  reading.begun_ms = begun;
  const auto work = std::make_shared<ReadWork>(records_of(name));
  ++reads_out_;
  executor_.run(
      Executor::Lane::kRead, [disk = on_disk_, work, name] { disk->read_copy(name, *work); },
      [this, alive = alive_, number, begun, work] {
        if (*alive) {
          read_back(number, steady() - begun, work->result, work->bad);
        }
      });
  return number;
}

// Where the records of a copy stand; its parts count as asked for.
Store::ReadWork Store::records_of(const Name& name) {
  ReadWork out;
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

void Store::read_back(std::uint64_t number, std::int64_t took_ms, const ReadResult& result,
                      const std::vector<std::pair<Key, Location>>& bad) {
  --reads_out_;
  health_.read_back(took_ms, options_.read_patience_ms);
  for (const auto& [key, where] : bad) {
    ++stats_.read_failures;
    erase_at(key, where);
  }
  if (!bad.empty()) {
    say_(true, "a record on disk was not as it was written, dropped");
    dispatch();
  }
  const auto found = readings_.find(number);
  if (found == readings_.end()) {
    return;
  }
  const ReadDone done = std::move(found->second.done);
  readings_.erase(found);
  stats_.hits_disk += result.status == ReadStatus::kWhole ? 1 : 0;
  done(result);
}

void Store::abandon_read(std::uint64_t number, bool late) {
  if (readings_.erase(number) > 0 && late) {
    if (health_.state(steady()) != DiskHealth::State::kStalled) {
      say_(true, "the disk does not answer in time: copies on it count as not held until it does");
    }
    health_.read_late(steady());
  }
}

void Store::keep(const Name& name, const Copy& copy, int rank) {
  if (rank <= 0 || rank >= kRanks || !copy.bytes || forbidden(name, copy) || name.text.size() > kMostName ||
      copy.tag.size() > kMostTag || copy.size() > UINT32_MAX / 4) {
    return;
  }
  into_memory(name, copy, rank);
  to_disk(name, copy, rank, nullptr);
}

void Store::warm(const Name& name, const Copy& copy, int rank) {
  if (rank > 0 && rank < kRanks && !forbidden(name, copy)) {
    into_memory(name, copy, rank);
  }
}

bool Store::complete(const Name& name, const PartialCopy& partial, const std::vector<bool>& had, int rank) {
  if (sum_of(partial.bytes) != partial.whole_sum) {
    drop(name);
    return false;
  }
  const Copy copy{partial.tag, partial.t0_ms, partial.group,
                  std::make_shared<const std::string>(partial.bytes)};
  if (!forbidden(name, copy) && rank > 0 && rank < kRanks) {
    into_memory(name, copy, rank);
    to_disk(name, copy, rank, &had);
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

void Store::into_memory(const Name& name, const Copy& copy, int rank) {
  const std::uint64_t bytes = copy.size() + name.text.size() + copy.tag.size();
  if (bytes * 4 > memory_limit_) {
    return;
  }
  const auto held = memory_.find(name.key);
  if (held != MemorySet::kNone && memory_.at(held).payload->copy.t0_ms > copy.t0_ms) {
    return;
  }
  if (held == MemorySet::kNone && memory_.bytes() + bytes > memory_limit_) {
    const auto victim = memory_.victim(tick(), random_);
    if (victim != MemorySet::kNone && !placement_.into_memory(name.key, rank, memory_.at(victim).uses)) {
      return;
    }
  }
  const auto slot = memory_.insert(name.key, static_cast<std::uint32_t>(bytes), rank, tick(),
                                   std::make_shared<const Named>(Named{name, copy}));
  while (memory_.bytes() > memory_limit_) {
    const auto victim = memory_.victim(tick(), random_, slot);
    if (victim == MemorySet::kNone) {
      break;
    }
    ++stats_.evicted_memory;
    erase_memory(victim);
  }
}

// `had`: which parts are on disk already; null where the whole copy is new.
bool Store::to_disk(const Name& name, const Copy& copy, int rank, const std::vector<bool>* had) {
  if (recovering_ || !on_disk_ || !health_.may_write(steady())) {
    return false;
  }
  if (std::exchange(shrunk_, false)) {
    book_.restore();
    disk_limit_ = placement_.options().tier_bytes;
  }
  const std::uint64_t id = copy_id(copy.tag, copy.t0_ms, copy.size());
  if (is_held_or_written(name.key, id, copy.t0_ms, had != nullptr)) {
    return false;
  }
  const auto part_bytes = static_cast<std::uint32_t>(options_.part_kb) << 10U;
  const auto total = static_cast<std::uint32_t>(copy.size());
  const bool in_parts = total > part_bytes;
  if (had != nullptr && (!in_parts || had->size() != part_count(total, part_bytes))) {
    return false;
  }
  const std::uint64_t bytes = bytes_to_write(name, copy, in_parts ? part_bytes : 0, had);
  if (next_->bytes + bytes > megabytes(options_.write_queue_mb)) {
    ++stats_.writes_shed;
    return false;
  }
  if (!is_admitted(name.key, bytes, rank)) {
    return false;
  }
  Record head;
  head.kind = in_parts ? RecordKind::kManifest : RecordKind::kWhole;
  head.rank = static_cast<std::uint8_t>(rank);
  head.key = name.key;
  head.copy = id;
  head.t0_ms = copy.t0_ms;
  head.group = copy.group;
  head.name = name.text;
  head.tag = copy.tag;
  head.total_bytes = total;
  head.part_bytes = in_parts ? part_bytes : 0;
  head.whole_sum = sum_of(*copy.bytes);
  enqueue(name, copy, head, had);
  next_->bytes += bytes;
  next_->names.push_back(name.key);
  being_written_[name.key] = id;
  dispatch();
  return true;
}

// Whether this copy, or a later one of the name, is on disk (`completing`: but for the parts that are to be
// written now) or on its way there.
bool Store::is_held_or_written(const Key& key, std::uint64_t copy, std::int64_t t0_ms,
                               bool completing) const {
  const auto held = disk_.find(key);
  if (held != DiskSet::kNone && !completing) {
    const Location& where = disk_.at(held).payload;
    if (where.copy == copy || where.t0_ms > t0_ms) {
      return true;
    }
  }
  const auto writing = being_written_.find(key);
  return writing != being_written_.end() && writing->second == copy;
}

// The bytes of all records to be written for a copy. `part_bytes` 0: it is written in one record.
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
  candidate.held = disk_.find(key) != DiskSet::kNone;
  const Verdict verdict = placement_.admit(candidate, disk_.bytes(), steady());
  ++stats_.verdicts[static_cast<std::size_t>(verdict)];
  return verdict == Verdict::kKeep;
}

// Adds the records of a copy to the next batch. Parts come before their manifest: a manifest that is found
// names parts that were written. `had`: which parts are on disk already, with the manifest; null where the
// whole copy is new.
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
      next_->records.push_back(Pending{part, copy.bytes, std::size_t{i} * head.part_bytes,
                                       part_length(head.total_bytes, head.part_bytes, i), name.object});
    }
  }
  if (had == nullptr) {
    next_->records.push_back(
        Pending{head, in_parts ? nullptr : copy.bytes, 0, in_parts ? 0 : copy.size(), name.object});
  }
}

void Store::erase_memory(MemorySet::Slot slot) { memory_.erase(slot); }

void Store::erase_disk(DiskSet::Slot slot) {
  const Key key = disk_.at(slot).key;
  const Location where = disk_.at(slot).payload;
  book_.live_gone(where.segment, where.stored);
  next_->index.erase.push_back(key);
  disk_.erase(slot);
  erase_parts(key, where);
}

void Store::erase_parts(const Key& whole, const Location& manifest) {
  for (std::uint32_t i = 0; i < manifest.parts; ++i) {
    const auto part = disk_.find(part_key(whole, manifest.copy, i));
    if (part != DiskSet::kNone) {
      erase_disk(part);
    }
  }
}

// Only where the key still names that record.
void Store::erase_at(const Key& key, const Location& location) {
  const auto slot = disk_.find(key);
  if (slot != DiskSet::kNone && disk_.at(slot).payload == location) {
    erase_disk(slot);
  }
}

// A record is on disk and the index names it. It may have been purged while it was written.
void Store::place(const Written& written) {
  const Location& where = written.row.location;
  book_.live_added(where.segment, where.stored);
  if (const auto old = disk_.find(written.row.key); old != DiskSet::kNone) {
    const Location before = disk_.at(old).payload;
    book_.live_gone(before.segment, before.stored);
    if (before.copy != where.copy) {
      erase_parts(written.row.key, before);
    }
  }
  const auto slot = disk_.insert(written.row.key, where.stored, written.row.rank, tick(), where);
  if (!ledger_.allows(written.object, static_cast<int>(where.group) - 1, where.t0_ms)) {
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

void Store::written_or_not(const Batch& batch) {
  for (const Key& name : batch.names) {
    being_written_.erase(name);
  }
}

// One batch is under way at a time; what comes meanwhile makes up the next, so that under load one sync
// serves many.
void Store::dispatch() {
  if (writing_ || recovering_ || !on_disk_ || !on_disk_->index) {
    return;
  }
  const bool idle = next_->records.empty() && next_->index.empty() && next_->remove.empty();
  if (idle) {
    if (!clearing_) {
      for (const auto& done : std::exchange(flushing_, {})) {
        done();
      }
    }
    return;
  }
  if (!health_.may_write(steady()) || !book_.room_for(next_->bytes)) {
    stats_.writes_shed += next_->records.size();
    written_or_not(*next_);
    next_->records.clear();
    next_->names.clear();
    next_->bytes = 0;
    if (next_->index.empty() && next_->remove.empty()) {
      clear_one();
      dispatch();
      return;
    }
  }
  writing_ = true;
  const std::shared_ptr<Batch> batch = std::exchange(next_, std::make_shared<Batch>());
  batch->index.marks[kClockMark] = unix_ms();
  auto outcome = std::make_shared<Outcome>();
  executor_.run(
      Executor::Lane::kWrite, [disk = on_disk_, batch, outcome] { disk->write(*batch, *outcome); },
      [this, alive = alive_, batch, outcome] {
        if (*alive) {
          finished(batch, outcome);
        }
      });
}

void Store::finished(const std::shared_ptr<Batch>& batch, const std::shared_ptr<Outcome>& outcome) {
  writing_ = false;
  written_or_not(*batch);
  for (const auto& [id, bytes] : outcome->grown) {
    book_.grown(id, bytes);
  }
  for (const SegmentId id : outcome->sealed) {
    book_.sealed(id);
  }
  if (outcome->good) {
    health_.write_done();
    ++stats_.commits;
    stats_.written_bytes += batch->bytes;
    for (const SegmentId id : batch->remove) {
      book_.removed(id);
    }
    for (const Written& written : outcome->rows) {
      place(written);
    }
    evict();
  } else {
    stats_.writes_shed += batch->records.size();
    if (outcome->full) {
      // Until the pause is over: others may have filled the disk, and may free it again.
      shrunk_ = true;
      book_.shrink(book_.file_bytes());
      disk_limit_ =
          std::min(disk_limit_, static_cast<std::uint64_t>(static_cast<double>(book_.most()) * kLiveShare));
      evict();
    }
    say_(true, "a write to disk failed: " + outcome->why);
    health_.write_failed(steady(), outcome->why);
    // What must not be lost is tried again with the next batch: purges, and what is gone.
    IndexBatch& again = next_->index;
    again.erase.insert(again.erase.end(), batch->index.erase.begin(), batch->index.erase.end());
    again.purge.insert(again.purge.end(), batch->index.purge.begin(), batch->index.purge.end());
    again.forget.insert(again.forget.end(), batch->index.forget.begin(), batch->index.forget.end());
    for (const auto& [name, value] : batch->index.marks) {
      again.marks.emplace(name, value);
    }
    next_->remove.insert(next_->remove.end(), batch->remove.begin(), batch->remove.end());
    for (const auto& done : std::exchange(flushing_, {})) {
      done();
    }
    return;  // the next write, or the next purge, tries again; never in a loop
  }
  clear_one();
  dispatch();
}

void Store::clear_one() {
  const std::optional<SegmentId> segment = clearing_ || !on_disk_ ? std::nullopt : book_.next_to_clear();
  if (!segment) {
    return;
  }
  clearing_ = true;
  book_.clearing(*segment);
  auto moving = std::make_shared<Moving>();
  if (book_.all().at(*segment).live == 0) {
    moving->read = true;
    listed(*segment, moving);
    return;
  }
  executor_.run(
      Executor::Lane::kWrite,
      [disk = on_disk_, id = *segment, moving] {
        try {
          const std::shared_ptr<File> file = disk->segment(id);
          const std::string bytes = file->read(0, static_cast<std::size_t>(file->size()));
          // A damaged header leaves no way to tell where the next record begins; what stands behind it is
          // found by the index, and goes with the segment.
          for (std::uint64_t at = kSegmentHeadBytes; at < bytes.size();) {
            const std::optional<RecordHead> head = decode_head(std::string_view(bytes).substr(at));
            if (!head) {
              break;
            }
            moving->records.emplace_back(head->record.key, static_cast<std::uint32_t>(at));
            at += head->size();
          }
          moving->read = true;
        } catch (const std::exception& error) {
          moving->outcome.why = error.what();
        }
      },
      [this, alive = alive_, id = *segment, moving] {
        if (*alive) {
          listed(id, moving);
        }
      });
}

void Store::listed(SegmentId segment, const std::shared_ptr<Moving>& moving) {
  const bool may_write = health_.may_write(steady());
  for (const auto& [key, offset] : moving->records) {
    const auto slot = disk_.find(key);
    if (slot == DiskSet::kNone) {
      continue;
    }
    const DiskSet::Entry& entry = disk_.at(slot);
    if (entry.payload.segment != segment || entry.payload.offset != offset) {
      continue;
    }
    const std::uint32_t uses = aged_uses(entry.uses, tick() - std::min(tick(), entry.used), 600);
    if (may_write && book_.room_for(entry.bytes) &&
        placement_.worth_moving(entry.bytes, entry.rank, uses, steady())) {
      Moving::Item item;
      item.key = key;
      item.from = entry.payload;
      item.rank = entry.rank;
      item.uses = entry.uses;
      moving->items.push_back(item);
    }
  }
  executor_.run(
      Executor::Lane::kWrite,
      [disk = on_disk_, segment, moving] {
        if (moving->items.empty()) {
          moving->outcome.good = true;
          return;
        }
        disk->guarded(moving->outcome, [&](Disk::Appender& appender) {
          const std::shared_ptr<File> file = disk->segment(segment);
          IndexBatch changes;
          for (Moving::Item& item : moving->items) {
            const std::string bytes = file->read(item.from.offset, item.from.stored);
            appender.make_room(bytes.size());
            const std::uint64_t offset = appender.offset();
            const std::optional<std::string> anew =
                moved_record(bytes, segment, item.from.offset, disk->active_id, offset);
            if (!anew) {
              continue;
            }
            appender.add([&anew](std::string& out) { out += *anew; });
            item.to = item.from;
            item.to->segment = disk->active_id;
            item.to->offset = static_cast<std::uint32_t>(offset);
            changes.put.push_back(IndexRow{item.key, *item.to, item.rank, item.uses});
          }
          appender.finish();
          changes.marks[kSegmentMark] = disk->last;
          disk->index->commit(changes);
        });
      },
      [this, alive = alive_, segment, moving] {
        if (*alive) {
          moved(segment, moving);
        }
      });
}

// What was moved stands elsewhere now; what still stands in the segment goes with it.
void Store::moved(SegmentId segment, const std::shared_ptr<Moving>& moving) {
  for (const auto& [id, bytes] : moving->outcome.grown) {
    book_.grown(id, bytes);
  }
  for (const SegmentId id : moving->outcome.sealed) {
    book_.sealed(id);
  }
  if (!moving->outcome.good) {
    say_(true, "clearing a segment failed: " + moving->outcome.why);
    health_.write_failed(steady(), moving->outcome.why);
  }
  for (const Moving::Item& item : moving->items) {
    if (!moving->outcome.good || !item.to) {
      continue;
    }
    const auto slot = disk_.find(item.key);
    if (slot != DiskSet::kNone && disk_.at(slot).payload == item.from) {
      book_.live_gone(item.from.segment, item.from.stored);
      book_.live_added(item.to->segment, item.to->stored);
      disk_.at(slot).payload = *item.to;
      stats_.moved_bytes += item.to->stored;
    } else {
      // It was purged, evicted or replaced while it was moved, and the index has just named it again.
      if (slot == DiskSet::kNone) {
        next_->index.erase.push_back(item.key);
      } else {
        const DiskSet::Entry& entry = disk_.at(slot);
        next_->index.put.push_back(IndexRow{entry.key, entry.payload, entry.rank, entry.uses});
      }
    }
  }
  const auto drop_from_segment = [this, segment](DiskSet::Slot slot) {
    if (disk_.at(slot).held && disk_.at(slot).payload.segment == segment) {
      ++stats_.evicted_disk;
      erase_disk(slot);
    }
  };
  for (const auto& [key, offset] : moving->records) {
    if (const auto slot = disk_.find(key); slot != DiskSet::kNone) {
      drop_from_segment(slot);
    }
  }
  // Records behind a damaged header were not listed; only then is all that is held gone through.
  if (book_.all().at(segment).live > 0) {
    for (DiskSet::Slot slot = 0; slot < disk_.end(); ++slot) {
      drop_from_segment(slot);
    }
  }
  next_->remove.push_back(segment);
  ++stats_.cleared;
  clearing_ = false;
  dispatch();
}

void Store::purge(const std::vector<PurgeRecord>& purges, std::int64_t heard) {
  for (const PurgeRecord& purge : purges) {
    if (ledger_.add(purge)) {
      next_->index.purge.push_back(purge);
    }
  }
  for (const PurgeRecord& folded : ledger_.take_folded()) {
    (folded.kind == PurgeRecord::Kind::kAll ? next_->index.purge : next_->index.forget).push_back(folded);
  }
  if (heard != heard_) {
    heard_ = heard;
    next_->index.marks[kHeardMark] = heard;
  }
  dispatch();
}

void Store::flush(std::function<void()> done) {
  if (!on_disk_ || (!recovering_ && !on_disk_->index)) {
    done();
    return;
  }
  flushing_.push_back(std::move(done));
  dispatch();
}

Stats Store::stats() const {
  Stats out = stats_;
  out.memory_copies = memory_.size();
  out.memory_bytes = memory_.bytes();
  out.disk_copies = disk_.size();
  out.disk_bytes = disk_.bytes();
  out.file_bytes = book_.file_bytes();
  out.segments = book_.count();
  out.purges = ledger_.objects();
  return out;
}

}  // namespace trailcourse::store
