// The state machine of a coordination store: which conditions hold, what a transaction changes, which leases
// have expired, and which changes a watch receives. The coordination server keeps one; with the embedded
// store, each process applies the same history to its own.
//
// After each call that changes anything, take_changes() and take_lease_changes() return the changes; they are
// to be persisted before the call is answered. A state that is restored from them continues where it was.
//
// Package `coordination`: no I/O, no clock; times are read from the caller's steady clock. Not thread-safe.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "coordination/types.h"

namespace trailcourse::coordination {

// A point in time of the steady clock that a state's caller uses, or a duration.
using Milliseconds = std::chrono::milliseconds;

// A call that cannot be executed and changed nothing. The text is one line.
class OperationRejected : public std::runtime_error {
 public:
  enum class Reason { kLeaseNotFound, kLeaseExists, kInvalidRequest, kCompacted };
  OperationRejected(Reason reason, const std::string& text) : std::runtime_error(text), reason_(reason) {}
  Reason reason() const { return reason_; }

 private:
  Reason reason_;
};

struct Lease {
  Milliseconds ttl{0};
  Milliseconds expires_at{0};

  friend bool operator==(const Lease&, const Lease&) = default;
};

// What happened to a lease since take_lease_changes() was called last.
enum class LeaseChange { kGranted, kRenewed, kEnded };

struct KeyValueLimits {
  std::size_t key_bytes = 512;
  std::size_t value_bytes = 1U << 20U;  // etcd's requests hold up to 1.5 MB by default
  std::size_t entries = 100'000;
  std::size_t leases = 10'000;
  std::size_t operations = 128;  // of a transaction, like etcd's --max-txn-ops
  Milliseconds min_ttl{100};
  Milliseconds max_ttl{86'400'000};
  std::size_t history = 10'000;  // changes that are stored for watches; older ones are compacted
};

class KeyValueState {
 public:
  explicit KeyValueState(const KeyValueLimits& limits) : limits_(limits) {}

  // ---- Leases ----

  // Throws OperationRejected. `id` 0: a new id is made of the revision and a count; no id is given twice.
  LeaseId grant(Milliseconds now, Milliseconds ttl, LeaseId id);
  // Returns the lease's time to live from now on; 0 if there is no such lease.
  Milliseconds keep_alive(Milliseconds now, LeaseId id);
  // Deletes the lease's keys. Throws OperationRejected.
  void revoke(LeaseId id);
  // Ends the leases that have expired; one revision for each that has keys.
  void expire(Milliseconds now);
  std::optional<Milliseconds> next_expiry() const;
  const std::map<LeaseId, Lease>& leases() const { return leases_; }

  // ---- Entries ----

  // Throws OperationRejected; then nothing was changed.
  TransactionResult commit(const Transaction& transaction);
  std::vector<Entry> get(const Range& range) const;
  const std::map<std::string, Entry>& entries() const { return entries_; }
  Revision revision() const { return revision_; }

  // ---- History ----

  // Returns the first revision whose changes are still available.
  Revision compacted() const { return compacted_; }
  // Returns the changes of a range from this revision on, in order. Throws OperationRejected if they were
  // compacted.
  std::vector<KeyChange> changes_since(Revision from, const Range& range) const;
  // Drops the changes before this revision.
  void compact(Revision before);

  // ---- Persistence ----

  // Returns the changes since it was called last.
  std::vector<KeyChange> take_changes();
  // Returns the leases that changed since it was called last.
  std::map<LeaseId, LeaseChange> take_lease_changes();
  // Replaces everything but the leases.
  void restore(std::vector<Entry> entries, Revision revision);
  // Applies a change that was made elsewhere, later than all that was restored or applied.
  void apply(const KeyChange& change);
  void set_leases(std::map<LeaseId, Lease> leases);
  // Gives each lease its full time to live from now on, as after a restart of the store.
  void renew_all(Milliseconds now);

 private:
  bool holds(const Compare& compare) const;
  void check(const Transaction& transaction) const;
  void check_operations(const std::vector<Operation>& operations) const;
  void check_put(const Put& put, std::set<std::string>& written) const;
  void check_key(const std::string& key, bool may_be_empty) const;
  void record(const KeyChange& change);
  void put(const Put& put, Revision revision);
  std::uint64_t remove(const Range& range, Revision revision);
  void detach_from_lease(const std::string& key);
  void end_lease(LeaseId id);
  void rebuild_expiry_queue();

  KeyValueLimits limits_;
  Revision revision_ = 1;
  Revision compacted_ = 1;
  std::uint64_t last_grant_ = 0;
  std::map<std::string, Entry> entries_;
  std::map<LeaseId, Lease> leases_;
  std::set<std::pair<Milliseconds, LeaseId>> expiry_queue_;  // of all leases, the next to expire first
  std::map<LeaseId, LeaseChange> lease_changes_;
  std::map<LeaseId, std::set<std::string>> lease_keys_;
  std::deque<KeyChange> history_;
  std::vector<KeyChange> untaken_changes_;
};

}  // namespace trailcourse::coordination
