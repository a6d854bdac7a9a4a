// SQLite's handles as objects, and statements that are bound and read in order (https://sqlite.org/c3ref/).
//
// Package `coordination`. Not thread-safe: one thread at a time.
#pragma once

#include <sqlite3.h>

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

namespace trailcourse::coordination {

class SqliteError : public std::runtime_error {
 public:
  SqliteError(const std::string& what, sqlite3* database)
      : std::runtime_error(what + ": " + (database != nullptr ? sqlite3_errmsg(database) : "no database")) {}
};

class Statement {
 public:
  Statement(sqlite3* database, const char* text) : database_(database) {
    sqlite3_stmt* made = nullptr;
    if (sqlite3_prepare_v2(database, text, -1, &made, nullptr) != SQLITE_OK) {
      throw SqliteError(text, database);
    }
    statement_.reset(made);
  }

  // The next parameter; 64-bit numbers are kept as SQLite's signed ones.
  Statement& bind(std::uint64_t number) {
    check(sqlite3_bind_int64(statement_.get(), ++bound_, static_cast<sqlite3_int64>(number)));
    return *this;
  }
  Statement& bind(std::int64_t number) { return bind(static_cast<std::uint64_t>(number)); }
  Statement& bind(std::string_view bytes) {
    check(sqlite3_bind_blob64(statement_.get(), ++bound_, bytes.data(), bytes.size(), SQLITE_TRANSIENT));
    return *this;
  }

  // Whether there is a further row. Throws SqliteError.
  bool step() {
    const int code = sqlite3_step(statement_.get());
    if (code != SQLITE_ROW && code != SQLITE_DONE) {
      throw SqliteError("step", database_);
    }
    return code == SQLITE_ROW;
  }
  // Runs it whole; it can be bound anew then.
  void run() {
    while (step()) {
    }
    sqlite3_reset(statement_.get());
    bound_ = 0;
  }
  std::uint64_t number(int column) const {
    return static_cast<std::uint64_t>(sqlite3_column_int64(statement_.get(), column));
  }
  std::string bytes(int column) const {
    const void* const data = sqlite3_column_blob(statement_.get(), column);
    const int size = sqlite3_column_bytes(statement_.get(), column);
    return data == nullptr ? std::string()
                           : std::string(static_cast<const char*>(data), static_cast<std::size_t>(size));
  }

 private:
  struct End {
    void operator()(sqlite3_stmt* statement) const { sqlite3_finalize(statement); }
  };

  void check(int code) const {
    if (code != SQLITE_OK) {
      throw SqliteError("bind", database_);
    }
  }

  sqlite3* database_;
  std::unique_ptr<sqlite3_stmt, End> statement_;
  int bound_ = 0;
};

class Database {
 public:
  // Throws SqliteError.
  Database(const std::string& path, int busy_ms) {
    sqlite3* made = nullptr;
    const int code = sqlite3_open_v2(
        path.c_str(), &made, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_FULLMUTEX, nullptr);
    database_.reset(made);
    if (code != SQLITE_OK) {
      throw SqliteError(path, made);
    }
    sqlite3_busy_timeout(made, busy_ms);
  }

  sqlite3* get() const { return database_.get(); }
  void run(const char* text) const {
    if (sqlite3_exec(database_.get(), text, nullptr, nullptr, nullptr) != SQLITE_OK) {
      throw SqliteError(text, database_.get());
    }
  }

 private:
  struct Close {
    void operator()(sqlite3* database) const { sqlite3_close_v2(database); }
  };
  std::unique_ptr<sqlite3, Close> database_;
};

}  // namespace trailcourse::coordination
