#include "tasks/lease_calls.h"

#include <memory>
#include <utility>

namespace trailcourse::tasks {

using coordination::CoordinationStore;
using coordination::LeaseId;
using ownership::LeaseCallKind;

namespace {

using Handlers = std::shared_ptr<const LeaseCallHandlers>;

void revoke(CoordinationStore& store, LeaseId lease) {
  store.revoke(lease, [](const auto&) {});
}

void acquire_under(CoordinationStore& store, StepLoop& loop, LeaseId lease, const Handlers& handlers) {
  store.commit(handlers->make_transaction(lease),
               loop.then_step([&store, lease, handlers](const auto& reply) {
                 if (!reply.ok()) {
                   // The transaction may or may not have been executed. Its effect ends with the lease.
                   revoke(store, lease);
                   handlers->on_no_response();
                 } else if (!handlers->on_acquire_result(lease, reply.value)) {
                   revoke(store, lease);
                 }
               }));
}

void acquire(CoordinationStore& store, StepLoop& loop, Micros ttl, const Handlers& handlers) {
  store.grant(ttl, loop.guard([&store, &loop, handlers](const auto& reply) {
    if (reply.ok()) {
      acquire_under(store, loop, reply.value.id, handlers);
    } else {
      handlers->on_no_response();
      loop.schedule();
    }
  }));
}

void renew(CoordinationStore& store, StepLoop& loop, LeaseId lease, const Handlers& handlers) {
  store.keep_alive(lease, loop.then_step([handlers](const auto& reply) {
    if (reply.ok()) {
      handlers->on_renew_result(reply.value.ttl > Micros(0));
    } else {
      handlers->on_no_response();
    }
  }));
}

void release(CoordinationStore& store, StepLoop& loop, LeaseId lease, const Handlers& handlers) {
  store.revoke(lease, loop.then_step([handlers](const auto& reply) {
    if (reply.ok()) {
      handlers->on_released();
    } else {
      handlers->on_no_response();
    }
  }));
}

}  // namespace

void make_lease_call(CoordinationStore& store, StepLoop& loop, LeaseCallKind kind, Micros ttl, LeaseId lease,
                     LeaseCallHandlers handlers) {
  const auto shared = std::make_shared<const LeaseCallHandlers>(std::move(handlers));
  switch (kind) {
    case LeaseCallKind::kAcquire:
      acquire(store, loop, ttl, shared);
      break;
    case LeaseCallKind::kRenew:
      renew(store, loop, lease, shared);
      break;
    case LeaseCallKind::kRelease:
      release(store, loop, lease, shared);
      break;
  }
}

}  // namespace trailcourse::tasks
