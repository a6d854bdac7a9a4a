// A simulation of policy rollouts in virtual time: the real participants, coordinators and store state, with
// lost and late calls, paused and crashed processes, replaced coordinators, and drifting clocks. No request
// may be decided under the previous version after another one was decided under the target version.
#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <set>

#include "coordination/key_value_state.h"
#include "policy/participant.h"
#include "policy/rollout_coordinator.h"
#include "policy/rollout_transactions.h"
#include "virtual_world.h"

namespace trailcourse::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing_support::VirtualProcess;
using testing_support::VirtualWorld;

// A defect seeded into the simulation, which its checks have to find.
enum class Defect {
  kNone,
  kCommitsBeforeSuspension,
  kTimesLeaseFromAnswer,
  kJoinsUnconditionally,
  kAppliesAbortedVersion
};

struct WorldResult {
  std::string failure;  // the first one; empty: none
  std::uint64_t decided = 0, in_doubt = 0, rejected = 0, rollouts = 0, commits = 0, aborts = 0, steps = 0;
};

// Routers with real participants, a coordinator that is replaced from time to time, and the real state of the
// store. Requests arrive at every router all the time. The versions that they are decided under are compared
// in the order of true time.
class PolicyWorld : private VirtualWorld {
 public:
  PolicyWorld(std::uint64_t seed, Defect defect)
      : VirtualWorld(seed, testing_support::CallRules{}), defect_(defect) {
    options_.lease.ttl = seconds(2);
    options_.lease.renew_after = milliseconds(600);
    options_.lease.retry_backoff = milliseconds(200);
    options_.lease.margin = milliseconds(20);
    timeouts_.prepare_timeout = seconds(6);
    timeouts_.suspend_timeout = seconds(8);
    for (int i = 0; i < 3; ++i) {
      routers_.emplace_back();
      start(i);
    }
    run_coordinator();
    propose_rollouts();
    draw_faults();
    generate_requests();
    expire_leases();
  }

  WorldResult run() {
    play(seconds(45), seconds(75), [this] { end_faults(); }, [] {});
    const RolloutSnapshot snapshot = read_store();
    if (snapshot.rollout && snapshot.rollout->is_open()) {
      fail(std::string("a rollout is stuck: ") + to_string(snapshot.rollout->state) + describe(snapshot));
    }
    for (std::size_t i = 0; i < routers_.size(); ++i) {
      const Router& one = routers_[i];
      const EffectivePolicy effective_policy = one.participant->effective_policy(clock(one));
      if (effective_policy.kind != EffectivePolicy::Kind::kSingle ||
          effective_policy.version != snapshot.current_version) {
        fail("router " + std::to_string(i) + " does not decide under the version in force: " +
             to_string(one.participant->state(clock(one))) + describe(snapshot));
      }
    }
    result_.failure = failure_;
    result_.steps = steps_;
    return result_;
  }

 private:
  struct Router : VirtualProcess {
    std::optional<Participant> participant;
    bool disk_fails = false;
    coordination::LeaseId lease = 0;
    Micros last_delivery{0};
  };

  std::string describe(const RolloutSnapshot& snapshot) const {
    std::string out;
    for (const auto& [name, report] : snapshot.reports) {
      out += "\n  " + name + " " + write_report(report);
    }
    if (snapshot.rollout) {
      out += "\n  " + write_rollout(*snapshot.rollout);
    }
    return out + "\n  current " + std::to_string(snapshot.current_version);
  }

  RolloutSnapshot read_store() {
    const coordination::TransactionResult outcome = store_.commit(snapshot_transaction(""));
    return read_snapshot("", outcome);
  }
  ObservedState observed_now() {
    const RolloutSnapshot snapshot = read_store();
    ObservedState out;
    out.rollout = snapshot.rollout;
    out.rollout_revision = snapshot.rollout_revision;
    out.version = snapshot.current_version;
    out.current_revision = snapshot.current_revision;
    return out;
  }

  // Makes a call to the store.
  template <typename Value>
  void call_store(int index, const std::function<Value()>& operation,
                  const std::function<void(const Value&)>& on_answer,
                  const std::function<void()>& on_no_response) {
    call<Value>(
        router_at(index), nullptr, router_at(index).cut,
        [this, operation]() -> std::optional<Value> {
          store_.expire(store_clock());
          Value value = operation();
          publish_changes();
          return value;
        },
        on_answer, on_no_response);
  }

  void start(int index) {
    Router& router = routers_[static_cast<std::size_t>(index)];
    begin_incarnation(router, 950, seconds(50));
    router.run_step = [this, index] { run_step(index); };
    router.disk_fails = false;
    if (defect_ == Defect::kTimesLeaseFromAnswer) {
      options_.lease.margin = -seconds(1);  // as if the lease were timed from its answer
    }
    router.participant.emplace(std::to_string(router.incarnation), "edge", options_,
                               [](std::uint64_t) { return PreparationResult(); });
    watch(index, router.incarnation);
    tick(router, milliseconds(40));
  }
  void watch(int index, int incarnation) {
    at(now_ + drawn(milliseconds(20)), [this, index, incarnation] {
      Router& router = routers_[static_cast<std::size_t>(index)];
      if (router.incarnation != incarnation) {
        return;
      }
      if (router.cut) {
        at(now_ + milliseconds(200), [this, index, incarnation] { watch(index, incarnation); });
        return;
      }
      publish_to(index, observed_now());
    });
  }
  void publish_to(int index, const ObservedState& observed) {
    Router& router = routers_[static_cast<std::size_t>(index)];
    const int incarnation = router.incarnation;
    router.last_delivery =
        std::max(router.last_delivery, now_ + drawn(chance(90) ? milliseconds(20) : seconds(1)));
    at(router.last_delivery, [this, index, incarnation, observed] {
      deliver(router_at(index), [this, index, incarnation, observed] {
        Router& one = routers_[static_cast<std::size_t>(index)];
        if (one.incarnation != incarnation) {
          return;
        }
        const Micros now = clock(one);
        for (std::uint64_t version = 1; version <= last_version_; ++version) {
          one.participant->on_document(now, version);
        }
        ObservedState applied = observed;
        if (defect_ == Defect::kAppliesAbortedVersion && applied.rollout &&
            applied.rollout->state == RolloutState::kAborted &&
            one.participant->state(now) == ParticipantState::kInDoubt) {
          applied.version = applied.rollout->target_version;  // as if the prepared version were in force
        }
        one.participant->on_observed_state(now, applied);
        one.participant->set_connected(now, true);
      });
    });
  }
  // Sends changes to all routers that are connected to the store.
  void publish_changes() {
    bool changed = false;
    for (const coordination::KeyChange& change : store_.take_changes()) {
      changed = changed || change.entry.key.starts_with("policy/");
    }
    if (!changed) {
      return;
    }
    const ObservedState observed = observed_now();
    for (int i = 0; i < static_cast<int>(routers_.size()); ++i) {
      if (!routers_[static_cast<std::size_t>(i)].cut) {
        publish_to(i, observed);
      }
    }
  }

  void run_step(int index) {
    Router& router = routers_[static_cast<std::size_t>(index)];
    for (const ParticipantAction& action : router.participant->step(clock(router))) {
      std::visit([this, index](const auto& alternative) { execute(index, alternative); }, action);
    }
  }
  Router& router_at(int index) { return routers_[static_cast<std::size_t>(index)]; }

  void execute(int index, const PersistDocumentAction& action) {
    const int incarnation = router_at(index).incarnation;
    at(now_ + drawn(milliseconds(30)), [this, index, incarnation, action] {
      deliver(router_at(index), [this, index, incarnation, action] {
        if (router_at(index).incarnation == incarnation) {
          router_at(index).participant->on_persist_result(
              clock(router_at(index)), action.version,
              router_at(index).disk_fails
                  ? preparation_failed(PreparationError::Kind::kNotStored, "full disk")
                  : PreparationResult());
        }
      });
    });
  }
  void execute(int index, const ReportAction& action) {
    const coordination::LeaseId lease = router_at(index).lease;
    call_store<bool>(
        index,
        [this, index, action, lease] {
          try {
            store_.commit(
                coordination::Transaction{{},
                                          {coordination::Put{report_key(std::to_string(index), lease),
                                                             write_report(action.report), lease}},
                                          {}});
            return true;
          } catch (const coordination::OperationRejected&) {
            return false;
          }
        },
        [this, index, action](const bool& done) {
          router_at(index).participant->on_report_result(clock(router_at(index)), action.call_id, done);
        },
        [this, index, action] {
          router_at(index).participant->on_report_result(clock(router_at(index)), action.call_id, false);
        });
  }
  void execute(int index, const LeaseAction& action) {
    const std::uint64_t call_id = action.call.call_id;
    const auto on_no_response = [this, index, call_id] {
      router_at(index).participant->on_no_response(clock(router_at(index)), call_id);
    };
    if (action.call.kind == ownership::LeaseCallKind::kAcquire) {
      call_store<coordination::LeaseId>(
          index,
          [this] {
            return store_.grant(store_clock(),
                                std::chrono::duration_cast<std::chrono::milliseconds>(options_.lease.ttl), 0);
          },
          [this, index, action, call_id, on_no_response](const coordination::LeaseId& lease) {
            router_at(index).lease = lease;
            call_store<bool>(
                index,
                [this, index, action, lease] {
                  coordination::Transaction join;
                  if (defect_ != Defect::kJoinsUnconditionally) {
                    join.when = {coordination::unchanged(kRolloutKey, action.observed.rollout_revision),
                                 coordination::unchanged(kCurrentKey, action.observed.current_revision)};
                  }
                  join.then = {coordination::Put{report_key(std::to_string(index), lease),
                                                 write_report(action.report), lease}};
                  try {
                    return store_.commit(join).succeeded;
                  } catch (const coordination::OperationRejected&) {
                    return false;
                  }
                },
                [this, index, call_id](const bool& joined) {
                  router_at(index).participant->on_join_result(clock(router_at(index)), call_id, joined);
                  if (!joined) {
                    watch(index, router_at(index).incarnation);
                  }
                },
                on_no_response);
          },
          on_no_response);
      return;
    }
    const coordination::LeaseId lease = router_at(index).lease;
    call_store<bool>(
        index,
        [this, lease] { return store_.keep_alive(store_clock(), lease) > std::chrono::milliseconds(0); },
        [this, index, call_id](const bool& alive) {
          router_at(index).participant->on_renew_result(clock(router_at(index)), call_id, alive);
        },
        on_no_response);
  }

  // ---- The coordinator and the operators ----

  void run_coordinator() {
    at(now_ + drawn(milliseconds(200)), [this] {
      if (chance(2) && !calm_) {
        coordinator_.emplace(timeouts_);  // a successor
      }
      if (!coordinator_) {
        coordinator_.emplace(timeouts_);
      }
      run_coordinator_step();
      run_coordinator();
    });
  }
  void run_coordinator_step() {
    store_.expire(store_clock());
    RolloutSnapshot snapshot = read_store();
    if (defect_ == Defect::kCommitsBeforeSuspension && snapshot.rollout &&
        snapshot.rollout->state == RolloutState::kSuspending) {
      snapshot.reports.clear();
    }
    const std::optional<RolloutStep> step = coordinator_->step(now_, snapshot);
    if (!step) {
      return;
    }
    // The write may arrive late, when the store has changed.
    const coordination::Transaction write = execute_transaction("", snapshot, *step);
    at(now_ + drawn(chance(80) ? milliseconds(10) : seconds(4)),
       [this, write, step = *step] { commit_step(write, step); });
  }
  void commit_step(const coordination::Transaction& write, const RolloutStep& step) {
    store_.expire(store_clock());
    if (store_.commit(write).succeeded) {
      const bool is_aborted = step.rollout.state == RolloutState::kAborted;
      result_.commits += step.commit ? 1 : 0;
      result_.aborts += is_aborted ? 1 : 0;
      if (is_aborted) {
        aborted_versions_.insert(step.rollout.target_version);
      }
    }
    publish_changes();
  }
  void propose_rollouts() {
    at(now_ + milliseconds(500) + drawn(seconds(6)), [this] {
      if (!calm_) {
        const RolloutSnapshot snapshot = read_store();
        const bool urgent = chance(20);
        if (const auto start = check_can_begin(snapshot, urgent)) {
          if (*start == RolloutStart::kSupersedes) {
            aborted_versions_.insert(snapshot.rollout->target_version);
          }
          Rollout rollout;
          rollout.id = snapshot.rollout ? snapshot.rollout->id + 1 : 1;
          rollout.target_version = ++last_version_;
          rollout.previous_version = snapshot.current_version;
          if (store_.commit(begin_transaction("", snapshot, rollout, "document", "")).succeeded) {
            ++result_.rollouts;
          }
          publish_changes();
        }
        propose_rollouts();
      }
    });
  }

  // ---- Requests ----

  void generate_requests() {
    at(now_ + milliseconds(7), [this] {
      for (std::size_t i = 0; i < routers_.size(); ++i) {
        const Router& router = routers_[i];
        if (router.paused) {
          continue;
        }
        const EffectivePolicy effective_policy = router.participant->effective_policy(clock(router));
        if (effective_policy.kind == EffectivePolicy::Kind::kReject) {
          ++result_.rejected;
        } else if (effective_policy.kind == EffectivePolicy::Kind::kIntersection) {
          ++result_.in_doubt;
        } else {
          decide(i, effective_policy.version);
        }
      }
      generate_requests();
    });
  }
  // Records a decision, and checks the order of versions in true time.
  void decide(std::size_t router, std::uint64_t version) {
    ++result_.decided;
    if (aborted_versions_.contains(version)) {
      fail("router " + std::to_string(router) + " decides under version " + std::to_string(version) +
           ", whose rollout was aborted");
    }
    if (version < newest_decided_version_) {
      fail("router " + std::to_string(router) + " decides under version " + std::to_string(version) +
           " after a request was decided under " + std::to_string(newest_decided_version_));
    }
    newest_decided_version_ = std::max(newest_decided_version_, version);
  }

  void draw_faults() {
    at(now_ + drawn(seconds(2)), [this] {
      if (calm_) {
        return;
      }
      const int index = static_cast<int>(random_() % routers_.size());
      Router& router = router_at(index);
      const int incarnation = router.incarnation;
      switch (random_() % 4) {
        case 0:
          if (!router.paused) {
            router.paused = true;
            at(now_ + drawn(seconds(6)), [this, index, incarnation] { resume(index, incarnation); });
          }
          break;
        case 1:
          start(index);  // a crash and a restart
          break;
        case 2:
          router.cut = true;
          router.participant->set_connected(clock(router), chance(50));  // may stay undetected
          at(now_ + drawn(seconds(6)), [this, index, incarnation] { reconnect(index, incarnation); });
          break;
        default:
          router.disk_fails = !router.disk_fails;
      }
      draw_faults();
    });
  }
  void resume(int index, int incarnation) {
    Router& router = router_at(index);
    if (router.incarnation == incarnation && router.paused) {
      // Requests that waited in the router's buffers are decided as soon as it resumes, before anything else
      // is read.
      const EffectivePolicy effective_policy = router.participant->effective_policy(clock(router));
      if (effective_policy.kind == EffectivePolicy::Kind::kSingle) {
        decide(static_cast<std::size_t>(index), effective_policy.version);
      }
      VirtualWorld::wake(router);
    }
  }
  void reconnect(int index, int incarnation) {
    Router& router = router_at(index);
    if (router.cut) {
      router.cut = false;
      if (router.incarnation == incarnation) {
        watch(index, incarnation);
      } else {
        watch(index, router.incarnation);
      }
    }
  }
  void expire_leases() {
    at(now_ + milliseconds(50), [this] {
      store_.expire(store_clock());
      publish_changes();
      expire_leases();
    });
  }
  void end_faults() {
    for (int i = 0; i < static_cast<int>(routers_.size()); ++i) {
      router_at(i).disk_fails = false;
      resume(i, router_at(i).incarnation);
      reconnect(i, router_at(i).incarnation);
      start(i);  // operators restart the routers whose disks were full
    }
  }

  Defect defect_;
  ParticipantOptions options_;
  RolloutTimeouts timeouts_;
  coordination::KeyValueState store_{coordination::KeyValueLimits{}};
  std::deque<Router> routers_;
  std::optional<RolloutCoordinator> coordinator_;
  std::uint64_t last_version_ = 0;
  std::uint64_t newest_decided_version_ = 0;
  std::set<std::uint64_t> aborted_versions_;
  WorldResult result_;
};

TEST(PolicyWorldTest, NoRequestIsDecidedUnderThePreviousVersionAfterOneUnderTheTarget) {
  const auto seeds = testing_support::seeds_to_play(40);
  WorldResult sum;
  for (std::uint64_t seed = seeds.first; seed <= seeds.last; ++seed) {
    const WorldResult result = PolicyWorld(seed, Defect::kNone).run();
    ASSERT_EQ(result.failure, "") << "TRAILCOURSE_SEED=" << seed;
    sum.decided += result.decided;
    sum.in_doubt += result.in_doubt;
    sum.rejected += result.rejected;
    sum.rollouts += result.rollouts;
    sum.commits += result.commits;
    sum.aborts += result.aborts;
  }
  std::printf(
      "%llu rollouts, %llu commits, %llu aborts; %llu requests decided, %llu by both, %llu rejected\n",
      static_cast<unsigned long long>(sum.rollouts), static_cast<unsigned long long>(sum.commits),
      static_cast<unsigned long long>(sum.aborts), static_cast<unsigned long long>(sum.decided),
      static_cast<unsigned long long>(sum.in_doubt), static_cast<unsigned long long>(sum.rejected));
  EXPECT_GT(sum.commits, 10U);
  EXPECT_GT(sum.aborts, 0U);
}

TEST(PolicyWorldTest, EachSeededDefectIsFound) {
  const std::map<Defect, std::string> expected{
      {Defect::kCommitsBeforeSuspension, "after a request was decided"},
      {Defect::kTimesLeaseFromAnswer, "after a request was decided"},
      {Defect::kJoinsUnconditionally, "decides under version"},
      {Defect::kAppliesAbortedVersion, "aborted"}};
  for (const auto& [defect, text] : expected) {
    const std::string found = testing_support::find_failure(1, 400, text, [&](std::uint64_t seed) {
                                return PolicyWorld(seed, defect).run().failure;
                              }).failure;
    EXPECT_NE(found.find(text), std::string::npos)
        << "defect " << static_cast<int>(defect) << " was not found: '" << found << "'";
  }
}

}  // namespace
}  // namespace trailcourse::policy
