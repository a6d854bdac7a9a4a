#include "coordination/key_value_database.h"

#include <sys/stat.h>
#include <time.h>

#include <cerrno>
#include <chrono>
#include <fstream>
#include <random>
#include <thread>
#include <utility>
#include <vector>

namespace trailcourse::coordination {
namespace {

constexpr int kBusyTimeoutMs = 2'000;
constexpr std::chrono::milliseconds kBusyRetryInterval{2};
constexpr std::uint64_t kIdMask = 0xffff'ffff'ffffU;
constexpr std::uint64_t kEventsBetweenCleanups = 256;
constexpr const char* kFileName = "/ledger.sqlite";

// Creates the folder if it does not exist, and returns the path of the database in it.
std::string prepare_folder(const std::string& folder) {
  if (::mkdir(folder.c_str(), 0700) != 0 && errno != EEXIST) {
    throw std::runtime_error(folder + ": the folder cannot be created");
  }
  return folder + kFileName;
}

std::string boot_id() {
  std::ifstream file("/proc/sys/kernel/random/boot_id");
  std::string out;
  std::getline(file, out);
  return out;
}

std::string read_meta(const Database& database, std::string_view name) {
  Statement statement(database.get(), "SELECT value FROM meta WHERE name = ?");
  return statement.bind(name).step() ? statement.bytes(0) : std::string();
}

void write_meta(const Database& database, std::string_view name, std::string_view value) {
  Statement(database.get(), "INSERT OR REPLACE INTO meta (name, value) VALUES (?, ?)")
      .bind(name)
      .bind(value)
      .run();
}

std::map<LeaseId, Lease> read_leases(const Database& database) {
  std::map<LeaseId, Lease> out;
  Statement rows(database.get(), "SELECT id, ttl, ends FROM leases");
  while (rows.step()) {
    out[rows.number(0)] = Lease{Milliseconds(static_cast<std::int64_t>(rows.number(1))),
                                Milliseconds(static_cast<std::int64_t>(rows.number(2)))};
  }
  return out;
}

void write_lease(const Database& database, LeaseId id, const Lease& lease) {
  Statement(database.get(), "INSERT OR REPLACE INTO leases (id, ttl, ends) VALUES (?, ?, ?)")
      .bind(id)
      .bind(std::int64_t{lease.ttl.count()})
      .bind(std::int64_t{lease.expires_at.count()})
      .run();
}

// Writes changes of keys. Its statements are prepared once.
class ChangeWriter {
 public:
  explicit ChangeWriter(const Database& database)
      : database_(database),
        event_(database.get(),
               "INSERT INTO events (deleted, key, value, created, modified, version, lease) "
               "VALUES (?, ?, ?, ?, ?, ?, ?)"),
        put_(database.get(),
             "INSERT OR REPLACE INTO entries (key, value, created, modified, version, lease) "
             "VALUES (?, ?, ?, ?, ?, ?)"),
        delete_(database.get(), "DELETE FROM entries WHERE key = ?") {}

  // Writes a change and returns its row in `events`.
  std::uint64_t write(const KeyChange& change) {
    const Entry& entry = change.entry;
    event_.bind(std::uint64_t{change.deleted ? 1U : 0U}).bind(entry.key).bind(entry.value);
    event_.bind(entry.created).bind(entry.modified).bind(entry.version).bind(entry.lease).run();
    const auto row = static_cast<std::uint64_t>(sqlite3_last_insert_rowid(database_.get()));
    if (change.deleted) {
      delete_.bind(entry.key).run();
    } else {
      put_.bind(entry.key).bind(entry.value).bind(entry.created).bind(entry.modified);
      put_.bind(entry.version).bind(entry.lease).run();
    }
    return row;
  }

 private:
  const Database& database_;
  Statement event_;
  Statement put_;
  Statement delete_;
};

// An SQL transaction that is rolled back by the destructor unless it was committed.
class WriteTransaction {
 public:
  explicit WriteTransaction(const Database& database) : database_(database) {
    database_.run("BEGIN IMMEDIATE");
  }
  ~WriteTransaction() {
    if (!committed_) {
      sqlite3_exec(database_.get(), "ROLLBACK", nullptr, nullptr, nullptr);
    }
  }
  WriteTransaction(const WriteTransaction&) = delete;
  WriteTransaction& operator=(const WriteTransaction&) = delete;
  void commit() {
    database_.run("COMMIT");
    committed_ = true;
  }

 private:
  const Database& database_;
  bool committed_ = false;
};

// While another connection switches a new file to this mode, SQLite returns SQLITE_BUSY without waiting for
// the busy timeout. The statement is therefore retried here until that timeout.
void use_write_ahead_log(const Database& database) {
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(kBusyTimeoutMs);
  for (;;) {
    try {
      database.run("PRAGMA journal_mode = WAL");
      return;
    } catch (const SqliteError&) {
      const bool busy = sqlite3_errcode(database.get()) == SQLITE_BUSY;
      if (!busy || std::chrono::steady_clock::now() >= deadline) {
        throw;
      }
    }
    std::this_thread::sleep_for(kBusyRetryInterval);
  }
}

}  // namespace

Milliseconds KeyValueDatabase::boot_time() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return Milliseconds(static_cast<std::int64_t>(now.tv_sec) * 1'000 + now.tv_nsec / 1'000'000);
}

// ---- Opening ----

KeyValueDatabase::KeyValueDatabase(const std::string& folder, const KeyValueLimits& limits, Sharing sharing)
    : limits_(limits), sharing_(sharing), database_(prepare_folder(folder), kBusyTimeoutMs), state_(limits) {
  if (sharing == Sharing::kExclusive) {
    database_.run("PRAGMA locking_mode = EXCLUSIVE");
  }
  try {
    use_write_ahead_log(database_);
    database_.run("PRAGMA synchronous = FULL");
    WriteTransaction transaction(database_);
    create_tables();
    id_ = std::stoull(read_meta(database_, "id"));
    reload();
    renew_stale_leases();
    transaction.commit();
  } catch (const SqliteError& error) {
    throw std::runtime_error(
        folder + ": " + error.what() +
        (sharing == Sharing::kExclusive ? "; does another registry use the folder?" : ""));
  }
}

void KeyValueDatabase::create_tables() {
  database_.run(
      "CREATE TABLE IF NOT EXISTS meta (name BLOB PRIMARY KEY, value BLOB) WITHOUT ROWID;"
      "CREATE TABLE IF NOT EXISTS entries (key BLOB PRIMARY KEY, value BLOB, created INTEGER,"
      " modified INTEGER, version INTEGER, lease INTEGER) WITHOUT ROWID;"
      "CREATE TABLE IF NOT EXISTS events (seq INTEGER PRIMARY KEY AUTOINCREMENT, deleted INTEGER,"
      " key BLOB, value BLOB, created INTEGER, modified INTEGER, version INTEGER, lease INTEGER);"
      "CREATE TABLE IF NOT EXISTS leases (id INTEGER PRIMARY KEY, ttl INTEGER, ends INTEGER);");
  if (read_meta(database_, "id").empty()) {
    std::random_device entropy;
    const std::uint64_t drawn = ((std::uint64_t{entropy()} << 32U) | entropy()) & kIdMask;
    write_meta(database_, "id", std::to_string(drawn | 1U));
    write_meta(database_, "revision", "1");
  }
}

// Gives leases of an earlier boot, or of an earlier process with exclusive use, their full time to live. The
// boot time clock restarts with each boot, and renewals in an exclusive database are not stored.
void KeyValueDatabase::renew_stale_leases() {
  const std::string boot = boot_id();
  if (sharing_ != Sharing::kExclusive && read_meta(database_, "boot") == boot) {
    return;
  }
  state_.renew_all(boot_time());
  for (const auto& [id, lease] : state_.leases()) {
    write_lease(database_, id, lease);
  }
  write_meta(database_, "boot", boot);
}

// ---- Reading ----

void KeyValueDatabase::reload() {
  state_ = KeyValueState(limits_);
  std::vector<Entry> entries;
  Statement rows(database_.get(), "SELECT key, value, created, modified, version, lease FROM entries");
  while (rows.step()) {
    entries.push_back(
        Entry{rows.bytes(0), rows.bytes(1), rows.number(2), rows.number(3), rows.number(4), rows.number(5)});
  }
  state_.restore(std::move(entries), std::stoull(read_meta(database_, "revision")));
  Statement last(database_.get(), "SELECT ifnull(max(seq), 0) FROM events");
  last_event_ = last.step() ? last.number(0) : 0;
  state_.set_leases(read_leases(database_));
  loaded_ = true;
}

void KeyValueDatabase::apply_external_changes() {
  Statement first(database_.get(), "SELECT ifnull(min(seq), 0) FROM events");
  const std::uint64_t oldest = first.step() ? first.number(0) : 0;
  if (!loaded_ || oldest > last_event_ + 1) {
    reload();
    return;
  }
  Statement events(database_.get(),
                   "SELECT seq, deleted, key, value, created, modified, version, lease FROM events "
                   "WHERE seq > ? ORDER BY seq");
  events.bind(last_event_);
  while (events.step()) {
    state_.apply(
        KeyChange{events.number(1) != 0, Entry{events.bytes(2), events.bytes(3), events.number(4),
                                               events.number(5), events.number(6), events.number(7)}});
    last_event_ = events.number(0);
  }
  state_.set_leases(read_leases(database_));
}

// ---- Writing ----

void KeyValueDatabase::transact(Milliseconds now, Durability durability,
                                const std::function<void(KeyValueState&)>& operation) {
  set_durability(durability);
  try {
    // Expired leases end in a separate transaction, which is committed even if the operation fails.
    const bool up_to_date = sharing_ == Sharing::kExclusive && loaded_;
    if (!up_to_date || state_.next_expiry().value_or(now + Milliseconds(1)) <= now) {
      run_transaction([now](KeyValueState& state) { state.expire(now); });
    }
    run_transaction(operation);
  } catch (const SqliteError&) {
    loaded_ = false;  // the state in memory may differ from the database
    throw;
  }
}

void KeyValueDatabase::run_transaction(const std::function<void(KeyValueState&)>& operation) {
  WriteTransaction transaction(database_);
  if (sharing_ == Sharing::kShared || !loaded_) {
    apply_external_changes();
  }
  operation(state_);
  store_changes();
  transaction.commit();
}

void KeyValueDatabase::set_durability(Durability durability) {
  if (durability != durability_) {
    database_.run(durability == Durability::kSynced ? "PRAGMA synchronous = FULL"
                                                    : "PRAGMA synchronous = OFF");
    durability_ = durability;
  }
}

void KeyValueDatabase::store_changes() {
  const std::vector<KeyChange> changes = state_.take_changes();
  if (!changes.empty()) {
    ChangeWriter writer(database_);
    for (const KeyChange& change : changes) {
      last_event_ = writer.write(change);
    }
    write_meta(database_, "revision", std::to_string(state_.revision()));
    drop_old_events(changes.size());
  }
  store_lease_changes();
}

// Drops old events once per kEventsBetweenCleanups events, since a cleanup in each transaction would be slow.
void KeyValueDatabase::drop_old_events(std::size_t added) {
  const auto stored = static_cast<std::uint64_t>(limits_.history);
  if (last_event_ > stored && last_event_ % kEventsBetweenCleanups < added) {
    Statement(database_.get(), "DELETE FROM events WHERE seq <= ?").bind(last_event_ - stored).run();
  }
}

void KeyValueDatabase::store_lease_changes() {
  for (const auto& [id, change] : state_.take_lease_changes()) {
    // Opening an exclusive database renews its leases, so their expiry need not be stored.
    if (change == LeaseChange::kRenewed && sharing_ == Sharing::kExclusive) {
      continue;
    }
    if (change == LeaseChange::kEnded) {
      Statement(database_.get(), "DELETE FROM leases WHERE id = ?").bind(id).run();
    } else {
      write_lease(database_, id, state_.leases().at(id));
    }
  }
}

}  // namespace trailcourse::coordination
