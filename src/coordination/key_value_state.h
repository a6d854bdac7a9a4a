// What a store of shared truth decides: which conditions hold, what a transaction changes, which leases have
// ended and what ends with them, what a watch is told. Both stores of this project stand on it: the registry
// keeps one ledger, the embedded store has each process follow the same history.
//
// Each call that changes anything leaves its changes in take_changes(), to be kept durably before its result is
// told. A ledger that is read back from what was kept goes on where it was.
//
// Package `coordination`: no I/O, no clock; time is milliseconds of the caller's steady clock. Not
// thread-safe.
#pragma once

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

// A call that cannot be done and changed nothing; its text is one line.
class OperationRejected : public std::runtime_error {
 public:
  enum class Reason { kLeaseNotFound, kLeaseExists, kInvalidRequest, kCompacted };
  OperationRejected(Reason reason, const std::string& text) : std::runtime_error(text), reason_(reason) {}
  Reason reason() const { return reason_; }

 private:
  Reason reason_;
};

struct Lease {
  std::int64_t ttl_ms = 0;
  std::int64_t ends_ms = 0;  // by the clock of the calls

  friend bool operator==(const Lease&, const Lease&) = default;
};

// What became of a lease since its changes were taken out last.
enum class LeaseChange { kGranted, kRenewed, kEnded };

struct KeyValueLimits {
  std::size_t key_bytes = 512;
  std::size_t value_bytes = 1U << 20U;  // as etcd's requests, 1.5 MB by default, may hold
  std::size_t entries = 100'000;
  std::size_t leases = 10'000;
  std::size_t steps = 128;  // of a transaction, as etcd's --max-txn-ops
  std::int64_t least_ttl_ms = 100;
  std::int64_t most_ttl_ms = 86'400'000;
  std::size_t history = 10'000;  // changes kept for watches; what is older is compacted away
};

class KeyValueState {
 public:
  explicit KeyValueState(const KeyValueLimits& limits) : limits_(limits) {}

  // Throws Rejected. `id` 0: a free one is made from the revision and a count; it is never given twice.
  LeaseId grant(std::int64_t now_ms, std::int64_t ttl_ms, LeaseId id);
  // The time it has from now; 0 where there is none of that number.
  std::int64_t keep_alive(std::int64_t now_ms, LeaseId id);
  // Deletes what stands under it. Throws Rejected.
  void revoke(LeaseId id);
  // Ends what is over, as one revision a lease.
  void expire(std::int64_t now_ms);
  std::optional<std::int64_t> next_expiry() const;
  const std::map<LeaseId, Lease>& leases() const { return leases_; }

  // Throws Rejected; then nothing was done.
  TransactionResult commit(const Transaction& transaction);
  std::vector<Entry> get(const Range& range) const;

  Revision revision() const { return revision_; }
  // Changes from this revision on are still known; earlier ones are not.
  Revision compacted() const { return compacted_; }
  // What happened in a range at `from` and later, in order. Throws Rejected where that is compacted away.
  std::vector<KeyChange> changes_since(Revision from, const Range& range) const;
  void compact(Revision before);

  // What the last calls changed, taken out; to be kept.
  std::vector<KeyChange> take_changes();

  // The leases that the last calls touched, taken out; those that change none are not among them.
  std::map<LeaseId, LeaseChange> take_lease_changes();

  // Reading back: entries, then the revision; then changes that came later, in order.
  void restore(std::vector<Entry> entries, Revision revision);
  void apply(const KeyChange& change);
  void set_leases(std::map<LeaseId, Lease> leases);
  // The leases go on for their full time from now, as after a restart of the store: never shorter than told.
  void renew_all(std::int64_t now_ms);
  const std::map<std::string, Entry>& entries() const { return entries_; }

 private:
  bool holds(const Compare& compare) const;
  void check(const Transaction& transaction) const;
  void note(const KeyChange& change);
  void put(const Put& put, Revision at);
  std::uint64_t remove(const Range& range, Revision at);
  void end(LeaseId id);
  void order_leases();

  KeyValueLimits limits_;
  Revision revision_ = 1;
  Revision compacted_ = 1;
  std::uint64_t last_grant_ = 0;
  std::map<std::string, Entry> entries_;
  std::map<LeaseId, Lease> leases_;
  std::set<std::pair<std::int64_t, LeaseId>> ends_;  // of all leases, the next to end first
  std::map<LeaseId, LeaseChange> lease_changes_;
  std::map<LeaseId, std::set<std::string>> held_;  // keys under each lease
  std::deque<KeyChange> history_;
  std::vector<KeyChange> fresh_;
};

}  // namespace trailcourse::coordination
