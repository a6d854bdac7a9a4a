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

constexpr int kBusyMs = 2'000;
constexpr std::chrono::milliseconds kBusyPause{2};
constexpr std::uint64_t kIdMask = 0xffff'ffff'ffffU;
constexpr const char* kFileName = "/ledger.sqlite";

std::string made_folder(const std::string& folder) {
  if (::mkdir(folder.c_str(), 0700) != 0 && errno != EEXIST) {
    throw std::runtime_error(folder + ": cannot be made");
  }
  return folder + kFileName;
}

std::string boot_id() {
  std::ifstream file("/proc/sys/kernel/random/boot_id");
  std::string out;
  std::getline(file, out);
  return out;
}

std::string meta(const Database& database, std::string_view name) {
  Statement statement(database.get(), "SELECT value FROM meta WHERE name = ?");
  return statement.bind(name).step() ? statement.bytes(0) : std::string();
}

void set_meta(const Database& database, std::string_view name, std::string_view value) {
  Statement(database.get(), "INSERT OR REPLACE INTO meta (name, value) VALUES (?, ?)")
      .bind(name)
      .bind(value)
      .run();
}

std::map<LeaseId, Lease> read_leases(const Database& database) {
  std::map<LeaseId, Lease> out;
  Statement held(database.get(), "SELECT id, ttl, ends FROM leases");
  while (held.step()) {
    out[held.number(0)] =
        Lease{static_cast<std::int64_t>(held.number(1)), static_cast<std::int64_t>(held.number(2))};
  }
  return out;
}

// Rolled back unless it was committed.
class Write {
 public:
  explicit Write(const Database& database) : database_(database) { database_.run("BEGIN IMMEDIATE"); }
  ~Write() {
    if (!done_) {
      sqlite3_exec(database_.get(), "ROLLBACK", nullptr, nullptr, nullptr);
    }
  }
  Write(const Write&) = delete;
  Write& operator=(const Write&) = delete;
  void commit() {
    database_.run("COMMIT");
    done_ = true;
  }

 private:
  const Database& database_;
  bool done_ = false;
};

// SQLite answers SQLITE_BUSY at once, without its busy time, where another connection is switching a new file
// to this mode in the same moment: that is waited for here.
void use_write_ahead_log(const Database& database) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(kBusyMs);
  for (;;) {
    try {
      database.run("PRAGMA journal_mode = WAL");
      return;
    } catch (const SqliteError&) {
      const bool busy = sqlite3_errcode(database.get()) == SQLITE_BUSY;
      if (!busy || std::chrono::steady_clock::now() >= end) {
        throw;
      }
    }
    std::this_thread::sleep_for(kBusyPause);
  }
}

}  // namespace

std::int64_t KeyValueDatabase::boot_time_ms() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return static_cast<std::int64_t>(now.tv_sec) * 1'000 + now.tv_nsec / 1'000'000;
}

KeyValueDatabase::KeyValueDatabase(const std::string& folder, const KeyValueLimits& limits, Sharing sharing)
    : limits_(limits), sharing_(sharing), database_(made_folder(folder), kBusyMs), ledger_(limits) {
  if (sharing == Sharing::kExclusive) {
    database_.run("PRAGMA locking_mode = EXCLUSIVE");
  }
  try {
    use_write_ahead_log(database_);
    database_.run("PRAGMA synchronous = FULL");
    Write write(database_);
    database_.run(
        "CREATE TABLE IF NOT EXISTS meta (name BLOB PRIMARY KEY, value BLOB) WITHOUT ROWID;"
        "CREATE TABLE IF NOT EXISTS entries (key BLOB PRIMARY KEY, value BLOB, created INTEGER,"
        " modified INTEGER, version INTEGER, lease INTEGER) WITHOUT ROWID;"
        "CREATE TABLE IF NOT EXISTS events (seq INTEGER PRIMARY KEY AUTOINCREMENT, deleted INTEGER,"
        " key BLOB, value BLOB, created INTEGER, modified INTEGER, version INTEGER, lease INTEGER);"
        "CREATE TABLE IF NOT EXISTS leases (id INTEGER PRIMARY KEY, ttl INTEGER, ends INTEGER);");
    if (meta(database_, "id").empty()) {
      std::random_device entropy;
      const std::uint64_t drawn = ((std::uint64_t{entropy()} << 32U) | entropy()) & kIdMask;
      set_meta(database_, "id", std::to_string(drawn | 1U));
      set_meta(database_, "revision", "1");
    }
    id_ = std::stoull(meta(database_, "id"));
    reload();
    // Leases of another run of the machine, or of the registry, go by a clock that is no more.
    const std::string boot = boot_id();
    if (sharing == Sharing::kExclusive || meta(database_, "boot") != boot) {
      ledger_.renew_all(boot_time_ms());
      Statement statement(database_.get(), "INSERT OR REPLACE INTO leases (id, ttl, ends) VALUES (?, ?, ?)");
      for (const auto& [lease, one] : ledger_.leases()) {
        statement.bind(lease).bind(one.ttl_ms).bind(one.ends_ms).run();
      }
      set_meta(database_, "boot", boot);
    }
    write.commit();
  } catch (const SqliteError& error) {
    throw std::runtime_error(folder + ": " + error.what() +
                             (sharing == Sharing::kExclusive ? "; is another registry running there?" : ""));
  }
}

void KeyValueDatabase::reload() {
  ledger_ = KeyValueState(limits_);
  std::vector<Entry> entries;
  Statement rows(database_.get(), "SELECT key, value, created, modified, version, lease FROM entries");
  while (rows.step()) {
    entries.push_back(
        Entry{rows.bytes(0), rows.bytes(1), rows.number(2), rows.number(3), rows.number(4), rows.number(5)});
  }
  ledger_.restore(std::move(entries), std::stoull(meta(database_, "revision")));
  Statement last(database_.get(), "SELECT ifnull(max(seq), 0) FROM events");
  followed_ = last.step() ? last.number(0) : 0;
  ledger_.set_leases(read_leases(database_));
  loaded_ = true;
}

void KeyValueDatabase::follow_others() {
  Statement first(database_.get(), "SELECT ifnull(min(seq), 0) FROM events");
  const std::uint64_t oldest = first.step() ? first.number(0) : 0;
  if (!loaded_ || oldest > followed_ + 1) {
    reload();
    return;
  }
  Statement events(database_.get(),
                   "SELECT seq, deleted, key, value, created, modified, version, lease FROM events "
                   "WHERE seq > ? ORDER BY seq");
  events.bind(followed_);
  while (events.step()) {
    ledger_.apply(
        KeyChange{events.number(1) != 0, Entry{events.bytes(2), events.bytes(3), events.number(4),
                                            events.number(5), events.number(6), events.number(7)}});
    followed_ = events.number(0);
  }
  ledger_.set_leases(read_leases(database_));
}

void KeyValueDatabase::keep() {
  const std::vector<KeyChange> changes = ledger_.take_changes();
  if (!changes.empty()) {
    Statement event(database_.get(),
                    "INSERT INTO events (deleted, key, value, created, modified, version, lease) "
                    "VALUES (?, ?, ?, ?, ?, ?, ?)");
    Statement put(database_.get(),
                  "INSERT OR REPLACE INTO entries (key, value, created, modified, version, lease) "
                  "VALUES (?, ?, ?, ?, ?, ?)");
    Statement gone(database_.get(), "DELETE FROM entries WHERE key = ?");
    for (const KeyChange& change : changes) {
      const Entry& entry = change.entry;
      event.bind(std::uint64_t{change.deleted ? 1U : 0U}).bind(entry.key).bind(entry.value);
      event.bind(entry.created).bind(entry.modified).bind(entry.version).bind(entry.lease).run();
      followed_ = static_cast<std::uint64_t>(sqlite3_last_insert_rowid(database_.get()));
      if (change.deleted) {
        gone.bind(entry.key).run();
      } else {
        put.bind(entry.key).bind(entry.value).bind(entry.created).bind(entry.modified);
        put.bind(entry.version).bind(entry.lease).run();
      }
    }
    set_meta(database_, "revision", std::to_string(ledger_.revision()));
    const std::uint64_t keep = static_cast<std::uint64_t>(limits_.history);
    if (followed_ > keep && followed_ % 256 < changes.size()) {
      Statement(database_.get(), "DELETE FROM events WHERE seq <= ?").bind(followed_ - keep).run();
    }
  }
  keep_leases();
}

void KeyValueDatabase::keep_leases() {
  for (const auto& [id, change] : ledger_.take_lease_changes()) {
    // A registry's leases go on in full after its restart: their ends need not be kept.
    if (change == LeaseChange::kRenewed && sharing_ == Sharing::kExclusive) {
      continue;
    }
    if (change == LeaseChange::kEnded) {
      Statement(database_.get(), "DELETE FROM leases WHERE id = ?").bind(id).run();
      continue;
    }
    const Lease& lease = ledger_.leases().at(id);
    Statement(database_.get(), "INSERT OR REPLACE INTO leases (id, ttl, ends) VALUES (?, ?, ?)")
        .bind(id)
        .bind(lease.ttl_ms)
        .bind(lease.ends_ms)
        .run();
  }
}

void KeyValueDatabase::use(std::int64_t now_ms, bool durable, const std::function<void(KeyValueState&)>& use) {
  if (durable != durable_) {
    database_.run(durable ? "PRAGMA synchronous = FULL" : "PRAGMA synchronous = OFF");
    durable_ = durable;
  }
  const auto attempt = [&](const std::function<void(KeyValueState&)>& what) {
    Write write(database_);
    if (sharing_ == Sharing::kShared || !loaded_) {
      follow_others();
    }
    what(ledger_);
    keep();
    write.commit();
  };
  try {
    // What is over ends in a transaction of its own: it has happened, whatever becomes of the call.
    const bool alone = sharing_ == Sharing::kExclusive && loaded_;
    if (!alone || ledger_.next_expiry().value_or(now_ms + 1) <= now_ms) {
      attempt([now_ms](KeyValueState& ledger) { ledger.expire(now_ms); });
    }
    attempt(use);
  } catch (const SqliteError&) {
    loaded_ = false;  // what stands in memory may not stand in the file
    throw;
  }
}

}  // namespace trailcourse::coordination
