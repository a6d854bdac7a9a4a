#include <sqlite3.h>
#include <xxhash.h>

#include <array>
#include <cstring>
#include <memory>
#include <utility>

#include "store/index.h"

namespace trailcourse::store {
namespace {

constexpr const char* kFileName = "index.sqlite";
constexpr std::size_t kKeyBytes = 16;
constexpr std::size_t kRowBytes = 48;
constexpr const char* kPurgeCount = "purge_count";
constexpr const char* kPurgeSum = "purge_sum";
constexpr int kBusyTimeoutMs = 2'000;

struct CloseDatabase {
  void operator()(sqlite3* database) const { sqlite3_close_v2(database); }
};
struct FinalizeStatement {
  void operator()(sqlite3_stmt* statement) const { sqlite3_finalize(statement); }
};
using Database = std::unique_ptr<sqlite3, CloseDatabase>;
using Statement = std::unique_ptr<sqlite3_stmt, FinalizeStatement>;
using KeyBytes = std::array<unsigned char, kKeyBytes>;
using RowBytes = std::array<unsigned char, kRowBytes>;

// Big-endian, so that the order of blobs is the order of keys.
KeyBytes to_bytes(std::uint64_t high, std::uint64_t low) {
  KeyBytes out{};
  for (std::size_t i = 0; i < 8; ++i) {
    out[i] = static_cast<unsigned char>(high >> (56 - 8 * i));
    out[8 + i] = static_cast<unsigned char>(low >> (56 - 8 * i));
  }
  return out;
}

Key to_key(const unsigned char* bytes) {
  Key out;
  for (std::size_t i = 0; i < 8; ++i) {
    out.high = (out.high << 8U) | bytes[i];
    out.low = (out.low << 8U) | bytes[8 + i];
  }
  return out;
}

template <typename Number>
void put(RowBytes& row, std::size_t& at, Number value) {
  std::memcpy(row.data() + at, &value, sizeof value);
  at += sizeof value;
}

template <typename Number>
void get(const unsigned char* row, std::size_t& at, Number& value) {
  std::memcpy(&value, row + at, sizeof value);
  at += sizeof value;
}

// Returns the stored form of a row: its fields, then a checksum over them and the key.
RowBytes pack(const IndexRow& row) {
  RowBytes out{};
  std::size_t at = 0;
  const Location& location = row.location;
  put(out, at, location.origin_time_ms);
  put(out, at, location.copy);
  put(out, at, location.segment);
  put(out, at, location.offset);
  put(out, at, location.stored);
  put(out, at, location.parts);
  put(out, at, location.group_plus_one);
  put(out, at, location.kind);
  put(out, at, row.rank);
  put(out, at, row.uses);
  const std::size_t fields = at;
  at = kRowBytes - sizeof(std::uint64_t);
  const std::uint64_t sum = XXH3_64bits_withSeed(out.data(), fields, row.key.low ^ (row.key.high * 3));
  put(out, at, sum);
  return out;
}

// Restores a row whose key is set. Returns false if the stored form is damaged.
bool unpack(const unsigned char* bytes, IndexRow& row) {
  std::size_t at = 0;
  Location& location = row.location;
  get(bytes, at, location.origin_time_ms);
  get(bytes, at, location.copy);
  get(bytes, at, location.segment);
  get(bytes, at, location.offset);
  get(bytes, at, location.stored);
  get(bytes, at, location.parts);
  get(bytes, at, location.group_plus_one);
  get(bytes, at, location.kind);
  get(bytes, at, row.rank);
  get(bytes, at, row.uses);
  const RowBytes expected = pack(row);
  return std::memcmp(expected.data(), bytes, kRowBytes) == 0 && row.rank < 4 && location.kind <= 2;
}

std::uint64_t sum_of_purge(const PurgeRecord& purge) {
  const std::array<std::uint64_t, 3> input{static_cast<std::uint64_t>(purge.kind), purge.id,
                                           static_cast<std::uint64_t>(purge.purged_unix_ms)};
  return XXH3_64bits(input.data(), sizeof input);
}

class SqliteIndex : public Index {
 public:
  SqliteIndex(const std::string& path, bool read_only) {
    sqlite3* raw = nullptr;
    const int flags = read_only ? SQLITE_OPEN_READONLY : SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE;
    const int result =
        sqlite3_open_v2((path + "/" + kFileName).c_str(), &raw, flags | SQLITE_OPEN_NOMUTEX, nullptr);
    database_.reset(raw);
    check(result, "open");
    sqlite3_busy_timeout(raw, kBusyTimeoutMs);
    if (!read_only) {
      // The write-ahead log is synced at checkpoints, not at each commit. A loss of power may undo the latest
      // complete transactions; copies that the index has lost are fetched again.
      run("PRAGMA journal_mode=WAL");
      run("PRAGMA synchronous=NORMAL");
      run("PRAGMA cache_size=-4096");
      run("PRAGMA wal_autocheckpoint=4000");
      run("CREATE TABLE IF NOT EXISTS copies(key BLOB PRIMARY KEY, row BLOB NOT NULL) WITHOUT ROWID");
      run("CREATE TABLE IF NOT EXISTS purges(id BLOB PRIMARY KEY, kind INTEGER NOT NULL, ms INTEGER NOT "
          "NULL) "
          "WITHOUT ROWID");
      run("CREATE TABLE IF NOT EXISTS marks(name TEXT PRIMARY KEY, value INTEGER NOT NULL) WITHOUT ROWID");
    }
    put_copy_ = prepare("INSERT OR REPLACE INTO copies VALUES(?1, ?2)", read_only);
    erase_copy_ = prepare("DELETE FROM copies WHERE key = ?1", read_only);
    put_purge_ = prepare("INSERT OR REPLACE INTO purges VALUES(?1, ?2, ?3)", read_only);
    erase_purge_ = prepare("DELETE FROM purges WHERE id = ?1", read_only);
    put_mark_ = prepare("INSERT OR REPLACE INTO marks VALUES(?1, ?2)", read_only);
    select_first_rows_ = prepare("SELECT key, row FROM copies ORDER BY key LIMIT ?2", false);
    select_next_rows_ = prepare("SELECT key, row FROM copies WHERE key > ?1 ORDER BY key LIMIT ?2", false);
  }

  IndexMarks marks() override {
    IndexMarks out;
    const Statement statement = prepare("SELECT name, value FROM marks", false);
    while (step(statement.get())) {
      const auto* name = reinterpret_cast<const char*>(sqlite3_column_text(statement.get(), 0));
      out[name != nullptr ? name : ""] = sqlite3_column_int64(statement.get(), 1);
    }
    return out;
  }

  // The number of purges and a checksum over all of them are stored as marks, so that a lost purge record is
  // detected.
  std::vector<PurgeRecord> purges() override {
    std::vector<PurgeRecord> out;
    const Statement statement = prepare("SELECT id, kind, ms FROM purges", false);
    std::uint64_t sum = 0;
    while (step(statement.get())) {
      PurgeRecord purge;
      if (sqlite3_column_bytes(statement.get(), 0) != static_cast<int>(kKeyBytes)) {
        throw IndexError("a purge record is damaged", true);
      }
      purge.id = to_key(static_cast<const unsigned char*>(sqlite3_column_blob(statement.get(), 0))).low;
      purge.kind = static_cast<PurgeRecord::Kind>(sqlite3_column_int(statement.get(), 1));
      purge.purged_unix_ms = sqlite3_column_int64(statement.get(), 2);
      sum ^= sum_of_purge(purge);
      out.push_back(purge);
    }
    const IndexMarks all_marks = marks();
    const auto mark = [&all_marks](const char* name) {
      const auto found = all_marks.find(name);
      return found == all_marks.end() ? std::int64_t{0} : found->second;
    };
    if (mark(kPurgeCount) != static_cast<std::int64_t>(out.size()) ||
        mark(kPurgeSum) != static_cast<std::int64_t>(sum)) {
      throw IndexError("the purge records do not match their checksum", true);
    }
    purge_sum_ = sum;
    must_reload_purges_ = false;
    purges_.clear();
    for (const PurgeRecord& purge : out) {
      purges_[{purge.kind, purge.id}] = purge.purged_unix_ms;
    }
    return out;
  }

  std::vector<IndexRow> rows(const Key* after, std::size_t max_rows) override {
    sqlite3_stmt* const statement = after == nullptr ? select_first_rows_.get() : select_next_rows_.get();
    if (after != nullptr) {
      const KeyBytes key = to_bytes(after->high, after->low);
      bind(statement, 1, key.data(), key.size());
    }
    check(sqlite3_bind_int64(statement, 2, static_cast<sqlite3_int64>(max_rows)), "bind");
    std::vector<IndexRow> out;
    const Reset reset{statement};
    while (step(statement)) {
      IndexRow row;
      const auto* key = static_cast<const unsigned char*>(sqlite3_column_blob(statement, 0));
      const auto* bytes = static_cast<const unsigned char*>(sqlite3_column_blob(statement, 1));
      if (sqlite3_column_bytes(statement, 0) != static_cast<int>(kKeyBytes)) {
        throw IndexError("a key is damaged", true);
      }
      row.key = to_key(key);
      const bool good =
          sqlite3_column_bytes(statement, 1) == static_cast<int>(kRowBytes) && unpack(bytes, row);
      if (!good) {
        // The damaged row is returned, so that the next call continues after its key.
        row.location = Location();
      }
      out.push_back(row);
    }
    return out;
  }

  void commit(const IndexBatch& batch) override {
    run("BEGIN IMMEDIATE");
    try {
      write(batch);
      run("COMMIT");
    } catch (...) {
      sqlite3_exec(database_.get(), "ROLLBACK", nullptr, nullptr, nullptr);
      must_reload_purges_ = true;
      throw;
    }
  }

  void compact() override { run("VACUUM"); }

 private:
  struct Reset {
    sqlite3_stmt* statement;
    ~Reset() {
      sqlite3_reset(statement);
      sqlite3_clear_bindings(statement);
    }
  };

  void write(const IndexBatch& batch) {
    for (const IndexRow& row : batch.put) {
      const KeyBytes key = to_bytes(row.key.high, row.key.low);
      const RowBytes bytes = pack(row);
      const Reset reset{put_copy_.get()};
      bind(put_copy_.get(), 1, key.data(), key.size());
      bind(put_copy_.get(), 2, bytes.data(), bytes.size());
      step(put_copy_.get());
    }
    for (const Key& erased : batch.erase) {
      const KeyBytes key = to_bytes(erased.high, erased.low);
      const Reset reset{erase_copy_.get()};
      bind(erase_copy_.get(), 1, key.data(), key.size());
      step(erase_copy_.get());
    }
    write_purges(batch);
    for (const auto& [name, value] : batch.marks) {
      write_mark(name, value);
    }
  }

  void write_purges(const IndexBatch& batch) {
    if (batch.add_purges.empty() && batch.remove_purges.empty()) {
      return;
    }
    if (std::exchange(must_reload_purges_, false)) {
      purges();
    }
    for (const PurgeRecord& purge : batch.add_purges) {
      const auto [found, inserted] = purges_.emplace(std::pair(purge.kind, purge.id), purge.purged_unix_ms);
      if (!inserted && found->second >= purge.purged_unix_ms) {
        continue;
      }
      purge_sum_ ^= inserted ? 0 : sum_of_purge(PurgeRecord{purge.kind, purge.id, found->second});
      purge_sum_ ^= sum_of_purge(purge);
      found->second = purge.purged_unix_ms;
      const KeyBytes id = to_bytes(static_cast<std::uint64_t>(purge.kind), purge.id);
      const Reset reset{put_purge_.get()};
      bind(put_purge_.get(), 1, id.data(), id.size());
      check(sqlite3_bind_int(put_purge_.get(), 2, static_cast<int>(purge.kind)), "bind");
      check(sqlite3_bind_int64(put_purge_.get(), 3, purge.purged_unix_ms), "bind");
      step(put_purge_.get());
    }
    for (const PurgeRecord& purge : batch.remove_purges) {
      const auto found = purges_.find({purge.kind, purge.id});
      if (purge.kind == PurgeRecord::Kind::kAll || found == purges_.end()) {
        continue;
      }
      purge_sum_ ^= sum_of_purge(PurgeRecord{purge.kind, purge.id, found->second});
      purges_.erase(found);
      const KeyBytes id = to_bytes(static_cast<std::uint64_t>(purge.kind), purge.id);
      const Reset reset{erase_purge_.get()};
      bind(erase_purge_.get(), 1, id.data(), id.size());
      step(erase_purge_.get());
    }
    write_mark(kPurgeCount, static_cast<std::int64_t>(purges_.size()));
    write_mark(kPurgeSum, static_cast<std::int64_t>(purge_sum_));
  }

  void write_mark(const std::string& name, std::int64_t value) {
    const Reset reset{put_mark_.get()};
    check(sqlite3_bind_text(put_mark_.get(), 1, name.data(), static_cast<int>(name.size()), SQLITE_STATIC),
          "bind");
    check(sqlite3_bind_int64(put_mark_.get(), 2, value), "bind");
    step(put_mark_.get());
  }

  void check(int result, const char* what) const {
    if (result != SQLITE_OK && result != SQLITE_ROW && result != SQLITE_DONE) {
      const int primary = result & 0xff;
      throw IndexError(std::string("index: ") + what + ": " + sqlite3_errmsg(database_.get()),
                       primary == SQLITE_CORRUPT || primary == SQLITE_NOTADB || primary == SQLITE_FORMAT);
    }
  }
  void run(const char* sql) const {
    check(sqlite3_exec(database_.get(), sql, nullptr, nullptr, nullptr), sql);
  }
  Statement prepare(const char* sql, bool skip) const {
    sqlite3_stmt* raw = nullptr;
    if (!skip) {
      check(sqlite3_prepare_v3(database_.get(), sql, -1, SQLITE_PREPARE_PERSISTENT, &raw, nullptr), sql);
    }
    return Statement(raw);
  }
  bool step(sqlite3_stmt* statement) const {
    const int result = sqlite3_step(statement);
    check(result, "step");
    return result == SQLITE_ROW;
  }
  void bind(sqlite3_stmt* statement, int parameter, const unsigned char* bytes, std::size_t size) const {
    check(sqlite3_bind_blob(statement, parameter, bytes, static_cast<int>(size), SQLITE_TRANSIENT), "bind");
  }

  Database database_;
  Statement put_copy_;
  Statement erase_copy_;
  Statement put_purge_;
  Statement erase_purge_;
  Statement put_mark_;
  Statement select_first_rows_;
  Statement select_next_rows_;
  std::map<std::pair<PurgeRecord::Kind, std::uint64_t>, std::int64_t> purges_;
  std::uint64_t purge_sum_ = 0;
  bool must_reload_purges_ = true;
};

}  // namespace

std::unique_ptr<Index> open_sqlite_index(const std::string& path, bool read_only) {
  return std::make_unique<SqliteIndex>(path, read_only);
}

std::vector<std::string> sqlite_index_files() {
  const std::string name = kFileName;
  return {name, name + "-wal", name + "-shm"};
}

}  // namespace trailcourse::store
