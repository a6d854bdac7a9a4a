// The interface to a store of shared truth: compare-and-set on revisions, leases, watches over a range. What
// stands on it need not know which store it is; both backends pass one conformance suite
// (tests/coordination_test.cpp).
//
// Package `coordination`. One thread; answers come from the scheduler, never from within the call that asks.
// No call waits for ever, and none is tried again here: whoever asked knows what a second try would mean.
#pragma once

#include <trailcourse/decider.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "coordination/types.h"

namespace trailcourse::coordination {

enum class CallStatus {
  kDone,      // and this is the answer
  kRejected,  // the store understood, and did nothing
  kNotDone,   // it never reached the store
  kUnknown    // no answer that can be used: it may have been done or not
};

template <typename Value>
struct StoreResponse {
  CallStatus status = CallStatus::kUnknown;
  Value value{};
  std::string error;  // of what is not done, one line

  bool ok() const { return status == CallStatus::kOk; }
};

struct GrantedLease {
  LeaseId id = 0;
  Micros ttl{0};  // 0: there is no such lease
};
struct Empty {};

// What a watch tells, in the order of revisions; nothing is left out between two calls.
class WatchObserver {
 public:
  WatchObserver() = default;
  WatchObserver(const WatchObserver&) = delete;
  WatchObserver& operator=(const WatchObserver&) = delete;
  virtual ~WatchObserver() = default;

  // All that there is, at its start and whenever the changes between are not to be had any more.
  virtual void on_snapshot(Revision revision, const std::vector<Entry>& entries) = 0;
  virtual void on_changes(Revision revision, const std::vector<KeyChange>& changes) = 0;
  // Nothing is heard any more; what was told may be old. `current` or `changed` ends that.
  virtual void on_disconnected(const std::string& why) = 0;
  // The store is heard, also where nothing has changed.
  virtual void on_heartbeat() {}
};

// What a store did so far.
struct StoreCounts {
  std::uint64_t calls = 0, failed = 0, unknown = 0, watches_opened = 0, changes = 0;
};

class CoordinationStore {
 public:
  template <typename Value>
  using Then = std::function<void(const StoreResponse<Value>&)>;
  using WatchId = std::uint64_t;

  CoordinationStore() = default;
  CoordinationStore(const CoordinationStore&) = delete;
  CoordinationStore& operator=(const CoordinationStore&) = delete;
  virtual ~CoordinationStore() = default;

  virtual void grant(Micros ttl, Then<GrantedLease> then) = 0;
  // A lease that is gone is told with 0 of time left, and is no failure.
  virtual void keep_alive(LeaseId lease, Then<GrantedLease> then) = 0;
  // Also done where there is none.
  virtual void revoke(LeaseId lease, Then<Empty> then) = 0;
  virtual void commit(Transaction transaction, Then<TransactionResult> then) = 0;

  // The watcher outlives the watch.
  virtual WatchId watch(const Range& range, WatchObserver& watcher) = 0;
  virtual void unwatch(WatchId watch) = 0;

  // The number of the store, once it was heard; 0 before.
  virtual std::uint64_t id() const = 0;
  virtual const StoreCounts& counts() const = 0;
};

}  // namespace trailcourse::coordination
