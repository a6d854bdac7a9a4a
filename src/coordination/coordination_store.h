// The interface of a coordination store: transactions that compare first, leases, and watches over a range of
// keys. Callers need not know which backend it is; both pass one conformance suite
// (tests/coordination_test.cpp).
//
// Package `coordination`. Not thread-safe: a store belongs to its scheduler's thread. Callbacks and observers
// are called from the scheduler, never from within a call of this interface. Every call ends in time, and
// none is retried here: only the caller knows what executing it twice would mean.
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
  kOk,        // executed, and the response is here
  kRejected,  // the store understood the call and did nothing
  kNotSent,   // the call never reached the store
  kUnknown    // no usable response: the call may have been executed or not
};

template <typename Value>
struct StoreResponse {
  CallStatus status = CallStatus::kUnknown;
  Value value{};      // if the status is kOk
  std::string error;  // otherwise: one line for logs

  bool ok() const { return status == CallStatus::kOk; }
};

struct GrantedLease {
  LeaseId id = 0;
  Micros ttl{0};  // 0: there is no such lease
};
// The value of a call that returns nothing.
struct Empty {};

// Receives what a watch delivers, in the order of revisions and without gaps between two calls.
class WatchObserver {
 public:
  WatchObserver() = default;
  WatchObserver(const WatchObserver&) = delete;
  WatchObserver& operator=(const WatchObserver&) = delete;
  virtual ~WatchObserver() = default;

  // All entries of the range: at the start, and whenever the changes in between are not available any more.
  virtual void on_snapshot(Revision revision, const std::vector<Entry>& entries) = 0;
  virtual void on_changes(Revision revision, const std::vector<KeyChange>& changes) = 0;
  // Nothing is received any more: what was delivered may be outdated until the next call of another function.
  virtual void on_disconnected(const std::string& reason) = 0;
  // The store was heard from, also where nothing has changed.
  virtual void on_heartbeat() {}
};

// Counts since the store was constructed.
struct StoreCounts {
  std::uint64_t calls = 0;
  std::uint64_t failed = 0;   // calls that did not end with kOk
  std::uint64_t unknown = 0;  // of them, those that ended with kUnknown
  std::uint64_t watches_opened = 0;
  std::uint64_t changes = 0;  // delivered to observers
};

class CoordinationStore {
 public:
  template <typename Value>
  using Callback = std::function<void(const StoreResponse<Value>&)>;
  using WatchId = std::uint64_t;

  CoordinationStore() = default;
  CoordinationStore(const CoordinationStore&) = delete;
  CoordinationStore& operator=(const CoordinationStore&) = delete;
  virtual ~CoordinationStore() = default;

  virtual void grant(Micros ttl, Callback<GrantedLease> callback) = 0;
  // A lease that does not exist is no failure: the response has a ttl of 0.
  virtual void keep_alive(LeaseId lease, Callback<GrantedLease> callback) = 0;
  // Deletes the lease's keys. A lease that does not exist is no failure.
  virtual void revoke(LeaseId lease, Callback<Empty> callback) = 0;
  virtual void commit(Transaction transaction, Callback<TransactionResult> callback) = 0;

  // Starts a watch. The observer must live until unwatch(), or until the store is destroyed.
  virtual WatchId watch(const Range& range, WatchObserver& observer) = 0;
  virtual void unwatch(WatchId watch) = 0;

  // Returns the number that tells this store from another one; 0 before the first response.
  virtual std::uint64_t id() const = 0;
  virtual const StoreCounts& counts() const = 0;

 protected:
  // Returns a callback that takes a rejected call for an executed one: to revoke a lease that does not exist.
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
