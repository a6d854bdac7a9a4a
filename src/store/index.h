// The durable index of the disk tier: a row for each record, the purges, and named integers (marks).
// All changes are made in transactions, so that the index survives crashes.
//
// Library `store`. An index is used by one thread at a time; calls may block and throw IndexError.
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

// The index cannot be used. `damaged`: its content is not what was written.
class IndexError : public std::runtime_error {
 public:
  IndexError(const std::string& what, bool damaged) : std::runtime_error(what), damaged_(damaged) {}
  bool damaged() const { return damaged_; }

 private:
  bool damaged_;
};

// The position of a record, and the properties that are needed before the record is read.
struct Location {
  std::int64_t origin_time_ms = 0;
  std::uint64_t copy = 0;  // copy_id()
  SegmentId segment = 0;
  std::uint32_t offset = 0;
  std::uint32_t stored = 0;          // bytes of the complete record; 0: the row is damaged
  std::uint32_t parts = 0;           // of a manifest
  std::uint16_t group_plus_one = 0;  // 0: the purge group is unknown
  std::uint8_t kind = 0;             // RecordKind

  friend bool operator==(const Location&, const Location&) = default;
};

// A record as the index stores it.
struct IndexRow {
  Key key;
  Location location;
  std::uint8_t rank = 0;
  std::uint16_t uses = 0;
};

// Integers that the index stores in addition to its rows, by name.
using IndexMarks = std::map<std::string, std::int64_t>;

// Names of marks: the highest segment ever created, and the sequence number of the last discovery event whose
// purges are in the index.
inline constexpr const char* kSegmentMark = "last_segment";
inline constexpr const char* kSequenceMark = "heard";

// The changes of one transaction: after a crash either all of them are present or none.
struct IndexBatch {
  std::vector<IndexRow> put;
  std::vector<Key> erase;
  std::vector<PurgeRecord> add_purges;
  std::vector<PurgeRecord> remove_purges;  // those that PurgeTable folded into its floor
  IndexMarks marks;

  bool empty() const {
    return put.empty() && erase.empty() && add_purges.empty() && remove_purges.empty() && marks.empty();
  }
};

// The rows, purges and marks of a store.
class Index {
 public:
  Index() = default;
  Index(const Index&) = delete;
  Index& operator=(const Index&) = delete;
  virtual ~Index() = default;

  virtual IndexMarks marks() = 0;
  // Returns all purges; throws if their checksum does not match.
  virtual std::vector<PurgeRecord> purges() = 0;
  // Returns up to `max_rows` rows in key order, after the key `after` or, if null, from the first. A damaged
  // row is returned with a Location whose `stored` is 0.
  virtual std::vector<IndexRow> rows(const Key* after, std::size_t max_rows) = 0;
  // Applies the changes in one transaction. None of them is applied if it throws.
  virtual void commit(const IndexBatch& batch) = 0;
  // Frees unused space in the file of the index.
  virtual void compact() {}
};

using OpenIndex = std::function<std::unique_ptr<Index>()>;

// Opens the SQLite index in the file PATH/index.sqlite; creates the file unless `read_only`. Throws
// IndexError. A purge record that is missing or changed makes purges() throw an IndexError with damaged()
// true.
std::unique_ptr<Index> open_sqlite_index(const std::string& path, bool read_only = false);
// Returns the names of the files that the SQLite index consists of.
std::vector<std::string> sqlite_index_files();

}  // namespace trailcourse::store
