// Makes the calls at the store that a lease state machine (ownership/lease.h) asks for.
//
// Package `tasks`, over `coordination` and `ownership`. One thread.
#pragma once

#include <functional>

#include "coordination/coordination_store.h"
#include "ownership/lease.h"
#include "tasks/step_loop.h"

namespace trailcourse::tasks {

// What to do with the answers to one call. A step of the loop follows each of the last four.
struct LeaseCallHandlers {
  // The store granted a lease: returns the transaction that acquires something under it.
  std::function<coordination::Transaction(coordination::LeaseId lease)> make_transaction;

  // The transaction was answered. Returns whether it acquired anything; if not, the lease is revoked.
  std::function<bool(coordination::LeaseId lease, const coordination::TransactionResult& outcome)>
      on_acquire_result;

  // `valid`: the store still had the lease.
  std::function<void(bool valid)> on_renew_result;

  std::function<void()> on_released;

  // The call failed, or its outcome is unknown. A lease that was granted meanwhile is revoked.
  std::function<void()> on_no_response;
};

// Makes a call. `ttl` is that of a lease to acquire, `lease` the one to renew or to release. The store
// outlives the loop.
void make_lease_call(coordination::CoordinationStore& store, StepLoop& loop, ownership::LeaseCallKind kind,
                     Micros ttl, coordination::LeaseId lease, LeaseCallHandlers handlers);

}  // namespace trailcourse::tasks
