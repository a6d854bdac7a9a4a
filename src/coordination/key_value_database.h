// A key-value state that is stored in an SQLite database in a folder, used by one process or shared by all
// processes of a machine.
//
// Package `coordination`. Takes no locks of its own: one thread at a time. Every call may wait for the disk.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "coordination/key_value_state.h"
#include "coordination/sqlite.h"

namespace trailcourse::coordination {

class KeyValueDatabase {
 public:
  enum class Sharing {
    kExclusive,  // one process uses it; leases get their full time to live when it is opened
    kShared,     // processes of one machine use it; leases expire by the machine's clock since boot
  };
  enum class Durability {
    kSynced,    // the changes survive a loss of power
    kUnsynced,  // they may not: enough for renewals of leases
  };

  // Creates the folder and the database if there are none. Throws SqliteError, or std::runtime_error if
  // another process uses the database exclusively.
  KeyValueDatabase(const std::string& folder, const KeyValueLimits& limits, Sharing sharing);

  // Returns the number that tells this store from another one, drawn when the database was created. 48 bits.
  std::uint64_t id() const { return id_; }

  // Calls `operation` with the current state, after expired leases were ended, and stores what it changed.
  // What
  // `operation` throws is passed on, with the state unchanged. Throws SqliteError if the changes could not be
  // stored: then nothing was changed. `now` is boot_time().
  void transact(Milliseconds now, Durability durability,
                const std::function<void(KeyValueState&)>& operation);

  // Returns the state as the last transact() left it, unless that threw SqliteError. For an exclusive
  // database.
  const KeyValueState& state() const { return state_; }

  // Returns the time since the machine was booted. The clock goes on while the machine is suspended, and is
  // never set.
  static Milliseconds boot_time();

 private:
  void create_tables();
  void renew_stale_leases();
  void reload();
  void apply_changes_of_others();
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
  std::uint64_t last_event_ = 0;  // the row of `events` that was applied last
  bool loaded_ = false;           // the state in memory is that of the database
  Durability durability_ = Durability::kSynced;
};

}  // namespace trailcourse::coordination
