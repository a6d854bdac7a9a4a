// A key-value state in an SQLite database, used by one process or shared by all processes of a machine.
//
// Library `coordination`. Not thread-safe. Every call may wait for the disk.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "coordination/key_value_state.h"
#include "coordination/sqlite.h"

namespace trailcourse::coordination {

// Keeps a KeyValueState in memory and in the database `ledger.sqlite` of a folder.
class KeyValueDatabase {
 public:
  enum class Sharing {
    kExclusive,  // used by one process; leases get their full time to live when it is opened
    kShared,     // used by processes of one machine; leases expire by the machine's time since boot
  };
  enum class Durability {
    kSynced,    // the changes survive a loss of power
    kUnsynced,  // a loss of power may undo the changes: sufficient for renewals of leases
  };

  // Creates the folder and the database if they do not exist. Throws SqliteError if the file cannot be
  // opened, and std::runtime_error if the database cannot be used, for example because another process uses
  // it exclusively.
  KeyValueDatabase(const std::string& folder, const KeyValueLimits& limits, Sharing sharing);

  // Returns the identity of the store: a random number of 48 bits, drawn when the database was created.
  std::uint64_t id() const { return id_; }

  // Ends expired leases, calls `operation` with the current state, and stores its changes. Exceptions of
  // `operation` are passed on; it must not throw after a change, except SqliteError. Throws SqliteError if
  // the changes cannot be stored; nothing is changed then. `now` is boot_time().
  void transact(Milliseconds now, Durability durability,
                const std::function<void(KeyValueState&)>& operation);

  // Returns the state after the last transact(). Valid only for an exclusive database, and not after a
  // transact() that threw SqliteError.
  const KeyValueState& state() const { return state_; }

  // Returns the time since the machine was booted. This clock includes suspended time and is never set.
  static Milliseconds boot_time();

 private:
  void create_tables();
  void renew_stale_leases();
  void reload();
  void apply_external_changes();
  void run_transaction(const std::function<void(KeyValueState&)>& operation);
  void set_durability(Durability durability);
  void store_changes();
  void drop_old_events(std::size_t added);
  void store_lease_changes();

  KeyValueLimits limits_;
  Sharing sharing_;
  Database database_;
  KeyValueState state_;
  std::uint64_t id_ = 0;
  std::uint64_t last_event_ = 0;  // the last row of `events` that was applied
  bool loaded_ = false;           // whether the state in memory equals the database
  Durability durability_ = Durability::kSynced;
};

}  // namespace trailcourse::coordination
