// What is where on disk, kept so that it survives crashes: rows for copies and parts, the purges, and a few
// marks, all changed in transactions.
//
// Package `store`. An index is used by one thread at a time; its calls may block. Each throws IndexError.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "store/key.h"
#include "store/purge_table.h"
#include "store/segment_table.h"

namespace trailcourse::store {

// The index cannot be used: `damaged` where what it holds is not what was written.
class IndexError : public std::runtime_error {
 public:
  IndexError(const std::string& what, bool damaged) : std::runtime_error(what), damaged_(damaged) {}
  bool damaged() const { return damaged_; }

 private:
  bool damaged_;
};

// Where a record stands, and what must be known of it without reading it.
struct Location {
  std::int64_t t0_ms = 0;
  std::uint64_t copy = 0;
  SegmentId segment = 0;
  std::uint32_t offset = 0;
  std::uint32_t stored = 0;  // bytes of the whole record
  std::uint32_t parts = 0;   // of a manifest
  std::uint16_t group = 0;   // plus 1; 0: unknown
  std::uint8_t kind = 0;     // RecordKind

  friend bool operator==(const Location&, const Location&) = default;
};

struct IndexRow {
  Key key;
  Location location;
  std::uint8_t rank = 0;
  std::uint16_t uses = 0;
};

using IndexMarks = std::map<std::string, std::int64_t>;

// Names of marks: the last segment ever begun, the last event heard of the notice board.
inline constexpr const char* kSegmentMark = "last_segment";
inline constexpr const char* kHeardMark = "heard";

// One transaction: all of it or nothing is there after a crash.
struct IndexBatch {
  std::vector<IndexRow> put;
  std::vector<Key> erase;
  std::vector<PurgeRecord> purge;
  std::vector<PurgeRecord> forget;  // purges that a floor has taken over
  IndexMarks marks;

  bool empty() const {
    return put.empty() && erase.empty() && purge.empty() && forget.empty() && marks.empty();
  }
};

class Index {
 public:
  Index() = default;
  Index(const Index&) = delete;
  Index& operator=(const Index&) = delete;
  virtual ~Index() = default;

  virtual IndexMarks marks() = 0;
  virtual std::vector<PurgeRecord> purges() = 0;
  // Up to `most` rows behind `after` in the order of keys; from the first where `after` is null.
  virtual std::vector<IndexRow> rows(const Key* after, std::size_t most) = 0;
  virtual void commit(const IndexBatch& batch) = 0;
  virtual void compact() {}
};

using OpenIndex = std::function<std::unique_ptr<Index>()>;

// On SQLite, in the file PATH/index.sqlite. A row that is not as it was written is passed over by rows(); a
// purge that is missing or changed makes the index damaged.
std::unique_ptr<Index> open_sqlite_index(const std::string& path, bool read_only = false);
std::vector<std::string> sqlite_index_files();

}  // namespace trailcourse::store
