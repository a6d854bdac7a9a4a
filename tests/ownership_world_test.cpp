// Owned work in a drawn world: real state machines, the real ledger, virtual time. Calls and answers are
// late, lost or both; routers stop and wake, die and start; their clocks run apart; the watch breaks; effects
// lie in sockets for seconds; receivers restart. A seed draws it all, and the same seed draws it again:
// TRAILCOURSE_SEED=N plays one alone, TRAILCOURSE_SEEDS=N the first so many.
#include <gtest/gtest.h>

#include <cstdlib>
#include <functional>
#include <map>
#include <random>

#include "coordination/key_value_state.h"
#include "ownership/fence.h"
#include "ownership/lease_manager.h"

namespace trailcourse::ownership {
namespace {

using coordination::KeyValueState;
using coordination::LeaseId;
using std::chrono::milliseconds;
using std::chrono::seconds;

enum class Defect { kNone, kNoFence, kForgetfulFence, kNoDriftBound, kUncheckedProgress };

struct Report {
  std::vector<std::string> broken;
  std::uint64_t effects = 0, refused = 0, owners = 0, steps = 0;
  Micros longest_without{0};
};

class World {
 public:
  World(std::uint64_t seed, Defect defect) : random_(seed), defect_(defect) {
    rules_.lease.ttl = seconds(3);
    rules_.lease.renew_after = seconds(1);
    rules_.lease.retry = milliseconds(300);
    rules_.settle = seconds(4);
    rules_.poison_pause = milliseconds(200);
    rules_.longest_poison_pause = milliseconds(400);
    rules_.most_starts = 1'000;  // here routers die of what is drawn, not of the work
    if (defect == Defect::kNoDriftBound) {
      rules_.lease.drift = 0.0;
      rules_.lease.margin = Micros(0);
    }
    Work work;
    work.name = "w";
    work.kind = "test";
    work.shards = 3;
    commit(coordination::Transaction{
        {}, {coordination::Put{std::string(kWork) + "w", write_work(work), 0}}, {}});
    for (int i = 0; i < 4; ++i) {
      routers_.emplace_back();
      start(i);
    }
  }

  Report run() {
    constexpr Micros kFaults = seconds(60);
    constexpr Micros kCalm = seconds(40);
    at(Micros(0), [this] { draw_fault(); });
    at(Micros(0), [this] { end_leases(); });
    const Micros end = kFaults + kCalm;
    while (!events_.empty() && events_.begin()->first <= end) {
      const auto first = events_.begin();
      now_ = first->first;
      const auto job = first->second;
      events_.erase(first);
      if (now_ >= kFaults && !calm_) {
        become_calm();
      }
      job();
      ++report_.steps;
      check();
      if (!report_.broken.empty()) {
        return report_;
      }
    }
    for (std::uint64_t shard = 0; shard < 3; ++shard) {
      if (!running_.contains(shard)) {
        fail("nobody owns shard " + std::to_string(shard) + " long after the last fault" + told());
      }
    }
    return report_;
  }

 private:
  struct Router {
    std::optional<LeaseManager> manager;
    int incarnation = 0;
    double rate = 1.0;
    Micros offset{0};
    bool paused = false;
    bool cut = false;
    std::vector<std::function<void()>> held;  // what came while it was stopped
    std::map<ShardId, LeaseId> leases;
    std::map<ShardId, Term> terms;           // under which it began
    std::map<ShardId, std::uint64_t> tasks;  // run numbers: a task that goes on knows its own
    coordination::Revision seen = 0;
    bool following = false;
    std::uint64_t last_task = 0;
  };

  void at(Micros when, std::function<void()> job) { events_.emplace(std::max(when, now_), std::move(job)); }
  Micros drawn(Micros most) { return Micros(static_cast<Micros::rep>(random_() % (most.count() + 1))); }
  bool chance(int percent) { return static_cast<int>(random_() % 100) < percent; }
  void fail(const std::string& what) {
    report_.broken.push_back("at " + std::to_string(now_.count() / 1'000) + " ms: " + what);
  }
  Micros clock(const Router& router) const {
    return router.offset + Micros(static_cast<Micros::rep>(static_cast<double>(now_.count()) * router.rate));
  }
  // The store's clock runs up to 1% fast: its leases end early in true time.
  std::chrono::milliseconds store_clock() const {
    return std::chrono::milliseconds(
        static_cast<std::int64_t>(static_cast<double>(now_.count()) * 1.009 / 1e3));
  }

  coordination::TransactionResult commit(const coordination::Transaction& transaction) {
    ledger_.expire(store_clock());
    const coordination::TransactionResult out = ledger_.commit(transaction);
    tell();
    return out;
  }

  void end_leases() {
    ledger_.expire(store_clock());
    tell();
    at(now_ + milliseconds(50), [this] { end_leases(); });
  }

  // A call to the store and back: late, or lost on either way. Exactly one of `answer` and `lost` follows.
  template <typename Value>
  void call(int index, std::function<Value()> use, std::function<void(const Value&)> answer,
            std::function<void()> lost) {
    Router& router = routers_[static_cast<std::size_t>(index)];
    const int incarnation = router.incarnation;
    const auto over = std::make_shared<bool>(false);
    const auto alive = [this, index, incarnation, over] {
      Router& one = routers_[static_cast<std::size_t>(index)];
      return one.incarnation == incarnation && one.manager && !*over;
    };
    const bool loses_call = !calm_ && (router.cut || chance(4));
    const bool loses_answer = !calm_ && chance(4);
    const Micros there = drawn(calm_ || chance(85) ? milliseconds(20) : seconds(5));
    const Micros back = drawn(calm_ || chance(85) ? milliseconds(20) : seconds(5));
    at(now_ + seconds(1), [this, index, alive, over, lost] {
      deliver(index, [alive, over, lost] {
        if (alive()) {
          *over = true;
          lost();
        }
      });
    });
    if (loses_call) {
      return;
    }
    at(now_ + there, [this, index, use, alive, over, answer, loses_answer, back] {
      ledger_.expire(store_clock());
      const Value value = use();
      tell();
      if (loses_answer) {
        return;
      }
      at(now_ + back, [this, index, alive, over, answer, value] {
        deliver(index, [alive, over, answer, value] {
          if (alive()) {
            *over = true;
            answer(value);
          }
        });
      });
    });
  }

  // Whatever reaches a router that is stopped is read when it wakes.
  void deliver(int index, std::function<void()> job) {
    Router& router = routers_[static_cast<std::size_t>(index)];
    if (router.paused) {
      router.held.push_back(std::move(job));
      return;
    }
    job();
    turn(index);
  }

  void start(int index) {
    Router& router = routers_[static_cast<std::size_t>(index)];
    ++router.incarnation;
    router.rate = 1.0 + (static_cast<double>(random_() % 2'001) - 1'000.0) * 1e-6;
    if (defect_ == Defect::kNoDriftBound) {
      router.rate = 0.99;
    }
    router.offset = drawn(seconds(100)) + seconds(1);
    router.manager.emplace(name(index), std::to_string(router.incarnation), "edge",
                           std::set<std::string>{"test"}, rules_);
    router.leases.clear();
    router.tasks.clear();
    router.terms.clear();
    router.held.clear();
    router.paused = false;
    router.cut = false;
    router.following = false;
    read_all(index, router.incarnation);
    tick(index, router.incarnation);
  }
  static std::string name(int index) { return "router" + std::to_string(index); }

  void kill(int index) {
    Router& router = routers_[static_cast<std::size_t>(index)];
    if (!router.manager) {
      return;
    }
    router.manager.reset();
    ++router.incarnation;
    router.paused = false;
    for (auto one = running_.begin(); one != running_.end();) {
      one = one->second == index ? running_.erase(one) : std::next(one);
    }
  }

  void read_all(int index, int incarnation) {
    at(now_ + drawn(milliseconds(30)), [this, index, incarnation] {
      Router& router = routers_[static_cast<std::size_t>(index)];
      if (router.incarnation != incarnation || !router.manager) {
        return;
      }
      if (router.cut) {
        at(now_ + milliseconds(200), [this, index, incarnation] { read_all(index, incarnation); });
        return;
      }
      const auto entries = ledger_.get(coordination::Range{"", true});
      const coordination::Revision revision = ledger_.revision();
      router.seen = revision;
      router.following = true;
      at(now_ + drawn(milliseconds(30)), [this, index, incarnation, entries, revision] {
        deliver(index, [this, index, incarnation, entries, revision] {
          Router& one = routers_[static_cast<std::size_t>(index)];
          if (one.incarnation != incarnation || !one.manager) {
            return;
          }
          const Micros now = clock(one);
          std::map<std::string, std::string> members;
          for (int i = 0; i < 4; ++i) {
            members[name(i)] = "edge";
          }
          one.manager->members(now, members);
          std::set<std::string> named;
          for (const coordination::Entry& entry : entries) {
            named.insert(entry.key);
            apply(one, coordination::KeyChange{false, entry});
          }
          for (std::uint64_t shard = 0; shard < 3; ++shard) {
            const ShardId id{"w", shard};
            if (!named.contains(kOwn + to_string(id))) {
              one.manager->owner(now, id, std::nullopt, revision);
            }
          }
          one.manager->heard(now, true);
        });
      });
    });
  }

  void apply(Router& router, const coordination::KeyChange& change) {
    const Micros now = clock(router);
    const std::string& key = change.entry.key;
    if (const auto id = read_shard_key(key, kOwn)) {
      router.manager->owner(
          now, *id, change.deleted ? std::nullopt : read_owner(change.entry.value, change.entry.created),
          change.entry.modified);
    } else if (key.starts_with(kWork)) {
      router.manager->work(now, key.substr(std::string(kWork).size()), read_work(key, change.entry.value));
    }
  }

  // Changes go to all that follow, each after a time of its own but in order.
  void tell() {
    for (const coordination::KeyChange& change : ledger_.take_changes()) {
      const auto id = read_shard_key(change.entry.key, kProgress);
      if (const auto progress = id ? read_progress(change.entry.value) : std::nullopt) {
        check_progress(*id, *progress);
      }
      for (int i = 0; i < static_cast<int>(routers_.size()); ++i) {
        Router& router = routers_[static_cast<std::size_t>(i)];
        if (!router.manager || !router.following) {
          continue;
        }
        const int incarnation = router.incarnation;
        Micros& last = told_until_[i];
        last = std::max(last, now_ + drawn(milliseconds(40)));
        at(last, [this, i, incarnation, change] {
          deliver(i, [this, i, incarnation, change] {
            Router& one = routers_[static_cast<std::size_t>(i)];
            if (one.incarnation == incarnation && one.manager && one.following) {
              apply(one, change);
            }
          });
        });
      }
    }
  }

  void tick(int index, int incarnation) {
    at(now_ + milliseconds(50), [this, index, incarnation] {
      Router& router = routers_[static_cast<std::size_t>(index)];
      if (router.incarnation != incarnation || !router.manager) {
        return;
      }
      if (!router.paused) {
        turn(index);
      }
      tick(index, incarnation);
    });
  }

  void turn(int index) {
    Router& router = routers_[static_cast<std::size_t>(index)];
    if (!router.manager || router.paused) {
      return;
    }
    for (const LeaseManagerOrder& order : router.manager->due(clock(router))) {
      std::visit([this, index](const auto& one) { carry_out(index, one); }, order);
    }
  }

  LeaseManager& manager(int index) { return *routers_[static_cast<std::size_t>(index)].manager; }

  void carry_out(int index, const AskLease& ask) {
    Router& router = routers_[static_cast<std::size_t>(index)];
    const ShardId id = ask.id;
    const std::uint64_t number = ask.order.number;
    const auto lost = [this, index, id, number] {
      manager(index).lost(clock(routers_[static_cast<std::size_t>(index)]), id, number);
    };
    if (ask.order.ask == Ask::kAcquire) {
      const Owner owner{name(index), std::to_string(router.incarnation), 0};
      const auto ttl = std::chrono::duration_cast<std::chrono::milliseconds>(rules_.lease.ttl);
      call<LeaseId>(
          index, [this, ttl] { return ledger_.grant(store_clock(), ttl, 0); },
          [this, index, id, number, owner, lost](const LeaseId& lease) {
            routers_[static_cast<std::size_t>(index)].leases[id] = lease;
            call<Acquired>(
                index,
                [this, id, owner, lease] {
                  try {
                    return read_acquired(ledger_.commit(acquire("", id, owner, lease)));
                  } catch (const coordination::OperationRejected&) {
                    return Acquired{};  // the lease ended meanwhile
                  }
                },
                [this, index, id, number](const Acquired& acquired) {
                  ++report_.owners;
                  manager(index).acquired(clock(routers_[static_cast<std::size_t>(index)]), id, number,
                                          acquired);
                },
                lost);
          },
          lost);
      return;
    }
    const LeaseId lease = router.leases[id];
    if (ask.order.ask == Ask::kRenew) {
      call<bool>(
          index,
          [this, lease] { return ledger_.keep_alive(store_clock(), lease) > std::chrono::milliseconds(0); },
          [this, index, id, number](const bool& alive) {
            manager(index).renewed(clock(routers_[static_cast<std::size_t>(index)]), id, number, alive);
          },
          lost);
      return;
    }
    call<bool>(
        index,
        [this, lease] {
          try {
            ledger_.revoke(lease);
          } catch (const coordination::OperationRejected&) {
          }
          return true;
        },
        [this, index, id, number](const bool&) {
          manager(index).released(clock(routers_[static_cast<std::size_t>(index)]), id, number);
        },
        lost);
  }

  void carry_out(int index, const Write& write) {
    coordination::Transaction transaction = record("", write.id, write.term, write.modified, write.progress);
    if (defect_ == Defect::kUncheckedProgress) {
      transaction.when.clear();
    }
    call<Recorded>(
        index,
        [this, write, transaction] {
          return read_recorded(ledger_.commit(transaction), write.term, write.progress);
        },
        [this, index, write](const Recorded& recorded) {
          manager(index).recorded(clock(routers_[static_cast<std::size_t>(index)]), write.id, write.number,
                                  recorded);
        },
        [this, index, write] {
          manager(index).record_lost(clock(routers_[static_cast<std::size_t>(index)]), write.id,
                                     write.number);
        });
  }

  // A task counts up; each number is an effect, then a checkpoint.
  void carry_out(int index, const Begin& begin) {
    Router& router = routers_[static_cast<std::size_t>(index)];
    const std::uint64_t run = ++router.last_task;
    router.tasks[begin.id] = run;
    router.terms[begin.id] = begin.term;
    const std::uint64_t from = begin.checkpoint.empty() ? 0 : std::stoull(begin.checkpoint);
    work_on(index, router.incarnation, run, begin.id, begin.term, from + 1);
  }
  void carry_out(int index, const Finish& finish) {
    routers_[static_cast<std::size_t>(index)].tasks.erase(finish.id);
    manager(index).finished(clock(routers_[static_cast<std::size_t>(index)]), finish.id, finish.term);
  }
  void carry_out(int index, const Abandon& abandon) {
    routers_[static_cast<std::size_t>(index)].tasks.erase(abandon.id);
  }

  void work_on(int index, int incarnation, std::uint64_t run, const ShardId& id, Term term,
               std::uint64_t number) {
    at(now_ + milliseconds(100) + drawn(milliseconds(100)), [=, this] {
      deliver(index, [=, this] {
        Router& router = routers_[static_cast<std::size_t>(index)];
        const auto task = router.tasks.find(id);
        if (router.incarnation != incarnation || !router.manager || task == router.tasks.end() ||
            task->second != run) {
          return;
        }
        if (!router.manager->may_act(clock(router), id, term)) {
          work_on(index, incarnation, run, id, term, number);
          return;
        }
        // It may lie in a socket's buffer for longer than any lease.
        const Micros late = drawn(calm_ || chance(80) ? milliseconds(20) : seconds(15));
        at(now_ + late, [this, id, term, number] { arrive(id, term, number); });
        router.manager->checkpoint(clock(router), id, term, std::to_string(number), false);
        work_on(index, incarnation, run, id, term, number + 1);
      });
    });
  }

  void arrive(const ShardId& id, Term term, std::uint64_t) {
    const std::string work = to_string(id);
    const Verdict verdict = defect_ == Defect::kNoFence ? Verdict::kCarryOut : fence_.admit(work, term);
    if (verdict == Verdict::kRefuse) {
      ++report_.refused;
      return;
    }
    if (verdict == Verdict::kKeepFirst) {
      fence_.kept(work, term);
    }
    ++report_.effects;
    Term& highest = highest_[work];
    if (term < highest) {
      fail("an effect of term " + std::to_string(term) + " after one of " + std::to_string(highest));
    }
    highest = std::max(highest, term);
  }

  void check() {
    std::map<std::uint64_t, int> acting;
    for (int i = 0; i < static_cast<int>(routers_.size()); ++i) {
      const Router& router = routers_[static_cast<std::size_t>(i)];
      if (!router.manager) {
        continue;
      }
      const Micros now = clock(router);
      for (const auto& [id, term] : router.terms) {
        if (router.manager->may_act(now, id, term) && !acting.emplace(id.shard, i).second) {
          fail("two routers may act on shard " + std::to_string(id.shard));
        }
      }
    }
    running_ = std::move(acting);
  }

  void check_progress(const ShardId& id, const Progress& progress) {
    const std::uint64_t done = progress.checkpoint.empty() ? 0 : std::stoull(progress.checkpoint);
    std::uint64_t& before = checkpoints_[id.shard];
    if (done < before) {
      fail("progress went back from " + std::to_string(before) + " to " + std::to_string(done));
    }
    before = std::max(before, done);
    Term& term = progress_terms_[id.shard];
    if (progress.term < term) {
      fail("progress under a lower term");
    }
    term = std::max(term, progress.term);
  }

  // What each router and the store say of the shards.
  std::string told() const {
    std::string out;
    for (int i = 0; i < static_cast<int>(routers_.size()); ++i) {
      const Router& router = routers_[static_cast<std::size_t>(i)];
      if (!router.manager) {
        continue;
      }
      for (const ShardSeen& seen : router.manager->all(clock(router))) {
        out += "\n  " + name(i) + " " + to_string(seen.id) + ": " + to_string(seen.phase) + ", " +
               to_string(seen.lease) + ", owner " + seen.owner.member + " " + std::to_string(seen.owner.term);
      }
    }
    for (const coordination::Entry& entry : ledger_.get(coordination::Range{"", true})) {
      out += "\n  " + entry.key + "@" + std::to_string(entry.created) + " " + entry.value;
    }
    return out;
  }

  void draw_fault() {
    if (calm_) {
      return;
    }
    const int index = static_cast<int>(random_() % routers_.size());
    Router& router = routers_[static_cast<std::size_t>(index)];
    const int incarnation = router.incarnation;
    switch (random_() % 6) {
      case 0:
      case 1:  // stopped and woken
        if (router.manager && !router.paused) {
          router.paused = true;
          at(now_ + drawn(seconds(10)), [this, index, incarnation] { wake(index, incarnation); });
        }
        break;
      case 2:
        kill(index);
        at(now_ + drawn(seconds(4)), [this, index] {
          if (!routers_[static_cast<std::size_t>(index)].manager) {
            start(index);
          }
        });
        break;
      case 3:  // cut off from the store
        if (router.manager) {
          router.cut = true;
          router.following = false;
          router.manager->heard(clock(router), false);
          at(now_ + drawn(seconds(8)), [this, index, incarnation] { mend(index, incarnation); });
        }
        break;
      case 4:  // the receiver starts again with what it kept
        if (defect_ == Defect::kForgetfulFence) {
          fence_ = Fence();
        }
        break;
      default:  // the owner of a shard is asked to let it go
        if (router.manager && !router.paused) {
          router.manager->release_asked(clock(router), ShardId{"w", random_() % 3}, name(index));
        }
    }
    at(now_ + drawn(milliseconds(2'500)), [this] { draw_fault(); });
  }

  void wake(int index, int incarnation) {
    Router& router = routers_[static_cast<std::size_t>(index)];
    if (router.incarnation != incarnation || !router.paused) {
      return;
    }
    router.paused = false;
    for (const auto& job : std::exchange(router.held, {})) {
      job();
    }
    turn(index);
  }
  void mend(int index, int incarnation) {
    Router& router = routers_[static_cast<std::size_t>(index)];
    if (router.incarnation == incarnation && router.cut) {
      router.cut = false;
      read_all(index, incarnation);
    }
  }
  void become_calm() {
    calm_ = true;
    for (int i = 0; i < static_cast<int>(routers_.size()); ++i) {
      Router& router = routers_[static_cast<std::size_t>(i)];
      if (!router.manager) {
        start(i);
        continue;
      }
      wake(i, router.incarnation);
      mend(i, router.incarnation);
    }
  }

  std::mt19937_64 random_;
  Defect defect_;
  LeaseManagerRules rules_;
  KeyValueState ledger_{coordination::KeyValueLimits{}};
  std::vector<Router> routers_;
  std::multimap<Micros, std::function<void()>> events_;
  std::map<int, Micros> told_until_;
  Micros now_{0};
  bool calm_ = false;
  Fence fence_;
  std::map<std::string, Term> highest_;
  std::map<std::uint64_t, int> running_;
  std::map<std::uint64_t, std::uint64_t> checkpoints_;
  std::map<std::uint64_t, Term> progress_terms_;
  Report report_;
};

TEST(OwnershipWorldTest, NoDrawnScheduleBreaksAnInvariant) {
  const char* const one = std::getenv("TRAILCOURSE_SEED");
  const std::uint64_t first = one != nullptr ? std::strtoull(one, nullptr, 10) : 1;
  const char* const many = std::getenv("TRAILCOURSE_SEEDS");
  const std::uint64_t last = one != nullptr ? first : many != nullptr ? std::strtoull(many, nullptr, 10) : 60;
  Report sum;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    const Report report = World(seed, Defect::kNone).run();
    ASSERT_TRUE(report.broken.empty()) << "TRAILCOURSE_SEED=" << seed << ": " << report.broken.front();
    sum.effects += report.effects;
    sum.refused += report.refused;
    sum.owners += report.owners;
    sum.steps += report.steps;
  }
  std::printf("%llu steps, %llu grants, %llu effects, %llu late ones refused\n",
              static_cast<unsigned long long>(sum.steps), static_cast<unsigned long long>(sum.owners),
              static_cast<unsigned long long>(sum.effects), static_cast<unsigned long long>(sum.refused));
  EXPECT_GT(sum.refused, 0U) << "no schedule had a late effect: the fence was never asked";
}

TEST(OwnershipWorldTest, EachSeededDefectIsFound) {
  const std::map<Defect, std::string> expected{{Defect::kNoFence, "an effect of term"},
                                               {Defect::kForgetfulFence, "an effect of term"},
                                               {Defect::kNoDriftBound, "two routers may act"},
                                               {Defect::kUncheckedProgress, "progress"}};
  for (const auto& [defect, words] : expected) {
    std::string found;
    for (std::uint64_t seed = 1; seed <= 300 && found.empty(); ++seed) {
      const Report report = World(seed, defect).run();
      found = report.broken.empty() ? "" : report.broken.front();
    }
    EXPECT_NE(found.find(words), std::string::npos)
        << "defect " << static_cast<int>(defect) << " was not found: '" << found << "'";
  }
}

}  // namespace
}  // namespace trailcourse::ownership
