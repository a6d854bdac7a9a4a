#include "store/maintenance.h"

#include <algorithm>
#include <cstdio>
#include <memory>
#include <optional>
#include <set>

#include "protocol/numbers.h"
#include "store/format.h"

namespace trailcourse::store {
namespace {

constexpr std::size_t kRowsPerStep = 4'096;
constexpr std::size_t kMaxListedDamage = 100;
constexpr std::uint64_t kProgressInterval = 256;
constexpr std::size_t kRowsPerCommit = 1'024;

template <typename Handler>
void for_each_row(Index& index, Handler handler) {
  std::optional<Key> after;
  for (;;) {
    const std::vector<IndexRow> rows = index.rows(after ? &*after : nullptr, kRowsPerStep);
    for (const IndexRow& row : rows) {
      handler(row);
    }
    if (rows.size() < kRowsPerStep) {
      return;
    }
    after = rows.back().key;
  }
}

// Opens each segment once. Returns null if a segment cannot be opened.
class SegmentFiles {
 public:
  explicit SegmentFiles(Directory& directory) : directory_(directory) {}
  File* open(SegmentId id) {
    const auto [found, inserted] = open_.emplace(id, nullptr);
    if (inserted) {
      try {
        found->second = directory_.open(segment_name(id));
      } catch (const FileError&) {
        return nullptr;
      }
    }
    return found->second.get();
  }

 private:
  Directory& directory_;
  std::map<SegmentId, std::unique_ptr<File>> open_;
};

}  // namespace

std::string segment_name(SegmentId id) {
  char name[32];
  std::snprintf(name, sizeof name, "seg-%010u.dat", id);
  return name;
}

std::optional<SegmentId> segment_of(const std::string& name) {
  constexpr std::size_t kLength = 18;
  if (name.size() != kLength || !name.starts_with("seg-") || !name.ends_with(".dat")) {
    return std::nullopt;
  }
  return protocol::read_number<SegmentId>(std::string_view(name).substr(4, 10));
}

FolderStat stat_folder(Directory& directory, Index& index) {
  FolderStat out;
  std::set<SegmentId> referenced;
  for_each_row(index, [&](const IndexRow& row) {
    const Location& location = row.location;
    if (location.stored == 0) {
      ++out.damaged_rows;
      return;
    }
    ++out.records;
    const bool part = location.kind == static_cast<std::uint8_t>(RecordKind::kPart);
    ++(part ? out.parts : out.values);
    out.live_bytes += location.stored;
    ++out.by_rank[row.rank];
    out.oldest_ms =
        out.oldest_ms == 0 ? location.origin_time_ms : std::min(out.oldest_ms, location.origin_time_ms);
    out.newest_ms = std::max(out.newest_ms, location.origin_time_ms);
    referenced.insert(location.segment);
  });
  for (const std::string& name : directory.list()) {
    if (const std::optional<SegmentId> id = segment_of(name)) {
      ++out.segments;
      out.file_bytes += directory.open(name)->size();
      out.orphans += referenced.contains(*id) ? 0 : 1;
    }
  }
  out.purges = index.purges().size();
  const IndexMarks marks = index.marks();
  const auto sequence = marks.find(kSequenceMark);
  out.last_sequence = sequence == marks.end() ? 0 : sequence->second;
  return out;
}

VerifyReport verify_folder(Directory& directory, Index& index, const Progress& progress) {
  VerifyReport out;
  SegmentFiles segments(directory);
  std::vector<IndexRow> rows;
  std::set<Key> stored_keys;
  for_each_row(index, [&](const IndexRow& row) {
    rows.push_back(row);
    stored_keys.insert(row.key);
  });
  const auto damaged = [&out](const Location& location, const std::string& reason) {
    ++out.damaged_total;
    if (out.damaged.size() < kMaxListedDamage) {
      out.damaged.push_back(
          Damage{segment_name(location.segment) + "@" + std::to_string(location.offset), reason});
    }
  };
  for (const IndexRow& row : rows) {
    const Location& location = row.location;
    ++out.records;
    if (out.records % kProgressInterval == 0) {
      progress(out.records, rows.size());
    }
    if (location.stored == 0) {
      damaged(location, "the index row is damaged");
      continue;
    }
    try {
      File* const file = segments.open(location.segment);
      if (file == nullptr) {
        damaged(location, "the segment cannot be opened");
        continue;
      }
      const std::string bytes = file->read(location.offset, location.stored);
      std::string error;
      const std::optional<Record> record = decode_record(bytes, location.segment, location.offset, &error);
      if (!record) {
        damaged(location, error);
      } else if (!(record->key == row.key) || record->copy != location.copy) {
        damaged(location, "another record is stored at this place");
      } else {
        ++out.good;
        out.bytes += location.stored;
        bool complete = true;
        for (std::uint32_t i = 0; i < location.parts; ++i) {
          complete = complete && stored_keys.contains(part_key(row.key, location.copy, i));
        }
        out.incomplete += complete ? 0 : 1;
      }
    } catch (const FileError& error) {
      damaged(location, error.what());
    }
  }
  progress(rows.size(), rows.size());
  return out;
}

namespace {

// Moves the live records of segments with a small live share to new segments. Rows are committed to the index
// after the new segment is synced, and a segment is removed after the index refers to none of its records.
class Compaction {
 public:
  Compaction(Directory& directory, Index& index, std::uint64_t segment_bytes)
      : directory_(directory), index_(index), segment_bytes_(segment_bytes) {
    for_each_row(index_, [&](const IndexRow& row) {
      live_[row.location.segment] += row.location.stored;
      rows_[row.location.segment].push_back(row);
    });
    const IndexMarks marks = index_.marks();
    const auto mark = marks.find(kSegmentMark);
    last_ = mark == marks.end() ? 0 : static_cast<SegmentId>(mark->second);
  }

  // Returns the segments whose live share is below `min_share`, and counts all segments for the report.
  std::vector<SegmentId> choose(double min_share) {
    std::vector<SegmentId> out;
    for (const std::string& name : directory_.list()) {
      if (const std::optional<SegmentId> id = segment_of(name)) {
        const std::uint64_t size = directory_.open(name)->size();
        ++report_.segments_before;
        report_.bytes_before += size;
        last_ = std::max(last_, *id);
        if (static_cast<double>(live_[*id]) < min_share * static_cast<double>(size)) {
          out.push_back(*id);
        }
      }
    }
    return out;
  }

  void clear(SegmentId id) {
    const std::unique_ptr<File> file = directory_.open(segment_name(id));
    for (const IndexRow& row : rows_[id]) {
      move(row, file->read(row.location.offset, row.location.stored));
    }
    commit();
    directory_.remove(segment_name(id));
  }

  CompactReport finish() {
    index_.compact();
    for (const std::string& name : directory_.list()) {
      if (segment_of(name)) {
        ++report_.segments_after;
        report_.bytes_after += directory_.open(name)->size();
      }
    }
    return report_;
  }

 private:
  void move(const IndexRow& row, const std::string& bytes) {
    if (!active_ || end_ + bytes.size() > segment_bytes_) {
      begin_segment();
    }
    const std::optional<std::string> moved_bytes =
        relocate_record(bytes, row.location.segment, row.location.offset, last_, end_);
    if (!moved_bytes) {
      changes_.erase.push_back(row.key);
      ++report_.dropped;
      return;
    }
    active_->write(end_, *moved_bytes);
    IndexRow moved = row;
    moved.location.segment = last_;
    moved.location.offset = static_cast<std::uint32_t>(end_);
    changes_.put.push_back(moved);
    end_ += moved_bytes->size();
    ++report_.moved;
    if (changes_.put.size() >= kRowsPerCommit) {
      commit();
    }
  }

  void begin_segment() {
    commit();
    active_ = directory_.create(segment_name(++last_));
    active_->write(0, encode_segment_head(last_));
    end_ = kSegmentHeadBytes;
  }

  void commit() {
    if (active_) {
      active_->sync();
      directory_.sync_names();
    }
    changes_.marks[kSegmentMark] = last_;
    index_.commit(changes_);
    changes_ = IndexBatch();
  }

  Directory& directory_;
  Index& index_;
  std::uint64_t segment_bytes_;
  std::map<SegmentId, std::uint64_t> live_;  // bytes
  std::map<SegmentId, std::vector<IndexRow>> rows_;
  SegmentId last_ = 0;
  std::unique_ptr<File> active_;
  std::uint64_t end_ = 0;  // of the active segment
  IndexBatch changes_;
  CompactReport report_;
};

}  // namespace

CompactReport compact_folder(Directory& directory, Index& index, double min_share,
                             std::uint64_t segment_bytes, const Progress& progress) {
  Compaction compaction(directory, index, segment_bytes);
  const std::vector<SegmentId> segments = compaction.choose(min_share);
  std::uint64_t done = 0;
  for (const SegmentId id : segments) {
    compaction.clear(id);
    progress(++done, segments.size());
  }
  return compaction.finish();
}

std::uint64_t drop_folder(Directory& directory) {
  std::uint64_t out = 0;
  for (const std::string& name : directory.list()) {
    directory.remove(name);
    ++out;
  }
  directory.sync_names();
  return out;
}

}  // namespace trailcourse::store
