// A coordination store that speaks etcd's v3 interface over HTTP with JSON: an etcd cluster, `trailcourse
// registry`, or an aggregator. It holds at most two connections for calls and one for each watch, opened when
// needed.
//
// Status of a call without a usable response: kNotSent if no connection was established; otherwise kUnknown.
//
// Package `coordination`, over `http`. Not thread-safe: it belongs to its scheduler's thread.
#pragma once

#include <map>
#include <memory>

#include "coordination/coordination_store.h"
#include "coordination/etcd_client.h"
#include "coordination/etcd_watch.h"

namespace trailcourse::coordination {

class EtcdStore : public CoordinationStore {
 public:
  using FirstEndpoint = coordination::FirstEndpoint;

  // `options`: its endpoints and store_id must have been checked. `seed` draws the first endpoint and the
  // jitter of backoffs.
  EtcdStore(transport::Scheduler& scheduler, const CoordinationOptions& options, std::uint64_t seed,
            FirstEndpoint first = FirstEndpoint::kRandom);
  ~EtcdStore() override;

  void grant(Micros ttl, Callback<GrantedLease> callback) override;
  void keep_alive(LeaseId lease, Callback<GrantedLease> callback) override;
  void revoke(LeaseId lease, Callback<Empty> callback) override;
  void commit(Transaction transaction, Callback<TransactionResult> callback) override;
  WatchId watch(const Range& range, WatchObserver& observer) override;
  void unwatch(WatchId watch) override;
  std::uint64_t id() const override { return client_->identity().id(); }
  const StoreCounts& counts() const override { return client_->counts(); }
  // Returns whether the store was restored to an older revision while this process ran.
  bool has_regressed() const { return client_->identity().has_regressed(); }

 private:
  std::shared_ptr<EtcdClient> client_;
  std::map<WatchId, std::shared_ptr<EtcdWatch>> watches_;
  WatchId last_watch_ = 0;
};

}  // namespace trailcourse::coordination
