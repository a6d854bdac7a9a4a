// The revisioned key-value state of a coordination store: transactions, leases, and the changes that watches
// receive. The coordination server has one. With the embedded store, each process has a copy and applies the
// same changes to it.
//
// After each call that may change the state, take_changes() and take_lease_changes() return the changes. The
// caller has to persist them before it responds to the call. A state can be restored from them.
//
// Library `coordination`: no I/O, no clock; times are those of the caller's steady clock. Not thread-safe.
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

// The call was rejected and changed nothing. The text is one line.
class OperationRejected : public std::runtime_error {
 public:
  enum class Reason { kLeaseNotFound, kLeaseExists, kInvalidRequest, kCompacted };
  OperationRejected(Reason reason, const std::string& text) : std::runtime_error(text), reason_(reason) {}
  Reason reason() const { return reason_; }

 private:
  Reason reason_;
};

// A lease: its time to live, and when it expires by the caller's clock.
struct Lease {
  Milliseconds ttl{0};
  Milliseconds expires_at{0};

  friend bool operator==(const Lease&, const Lease&) = default;
};

// The change of a lease since the last call of take_lease_changes(). A lease that was granted and then
// renewed is kGranted.
enum class LeaseChange { kGranted, kRenewed, kEnded };

// Limits of a state. Calls beyond them are rejected.
struct KeyValueLimits {
  std::size_t key_bytes = 512;
  std::size_t value_bytes = 1U << 20U;  // etcd's default limit of a request is 1.5 MB
  std::size_t entries = 100'000;
  std::size_t leases = 10'000;
  std::size_t operations = 128;  // per branch of a transaction, like etcd's --max-txn-ops
  Milliseconds min_ttl{100};
  Milliseconds max_ttl{86'400'000};
  std::size_t history = 10'000;  // changes that are retained for watches; older ones are compacted
};

// The entries, leases and recent changes of a coordination store.
class KeyValueState {
 public:
  explicit KeyValueState(const KeyValueLimits& limits) : limits_(limits) {}

  // ---- Leases ----

  // Creates a lease. If `id` is 0, the state chooses an id that was not granted before. Throws
  // OperationRejected.
  LeaseId grant(Milliseconds now, Milliseconds ttl, LeaseId id);
  // Renews the lease and returns its time to live; 0 if it does not exist.
  Milliseconds keep_alive(Milliseconds now, LeaseId id);
  // Ends the lease and deletes its keys. Throws OperationRejected if it does not exist.
  void revoke(LeaseId id);
  // Ends the leases that have expired. Each one that has keys takes one revision.
  void expire(Milliseconds now);
  // Returns when the next lease expires, or nothing if there are no leases.
  std::optional<Milliseconds> next_expiry() const;
  const std::map<LeaseId, Lease>& leases() const { return leases_; }

  // ---- Entries ----

  // Executes the transaction. Throws OperationRejected; nothing is changed then.
  TransactionResult commit(const Transaction& transaction);
  // Returns the entries of the range, sorted by key.
  std::vector<Entry> get(const Range& range) const;
  const std::map<std::string, Entry>& entries() const { return entries_; }
  Revision revision() const { return revision_; }

  // ---- History ----

  // Returns the first revision whose changes are still available.
  Revision compacted() const { return compacted_; }
  // Returns the changes of the range at revision `from` and later, in order. Throws OperationRejected if some
  // of them were compacted.
  std::vector<KeyChange> changes_since(Revision from, const Range& range) const;
  // Drops the changes before this revision from the history.
  void compact(Revision before);

  // ---- Persistence ----

  // Returns the changes since the last call of this function.
  std::vector<KeyChange> take_changes();
  // Returns the leases that changed since the last call of this function.
  std::map<LeaseId, LeaseChange> take_lease_changes();
  // Replaces the entries and the revision, and clears the history. The leases stay.
  void restore(std::vector<Entry> entries, Revision revision);
  // Applies a change of another copy of the state. Changes have to be applied in order and without gaps.
  void apply(const KeyChange& change);
  // Replaces the leases.
  void set_leases(std::map<LeaseId, Lease> leases);
  // Renews all leases, as after a restart of the store.
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
  std::set<std::pair<Milliseconds, LeaseId>> expiry_queue_;  // all leases, ordered by expiry
  std::map<LeaseId, LeaseChange> lease_changes_;
  std::map<LeaseId, std::set<std::string>> lease_keys_;
  std::deque<KeyChange> history_;
  std::vector<KeyChange> pending_changes_;
};

}  // namespace trailcourse::coordination
