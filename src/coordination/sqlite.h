// RAII wrappers of SQLite's handles (https://sqlite.org/c3ref/).
//
// Library `coordination`. Not thread-safe: one thread at a time.
#pragma once

#include <sqlite3.h>

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

namespace trailcourse::coordination {

// A failed call of SQLite. The text is `operation` and SQLite's message.
class SqliteError : public std::runtime_error {
 public:
  SqliteError(const std::string& operation, sqlite3* database)
      : std::runtime_error(operation + ": " +
                           (database != nullptr ? sqlite3_errmsg(database) : "no database")) {}
};

// A prepared statement. Parameters are bound in order.
class Statement {
 public:
  // The database must outlive the statement. Throws SqliteError.
  Statement(sqlite3* database, const char* text) : database_(database) {
    sqlite3_stmt* prepared = nullptr;
    if (sqlite3_prepare_v2(database, text, -1, &prepared, nullptr) != SQLITE_OK) {
      throw SqliteError(text, database);
    }
    statement_.reset(prepared);
  }

  // Binds the next parameter. Numbers are stored as signed 64-bit integers. Throws SqliteError.
  Statement& bind(std::uint64_t number) {
    check(sqlite3_bind_int64(statement_.get(), ++bound_, static_cast<sqlite3_int64>(number)));
    return *this;
  }
  Statement& bind(std::int64_t number) { return bind(static_cast<std::uint64_t>(number)); }
  Statement& bind(std::string_view bytes) {
    check(sqlite3_bind_blob64(statement_.get(), ++bound_, bytes.data(), bytes.size(), SQLITE_TRANSIENT));
    return *this;
  }

  // Advances to the next row. Returns whether there is one. Throws SqliteError.
  bool step() {
    const int code = sqlite3_step(statement_.get());
    if (code != SQLITE_ROW && code != SQLITE_DONE) {
      throw SqliteError("step", database_);
    }
    return code == SQLITE_ROW;
  }
  // Runs the statement to its end and resets it, so that it can be bound again. Throws SqliteError.
  void run() {
    while (step()) {
    }
    sqlite3_reset(statement_.get());
    bound_ = 0;
  }
  // Return a column of the current row. Columns are numbered from 0.
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
  struct Finalize {
    void operator()(sqlite3_stmt* statement) const { sqlite3_finalize(statement); }
  };

  void check(int code) const {
    if (code != SQLITE_OK) {
      throw SqliteError("bind", database_);
    }
  }

  sqlite3* database_;
  std::unique_ptr<sqlite3_stmt, Finalize> statement_;
  int bound_ = 0;
};

// An open database, which is created if it does not exist.
class Database {
 public:
  // A statement waits up to `busy_ms` milliseconds for other connections. Throws SqliteError.
  Database(const std::string& path, int busy_ms) {
    sqlite3* opened = nullptr;
    const int code = sqlite3_open_v2(
        path.c_str(), &opened, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_FULLMUTEX, nullptr);
    database_.reset(opened);
    if (code != SQLITE_OK) {
      throw SqliteError(path, opened);
    }
    sqlite3_busy_timeout(opened, busy_ms);
  }

  // Returns the handle, which this object owns.
  sqlite3* get() const { return database_.get(); }
  // Runs statements without parameters. Throws SqliteError.
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
