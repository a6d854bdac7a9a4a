#include "tasks/task_runner.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>
#include <variant>

#include "tasks/clock.h"
#include "tasks/lease_calls.h"
#include "transport/log.h"

namespace trailcourse::tasks {

using coordination::KeyChange;
using coordination::LeaseId;
using coordination::TransactionResult;
using ownership::ShardId;
using std::chrono::milliseconds;
using transport::Level;
using transport::log_line;

namespace {

constexpr const char* kFleetPrefix = "fleet/";
constexpr Micros kMinStepInterval{500};

std::set<std::string> to_set(const std::vector<std::string>& values) {
  return {values.begin(), values.end()};
}

}  // namespace

TaskRunner::TaskRunner(transport::Scheduler& scheduler, coordination::CoordinationStore& store,
                       const OwnershipOptions& options, std::string prefix, MemberIdentity identity)
    : store_(store),
      options_(options),
      prefix_(std::move(prefix)),
      loop_(scheduler, kMinStepInterval, [this] { return run_step(); }),
      view_(membership_options(options)),
      session_(store, loop_, options, prefix_, std::move(identity)),
      peer_checks_(scheduler, view_, session_, options),
      lease_manager_(session_.identity().name, session_.identity().incarnation, session_.identity().zone,
                     to_set(options.kinds), lease_manager_options(options)),
      task_host_(scheduler, store, prefix_, lease_manager_, loop_) {}

TaskRunner::~TaskRunner() {
  if (watch_ != 0) {
    store_.unwatch(watch_);
  }
}

void TaskRunner::register_kind(const std::string& kind, OwnedTaskFactory factory) {
  task_host_.register_kind(kind, std::move(factory));
}

void TaskRunner::observe_keys(const std::string& key_prefix, KeyObserver observer) {
  observers_[key_prefix] = std::move(observer);
}

void TaskRunner::start() {
  watch_ = store_.watch(coordination::Range{prefix_ + kFleetPrefix, true}, *this);
  peer_checks_.start();
  loop_.schedule();
}

void TaskRunner::drain() {
  if (std::exchange(draining_, true)) {
    return;
  }
  lease_manager_.drain(steady_now());
  session_.announce_draining();
  peer_checks_.stop();
  loop_.schedule();
}

bool TaskRunner::drained() const { return draining_ && lease_manager_.drained() && session_.ended(); }

void TaskRunner::set_allowed_kinds(std::optional<std::set<std::string>> kinds) {
  lease_manager_.set_allowed_kinds(steady_now(), std::move(kinds));
  loop_.schedule();
}

// ---- Records of the store ----

void TaskRunner::on_snapshot(coordination::Revision revision,
                             const std::vector<coordination::Entry>& entries) {
  std::set<std::string> present;
  view_.begin_snapshot();
  for (const coordination::Entry& entry : entries) {
    present.insert(entry.key);
    apply(KeyChange{false, entry});
  }
  for (const std::string& key : std::set<std::string>(observed_keys_)) {
    if (!present.contains(key)) {
      KeyChange deletion{true, {}};
      deletion.entry.key = key;
      deletion.entry.modified = revision;
      apply(deletion);
    }
  }
  view_.end_snapshot(steady_now(), revision);
  on_connected();
  update_members();
}

void TaskRunner::on_changes(coordination::Revision, const std::vector<KeyChange>& changes) {
  for (const KeyChange& change : changes) {
    apply(change);
  }
  on_connected();
  update_members();
}

void TaskRunner::on_disconnected(const std::string& reason) {
  if (std::exchange(connected_, false)) {
    log_line(Level::kWarning) << "disconnected from the coordination store: " << reason;
  }
  lease_manager_.set_connected(steady_now(), false);
  loop_.schedule();
}

void TaskRunner::on_connected() {
  if (!std::exchange(connected_, true)) {
    log_line(Level::kInfo) << "connected to coordination store " << store_.id();
    lease_manager_.set_connected(steady_now(), true);
    loop_.schedule();
  }
}

void TaskRunner::apply(const KeyChange& change) {
  if (change.deleted) {
    observed_keys_.erase(change.entry.key);
  } else {
    observed_keys_.insert(change.entry.key);
  }
  const std::string key = change.entry.key.substr(std::min(prefix_.size(), change.entry.key.size()));
  const std::string value = change.deleted ? std::string() : change.entry.value;
  view_.apply(steady_now(), key, value, change.entry.created, change.entry.modified);
  if (apply_shard_record(key, change)) {
    return;
  }
  if (key.starts_with(ownership::kWorkPrefix)) {
    apply_work(key, change);
  } else {
    notify_observers(key, value);
  }
}

// Returns whether the key is a record of one shard.
bool TaskRunner::apply_shard_record(const std::string& key, const KeyChange& change) {
  const Micros now = steady_now();
  const std::string value = change.deleted ? std::string() : change.entry.value;
  if (const auto owned = ownership::read_shard_key(key, ownership::kOwnerPrefix)) {
    const auto owner = change.deleted ? std::nullopt : ownership::read_owner(value, change.entry.created);
    lease_manager_.on_owner(now, *owned, owner, change.entry.modified);
  } else if (const auto done = ownership::read_shard_key(key, ownership::kDonePrefix)) {
    lease_manager_.on_done(now, *done, !change.deleted);
  } else if (const auto release = ownership::read_shard_key(key, ownership::kReleasePrefix)) {
    lease_manager_.on_release_request(now, *release, value);
  } else {
    return false;
  }
  return true;
}

void TaskRunner::apply_work(const std::string& key, const KeyChange& change) {
  const std::string name = key.substr(std::string_view(ownership::kWorkPrefix).size());
  std::optional<ownership::Work> work;
  if (!change.deleted) {
    work = ownership::read_work(key, change.entry.value);
    if (!work) {
      log_line(Level::kWarning) << "work " << name << " is malformed and is ignored";
    }
  }
  task_host_.set_work(name, work);
  lease_manager_.set_work(steady_now(), name, std::move(work));
}

void TaskRunner::notify_observers(const std::string& key, const std::string& value) {
  for (const auto& [key_prefix, observer] : observers_) {
    if (key.starts_with(key_prefix)) {
      observer(key, value);
    }
  }
}

// Passes the members that may be assigned work to the lease manager.
void TaskRunner::update_members() {
  const Micros now = steady_now();
  ownership::MemberZones zones;
  for (const membership::MemberEntry& entry : view_.members(now)) {
    if (entry.status == membership::MemberStatus::kActive) {
      zones[entry.member.name] = entry.member.zone;
    }
  }
  lease_manager_.set_members(now, std::move(zones));
  const bool superseded = view_.superseded(identity().name, identity().incarnation);
  lease_manager_.set_superseded(now, superseded);
  if (superseded && last_view_revision_ != view_.revision()) {
    log_line(Level::kWarning) << "another instance has this router's name, " << identity().name
                              << ": this one does no owned work";
  }
  last_view_revision_ = view_.revision();
  loop_.schedule();
}

// ---- The lease manager's actions ----

std::optional<Micros> TaskRunner::run_step() {
  const Micros now = steady_now();
  if (const auto next = view_.next_change_at(now); next && *next <= now) {
    update_members();
  }
  if (draining_ && lease_manager_.drained()) {
    session_.end(now);
  }
  session_.step(now);
  for (const ownership::LeaseManagerAction& action : lease_manager_.step(now)) {
    execute(action);
  }
  return next_step_at(steady_now());
}

std::optional<Micros> TaskRunner::next_step_at(Micros now) const {
  std::optional<Micros> earliest;
  for (const auto& next :
       {lease_manager_.next_step_at(now), session_.next_step_at(now), view_.next_change_at(now)}) {
    if (next) {
      earliest = std::min(earliest.value_or(*next), *next);
    }
  }
  return earliest;
}

void TaskRunner::execute(const ownership::LeaseManagerAction& action) {
  if (const auto* call = std::get_if<ownership::LeaseCallAction>(&action)) {
    execute_lease_call(*call);
  } else if (const auto* write = std::get_if<ownership::WriteProgressAction>(&action)) {
    write_progress(*write);
  } else if (const auto* start = std::get_if<ownership::StartTaskAction>(&action)) {
    task_host_.execute(*start);
  } else if (const auto* stop = std::get_if<ownership::StopTaskAction>(&action)) {
    task_host_.execute(*stop);
  } else if (const auto* abort = std::get_if<ownership::AbortTaskAction>(&action)) {
    task_host_.execute(*abort);
  }
}

void TaskRunner::execute_lease_call(const ownership::LeaseCallAction& action) {
  const ShardId id = action.id;
  const std::uint64_t call_id = action.call.call_id;
  LeaseCallHandlers handlers;
  handlers.make_transaction = [this, id](LeaseId lease) {
    const ownership::Owner self{identity().name, identity().incarnation, 0};
    return ownership::acquire_transaction(prefix_, id, self, lease);
  };
  handlers.on_acquire_result = [this, id, call_id](LeaseId lease, const TransactionResult& outcome) {
    return on_acquire_result(id, call_id, lease, outcome);
  };
  handlers.on_renew_result = [this, id, call_id](bool valid) {
    lease_manager_.on_renew_result(steady_now(), id, call_id, valid);
  };
  handlers.on_released = [this, id, call_id] { lease_manager_.on_release_result(steady_now(), id, call_id); };
  handlers.on_no_response = [this, id, call_id] { lease_manager_.on_no_response(steady_now(), id, call_id); };
  const auto lease = shard_leases_.find(id);
  make_lease_call(store_, loop_, action.call.kind, milliseconds(options_.ttl_ms),
                  lease == shard_leases_.end() ? 0 : lease->second, std::move(handlers));
}

// Returns whether the shard is owned now.
bool TaskRunner::on_acquire_result(const ShardId& id, std::uint64_t call_id, LeaseId lease,
                                   const TransactionResult& outcome) {
  const ownership::AcquireResult acquired = ownership::read_acquire_result(outcome);
  const bool owned = acquired.term != 0;
  if (owned) {
    shard_leases_[id] = lease;
    log_line(Level::kInfo) << "owner of " << to_string(id) << " under term " << acquired.term;
  }
  lease_manager_.on_acquire_result(steady_now(), id, call_id, acquired);
  return owned;
}

void TaskRunner::write_progress(const ownership::WriteProgressAction& action) {
  store_.commit(ownership::write_progress_transaction(prefix_, action.id, action.term, action.modified,
                                                      action.progress),
                loop_.then_step([this, action](const auto& reply) {
                  const Micros now = steady_now();
                  if (reply.ok()) {
                    lease_manager_.on_write_result(
                        now, action.id, action.call_id,
                        ownership::read_progress_write_result(reply.value, action.term, action.progress));
                  } else {
                    lease_manager_.on_no_write_response(now, action.id, action.call_id);
                  }
                }));
}

// ---- Status ----

std::string TaskRunner::status() const {
  const Micros now = steady_now();
  std::size_t owned = 0;
  for (const ownership::ShardStatus& shard : lease_manager_.shards(now)) {
    owned += shard.lease_phase == ownership::LeasePhase::kOwner ||
                     shard.lease_phase == ownership::LeasePhase::kRenewing
                 ? 1
                 : 0;
  }
  const ownership::LeaseManagerCounts& counts = lease_manager_.counts();
  return nlohmann::json{{"store", connected_ ? "heard" : "silent"},
                        {"members", view_.members(now).size()},
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
