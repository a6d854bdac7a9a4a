#include "coordination/embedded_store.h"

#include <chrono>
#include <cstdlib>
#include <exception>
#include <utility>

namespace trailcourse::coordination {

using std::chrono::milliseconds;

EmbeddedStore::EmbeddedStore(transport::Scheduler& scheduler, const CoordinationOptions& options)
    : scheduler_(scheduler),
      state_(std::make_shared<State>()),
      mailbox_(scheduler),
      pool_(0, [this](std::function<void()> job) { mailbox_.post(std::move(job)); }) {
  state_->options = options;
}

EmbeddedStore::~EmbeddedStore() { state_->closed = true; }

// ---- Calls ----

template <typename Value>
void EmbeddedStore::call(Durability durability, std::function<Value(KeyValueState&)> operation,
                         Callback<Value> callback) {
  ++state_->counts.calls;
  const auto job = std::make_shared<Job<Value>>();
  job->durability = durability;
  job->operation = std::move(operation);
  pool_.run(
      store::Executor::Lane::kWrite, [state = state_, job] { execute(*state, *job); },
      [state = state_, job, callback = std::move(callback)] { complete(*state, *job, callback); });
}

template <typename Value>
void EmbeddedStore::execute(State& state, Job<Value>& job) {
  StoreResponse<Value>& response = job.response;
  try {
    if (!state.database) {
      state.database = std::make_unique<KeyValueDatabase>(state.options.folder, KeyValueLimits{},
                                                          KeyValueDatabase::Sharing::kShared);
    }
    job.store_id = state.database->id();
    state.database->transact(KeyValueDatabase::boot_time(), job.durability,
                             [&](KeyValueState& key_values) { response.value = job.operation(key_values); });
    response.status = CallStatus::kOk;
  } catch (const OperationRejected& error) {
    response.status = CallStatus::kRejected;
    response.error = error.what();
  } catch (const std::exception& error) {
    response.error = error.what();  // the status stays kUnknown: a failed commit may have reached the disk
  }
}

template <typename Value>
void EmbeddedStore::complete(State& state, Job<Value>& job, const Callback<Value>& callback) {
  if (state.closed) {
    return;
  }
  StoreResponse<Value>& response = job.response;
  const std::uint64_t expected = std::strtoull(state.options.store_id.c_str(), nullptr, 10);
  if (expected != 0 && job.store_id != 0 && job.store_id != expected) {
    response.status = CallStatus::kUnknown;
    response.error = "the folder contains another store: " + std::to_string(job.store_id) + ", not " +
                     std::to_string(expected);
  }
  state.id = job.store_id != 0 ? job.store_id : state.id;
  state.counts.failed += response.ok() ? 0 : 1;
  state.counts.unknown += response.status == CallStatus::kUnknown ? 1 : 0;
  callback(response);
}

void EmbeddedStore::grant(Micros ttl, Callback<GrantedLease> callback) {
  call<GrantedLease>(
      Durability::kUnsynced,
      [ttl](KeyValueState& state) {
        const auto granted = std::chrono::duration_cast<milliseconds>(ttl);
        return GrantedLease{state.grant(KeyValueDatabase::boot_time(), granted, 0), ttl};
      },
      std::move(callback));
}

void EmbeddedStore::keep_alive(LeaseId lease, Callback<GrantedLease> callback) {
  call<GrantedLease>(
      Durability::kUnsynced,
      [lease](KeyValueState& state) {
        return GrantedLease{lease, state.keep_alive(KeyValueDatabase::boot_time(), lease)};
      },
      std::move(callback));
}

void EmbeddedStore::revoke(LeaseId lease, Callback<Empty> callback) {
  call<Empty>(
      Durability::kSynced,
      [lease](KeyValueState& state) {
        state.revoke(lease);
        return Empty{};
      },
      rejected_as_ok(std::move(callback)));
}

void EmbeddedStore::commit(Transaction transaction, Callback<TransactionResult> callback) {
  call<TransactionResult>(
      Durability::kSynced,
      [transaction = std::move(transaction)](KeyValueState& state) { return state.commit(transaction); },
      std::move(callback));
}

// ---- Watches ----

CoordinationStore::WatchId EmbeddedStore::watch(const Range& range, WatchObserver& observer) {
  const WatchId id = ++state_->last_watch;
  state_->watches[id] = ActiveWatch{range, &observer};
  ++state_->counts.watches_opened;
  if (id == 1) {
    scheduler_.spawn(poll_watches());
  } else {
    poll(id);
  }
  return id;
}

void EmbeddedStore::unwatch(WatchId watch) { state_->watches.erase(watch); }

transport::Task<void> EmbeddedStore::poll_watches() {
  const std::shared_ptr<State> state = state_;
  transport::Scheduler& scheduler = scheduler_;
  const milliseconds interval(state->options.look_ms);
  while (!state->closed) {
    const auto watches = state->watches;
    for (const auto& [id, watch] : watches) {
      poll(id);
    }
    co_await scheduler.sleep(interval);
  }
}

void EmbeddedStore::poll(WatchId watch) {
  ActiveWatch& active = state_->watches.at(watch);
  if (std::exchange(active.polling, true)) {
    return;
  }
  call<WatchUpdate>(
      Durability::kUnsynced,
      [range = active.range, next_revision = active.next_revision](KeyValueState& state) {
        return read_update(state, range, next_revision);
      },
      [state = state_, watch](const StoreResponse<WatchUpdate>& response) {
        on_poll_response(*state, watch, response);
      });
}

EmbeddedStore::WatchUpdate EmbeddedStore::read_update(const KeyValueState& state, const Range& range,
                                                      Revision next_revision) {
  WatchUpdate update;
  update.revision = state.revision();
  update.is_snapshot = next_revision == 0;
  try {
    if (next_revision > 0 && next_revision <= update.revision) {
      update.changes = state.changes_since(next_revision, range);
    }
  } catch (const OperationRejected&) {
    update.is_snapshot = true;  // the changes in between were compacted
  }
  if (update.is_snapshot) {
    update.entries = state.get(range);
  }
  return update;
}

void EmbeddedStore::on_poll_response(State& state, WatchId watch,
                                     const StoreResponse<WatchUpdate>& response) {
  const auto found = state.watches.find(watch);
  if (found == state.watches.end()) {
    return;
  }
  ActiveWatch& active = found->second;
  active.polling = false;
  if (!response.ok()) {
    active.observer->on_disconnected(response.error);
    return;
  }
  const WatchUpdate& update = response.value;
  active.next_revision = update.revision + 1;
  state.counts.changes += update.changes.size();
  if (update.is_snapshot) {
    active.observer->on_snapshot(update.revision, update.entries);
  } else if (!update.changes.empty()) {
    active.observer->on_changes(update.revision, update.changes);
  } else {
    active.observer->on_heartbeat();
  }
}

}  // namespace trailcourse::coordination
