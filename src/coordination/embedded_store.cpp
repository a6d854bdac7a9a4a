#include "coordination/embedded_store.h"

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

EmbeddedStore::~EmbeddedStore() { state_->ended = true; }

template <typename Value>
void EmbeddedStore::call(bool durable, std::function<Value(KeyValueState&)> use, Then<Value> then) {
  ++state_->counts.calls;
  const auto reply = std::make_shared<StoreResponse<Value>>();
  const auto id = std::make_shared<std::uint64_t>(0);
  pool_.run(
      store::Executor::Lane::kWrite,
      [state = state_, durable, use = std::move(use), reply, id] {
        try {
          if (!state->file) {
            state->file =
                std::make_unique<KeyValueDatabase>(state->options.folder, KeyValueLimits{}, KeyValueDatabase::Sharing::kShared);
          }
          *id = state->file->id();
          state->file->use(KeyValueDatabase::boot_time_ms(), durable,
                           [&](KeyValueState& ledger) { reply->value = use(ledger); });
          reply->status = CallStatus::kOk;
        } catch (const OperationRejected& error) {
          reply->status = CallStatus::kRejected;
          reply->error = error.what();
        } catch (const std::exception& error) {
          reply->error = error.what();  // a commit that failed may stand on the disk all the same
        }
      },
      [state = state_, then = std::move(then), reply, id] {
        if (state->ended) {
          return;
        }
        const std::uint64_t expected = std::strtoull(state->options.store_id.c_str(), nullptr, 10);
        if (expected != 0 && *id != 0 && *id != expected) {
          reply->status = CallStatus::kUnknown;
          reply->error = "another store stands in the folder: " + std::to_string(*id);
        }
        state->id = *id != 0 ? *id : state->id;
        state->counts.failed += reply->ok() ? 0 : 1;
        state->counts.unknown += reply->status == CallStatus::kUnknown ? 1 : 0;
        then(*reply);
      });
}

void EmbeddedStore::grant(Micros ttl, Then<GrantedLease> then) {
  call<GrantedLease>(
      false,
      [ttl](KeyValueState& ledger) {
        const std::int64_t ms = std::chrono::duration_cast<milliseconds>(ttl).count();
        return GrantedLease{ledger.grant(KeyValueDatabase::boot_time_ms(), ms, 0), ttl};
      },
      std::move(then));
}

void EmbeddedStore::keep_alive(LeaseId lease, Then<GrantedLease> then) {
  call<GrantedLease>(
      false,
      [lease](KeyValueState& ledger) {
        return GrantedLease{lease, milliseconds(ledger.keep_alive(KeyValueDatabase::boot_time_ms(), lease))};
      },
      std::move(then));
}

void EmbeddedStore::revoke(LeaseId lease, Then<Empty> then) {
  call<Empty>(
      true,
      [lease](KeyValueState& ledger) {
        ledger.revoke(lease);
        return Empty{};
      },
      [then = std::move(then)](StoreResponse<Empty> reply) {
        reply.status = reply.status == CallStatus::kRejected ? CallStatus::kOk : reply.status;
        then(reply);
      });
}

void EmbeddedStore::commit(Transaction transaction, Then<TransactionResult> then) {
  call<TransactionResult>(
      true, [transaction = std::move(transaction)](KeyValueState& ledger) { return ledger.commit(transaction); },
      std::move(then));
}

CoordinationStore::WatchId EmbeddedStore::watch(const Range& range, WatchObserver& watcher) {
  const WatchId id = ++state_->last_watch;
  const bool first = id == 1;
  Watching watching;
  watching.range = range;
  watching.watcher = &watcher;
  state_->watches[id] = watching;
  ++state_->counts.watches_opened;
  if (first) {
    scheduler_.spawn(look());
  } else {
    look_at(id);
  }
  return id;
}

void EmbeddedStore::unwatch(WatchId watch) { state_->watches.erase(watch); }

transport::Task<void> EmbeddedStore::look() {
  const std::shared_ptr<State> state = state_;
  transport::Scheduler& scheduler = scheduler_;
  const milliseconds pause(state->options.look_ms);
  while (!state->ended) {
    const auto watches = state->watches;
    for (const auto& [id, watching] : watches) {
      look_at(id);
    }
    co_await scheduler.sleep(pause);
  }
}

void EmbeddedStore::look_at(WatchId watch) {
  struct Seen {
    Revision revision = 0;
    bool whole = false;
    std::vector<Entry> entries;
    std::vector<KeyChange> changes;
  };
  Watching& watching = state_->watches.at(watch);
  if (std::exchange(watching.looking, true)) {
    return;
  }
  call<Seen>(
      false,
      [range = watching.range, from = watching.from](KeyValueState& ledger) {
        Seen seen;
        seen.revision = ledger.revision();
        try {
          seen.whole = from == 0;
          if (from > 0 && from <= seen.revision) {
            seen.changes = ledger.changes_since(from, range);
          }
        } catch (const OperationRejected&) {
          seen.whole = true;  // what came between is compacted away
        }
        if (seen.whole) {
          seen.entries = ledger.get(range);
        }
        return seen;
      },
      [state = state_, watch](const StoreResponse<Seen>& reply) {
        const auto found = state->watches.find(watch);
        if (found == state->watches.end()) {
          return;
        }
        Watching& at = found->second;
        at.looking = false;
        if (!reply.ok()) {
          at.watcher->on_disconnected(reply.error);
          return;
        }
        const Seen& seen = reply.value;
        at.from = seen.revision + 1;
        state->counts.changes += seen.changes.size();
        if (seen.whole) {
          at.watcher->on_snapshot(seen.revision, seen.entries);
        } else if (!seen.changes.empty()) {
          at.watcher->on_changes(seen.revision, seen.changes);
        } else {
          at.watcher->on_heartbeat();
        }
      });
}

}  // namespace trailcourse::coordination
