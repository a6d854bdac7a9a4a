#include "tasks/task_runner.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

#include "transport/log.h"

namespace trailcourse::tasks {

using coordination::KeyChange;
using coordination::LeaseId;
using coordination::StoreResponse;
using coordination::TransactionResult;
using ownership::LeaseCallKind;
using ownership::ShardId;
using std::chrono::milliseconds;
using transport::Clock;
using transport::Level;
using transport::log_line;

namespace {

constexpr const char* kFleet = "fleet/";

std::set<std::string> set_of(const std::vector<std::string>& words) { return {words.begin(), words.end()}; }

}  // namespace

TaskRunner::TaskRunner(transport::Scheduler& scheduler, coordination::CoordinationStore& store,
                       const OwnershipOptions& options, std::string prefix, Self self)
    : scheduler_(scheduler),
      store_(store),
      options_(options),
      prefix_(std::move(prefix)),
      self_(std::move(self)),
      view_(view_rules(options)),
      peers_(self_.name, static_cast<std::size_t>(options.neighbours),
             static_cast<int>(options.neighbour_misses)),
      lease_manager_(self_.name, self_.incarnation, self_.zone, set_of(options.kinds),
                     lease_manager_rules(options)),
      session_(session_rules(options)),
      timer_(scheduler, [this] { turn(); }),
      next_turn_(scheduler, [this] { turn(); }) {}

TaskRunner::~TaskRunner() {
  *alive_ = false;
  if (watch_ != 0) {
    store_.unwatch(watch_);
  }
}

Micros TaskRunner::now() { return std::chrono::duration_cast<Micros>(Clock::now().time_since_epoch()); }

void TaskRunner::start() {
  watch_ = store_.watch(coordination::Range{prefix_ + kFleet, true}, *this);
  if (options_.neighbours > 0) {
    scheduler_.spawn(try_peers());
  }
  turn_soon();
}

void TaskRunner::drain() {
  if (std::exchange(draining_, true)) {
    return;
  }
  lease_manager_.drain(now());
  if (session_.term() != 0) {
    // The others give it nothing more while it ends.
    coordination::Transaction leaving;
    leaving.then = {coordination::Put{prefix_ + membership::member_key(self_.name, self_.incarnation),
                                      member_value(), session_lease_}};
    store_.commit(std::move(leaving), [](const auto&) {});
  }
  turn_soon();
}

void TaskRunner::allow(std::optional<std::set<std::string>> kinds) {
  lease_manager_.set_allowed_kinds(now(), std::move(kinds));
  turn_soon();
}

bool TaskRunner::drained() const { return draining_ && lease_manager_.drained() && session_.released(); }

// ---- What the store tells ----

void TaskRunner::on_snapshot(coordination::Revision revision,
                             const std::vector<coordination::Entry>& entries) {
  std::set<std::string> named;
  view_.begin_snapshot();
  for (const coordination::Entry& entry : entries) {
    named.insert(entry.key);
    apply(KeyChange{false, entry});
  }
  for (const std::string& key : std::set<std::string>(known_)) {
    if (!named.contains(key)) {
      KeyChange gone{true, {}};
      gone.entry.key = key;
      gone.entry.modified = revision;
      apply(gone);
    }
  }
  view_.end_snapshot(now(), revision);
  heard_store();
  told();
}

void TaskRunner::on_changes(coordination::Revision, const std::vector<KeyChange>& changes) {
  for (const KeyChange& change : changes) {
    apply(change);
  }
  heard_store();
  told();
}

void TaskRunner::on_disconnected(const std::string& why) {
  if (std::exchange(heard_, false)) {
    log_line(Level::kWarning) << "the store is not heard: " << why;
  }
  lease_manager_.set_connected(now(), false);
  turn_soon();
}

void TaskRunner::heard_store() {
  if (!std::exchange(heard_, true)) {
    log_line(Level::kInfo) << "the store " << store_.id() << " is heard";
    lease_manager_.set_connected(now(), true);
    turn_soon();
  }
}

void TaskRunner::apply(const KeyChange& change) {
  const Micros at = now();
  const std::string key = change.entry.key.substr(std::min(prefix_.size(), change.entry.key.size()));
  const std::string value = change.deleted ? std::string() : change.entry.value;
  if (change.deleted) {
    known_.erase(change.entry.key);
  } else {
    known_.insert(change.entry.key);
  }
  view_.apply(at, key, value, change.entry.created, change.entry.modified);
  if (const auto owned = ownership::read_shard_key(key, ownership::kOwnerPrefix)) {
    lease_manager_.on_owner(
        at, *owned, change.deleted ? std::nullopt : ownership::read_owner(value, change.entry.created),
        change.entry.modified);
  } else if (const auto done = ownership::read_shard_key(key, ownership::kDonePrefix)) {
    lease_manager_.on_done(at, *done, !change.deleted);
  } else if (const auto release = ownership::read_shard_key(key, ownership::kReleasePrefix)) {
    lease_manager_.on_release_request(at, *release, value);
  } else if (key.starts_with(ownership::kWorkPrefix)) {
    const std::string name = key.substr(std::string(ownership::kWorkPrefix).size());
    std::optional<ownership::Work> work = change.deleted ? std::nullopt : ownership::read_work(key, value);
    if (!work) {
      if (!change.deleted) {
        log_line(Level::kWarning) << "work " << name << " cannot be read and is not done";
      }
      works_.erase(name);
    } else {
      works_[name] = *work;
    }
    lease_manager_.set_work(at, name, std::move(work));
  } else {
    for (const auto& [stem, taker] : takers_) {
      if (key.starts_with(stem)) {
        taker(key, value);
      }
    }
  }
}

// The manager hears who may be given work.
void TaskRunner::told() {
  const Micros at = now();
  std::map<std::string, std::string> members;
  for (const membership::MemberEntry& seen : view_.members(at)) {
    if (seen.status == membership::MemberStatus::kActive) {
      members[seen.member.name] = seen.member.zone;
    }
  }
  lease_manager_.set_members(at, std::move(members));
  const bool shadowed = view_.superseded(self_.name, self_.incarnation);
  lease_manager_.set_superseded(at, shadowed);
  if (shadowed && view_told_ != view_.revision()) {
    log_line(Level::kWarning) << "another start has this router's name, " << self_.name
                              << ": this one does no owned work";
  }
  view_told_ = view_.revision();
  turn_soon();
}

// ---- The manager's orders ----

void TaskRunner::turn() {
  if (std::exchange(turning_, true)) {
    return;
  }
  const Micros at = now();
  if (const auto next = view_.next_change_at(at); next && *next <= at) {
    told();
  }
  step_session();
  for (const ownership::LeaseManagerAction& order : lease_manager_.step(at)) {
    std::visit([this](const auto& one) { carry_out(one); }, order);
  }
  turning_ = false;
  set_timer();
}

void TaskRunner::set_timer() {
  const Micros at = now();
  std::optional<Micros> due = lease_manager_.next_step_at(at);
  for (const auto& other : {session_.next_step_at(at), view_.next_change_at(at)}) {
    if (other) {
      due = std::min(due.value_or(*other), *other);
    }
  }
  std::optional<Clock::time_point> when;
  if (due) {
    when.emplace(std::chrono::duration_cast<Clock::duration>(std::max(*due, at + Micros(500))));
  }
  timer_.set(when);
}

void TaskRunner::carry_out(const ownership::LeaseCallAction& ask) {
  const ShardId id = ask.id;
  const std::uint64_t number = ask.call.call_id;
  if (ask.call.kind == LeaseCallKind::kAcquire) {
    acquire(id, number);
    return;
  }
  const LeaseId lease = leases_[id];
  if (ask.call.kind == LeaseCallKind::kRenew) {
    store_.keep_alive(lease, [this, alive = alive_, id, number](const auto& reply) {
      if (!*alive) {
        return;
      }
      if (reply.ok()) {
        lease_manager_.on_renew_result(now(), id, number, reply.value.ttl > Micros(0));
      } else {
        lease_manager_.on_no_response(now(), id, number);
      }
      turn_soon();
    });
    return;
  }
  store_.revoke(lease, [this, alive = alive_, id, number](const auto& reply) {
    if (!*alive) {
      return;
    }
    if (reply.ok()) {
      lease_manager_.on_release_result(now(), id, number);
    } else {
      lease_manager_.on_no_response(now(), id, number);
    }
    turn_soon();
  });
}

void TaskRunner::acquire(const ShardId& id, std::uint64_t number) {
  store_.grant(milliseconds(options_.ttl_ms), [this, alive = alive_, id, number](const auto& reply) {
    if (!*alive) {
      return;
    }
    if (!reply.ok()) {
      lease_manager_.on_no_response(now(), id, number);
      turn_soon();
      return;
    }
    own(id, number, reply.value.id);
  });
}

void TaskRunner::own(const ShardId& id, std::uint64_t number, LeaseId lease) {
  const ownership::Owner owner{self_.name, self_.incarnation, 0};
  store_.commit(ownership::acquire_transaction(prefix_, id, owner, lease),
                [this, alive = alive_, id, number, lease](const StoreResponse<TransactionResult>& reply) {
                  if (!*alive) {
                    return;
                  }
                  if (!reply.ok()) {
                    // Whether it was done or not: without a renewal it ends, and sooner so.
                    give_up(lease);
                    lease_manager_.on_no_response(now(), id, number);
                  } else {
                    const ownership::AcquireResult acquired = ownership::read_acquire_result(reply.value);
                    if (acquired.term == 0) {
                      give_up(lease);
                    } else {
                      leases_[id] = lease;
                      log_line(Level::kInfo)
                          << "owner of " << to_string(id) << " under term " << acquired.term;
                    }
                    lease_manager_.on_acquire_result(now(), id, number, acquired);
                  }
                  turn_soon();
                });
}

void TaskRunner::give_up(LeaseId lease) {
  store_.revoke(lease, [](const auto&) {});
}

void TaskRunner::carry_out(const ownership::WriteProgressAction& write) {
  const ShardId id = write.id;
  store_.commit(
      ownership::write_progress_transaction(prefix_, id, write.term, write.modified, write.progress),
      [this, alive = alive_, write](const StoreResponse<TransactionResult>& reply) {
        if (!*alive) {
          return;
        }
        if (reply.ok()) {
          lease_manager_.on_write_result(
              now(), write.id, write.call_id,
              ownership::read_progress_write_result(reply.value, write.term, write.progress));
        } else {
          lease_manager_.on_no_write_response(now(), write.id, write.call_id);
        }
        turn_soon();
      });
}

TaskContext TaskRunner::context(const ownership::StartTaskAction& begin, const ownership::Work& work) {
  const ShardId id = begin.id;
  const ownership::Term term = begin.term;
  TaskContext out;
  out.work = work;
  out.id = id;
  out.term = term;
  out.checkpoint = begin.checkpoint;
  out.fence = std::to_string(store_.id()) + ":" + to_string(id) + ":" + std::to_string(term);
  out.may_act = [this, id, term] { return lease_manager_.may_act(now(), id, term); };
  out.checkpoint_at = [this, id, term](std::string checkpoint, bool done) {
    lease_manager_.on_checkpoint(now(), id, term, std::move(checkpoint), done);
    turn_soon();
  };
  out.finished = [this, id, term] {
    lease_manager_.on_task_finished(now(), id, term);
    drop(id, term);
    turn_soon();
  };
  out.get = [this](const std::string& key, std::function<void(std::optional<std::string>)> then) {
    coordination::Transaction read;
    read.then = {coordination::Get{coordination::Range{prefix_ + key, false}}};
    store_.commit(std::move(read), [then = std::move(then)](const StoreResponse<TransactionResult>& reply) {
      if (reply.ok()) {
        const auto& found = reply.value.results.at(0).found;
        then(found.empty() ? std::nullopt : std::optional<std::string>(found.front().value));
      }
    });
  };
  out.put = [this, id, term](const std::string& key, std::string value) {
    coordination::Transaction transaction;
    transaction.when = {coordination::created_at(prefix_ + ownership::kOwnerPrefix + to_string(id), term)};
    if (value.empty()) {
      transaction.then = {coordination::Delete{coordination::Range{prefix_ + key, false}}};
    } else {
      transaction.then = {coordination::Put{prefix_ + key, std::move(value), 0}};
    }
    store_.commit(std::move(transaction), [id, term](const StoreResponse<TransactionResult>& reply) {
      if (reply.ok() && !reply.value.succeeded) {
        log_line(Level::kWarning) << to_string(id) << ": the store refused a write under term " << term;
      }
    });
  };
  return out;
}

void TaskRunner::carry_out(const ownership::StartTaskAction& begin) {
  const auto work = works_.find(begin.id.work);
  const auto maker = work == works_.end() ? makers_.end() : makers_.find(work->second.kind);
  if (maker == makers_.end()) {
    return;
  }
  log_line(Level::kInfo) << "begins " << to_string(begin.id) << " under term " << begin.term
                         << (begin.checkpoint.empty() ? "" : ", from " + begin.checkpoint);
  Running& running = running_[begin.id];
  running.term = begin.term;
  running.task = maker->second(context(begin, work->second));
  running.task->begin();
}

void TaskRunner::carry_out(const ownership::StopTaskAction& finish) {
  const auto found = running_.find(finish.id);
  if (found != running_.end() && found->second.term == finish.term) {
    log_line(Level::kInfo) << "lets go of " << to_string(finish.id) << " under term " << finish.term;
    found->second.task->finish();
  } else {
    lease_manager_.on_task_finished(now(), finish.id, finish.term);
    turn_soon();
  }
}

void TaskRunner::carry_out(const ownership::AbortTaskAction& abandon) {
  log_line(Level::kWarning) << "stops " << to_string(abandon.id) << " under term " << abandon.term
                            << ": it is another's, or nobody knows";
  running_.erase(abandon.id);
}

// Later: a task may say its end from within its own call.
void TaskRunner::drop(const ShardId& id, ownership::Term term) {
  scheduler_.post([this, alive = alive_, id, term] {
    const auto found = *alive ? running_.find(id) : running_.end();
    if (*alive && found != running_.end() && found->second.term == term) {
      running_.erase(found);
    }
  });
}

// ---- The session ----

std::string TaskRunner::member_value() const {
  membership::Member member;
  member.zone = self_.zone;
  member.address = self_.address;
  member.version = self_.version;
  member.draining = draining_;
  member.started_ms =
      std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
  return membership::write_member(member);
}

void TaskRunner::step_session() {
  const Micros at = now();
  if (draining_ && lease_manager_.drained() && session_.phase(at) != ownership::LeasePhase::kStopped) {
    session_.stop(at);
  }
  const std::optional<ownership::LeaseCall> order = session_.step(at);
  if (!order) {
    return;
  }
  const std::uint64_t number = order->call_id;
  if (order->kind == LeaseCallKind::kAcquire) {
    store_.grant(milliseconds(options_.member_ttl_ms), [this, alive = alive_, number](const auto& reply) {
      if (!*alive) {
        return;
      }
      if (reply.ok()) {
        session_lease_ = reply.value.id;
        join(number);
      } else {
        session_.on_no_response(now(), number);
        turn_soon();
      }
    });
  } else if (order->kind == LeaseCallKind::kRenew) {
    store_.keep_alive(session_lease_, [this, alive = alive_, number](const auto& reply) {
      if (!*alive) {
        return;
      }
      if (!reply.ok()) {
        session_.on_no_response(now(), number);
      } else if (reply.value.ttl > Micros(0)) {
        session_.on_granted(now(), number, 0);
      } else {
        session_.on_rejected(now(), number);
      }
      turn_soon();
    });
  } else {
    store_.revoke(session_lease_, [this, alive = alive_, number](const auto& reply) {
      if (!*alive) {
        return;
      }
      if (reply.ok()) {
        session_.on_granted(now(), number, 0);
      } else {
        session_.on_no_response(now(), number);
      }
      turn_soon();
    });
  }
}

void TaskRunner::join(std::uint64_t number) {
  coordination::Transaction transaction;
  transaction.then.push_back(coordination::Put{
      prefix_ + membership::member_key(self_.name, self_.incarnation), member_value(), session_lease_});
  for (const auto& [key, value] : kept_) {
    transaction.then.push_back(coordination::Put{prefix_ + key, value, session_lease_});
  }
  store_.commit(std::move(transaction),
                [this, alive = alive_, number](const StoreResponse<TransactionResult>& reply) {
                  if (!*alive) {
                    return;
                  }
                  if (reply.ok()) {
                    session_.on_granted(now(), number, reply.value.revision);
                    log_line(Level::kInfo) << "member of the fleet at revision " << reply.value.revision;
                  } else {
                    give_up(session_lease_);
                    session_.on_no_response(now(), number);
                  }
                  turn_soon();
                });
}

void TaskRunner::keep(const std::string& key, const std::string& value) {
  const auto found = kept_.find(key);
  if (value.empty() ? found == kept_.end() : found != kept_.end() && found->second == value) {
    return;
  }
  if (value.empty()) {
    kept_.erase(found);
  } else {
    kept_[key] = value;
  }
  put_kept(key);
}

void TaskRunner::put_kept(const std::string& key) {
  if (session_.term() == 0) {
    return;  // it goes with the next session
  }
  // One write of a key at a time: behind a slow store the last value is what counts, not each.
  if (const auto out = kept_out_.find(key); out != kept_out_.end()) {
    out->second = true;
    return;
  }
  kept_out_[key] = false;
  coordination::Transaction transaction;
  const auto found = kept_.find(key);
  if (found == kept_.end()) {
    transaction.then = {coordination::Delete{coordination::Range{prefix_ + key, false}}};
  } else {
    transaction.then = {coordination::Put{prefix_ + key, found->second, session_lease_}};
  }
  store_.commit(std::move(transaction), [this, alive = alive_, key](const auto&) {
    if (!*alive) {
      return;
    }
    const auto out = kept_out_.find(key);
    const bool again = out != kept_out_.end() && out->second;
    kept_out_.erase(key);
    if (again) {
      put_kept(key);
    }
  });
}

// ---- Peers ----

class TaskRunner::Knock : public transport::Connection::Handler {
 public:
  void on_bytes(std::string_view) override {}
  void on_end(transport::ConnectionEnd) override {}
};

transport::Task<void> TaskRunner::try_peers() {
  const std::shared_ptr<bool> alive = alive_;
  transport::Scheduler& scheduler = scheduler_;
  const milliseconds pause(options_.neighbour_ms);
  const milliseconds timeout(options_.probe_timeout_ms);
  for (;;) {
    co_await scheduler.sleep(pause);
    if (!*alive || draining_) {
      co_return;
    }
    std::vector<std::string> names;
    std::map<std::string, transport::Address> addresses;
    for (const membership::MemberEntry& seen : view_.members(now())) {
      const auto address = transport::parse_address(seen.member.address);
      if (address && seen.status != membership::MemberStatus::kSuperseded && seen.member.zone == self_.zone) {
        names.push_back(seen.member.name);
        addresses[seen.member.name] = *address;
      }
    }
    names = peers_.select_targets(names);
    peers_.set_targets(names);
    std::map<std::string, std::shared_ptr<transport::Connection>> knocks;
    for (const std::string& name : names) {
      transport::Connection::Bounds bounds;
      bounds.connect_timeout = timeout;
      const auto knock = transport::Connection::connect(scheduler, addresses[name], bounds);
      knock->start(std::make_shared<Knock>());
      knocks[name] = knock;
    }
    co_await scheduler.sleep(timeout);
    for (const auto& [name, knock] : knocks) {
      if (*alive) {
        peers_.on_probe_result(name, knock->up());
      }
      knock->close(transport::ConnectionEnd::kIdle);
    }
    knocks.clear();
    if (!*alive) {
      co_return;
    }
    const auto doubts = peers_.suspicions();
    for (const auto& [name, doubt] : doubts) {
      keep(membership::suspicion_key(name, self_.name), membership::write_suspicion(doubt));
      doubts_told_[name] = 1;
    }
    for (auto told = doubts_told_.begin(); told != doubts_told_.end();) {
      if (!doubts.contains(told->first)) {
        keep(membership::suspicion_key(told->first, self_.name), "");
        told = doubts_told_.erase(told);
      } else {
        ++told;
      }
    }
  }
}

std::string TaskRunner::status() const {
  const Micros at = now();
  std::size_t owned = 0;
  for (const ownership::ShardStatus& seen : lease_manager_.shards(at)) {
    owned += seen.lease_phase == ownership::LeasePhase::kOwner ||
                     seen.lease_phase == ownership::LeasePhase::kRenewing
                 ? 1
                 : 0;
  }
  const ownership::LeaseManagerCounts& counts = lease_manager_.counts();
  return nlohmann::json{{"store", heard_ ? "heard" : "silent"},
                        {"members", view_.members(at).size()},
                        {"owned", owned},
                        {"acquired", counts.acquired},
                        {"lost", counts.lost},
                        {"yielded", counts.released},
                        {"parked", counts.parked},
                        {"store_calls", store_.counts().calls},
                        {"store_failed", store_.counts().failed}}
      .dump();
}

}  // namespace trailcourse::tasks
