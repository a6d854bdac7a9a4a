// Calls of a coordination store for tests: each call runs the scheduler until its response has arrived.
#pragma once

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>

#include "coordination/coordination_store.h"
#include "transport/scheduler.h"

namespace trailcourse::testing_support {

class StoreCalls {
 public:
  template <typename Value>
  using StoreResponse = coordination::StoreResponse<Value>;

  // Runs the scheduler until `done` returns true. Returns false after 60 seconds.
  bool until(const std::function<bool()>& done) {
    const transport::Clock::time_point end = transport::Clock::now() + std::chrono::seconds(60);
    while (!done()) {
      if (transport::Clock::now() > end) {
        return false;
      }
      scheduler.run_iteration(std::chrono::milliseconds(5));
    }
    return true;
  }
  // Runs `call` with a callback and returns the response that the callback receives.
  template <typename Value, typename Call>
  StoreResponse<Value> await(Call call) {
    const auto reply = std::make_shared<std::optional<StoreResponse<Value>>>();
    call([reply](const StoreResponse<Value>& response) { *reply = response; });
    EXPECT_TRUE(until([&] { return reply->has_value(); }));
    return reply->value_or(StoreResponse<Value>{});
  }
  StoreResponse<coordination::TransactionResult> commit(coordination::CoordinationStore& store,
                                                        const coordination::Transaction& transaction) {
    return await<coordination::TransactionResult>([&](auto then) { store.commit(transaction, then); });
  }
  StoreResponse<coordination::GrantedLease> grant(coordination::CoordinationStore& store,
                                                  std::chrono::milliseconds ttl) {
    return await<coordination::GrantedLease>([&](auto then) { store.grant(ttl, then); });
  }
  StoreResponse<coordination::GrantedLease> renew(coordination::CoordinationStore& store,
                                                  coordination::LeaseId lease) {
    return await<coordination::GrantedLease>([&](auto then) { store.keep_alive(lease, then); });
  }
  StoreResponse<coordination::Empty> revoke(coordination::CoordinationStore& store,
                                            coordination::LeaseId lease) {
    return await<coordination::Empty>([&](auto then) { store.revoke(lease, then); });
  }

  transport::Scheduler scheduler;
};

}  // namespace trailcourse::testing_support
