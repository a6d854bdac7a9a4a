// A coordination store for all routers of one machine: a database in a folder that they share. Calls run in
// the store's own thread. Watches poll the database every `look_ms`.
//
// Library `coordination`, over `transport` and the executor of `store`. Not thread-safe: it belongs to its
// scheduler's thread.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "coordination/coordination_store.h"
#include "coordination/key_value_database.h"
#include "coordination/options.h"
#include "store/executor.h"
#include "transport/mailbox.h"

namespace trailcourse::coordination {

// A coordination store in a folder of the local machine.
class EmbeddedStore : public CoordinationStore {
 public:
  // The first call opens the database. If the folder cannot be used, each call fails.
  EmbeddedStore(transport::Scheduler& scheduler, const CoordinationOptions& options);
  ~EmbeddedStore() override;

  void grant(Micros ttl, Callback<GrantedLease> callback) override;
  void keep_alive(LeaseId lease, Callback<GrantedLease> callback) override;
  void revoke(LeaseId lease, Callback<Empty> callback) override;
  void commit(Transaction transaction, Callback<TransactionResult> callback) override;
  WatchId watch(const Range& range, WatchObserver& observer) override;
  void unwatch(WatchId watch) override;
  std::uint64_t id() const override { return state_->id; }
  const StoreCounts& counts() const override { return state_->counts; }

 private:
  using Durability = KeyValueDatabase::Durability;
  struct ActiveWatch {
    Range range;
    WatchObserver* observer = nullptr;
    Revision next_revision = 0;  // 0: a snapshot has to be read
    bool polling = false;
  };
  // Shared with running jobs, which may end after the store is destroyed.
  struct State {
    CoordinationOptions options;
    std::unique_ptr<KeyValueDatabase> database;  // used only by the store's thread
    std::uint64_t id = 0;
    StoreCounts counts;
    std::map<WatchId, ActiveWatch> watches;
    WatchId last_watch = 0;
    bool closed = false;
  };
  // The result of a poll: a snapshot, or the changes since the last poll.
  struct WatchUpdate {
    Revision revision = 0;
    bool is_snapshot = false;
    std::vector<Entry> entries;      // if it is a snapshot
    std::vector<KeyChange> changes;  // if it is not a snapshot
  };
  // A call. The store's thread executes it, then the scheduler's thread reads its response.
  template <typename Value>
  struct Job {
    Durability durability = Durability::kSynced;
    std::function<Value(KeyValueState&)> operation;
    StoreResponse<Value> response;
    std::uint64_t store_id = 0;
  };

  // Runs the operation in the store's thread, then the callback in the scheduler's.
  template <typename Value>
  void call(Durability durability, std::function<Value(KeyValueState&)> operation, Callback<Value> callback);
  template <typename Value>
  static void execute(State& state, Job<Value>& job);
  template <typename Value>
  static void complete(State& state, Job<Value>& job, const Callback<Value>& callback);
  transport::Task<void> poll_watches();
  void poll(WatchId watch);
  static WatchUpdate read_update(const KeyValueState& state, const Range& range, Revision next_revision);
  static void on_poll_response(State& state, WatchId watch, const StoreResponse<WatchUpdate>& response);

  transport::Scheduler& scheduler_;
  std::shared_ptr<State> state_;
  transport::Mailbox mailbox_;
  store::IoPool pool_;
};

}  // namespace trailcourse::coordination
