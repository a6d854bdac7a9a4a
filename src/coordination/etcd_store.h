// A store that speaks etcd's v3 interface over HTTP with JSON: a driver on the program's own HTTP client. Two
// connections for calls at most and one for each watch, opened when needed.
//
// What a call's end proves: no connection came up, or it was refused before anything was sent: not done. Any
// other want of an answer, or one that cannot be read, or is of another store: nobody knows.
//
// Package `coordination`, over `transport` and `protocol`. One thread.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/coordination_store.h"
#include "coordination/endpoint_selector.h"
#include "coordination/options.h"
#include "coordination/store_identity.h"
#include "coordination/watch_progress.h"
#include "transport/connection.h"

namespace trailcourse::coordination {

class EtcdStore : public CoordinationStore {
 public:
  // Which endpoint is asked first: one that is drawn, so that clients spread over a cluster, or the first.
  enum class FirstEndpoint { kRandom, kFirstListed };

  // `options`' endpoints and store_id must have been checked.
  EtcdStore(transport::Scheduler& scheduler, const CoordinationOptions& options, std::uint64_t seed,
            FirstEndpoint first = FirstEndpoint::kRandom);
  ~EtcdStore() override;

  void grant(Micros ttl, Then<GrantedLease> then) override;
  void keep_alive(LeaseId lease, Then<GrantedLease> then) override;
  void revoke(LeaseId lease, Then<Empty> then) override;
  void commit(Transaction transaction, Then<TransactionResult> then) override;
  WatchId watch(const Range& range, WatchObserver& watcher) override;
  void unwatch(WatchId watch) override;
  std::uint64_t id() const override;
  const StoreCounts& counts() const override;
  // The store was put back to an older state while this process ran.
  bool has_regressed() const;

 private:
  // What the answer of a call says, or why there is none.
  struct Raw {
    CallStatus status = CallStatus::kUnknown;
    std::string error;
    nlohmann::json body;
    Revision floor = 0;
  };
  class Link;
  struct Call;
  struct Watching;
  // Outlives the store for as long as a coroutine of it is suspended.
  struct State;

  // Calls for leases go before all others: what they wait, an owner may lose.
  static void ask(const std::shared_ptr<State>& state, std::string_view path, const nlohmann::json& body,
                  std::function<void(Raw)> then);
  static transport::Task<void> run(std::shared_ptr<State> state, std::shared_ptr<Call> call);
  static transport::Task<void> follow(std::shared_ptr<State> state, std::shared_ptr<Watching> watching);
  static transport::Task<void> follow_once(std::shared_ptr<State> state, std::shared_ptr<Watching> watching);
  static void start_next(const std::shared_ptr<State>& state);
  static std::string take_line(State& state, Watching& watching, std::string_view line);
  template <typename Value, typename Read>
  void call(std::string_view path, const nlohmann::json& body, Then<Value> then, Read read);

  std::shared_ptr<State> state_;
};

}  // namespace trailcourse::coordination
