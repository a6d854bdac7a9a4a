// A client of a coordination store that serves etcd's v3 interface as JSON over HTTP: an etcd cluster,
// `trailcourse registry`, or an aggregator. It opens at most two connections for calls, and one for each
// watch.
//
// A call without a usable response ends with kNotSent if no connection was established, else with kUnknown.
//
// Library `coordination`, over `http`. Not thread-safe: it belongs to its scheduler's thread.
#pragma once

#include <map>
#include <memory>

#include "coordination/coordination_store.h"
#include "coordination/etcd_client.h"
#include "coordination/etcd_watch.h"

namespace trailcourse::coordination {

// Implements the store's interface; its calls and watches share one EtcdClient.
class EtcdStore : public CoordinationStore {
 public:
  using FirstEndpoint = coordination::FirstEndpoint;

  // The endpoints and the store_id of `options` must have been checked. `seed` determines the first endpoint
  // (if it is random) and the jitter of backoffs.
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
  // Returns whether the store's revision went back while this process ran: it was restored from a backup.
  bool has_regressed() const { return client_->identity().has_regressed(); }

 private:
  std::shared_ptr<EtcdClient> client_;
  std::map<WatchId, std::shared_ptr<EtcdWatch>> watches_;
  WatchId last_watch_ = 0;
};

}  // namespace trailcourse::coordination
