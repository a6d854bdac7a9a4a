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

CompactReport compact_folder(Files& files, Index& index, double least_share, std::uint64_t segment_bytes,
                             const Progress& progress) {
  CompactReport out;
  std::map<SegmentId, std::uint64_t> live;
  std::map<SegmentId, std::vector<IndexRow>> rows;
  each_row(index, [&](const IndexRow& row) {
    live[row.location.segment] += row.location.stored;
    rows[row.location.segment].push_back(row);
  });
  std::vector<SegmentId> victims;
  const IndexMarks marks = index.marks();
  const auto mark = marks.find(kSegmentMark);
  SegmentId last = mark == marks.end() ? 0 : static_cast<SegmentId>(mark->second);
  for (const std::string& name : files.list()) {
    if (const std::optional<SegmentId> id = segment_of(name)) {
      const std::uint64_t size = files.open(name)->size();
      ++out.segments_before;
      out.bytes_before += size;
      last = std::max(last, *id);
      if (static_cast<double>(live[*id]) < least_share * static_cast<double>(size)) {
        victims.push_back(*id);
      }
    }
  }
  std::unique_ptr<File> active;
  std::uint64_t end = 0;
  IndexBatch changes;
  const auto commit = [&] {
    if (active) {
      active->sync();
      files.sync_names();
    }
    changes.marks[kSegmentMark] = last;
    index.commit(changes);
    changes = IndexBatch();
  };
  std::uint64_t done = 0;
  for (const SegmentId id : victims) {
    const std::unique_ptr<File> file = files.open(segment_name(id));
    for (const IndexRow& row : rows[id]) {
      const std::string bytes = file->read(row.location.offset, row.location.stored);
      if (!active || end + bytes.size() > segment_bytes) {
        commit();
        active = files.create(segment_name(++last));
        active->write(0, encode_segment_head(last));
        end = kSegmentHeadBytes;
      }
      const std::optional<std::string> anew = moved_record(bytes, id, row.location.offset, last, end);
      if (!anew) {
        changes.erase.push_back(row.key);
        ++out.dropped;
        continue;
      }
      active->write(end, *anew);
      IndexRow moved = row;
      moved.location.segment = last;
      moved.location.offset = static_cast<std::uint32_t>(end);
      changes.put.push_back(moved);
      end += anew->size();
      ++out.moved;
      if (changes.put.size() >= kCommitAtOnce) {
        commit();
      }
    }
    commit();
    files.remove(segment_name(id));
    progress(++done, victims.size());
  }
  index.compact();
  for (const std::string& name : files.list()) {
    if (segment_of(name)) {
      ++out.segments_after;
      out.bytes_after += files.open(name)->size();
    }
  }
  return out;
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
