// A store for all routers of one machine: a ledger in a folder that they share. The calls run in a thread of
// its own, watches look now and then.
//
// Package `coordination`, over `transport` and `store`'s executor. One thread beside that.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "coordination/key_value_database.h"
#include "coordination/options.h"
#include "coordination/coordination_store.h"
#include "store/executor.h"
#include "transport/mailbox.h"

namespace trailcourse::coordination {

class EmbeddedStore : public CoordinationStore {
 public:
  EmbeddedStore(transport::Scheduler& scheduler, const CoordinationOptions& options);
  ~EmbeddedStore() override;

  void grant(Micros ttl, Then<GrantedLease> then) override;
  void keep_alive(LeaseId lease, Then<GrantedLease> then) override;
  void revoke(LeaseId lease, Then<Empty> then) override;
  void commit(Transaction transaction, Then<TransactionResult> then) override;
  WatchId watch(const Range& range, WatchObserver& watcher) override;
  void unwatch(WatchId watch) override;
  std::uint64_t id() const override { return state_->id; }
  const StoreCounts& counts() const override { return state_->counts; }

 private:
  struct Watching {
    Range range;
    WatchObserver* watcher = nullptr;
    Revision from = 0;  // 0: all has to be read
    bool looking = false;
  };
  // Outlives the store for as long as a job of it is on its way.
  struct State {
    CoordinationOptions options;
    std::unique_ptr<KeyValueDatabase> file;  // the thread's alone
    std::uint64_t id = 0;
    StoreCounts counts;
    std::map<WatchId, Watching> watches;
    WatchId last_watch = 0;
    bool ended = false;
  };

  // Runs `use` in the thread, then `then` here.
  template <typename Value>
  void call(bool durable, std::function<Value(KeyValueState&)> use, Then<Value> then);
  transport::Task<void> look();
  void look_at(WatchId watch);

  transport::Scheduler& scheduler_;
  std::shared_ptr<State> state_;
  transport::Mailbox mailbox_;
  store::IoPool pool_;
};

}  // namespace trailcourse::coordination
