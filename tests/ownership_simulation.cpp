#include "ownership_simulation.h"

#include <array>
#include <functional>
#include <map>
#include <set>

#include "coordination/key_value_state.h"
#include "ownership/lease_manager.h"
#include "ownership_invariants.h"
#include "ownership_simulation_options.h"
#include "virtual_world.h"

namespace trailcourse::ownership {
namespace {

using coordination::KeyValueState;
using coordination::LeaseId;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing_support::VirtualProcess;
using testing_support::VirtualWorld;

class OwnershipWorld : private VirtualWorld {
 public:
  OwnershipWorld(std::uint64_t seed, SeededDefect defect)
      : VirtualWorld(seed, simulation_call_rules()),
        defect_(defect),
        options_(simulation_manager_options(defect)),
        receiver_(defect != SeededDefect::kNoFence) {
    Work work;
    work.name = "w";
    work.kind = "test";
    work.shards = kShards;
    commit(coordination::Transaction{
        {}, {coordination::Put{std::string(kWorkPrefix) + "w", write_work(work), 0}}, {}});
    for (int i = 0; i < kRouters; ++i) {
      router(i).run_step = [this, i] { step(i); };
      start(i);
    }
  }

  SimulationReport run() {
    at(Micros(0), [this] { draw_fault(); });
    at(Micros(0), [this] { expire_leases(); });
    play(kFaultsEnd, kEnd, [this] { end_faults(); }, [this] { check_single_owners(); });
    for (std::uint64_t shard = 0; shard < kShards; ++shard) {
      if (!acting_router_.contains(shard)) {
        fail("no router owns shard " + std::to_string(shard) + " long after the last fault" + describe());
      }
    }
    report_.failure = failure_;
    report_.effects = receiver_.effects();
    report_.rejected = receiver_.rejected();
    report_.steps = steps_;
    return report_;
  }

 private:
  struct Router : VirtualProcess {
    std::optional<LeaseManager> manager;
    std::map<ShardId, LeaseId> leases;
    std::map<ShardId, Term> terms;               // under which the last task was started
    std::map<ShardId, std::uint64_t> task_runs;  // id of the running task; an older task has another id
    bool following = false;                      // whether changes of the store are sent to the router
    std::uint64_t last_run = 0;
  };

  Router& router(int index) { return routers_.at(static_cast<std::size_t>(index)); }
  LeaseManager& manager(int index) { return *router(index).manager; }
  Micros router_now(int index) { return clock(router(index)); }
  static std::string name(int index) { return "router" + std::to_string(index); }

  // ---- The store ----

  coordination::TransactionResult commit(const coordination::Transaction& transaction) {
    store_.expire(store_clock());
    const coordination::TransactionResult out = store_.commit(transaction);
    send_changes();
    return out;
  }

  void expire_leases() {
    store_.expire(store_clock());
    send_changes();
    at(now_ + kExpiryPeriod, [this] { expire_leases(); });
  }

  // Makes a call of a router to the store, which may be late or lost.
  template <typename Value>
  void call_store(int index, const std::function<Value()>& serve,
                  const std::function<void(const Value&)>& on_response,
                  const std::function<void()>& no_response) {
    call<Value>(
        router(index), nullptr, !calm_ && router(index).cut,
        [this, serve]() -> std::optional<Value> {
          store_.expire(store_clock());
          Value value = serve();
          send_changes();
          return value;
        },
        on_response, no_response);
  }

  // Sends changes to all routers that follow them, to each with a different delay but in order.
  void send_changes() {
    for (const coordination::KeyChange& change : store_.take_changes()) {
      const auto id = read_shard_key(change.entry.key, kProgressPrefix);
      if (const auto progress = id ? read_progress(change.entry.value) : std::nullopt) {
        fail_if(progress_monitor_.observe(*id, *progress));
      }
      for (int i = 0; i < kRouters; ++i) {
        if (router(i).running && router(i).following) {
          send_change(i, change);
        }
      }
    }
  }

  void send_change(int index, const coordination::KeyChange& change) {
    Micros& arrival = last_arrival_[index];
    arrival = std::max(arrival, now_ + drawn(milliseconds(40)));
    at(arrival, [this, index, same = same_incarnation(router(index)), change] {
      deliver(router(index), [this, index, same, change] {
        if (same() && router(index).following) {
          apply(index, change);
        }
      });
    });
  }

  void apply(int index, const coordination::KeyChange& change) {
    const Micros now = router_now(index);
    const std::string& key = change.entry.key;
    if (const auto id = read_shard_key(key, kOwnerPrefix)) {
      manager(index).on_owner(
          now, *id, change.deleted ? std::nullopt : read_owner(change.entry.value, change.entry.created),
          change.entry.modified);
    } else if (key.starts_with(kWorkPrefix)) {
      manager(index).set_work(now, key.substr(std::string(kWorkPrefix).size()),
                              read_work(key, change.entry.value));
    }
  }

  // Reads all records for a router, which follows the changes from then on.
  void read_snapshot(int index, const std::function<bool()>& same) {
    at(now_ + drawn(milliseconds(30)), [this, index, same] {
      if (!same()) {
        return;
      }
      if (router(index).cut) {
        at(now_ + milliseconds(200), [this, index, same] { read_snapshot(index, same); });
        return;
      }
      const auto entries = store_.get(coordination::Range{"", true});
      const coordination::Revision revision = store_.revision();
      router(index).following = true;
      at(now_ + drawn(milliseconds(30)), [this, index, same, entries, revision] {
        deliver(router(index), [this, index, same, entries, revision] {
          if (same()) {
            apply_snapshot(index, entries, revision);
          }
        });
      });
    });
  }

  void apply_snapshot(int index, const std::vector<coordination::Entry>& entries,
                      coordination::Revision revision) {
    const Micros now = router_now(index);
    MemberZones zones;
    for (int i = 0; i < kRouters; ++i) {
      zones[name(i)] = "edge";
    }
    manager(index).set_members(now, zones);
    std::set<std::string> keys;
    for (const coordination::Entry& entry : entries) {
      keys.insert(entry.key);
      apply(index, coordination::KeyChange{false, entry});
    }
    for (std::uint64_t shard = 0; shard < kShards; ++shard) {
      const ShardId id{"w", shard};
      if (!keys.contains(kOwnerPrefix + to_string(id))) {
        manager(index).on_owner(now, id, std::nullopt, revision);
      }
    }
    manager(index).set_connected(now, true);
  }

  // ---- Routers ----

  void start(int index) {
    Router& started = router(index);
    begin_incarnation(started, kClockErrorPartsPerMillion, kMaxClockOffset);
    if (defect_ == SeededDefect::kNoDriftBound) {
      started.rate = 0.99;
    }
    started.manager.emplace(name(index), std::to_string(started.incarnation), "edge",
                            std::set<std::string>{"test"}, options_);
    started.leases.clear();
    started.task_runs.clear();
    started.terms.clear();
    started.cut = false;
    started.following = false;
    read_snapshot(index, same_incarnation(started));
    tick(started, kStepPeriod);
  }

  void crash(int index) {
    Router& crashed = router(index);
    if (!crashed.running) {
      return;
    }
    crashed.manager.reset();
    end_incarnation(crashed);
    std::erase_if(acting_router_, [index](const auto& entry) { return entry.second == index; });
  }

  void step(int index) {
    for (const LeaseManagerAction& action : manager(index).step(router_now(index))) {
      std::visit([this, index](const auto& typed_action) { execute(index, typed_action); }, action);
    }
  }

  void execute(int index, const LeaseCallAction& action) {
    const ShardId id = action.id;
    const std::uint64_t call_id = action.call.call_id;
    const auto no_response = [this, index, id, call_id] {
      manager(index).on_no_response(router_now(index), id, call_id);
    };
    if (action.call.kind == LeaseCallKind::kAcquire) {
      acquire(index, id, call_id, no_response);
      return;
    }
    const LeaseId lease = router(index).leases[id];
    if (action.call.kind == LeaseCallKind::kRenew) {
      call_store<bool>(
          index,
          [this, lease] { return store_.keep_alive(store_clock(), lease) > std::chrono::milliseconds(0); },
          [this, index, id, call_id](const bool& alive) {
            manager(index).on_renew_result(router_now(index), id, call_id, alive);
          },
          no_response);
      return;
    }
    call_store<bool>(
        index,
        [this, lease] {
          if (store_.leases().contains(lease)) {
            store_.revoke(lease);
          }
          return true;
        },
        [this, index, id, call_id](const bool&) {
          manager(index).on_release_result(router_now(index), id, call_id);
        },
        no_response);
  }

  // Makes two calls: one grants a lease of the store, the other writes the owner's key with it.
  void acquire(int index, const ShardId& id, std::uint64_t call_id,
               const std::function<void()>& no_response) {
    const Owner owner{name(index), std::to_string(router(index).incarnation), 0};
    const auto ttl = std::chrono::duration_cast<std::chrono::milliseconds>(options_.lease.ttl);
    call_store<LeaseId>(
        index, [this, ttl] { return store_.grant(store_clock(), ttl, 0); },
        [this, index, id, call_id, owner, no_response](const LeaseId& lease) {
          router(index).leases[id] = lease;
          become_owner(index, id, call_id, owner, lease, no_response);
        },
        no_response);
  }

  void become_owner(int index, const ShardId& id, std::uint64_t call_id, const Owner& owner, LeaseId lease,
                    const std::function<void()>& no_response) {
    call_store<AcquireResult>(
        index,
        [this, id, owner, lease] {
          try {
            return read_acquire_result(store_.commit(acquire_transaction("", id, owner, lease)));
          } catch (const coordination::OperationRejected&) {
            return AcquireResult{};  // the lease ended meanwhile
          }
        },
        [this, index, id, call_id](const AcquireResult& result) {
          ++report_.acquire_responses;
          manager(index).on_acquire_result(router_now(index), id, call_id, result);
        },
        no_response);
  }

  void execute(int index, const WriteProgressAction& write) {
    coordination::Transaction transaction =
        write_progress_transaction("", write.id, write.term, write.modified, write.progress);
    if (defect_ == SeededDefect::kUncheckedProgress) {
      transaction.when.clear();
    }
    call_store<ProgressWriteResult>(
        index,
        [this, write, transaction] {
          return read_progress_write_result(store_.commit(transaction), write.term, write.progress);
        },
        [this, index, write](const ProgressWriteResult& result) {
          manager(index).on_write_result(router_now(index), write.id, write.call_id, result);
        },
        [this, index, write] {
          manager(index).on_no_write_response(router_now(index), write.id, write.call_id);
        });
  }

  // ---- Tasks: each counts up, and every number is sent as an effect and then reported as a checkpoint ----

  void execute(int index, const StartTaskAction& action) {
    Router& owner = router(index);
    const std::uint64_t run = ++owner.last_run;
    owner.task_runs[action.id] = run;
    owner.terms[action.id] = action.term;
    const std::uint64_t done = action.checkpoint.empty() ? 0 : std::stoull(action.checkpoint);
    work_on(index, run, action.id, action.term, done + 1);
  }
  void execute(int index, const StopTaskAction& action) {
    router(index).task_runs.erase(action.id);
    manager(index).on_task_finished(router_now(index), action.id, action.term);
  }
  void execute(int index, const AbortTaskAction& action) { router(index).task_runs.erase(action.id); }

  void work_on(int index, std::uint64_t run, const ShardId& id, Term term, std::uint64_t number) {
    at(now_ + milliseconds(100) + drawn(milliseconds(100)),
       [this, index, run, id, term, number, same = same_incarnation(router(index))] {
         deliver(router(index), [this, index, run, id, term, number, same] {
           if (same() && is_current_run(index, id, run)) {
             send_effect(index, run, id, term, number);
           }
         });
       });
  }

  bool is_current_run(int index, const ShardId& id, std::uint64_t run) {
    const auto task = router(index).task_runs.find(id);
    return task != router(index).task_runs.end() && task->second == run;
  }

  void send_effect(int index, std::uint64_t run, const ShardId& id, Term term, std::uint64_t number) {
    if (!manager(index).may_act(router_now(index), id, term)) {
      work_on(index, run, id, term, number);
      return;
    }
    // The effect may wait in a socket's buffer for longer than any lease.
    const Micros delay = drawn(calm_ || chance(80) ? milliseconds(20) : seconds(15));
    at(now_ + delay, [this, id, term] { fail_if(receiver_.receive(id, term)); });
    manager(index).on_checkpoint(router_now(index), id, term, std::to_string(number), false);
    work_on(index, run, id, term, number + 1);
  }

  // ---- Invariants ----

  void fail_if(const std::optional<std::string>& violation) {
    if (violation) {
      fail(*violation);
    }
  }

  void check_single_owners() {
    std::map<std::uint64_t, int> acting;
    for (int i = 0; i < kRouters; ++i) {
      if (!router(i).running) {
        continue;
      }
      const Micros now = router_now(i);
      for (const auto& [id, term] : router(i).terms) {
        if (manager(i).may_act(now, id, term) && !acting.emplace(id.shard, i).second) {
          fail("two routers may act on shard " + std::to_string(id.shard));
        }
      }
    }
    acting_router_ = std::move(acting);
  }

  // Returns the state of the shards at each router, and the entries of the store.
  std::string describe() {
    std::string out;
    for (int i = 0; i < kRouters; ++i) {
      if (!router(i).running) {
        continue;
      }
      for (const ShardStatus& status : manager(i).shards(router_now(i))) {
        out += "\n  " + name(i) + " " + to_string(status.id) + ": " + to_string(status.phase) + ", " +
               to_string(status.lease_phase) + ", owner " + status.owner.member + " " +
               std::to_string(status.owner.term);
      }
    }
    for (const coordination::Entry& entry : store_.get(coordination::Range{"", true})) {
      out += "\n  " + entry.key + "@" + std::to_string(entry.created) + " " + entry.value;
    }
    return out;
  }

  // ---- Faults ----

  void draw_fault() {
    if (calm_) {
      return;
    }
    const int index = static_cast<int>(random_() % kRouters);
    switch (random_() % 6) {
      case 0:
      case 1:
        suspend(index);
        break;
      case 2:
        crash(index);
        at(now_ + drawn(seconds(4)), [this, index] {
          if (!router(index).running) {
            start(index);
          }
        });
        break;
      case 3:
        disconnect(index);
        break;
      case 4:  // the receiver restarts, with its persisted terms unless they are dropped by the defect
        if (defect_ == SeededDefect::kFenceLosesTerms) {
          receiver_.lose_terms();
        }
        break;
      default:  // an operator requests the release of a shard
        if (router(index).running && !router(index).paused) {
          manager(index).on_release_request(router_now(index), ShardId{"w", random_() % kShards},
                                            name(index));
        }
    }
    at(now_ + drawn(milliseconds(2'500)), [this] { draw_fault(); });
  }

  void suspend(int index) {
    Router& suspended = router(index);
    if (!suspended.running || suspended.paused) {
      return;
    }
    suspended.paused = true;
    at(now_ + drawn(seconds(10)), [this, index, same = same_incarnation(suspended)] {
      if (same()) {
        wake(router(index));
      }
    });
  }

  void disconnect(int index) {
    Router& disconnected = router(index);
    if (!disconnected.running) {
      return;
    }
    disconnected.cut = true;
    disconnected.following = false;
    disconnected.manager->set_connected(clock(disconnected), false);
    at(now_ + drawn(seconds(8)), [this, index, same = same_incarnation(disconnected)] {
      if (same()) {
        reconnect(index);
      }
    });
  }

  void reconnect(int index) {
    if (router(index).cut) {
      router(index).cut = false;
      read_snapshot(index, same_incarnation(router(index)));
    }
  }

  void end_faults() {
    for (int i = 0; i < kRouters; ++i) {
      if (!router(i).running) {
        start(i);
        continue;
      }
      wake(router(i));
      reconnect(i);
    }
  }

  SeededDefect defect_;
  LeaseManagerOptions options_;
  KeyValueState store_{coordination::KeyValueLimits{}};
  std::array<Router, kRouters> routers_;
  std::map<int, Micros> last_arrival_;  // of the last change, by router
  EffectReceiver receiver_;
  ProgressMonitor progress_monitor_;
  std::map<std::uint64_t, int> acting_router_;  // by shard
  SimulationReport report_;
};

}  // namespace

SimulationReport run_ownership_simulation(std::uint64_t seed, SeededDefect defect) {
  return OwnershipWorld(seed, defect).run();
}

}  // namespace trailcourse::ownership
