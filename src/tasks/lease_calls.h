// Makes the calls to the store that a lease state machine (ownership/lease.h) requests.
//
// Library `tasks`, over `coordination` and `ownership`. Not thread-safe.
#pragma once

#include <functional>

#include "coordination/coordination_store.h"
#include "ownership/lease.h"
#include "tasks/step_loop.h"

namespace trailcourse::tasks {

// Handlers of the responses to one call. A step of the loop follows each of the last four.
struct LeaseCallHandlers {
  // The store has granted a lease. Returns the transaction that acquires the resource under it.
  std::function<coordination::Transaction(coordination::LeaseId lease)> make_transaction;

  // The transaction was answered. Returns whether it acquired the resource; if not, the lease is revoked.
  std::function<bool(coordination::LeaseId lease, const coordination::TransactionResult& outcome)>
      on_acquire_result;

  // `valid` is true if the store still had the lease.
  std::function<void(bool valid)> on_renew_result;

  // The store has released the lease.
  std::function<void()> on_released;

  // The call failed, or its outcome is unknown. A lease that was granted meanwhile is revoked.
  std::function<void()> on_no_response;
};

// Makes a call. `ttl` is the duration of a lease to acquire, `lease` is the lease to renew or to release. The
// store has to outlive the loop.
void make_lease_call(coordination::CoordinationStore& store, StepLoop& loop, ownership::LeaseCallKind kind,
                     Micros ttl, coordination::LeaseId lease, LeaseCallHandlers handlers);

}  // namespace trailcourse::tasks
