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
void EmbeddedStore::call(bool durable, std::function<Value(Ledger&)> use, Then<Value> then) {
  ++state_->counts.calls;
  const auto reply = std::make_shared<Reply<Value>>();
  const auto id = std::make_shared<std::uint64_t>(0);
  pool_.run(
      store::Executor::Lane::kWrite,
      [state = state_, durable, use = std::move(use), reply, id] {
        try {
          if (!state->file) {
            state->file =
                std::make_unique<LedgerFile>(state->options.folder, Limits{}, LedgerFile::Sharing::kShared);
          }
          *id = state->file->id();
          state->file->use(LedgerFile::machine_ms(), durable,
                           [&](Ledger& ledger) { reply->value = use(ledger); });
          reply->result = Result::kDone;
        } catch (const Rejected& error) {
          reply->result = Result::kRejected;
          reply->why = error.what();
        } catch (const std::exception& error) {
          reply->why = error.what();  // a commit that failed may stand on the disk all the same
        }
      },
      [state = state_, then = std::move(then), reply, id] {
        if (state->ended) {
          return;
        }
        const std::uint64_t expected = std::strtoull(state->options.store_id.c_str(), nullptr, 10);
        if (expected != 0 && *id != 0 && *id != expected) {
          reply->result = Result::kUnknown;
          reply->why = "another store stands in the folder: " + std::to_string(*id);
        }
        state->id = *id != 0 ? *id : state->id;
        state->counts.failed += reply->done() ? 0 : 1;
        state->counts.unknown += reply->result == Result::kUnknown ? 1 : 0;
        then(*reply);
      });
}

void EmbeddedStore::grant(Micros ttl, Then<GrantedLease> then) {
  call<GrantedLease>(
      false,
      [ttl](Ledger& ledger) {
        const std::int64_t ms = std::chrono::duration_cast<milliseconds>(ttl).count();
        return GrantedLease{ledger.grant(LedgerFile::machine_ms(), ms, 0), ttl};
      },
      std::move(then));
}

void EmbeddedStore::keep_alive(LeaseId lease, Then<GrantedLease> then) {
  call<GrantedLease>(
      false,
      [lease](Ledger& ledger) {
        return GrantedLease{lease, milliseconds(ledger.keep_alive(LedgerFile::machine_ms(), lease))};
      },
      std::move(then));
}

void EmbeddedStore::revoke(LeaseId lease, Then<Nothing> then) {
  call<Nothing>(
      true,
      [lease](Ledger& ledger) {
        ledger.revoke(lease);
        return Nothing{};
      },
      [then = std::move(then)](Reply<Nothing> reply) {
        reply.result = reply.result == Result::kRejected ? Result::kDone : reply.result;
        then(reply);
      });
}

void EmbeddedStore::commit(Transaction transaction, Then<Outcome> then) {
  call<Outcome>(
      true, [transaction = std::move(transaction)](Ledger& ledger) { return ledger.commit(transaction); },
      std::move(then));
}

SharedStore::WatchId EmbeddedStore::watch(const Range& range, Watcher& watcher) {
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
    std::vector<Change> changes;
  };
  Watching& watching = state_->watches.at(watch);
  if (std::exchange(watching.looking, true)) {
    return;
  }
  call<Seen>(
      false,
      [range = watching.range, from = watching.from](Ledger& ledger) {
        Seen seen;
        seen.revision = ledger.revision();
        try {
          seen.whole = from == 0;
          if (from > 0 && from <= seen.revision) {
            seen.changes = ledger.since(from, range);
          }
        } catch (const Rejected&) {
          seen.whole = true;  // what came between is compacted away
        }
        if (seen.whole) {
          seen.entries = ledger.get(range);
        }
        return seen;
      },
      [state = state_, watch](const Reply<Seen>& reply) {
        const auto found = state->watches.find(watch);
        if (found == state->watches.end()) {
          return;
        }
        Watching& at = found->second;
        at.looking = false;
        if (!reply.done()) {
          at.watcher->silent(reply.why);
          return;
        }
        const Seen& seen = reply.value;
        at.from = seen.revision + 1;
        state->counts.changes += seen.changes.size();
        if (seen.whole) {
          at.watcher->current(seen.revision, seen.entries);
        } else if (!seen.changes.empty()) {
          at.watcher->changed(seen.revision, seen.changes);
        } else {
          at.watcher->heard();
        }
      });
}

}  // namespace trailcourse::coordination
