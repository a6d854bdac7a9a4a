// A ledger kept in a folder by SQLite in WAL mode: the registry's memory, and what the processes of one
// machine share. Each use is one transaction of the database: it first follows what other processes wrote,
// and its changes are on the disk before it returns.
//
// What SQLite guarantees: isolation by its lock on the file, which all processes of one machine see (a folder
// on a network file system will not do, https://sqlite.org/wal.html); a transaction that was committed with
// synchronous=FULL outlives a loss of power.
//
// Package `coordination`. Blocks; one thread at a time.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "coordination/key_value_state.h"
#include "coordination/sqlite.h"

namespace trailcourse::coordination {

class KeyValueDatabase {
 public:
  enum class Sharing {
    kExclusive,   // this process alone uses it, and leases go on in full at its start
    kShared,  // processes of one machine; leases go by the machine's clock since it was started
  };

  // Makes the folder and the file where there are none. Throws SqliteError, or std::runtime_error where
  // another process has it alone.
  KeyValueDatabase(const std::string& folder, const KeyValueLimits& limits, Sharing sharing);

  // The number that tells this store from another, drawn when it was made. 48 bits.
  std::uint64_t id() const { return id_; }

  // Calls `use` with the ledger as it is now, leases that are over ended, and keeps what it changed. What
  // `use` throws goes on to the caller, with the ledger unchanged. Throws SqliteError where the changes could
  // not be kept: then nothing was done. `durable`: changes outlive a loss of power; false is for renewals,
  // which need not.
  void use(std::int64_t now_ms, bool durable, const std::function<void(KeyValueState&)>& use);

  // As the last use left it, which did not throw SqliteError; for one that has the file alone.
  const KeyValueState& state() const { return ledger_; }

  // Milliseconds since the machine was started; goes on while it is suspended, and is not set.
  static std::int64_t boot_time_ms();

 private:
  void reload();
  void follow_others();
  void keep();
  void keep_leases();

  KeyValueLimits limits_;
  Sharing sharing_;
  Database database_;
  KeyValueState ledger_;
  std::uint64_t id_ = 0;
  std::uint64_t followed_ = 0;  // the last row of events taken in
  bool loaded_ = false;
  bool durable_ = true;
};

}  // namespace trailcourse::coordination
