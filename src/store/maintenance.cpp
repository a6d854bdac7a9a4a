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

constexpr std::size_t kRowsAtOnce = 4'096;
constexpr std::size_t kMostTold = 100;
constexpr std::uint64_t kTellEvery = 256;
constexpr std::size_t kCommitAtOnce = 1'024;

template <typename Take>
void each_row(Index& index, Take take) {
  std::optional<Key> after;
  for (;;) {
    const std::vector<IndexRow> rows = index.rows(after ? &*after : nullptr, kRowsAtOnce);
    for (const IndexRow& row : rows) {
      take(row);
    }
    if (rows.size() < kRowsAtOnce) {
      return;
    }
    after = rows.back().key;
  }
}

// Opens each segment once; null where it cannot be.
class Segments {
 public:
  explicit Segments(Files& files) : files_(files) {}
  File* open(SegmentId id) {
    const auto [found, fresh] = open_.emplace(id, nullptr);
    if (fresh) {
      try {
        found->second = files_.open(segment_name(id));
      } catch (const FileError&) {
        return nullptr;
      }
    }
    return found->second.get();
  }

 private:
  Files& files_;
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

FolderStat stat_folder(Files& files, Index& index) {
  FolderStat out;
  std::set<SegmentId> named;
  each_row(index, [&](const IndexRow& row) {
    const Location& where = row.location;
    if (where.stored == 0) {
      ++out.damaged_rows;
      return;
    }
    ++out.records;
    const bool part = where.kind == static_cast<std::uint8_t>(RecordKind::kPart);
    ++(part ? out.parts : out.values);
    out.live_bytes += where.stored;
    ++out.by_rank[row.rank];
    out.oldest_ms = out.oldest_ms == 0 ? where.t0_ms : std::min(out.oldest_ms, where.t0_ms);
    out.newest_ms = std::max(out.newest_ms, where.t0_ms);
    named.insert(where.segment);
  });
  for (const std::string& name : files.list()) {
    if (const std::optional<SegmentId> id = segment_of(name)) {
      ++out.segments;
      out.file_bytes += files.open(name)->size();
      out.orphans += named.contains(*id) ? 0 : 1;
    }
  }
  out.purges = index.purges().size();
  const IndexMarks marks = index.marks();
  const auto heard = marks.find(kHeardMark);
  out.heard = heard == marks.end() ? 0 : heard->second;
  return out;
}

VerifyReport verify_folder(Files& files, Index& index, const Progress& progress) {
  VerifyReport out;
  Segments segments(files);
  std::vector<IndexRow> rows;
  std::set<Key> held;
  each_row(index, [&](const IndexRow& row) {
    rows.push_back(row);
    held.insert(row.key);
  });
  const auto damaged = [&out](const Location& where, const std::string& what) {
    ++out.damaged_in_all;
    if (out.damaged.size() < kMostTold) {
      out.damaged.push_back(Damage{segment_name(where.segment) + "@" + std::to_string(where.offset), what});
    }
  };
  for (const IndexRow& row : rows) {
    const Location& where = row.location;
    ++out.records;
    if (out.records % kTellEvery == 0) {
      progress(out.records, rows.size());
    }
    if (where.stored == 0) {
      damaged(where, "its row of the index is not as it was written");
      continue;
    }
    try {
      File* const file = segments.open(where.segment);
      if (file == nullptr) {
        damaged(where, "the segment cannot be opened");
        continue;
      }
      const std::string bytes = file->read(where.offset, where.stored);
      std::string why;
      const std::optional<Record> record = decode_record(bytes, where.segment, where.offset, &why);
      if (!record) {
        damaged(where, why);
      } else if (!(record->key == row.key) || record->copy != where.copy) {
        damaged(where, "another record stands there");
      } else {
        ++out.good;
        out.bytes += where.stored;
        bool whole = true;
        for (std::uint32_t i = 0; i < where.parts; ++i) {
          whole = whole && held.contains(part_key(row.key, where.copy, i));
        }
        out.incomplete += whole ? 0 : 1;
      }
    } catch (const FileError& error) {
      damaged(where, error.what());
    }
  }
  progress(rows.size(), rows.size());
  return out;
}

namespace {

// Moves the live records of segments of little use to new segments. Rows are committed to the index once the new segment
// is synced, and a segment is removed once none of its rows stands in the index.
class Compaction {
 public:
  Compaction(Files& files, Index& index, std::uint64_t segment_bytes)
      : files_(files), index_(index), segment_bytes_(segment_bytes) {
    each_row(index_, [&](const IndexRow& row) {
      live_[row.location.segment] += row.location.stored;
      rows_[row.location.segment].push_back(row);
    });
    const IndexMarks marks = index_.marks();
    const auto mark = marks.find(kSegmentMark);
    last_ = mark == marks.end() ? 0 : static_cast<SegmentId>(mark->second);
  }

  // The segments of which less than this share is live; counts all that stand in the folder.
  std::vector<SegmentId> choose(double least_share) {
    std::vector<SegmentId> out;
    for (const std::string& name : files_.list()) {
      if (const std::optional<SegmentId> id = segment_of(name)) {
        const std::uint64_t size = files_.open(name)->size();
        ++report_.segments_before;
        report_.bytes_before += size;
        last_ = std::max(last_, *id);
        if (static_cast<double>(live_[*id]) < least_share * static_cast<double>(size)) {
          out.push_back(*id);
        }
      }
    }
    return out;
  }

  void clear(SegmentId id) {
    const std::unique_ptr<File> file = files_.open(segment_name(id));
    for (const IndexRow& row : rows_[id]) {
      move(row, file->read(row.location.offset, row.location.stored));
    }
    commit();
    files_.remove(segment_name(id));
  }

  CompactReport finish() {
    index_.compact();
    for (const std::string& name : files_.list()) {
      if (segment_of(name)) {
        ++report_.segments_after;
        report_.bytes_after += files_.open(name)->size();
      }
    }
    return report_;
  }

 private:
  void move(const IndexRow& row, const std::string& bytes) {
    if (!active_ || end_ + bytes.size() > segment_bytes_) {
      begin_segment();
    }
    const std::optional<std::string> anew =
        moved_record(bytes, row.location.segment, row.location.offset, last_, end_);
    if (!anew) {
      changes_.erase.push_back(row.key);
      ++report_.dropped;
      return;
    }
    active_->write(end_, *anew);
    IndexRow moved = row;
    moved.location.segment = last_;
    moved.location.offset = static_cast<std::uint32_t>(end_);
    changes_.put.push_back(moved);
    end_ += anew->size();
    ++report_.moved;
    if (changes_.put.size() >= kCommitAtOnce) {
      commit();
    }
  }

  void begin_segment() {
    commit();
    active_ = files_.create(segment_name(++last_));
    active_->write(0, encode_segment_head(last_));
    end_ = kSegmentHeadBytes;
  }

  void commit() {
    if (active_) {
      active_->sync();
      files_.sync_names();
    }
    changes_.marks[kSegmentMark] = last_;
    index_.commit(changes_);
    changes_ = IndexBatch();
  }

  Files& files_;
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

CompactReport compact_folder(Files& files, Index& index, double least_share, std::uint64_t segment_bytes,
                             const Progress& progress) {
  Compaction compaction(files, index, segment_bytes);
  const std::vector<SegmentId> victims = compaction.choose(least_share);
  std::uint64_t done = 0;
  for (const SegmentId id : victims) {
    compaction.clear(id);
    progress(++done, victims.size());
  }
  return compaction.finish();
}

std::uint64_t drop_folder(Files& files) {
  std::uint64_t out = 0;
  for (const std::string& name : files.list()) {
    files.remove(name);
    ++out;
  }
  files.sync_names();
  return out;
}

}  // namespace trailcourse::store
