// The interface of a coordination store: conditional transactions, leases, and watches over a range of keys.
// All backends behave alike: they pass one conformance suite (tests/coordination_test.cpp).
//
// Library `coordination`. Not thread-safe: a store belongs to its scheduler's thread. Callbacks and observers
// are called from the scheduler, never from within a call of this interface. Every call ends within a time
// limit. No call is retried here, because only the caller knows whether it may be executed twice.
#pragma once

#include <trailcourse/decider.h>

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/types.h"

namespace trailcourse::coordination {

// How a call ended.
enum class CallStatus {
  kOk,        // the store executed the call
  kRejected,  // the store rejected the call and changed nothing
  kNotSent,   // the call did not reach the store
  kUnknown    // no usable response: the call may have been executed or not
};

// The result of a call.
template <typename Value>
struct StoreResponse {
  CallStatus status = CallStatus::kUnknown;
  Value value{};      // if the status is kOk
  std::string error;  // for any other status: one line for logs

  bool ok() const { return status == CallStatus::kOk; }
};

// The result of grant() and keep_alive().
struct GrantedLease {
  LeaseId id = 0;
  Micros ttl{0};  // 0: the lease does not exist
};
// The value of a response that carries none.
struct Empty {};

// Receives the changes that a watch delivers, in the order of revisions and without gaps.
class WatchObserver {
 public:
  WatchObserver() = default;
  WatchObserver(const WatchObserver&) = delete;
  WatchObserver& operator=(const WatchObserver&) = delete;
  virtual ~WatchObserver() = default;

  // Called with all entries of the range: at the start, and when changes since the last call were compacted.
  virtual void on_snapshot(Revision revision, const std::vector<Entry>& entries) = 0;
  // Called with the changes since the last snapshot or change; `revision` is the store's revision after them.
  virtual void on_changes(Revision revision, const std::vector<KeyChange>& changes) = 0;
  // Called when the watch is disconnected. The delivered state may be outdated until the next call of another
  // function. The watch reconnects by itself.
  virtual void on_disconnected(const std::string& reason) = 0;
  // Called when a response shows that the store is alive, whether or not anything changed.
  virtual void on_heartbeat() {}
};

// Counts since the store was constructed.
struct StoreCounts {
  std::uint64_t calls = 0;
  std::uint64_t failed = 0;   // calls that did not end with kOk
  std::uint64_t unknown = 0;  // failed calls that ended with kUnknown
  std::uint64_t watches_opened = 0;
  std::uint64_t changes = 0;  // delivered to observers
};

// A client of a coordination store.
class CoordinationStore {
 public:
  template <typename Value>
  using Callback = std::function<void(const StoreResponse<Value>&)>;
  using WatchId = std::uint64_t;

  CoordinationStore() = default;
  CoordinationStore(const CoordinationStore&) = delete;
  CoordinationStore& operator=(const CoordinationStore&) = delete;
  virtual ~CoordinationStore() = default;

  // Creates a lease that expires after `ttl` unless it is renewed.
  virtual void grant(Micros ttl, Callback<GrantedLease> callback) = 0;
  // Renews a lease. If it does not exist, the status is kOk and the ttl is 0.
  virtual void keep_alive(LeaseId lease, Callback<GrantedLease> callback) = 0;
  // Ends a lease and deletes its keys. If it does not exist, the status is kOk as well.
  virtual void revoke(LeaseId lease, Callback<Empty> callback) = 0;
  // Executes a transaction atomically.
  virtual void commit(Transaction transaction, Callback<TransactionResult> callback) = 0;

  // Starts a watch. The observer must outlive the watch, which ends with unwatch() or with the store.
  virtual WatchId watch(const Range& range, WatchObserver& observer) = 0;
  // Ends a watch; its observer is not called any more.
  virtual void unwatch(WatchId watch) = 0;

  // Returns the store's identity (its cluster_id); 0 before the first response.
  virtual std::uint64_t id() const = 0;
  virtual const StoreCounts& counts() const = 0;

 protected:
  // Returns a callback that reports kRejected as kOk, for the revocation of a lease that does not exist.
  static Callback<Empty> rejected_as_ok(Callback<Empty> callback) {
    return [callback = std::move(callback)](StoreResponse<Empty> response) {
      if (response.status == CallStatus::kRejected) {
        response.status = CallStatus::kOk;
      }
      callback(response);
    };
  }
};

}  // namespace trailcourse::coordination
