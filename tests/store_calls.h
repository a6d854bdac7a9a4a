// A store's calls as a test makes them: one after the other, each answer awaited on one scheduler.
#pragma once

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>

#include "coordination/shared_store.h"
#include "transport/scheduler.h"

namespace trailcourse::testing_support {

class StoreCalls {
 public:
  template <typename Value>
  using Reply = coordination::Reply<Value>;

  bool until(const std::function<bool()>& done) {
    const transport::Clock::time_point end = transport::Clock::now() + std::chrono::seconds(60);
    while (!done()) {
      if (transport::Clock::now() > end) {
        return false;
      }
      scheduler.turn(std::chrono::milliseconds(5));
    }
    return true;
  }
  template <typename Value, typename Ask>
  Reply<Value> await(Ask ask) {
    const auto reply = std::make_shared<std::optional<Reply<Value>>>();
    ask([reply](const Reply<Value>& told) { *reply = told; });
    EXPECT_TRUE(until([&] { return reply->has_value(); }));
    return reply->value_or(Reply<Value>{});
  }
  Reply<coordination::Outcome> commit(coordination::SharedStore& store,
                                      const coordination::Transaction& transaction) {
    return await<coordination::Outcome>([&](auto then) { store.commit(transaction, then); });
  }
  Reply<coordination::GrantedLease> grant(coordination::SharedStore& store, std::chrono::milliseconds ttl) {
    return await<coordination::GrantedLease>([&](auto then) { store.grant(ttl, then); });
  }
  Reply<coordination::GrantedLease> renew(coordination::SharedStore& store, coordination::LeaseId lease) {
    return await<coordination::GrantedLease>([&](auto then) { store.keep_alive(lease, then); });
  }
  Reply<coordination::Nothing> revoke(coordination::SharedStore& store, coordination::LeaseId lease) {
    return await<coordination::Nothing>([&](auto then) { store.revoke(lease, then); });
  }

  transport::Scheduler scheduler;
};

}  // namespace trailcourse::testing_support
