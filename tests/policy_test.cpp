// The operators' policy: documents and what two of them both allow; the driver of a change and a router's
// side, step by step; and both in a drawn world of losses, pauses, deaths and clocks that run apart, where no
// request may be decided under the old version once one was decided under the new.
#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <random>

#include "coordination/key_value_state.h"
#include "policy/change.h"
#include "policy/document.h"
#include "policy/holder.h"
#include "virtual_world.h"

namespace trailcourse::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing_support::VirtualProcess;
using testing_support::VirtualWorld;

// ---- Documents ----

Content drawn_content(std::mt19937_64& random) {
  Content out;
  for (const char* name : {"media", "page", "entry"}) {
    if (random() % 4 == 0) {
      continue;
    }
    ClassPolicy& rule = out.classes[name];
    rule.serve = random() % 4 != 0;
    rule.objective_ms = 1 + static_cast<std::int64_t>(random() % 50);
    rule.give_up_ms = rule.objective_ms + static_cast<std::int64_t>(random() % 50);
    rule.worth = static_cast<double>(random() % 5);
    rule.fresh_ms = static_cast<std::int64_t>(random() % 4) * 10;
    rule.grace_ms = rule.fresh_ms > 0 ? static_cast<std::int64_t>(random() % 30) : 0;
  }
  out.limits.open_requests = static_cast<std::int64_t>(random() % 10);
  out.limits.retry_after_ms = static_cast<std::int64_t>(random() % 10);
  out.limits.work.clear();
  for (const char* kind : {"fill", "probe", "report"}) {
    if (random() % 2 == 0) {
      out.limits.work.emplace_back(kind);
    }
  }
  return out;
}

TEST(PolicyDocumentTest, WhatBothAllowKeepsItsLaws) {
  std::mt19937_64 random(1);
  for (int i = 0; i < 20'000; ++i) {
    const Content a = drawn_content(random);
    const Content b = drawn_content(random);
    const Content c = drawn_content(random);
    const Content ab = both(a, b);
    EXPECT_EQ(ab, both(b, a)) << "commutative";
    EXPECT_EQ(both(ab, c), both(a, both(b, c))) << "associative";
    EXPECT_EQ(both(a, a), a) << "idempotent";
    EXPECT_TRUE(within(ab, a)) << "allowed by the first";
    EXPECT_TRUE(within(ab, b)) << "allowed by the second";
    // The widest such: what is within both is within it.
    const Content narrow = both(ab, c);
    EXPECT_TRUE(within(narrow, ab));
    if (within(c, a) && within(c, b)) {
      EXPECT_TRUE(within(c, ab));
    }
    ASSERT_FALSE(testing::Test::HasFailure()) << "case " << i;
  }
}

Document document_of(std::uint64_t version, std::uint64_t parent) {
  Document out;
  out.version = version;
  out.parent = parent;
  out.author = "ops";
  out.reason = "evening";
  out.content.classes["media"].give_up_ms = 4'000;
  return out;
}

TEST(PolicyDocumentTest, ItIsReadWholeOrRefusedWithTheField) {
  const Document document = document_of(7, 6);
  const std::string text = write_text(document);
  EXPECT_EQ(read_document(text), document);
  const auto why = [](const std::string& from, bool draft = false) -> std::string {
    try {
      draft ? read_draft(from) : read_document(from);
    } catch (const BadDocument& error) {
      return error.what();
    }
    return "";
  };
  nlohmann::json changed = nlohmann::json::parse(text);
  changed["reason"] = "another";
  EXPECT_NE(why(changed.dump()).find("digest"), std::string::npos);
  changed["schema"] = 2;
  EXPECT_NE(why(changed.dump()).find("schema: 2"), std::string::npos) << "before anything else is judged";
  const auto draft = [](const std::string& content) { return R"({"schema":1,"content":)" + content + "}"; };
  EXPECT_EQ(why(draft(R"({"classes":{"media":{"worth":2}}})"), true), "");
  EXPECT_NE(why(draft(R"({"classes":{"media":{"wort":2}}})"), true).find("content.classes.media.wort"),
            std::string::npos);
  EXPECT_NE(why(draft(R"({"classes":{"media":{"give_up_ms":5}}})"), true).find("give_up_ms"),
            std::string::npos);
  EXPECT_NE(why(draft(R"({"limits":{"open_requests":-1}})"), true).find("open_requests"), std::string::npos);
  EXPECT_NE(why(draft(R"({"limits":{"work":["fill","fill"]}})"), true).find("work"), std::string::npos);
  EXPECT_NE(why(R"({"schema":1})", true).find("content"), std::string::npos);
  EXPECT_NE(why(R"({"schema":1,"version":3,"content":{}})", true).find("version"), std::string::npos);
  std::mt19937_64 random(3);
  for (int round = 0; round < 3'000; ++round) {
    std::string bad = text;
    bad[random() % bad.size()] = "0123456789\"{}[]:,-x"[random() % 19];
    if (bad != text) {
      EXPECT_TRUE(!why(bad).empty() || read_document(bad) == document) << bad;
    }
  }
}

TEST(PolicyDocumentTest, ARouterThatCannotLiveByItSaysWhy) {
  Document document = document_of(7, 6);
  document.content.limits.open_requests = 1'000;
  Ability ability{{"media"}, 1'000'000};
  EXPECT_EQ(objection(document, ability), "");
  ability.open_requests = 500;
  EXPECT_NE(objection(document, ability).find("open_requests"), std::string::npos);
  ability = {{"page"}, 1'000'000};
  EXPECT_NE(objection(document, ability).find("classes.media"), std::string::npos);
}

TEST(PolicyDocumentTest, TheDifferenceIsInWords) {
  Content before = document_of(1, 0).content;
  Content after = before;
  EXPECT_TRUE(difference(before, after).empty());
  after.classes["media"].give_up_ms = 5'000;
  after.limits.open_requests = 7;
  const auto words = difference(before, after);
  ASSERT_EQ(words.size(), 2U);
  EXPECT_EQ(words[0], "classes.media.give_up_ms is 5,000 ms, was 4,000 ms");
}

// ---- The driver ----

class DriverTest : public testing::Test {
 protected:
  DriverTest() {
    Change change;
    change.id = 3;
    change.version = 8;
    change.before = 7;
    seen.change = change;
    seen.change_modified = 40;
    seen.current = 7;
    seen.permits["a"] = permit("edge");
    seen.permits["b"] = permit("edge");
  }
  static Permit permit(const std::string& zone) {
    Permit out;
    out.zone = zone;
    out.version = 7;
    return out;
  }
  std::uint64_t step() const { return step_of(*seen.change); }
  void ready(const std::string& name) { seen.permits[name].ready = step(); }
  void held(const std::string& name) { seen.permits[name].held = step(); }
  // Carries the step out, as the store would.
  void take(const Step& told) {
    seen.change = told.change;
    ++seen.change_modified;
  }

  Driver driver{DriverRules{}};
  Seen seen;
  Micros now{0};
};

TEST_F(DriverTest, AnAggregatorIsAwaitedWithTheRouterThatItWaitsFor) {
  seen.permits.clear();
  seen.permits["a1.edge/9"] = permit("edge");
  seen.permits["a1.edge/9"].routers = 40;
  seen.permits["a1.edge/9"].awaits = "r7";
  const std::vector<std::string> words = awaited(seen);
  ASSERT_EQ(words.size(), 1U);
  EXPECT_EQ(words[0], "a1.edge for 40 routers, among them r7, is to say that it is ready");
}

TEST_F(DriverTest, ItCommitsOnlyOnceEachIsReadyAndThenHolds) {
  EXPECT_FALSE(driver.next(now, seen));
  EXPECT_EQ(awaited(seen).size(), 2U);
  ready("a");
  EXPECT_FALSE(driver.next(now, seen));
  ready("b");
  auto told = driver.next(now, seen);
  ASSERT_TRUE(told);
  EXPECT_EQ(told->change.state, ChangeState::kHolding);
  EXPECT_FALSE(told->commit);
  take(*told);
  held("a");
  EXPECT_FALSE(driver.next(now, seen));
  // The other one's permission runs out: it does not decide, and is not waited for.
  seen.permits.erase("b");
  told = driver.next(now, seen);
  ASSERT_TRUE(told);
  EXPECT_TRUE(told->commit);
  take(*told);
  EXPECT_FALSE(driver.next(now, seen));
  seen.permits["a"].version = 8;
  EXPECT_FALSE(driver.next(now, seen)) << "it says that it holds still";
  seen.permits["a"].held = 0;
  told = driver.next(now, seen);
  ASSERT_TRUE(told);
  EXPECT_EQ(told->change.state, ChangeState::kDone);
}

TEST_F(DriverTest, ANoOrTooLongAWaitAborts) {
  ready("a");
  seen.permits["b"].no = step();
  seen.permits["b"].why = "full disk";
  auto told = driver.next(now, seen);
  ASSERT_TRUE(told);
  EXPECT_EQ(told->change.state, ChangeState::kAborted);
  EXPECT_EQ(told->change.why, "b says no: full disk");
  seen.permits["b"].no = 0;
  EXPECT_FALSE(driver.next(now, seen));
  ASSERT_TRUE(driver.due());
  told = driver.next(*driver.due(), seen);
  ASSERT_TRUE(told);
  EXPECT_EQ(told->change.why, "not ready in time: b");
}

TEST_F(DriverTest, ANoOfAnEarlierChangeIsNone) {
  ready("a");
  ready("b");
  seen.permits["b"].no = step() - 1'000;
  const auto told = driver.next(now, seen);
  ASSERT_TRUE(told);
  EXPECT_EQ(told->change.state, ChangeState::kHolding);
}

TEST_F(DriverTest, StagesGoZoneByZoneAndTheRestAtTheEnd) {
  seen.change->stages = {"edge"};
  seen.change->watch_ms = 1'000;
  seen.permits["c"] = permit("west");
  ready("a");
  ready("b");
  take(*driver.next(now, seen));
  held("a");
  held("b");
  auto told = driver.next(now, seen);
  ASSERT_TRUE(told);
  EXPECT_TRUE(told->commit) << "the other zone is not asked";
  take(*told);
  for (const char* name : {"a", "b"}) {
    seen.permits[name] = permit("edge");
    seen.permits[name].version = 8;
  }
  take(*driver.next(now, seen));
  EXPECT_EQ(seen.change->state, ChangeState::kWatched);
  EXPECT_FALSE(driver.next(now, seen));
  now += seconds(1);
  take(*driver.next(now, seen));
  EXPECT_EQ(seen.change->state, ChangeState::kPreparing);
  EXPECT_EQ(seen.change->stage, 1U);
  EXPECT_FALSE(driver.next(now, seen));
  ready("c");
  take(*driver.next(now, seen));
  held("c");
  told = driver.next(now, seen);
  ASSERT_TRUE(told);
  EXPECT_TRUE(told->commit);
}

TEST_F(DriverTest, AStageOverItsLimitIsTurnedBack) {
  seen.change->stages = {"edge"};
  seen.change->watch_ms = 60'000;
  seen.change->most_refused = 0.1;
  seen.change->state = ChangeState::kWatched;
  for (const char* name : {"a", "b"}) {
    seen.permits[name].version = 8;
    seen.permits[name].requests = 1'000;
    seen.permits[name].refused = 900;  // before: does not count
  }
  EXPECT_FALSE(driver.next(now, seen));
  seen.permits["a"].requests += 50;
  seen.permits["a"].refused += 4;
  EXPECT_FALSE(driver.next(now, seen));
  seen.permits["b"].requests += 50;
  seen.permits["b"].refused += 20;
  const auto told = driver.next(now, seen);
  ASSERT_TRUE(told);
  EXPECT_EQ(told->change.id, 4U);
  EXPECT_EQ(told->change.version, 7U);
  EXPECT_EQ(told->change.state, ChangeState::kPreparing);
}

TEST_F(DriverTest, OneChangeAtATimeAndUrgentOnesBeforeWhatHasNotCommitted) {
  bool superseded = false;
  EXPECT_NE(may_begin(seen, false, superseded), "");
  EXPECT_EQ(may_begin(seen, true, superseded), "");
  EXPECT_TRUE(superseded);
  seen.change->state = ChangeState::kCommitted;
  EXPECT_NE(may_begin(seen, true, superseded), "");
  seen.change->state = ChangeState::kDone;
  EXPECT_EQ(may_begin(seen, false, superseded), "");
  EXPECT_FALSE(superseded);
}

TEST(PolicyRecordTest, MutatedRecordsAreReadSoundOrNotAtAll) {
  Change change;
  change.id = 3;
  change.version = 8;
  change.stages = {"edge", "west"};
  change.stage = 1;
  EXPECT_EQ(read_change(write_change(change)), change);
  Permit permit;
  permit.zone = "edge";
  permit.held = 3'000;
  EXPECT_EQ(read_permit(write_permit(permit)), permit);
  std::mt19937_64 random(6);
  int refused = 0;
  for (int round = 0; round < 3'000; ++round) {
    std::string text = write_change(change);
    text[random() % text.size()] = "0123456789\"{}[]:,-x"[random() % 19];
    const auto read = read_change(text);
    refused += read ? 0 : 1;
    EXPECT_TRUE(!read ||
                (read->id > 0 && read->version != read->before && read->stage <= read->stages.size()));
  }
  EXPECT_GT(refused, 300);
}

// ---- A drawn world ----

enum class Defect { kNone, kCommitEarly, kTimedFromAnswer, kJoinUnseen, kAbortedKept };

struct WorldReport {
  std::string broken;
  std::uint64_t decided = 0, in_doubt = 0, refused = 0, changes = 0, commits = 0, aborts = 0, steps = 0;
};

// Routers with real holders, a driver now and then replaced, the real ledger. A request arrives somewhere at
// each step of time; what it is decided under is written down with the true time.
class World : private VirtualWorld {
 public:
  World(std::uint64_t seed, Defect defect)
      : VirtualWorld(seed, testing_support::CallRules{}), defect_(defect) {
    rules_.lease.ttl = seconds(2);
    rules_.lease.renew_after = milliseconds(600);
    rules_.lease.retry = milliseconds(200);
    rules_.lease.margin = milliseconds(20);
    driver_rules_.prepare_most = seconds(6);
    driver_rules_.hold_most = seconds(8);
    for (int i = 0; i < 3; ++i) {
      routers_.emplace_back();
      start(i);
    }
    drive();
    propose();
    fault();
    arrivals();
    expire();
  }

  WorldReport run() {
    play(seconds(45), seconds(75), [this] { become_calm(); }, [] {});
    const Seen seen = look_now();
    if (seen.change && seen.change->open()) {
      fail(std::string("a change is stuck: ") + to_string(seen.change->state) + told(seen));
    }
    for (std::size_t i = 0; i < routers_.size(); ++i) {
      const Router& one = routers_[i];
      const Ruling ruling = one.holder->ruling(clock(one));
      if (ruling.kind != Ruling::Kind::kVersion || ruling.version != seen.current) {
        fail("router " + std::to_string(i) + " does not decide under what is in force: " +
             to_string(one.holder->standing(clock(one))) + told(seen));
      }
    }
    report_.broken = broken_;
    report_.steps = steps_;
    return report_;
  }

 private:
  struct Router : VirtualProcess {
    std::optional<Holder> holder;
    bool bad_disk = false;
    coordination::LeaseId lease = 0;
    Micros told_until{0};
  };

  std::string told(const Seen& seen) const {
    std::string out;
    for (const auto& [name, permit] : seen.permits) {
      out += "\n  " + name + " " + write_permit(permit);
    }
    if (seen.change) {
      out += "\n  " + write_change(*seen.change);
    }
    return out + "\n  current " + std::to_string(seen.current);
  }

  Seen look_now() {
    const coordination::TransactionResult outcome = ledger_.commit(look(""));
    return read_seen("", outcome);
  }
  Known known_now() {
    const Seen seen = look_now();
    Known out;
    out.change = seen.change;
    out.change_modified = seen.change_modified;
    out.version = seen.current;
    out.current_modified = seen.current_modified;
    return out;
  }

  // To the store and back.
  template <typename Value>
  void call_store(int index, std::function<Value()> use, std::function<void(const Value&)> answer,
                  std::function<void()> lost) {
    call<Value>(
        of(index), nullptr, of(index).cut,
        [this, use]() -> std::optional<Value> {
          ledger_.expire(store_clock());
          const Value value = use();
          tell();
          return value;
        },
        answer, lost);
  }

  void start(int index) {
    Router& router = routers_[static_cast<std::size_t>(index)];
    begin_incarnation(router, 950, seconds(50));
    router.turn = [this, index] { turn(index); };
    router.bad_disk = false;
    if (defect_ == Defect::kTimedFromAnswer) {
      rules_.lease.margin = -seconds(1);  // as if the time began when the answer came
    }
    router.holder.emplace(std::to_string(router.incarnation), "edge", rules_,
                          [](std::uint64_t) { return std::string(); });
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
      tell_one(index, known_now());
    });
  }
  void tell_one(int index, const Known& known) {
    Router& router = routers_[static_cast<std::size_t>(index)];
    const int incarnation = router.incarnation;
    router.told_until = std::max(router.told_until, now_ + drawn(chance(90) ? milliseconds(20) : seconds(1)));
    at(router.told_until, [this, index, incarnation, known] {
      deliver(of(index), [this, index, incarnation, known] {
        Router& one = routers_[static_cast<std::size_t>(index)];
        if (one.incarnation != incarnation) {
          return;
        }
        const Micros now = clock(one);
        for (std::uint64_t version = 1; version <= last_version_; ++version) {
          one.holder->document(now, version);
        }
        Known mine = known;
        if (defect_ == Defect::kAbortedKept && mine.change && mine.change->state == ChangeState::kAborted &&
            one.holder->standing(now) == Standing::kInDoubt) {
          mine.version = mine.change->version;  // as if what it holds were in force
        }
        one.holder->told(now, mine);
        one.holder->heard(now, true);
      });
    });
  }
  // What changed goes to all that are heard by the store.
  void tell() {
    bool news = false;
    for (const coordination::KeyChange& change : ledger_.take_changes()) {
      news = news || change.entry.key.starts_with("policy/");
    }
    if (!news) {
      return;
    }
    const Known known = known_now();
    for (int i = 0; i < static_cast<int>(routers_.size()); ++i) {
      if (!routers_[static_cast<std::size_t>(i)].cut) {
        tell_one(i, known);
      }
    }
  }

  void turn(int index) {
    Router& router = routers_[static_cast<std::size_t>(index)];
    for (const HolderOrder& order : router.holder->due(clock(router))) {
      std::visit([this, index](const auto& one) { carry(index, one); }, order);
    }
  }
  Router& of(int index) { return routers_[static_cast<std::size_t>(index)]; }

  void carry(int index, const KeepDocument& keep) {
    const int incarnation = of(index).incarnation;
    at(now_ + drawn(milliseconds(30)), [this, index, incarnation, keep] {
      deliver(of(index), [this, index, incarnation, keep] {
        if (of(index).incarnation == incarnation) {
          of(index).holder->kept(clock(of(index)), keep.version, of(index).bad_disk ? "full disk" : "");
        }
      });
    });
  }
  void carry(int index, const SayPermit& say) {
    const coordination::LeaseId lease = of(index).lease;
    call_store<bool>(
        index,
        [this, index, say, lease] {
          try {
            ledger_.commit(
                coordination::Transaction{{},
                                          {coordination::Put{permit_key(std::to_string(index), lease),
                                                             write_permit(say.permit), lease}},
                                          {}});
            return true;
          } catch (const coordination::OperationRejected&) {
            return false;
          }
        },
        [this, index, say](const bool& done) { of(index).holder->said(clock(of(index)), say.number, done); },
        [this, index, say] { of(index).holder->said(clock(of(index)), say.number, false); });
  }
  void carry(int index, const AskPermission& ask) {
    const std::uint64_t number = ask.order.number;
    const auto lost = [this, index, number] { of(index).holder->lost(clock(of(index)), number); };
    if (ask.order.ask == ownership::Ask::kAcquire) {
      call_store<coordination::LeaseId>(
          index,
          [this] {
            return ledger_.grant(store_clock(),
                                 std::chrono::duration_cast<std::chrono::milliseconds>(rules_.lease.ttl), 0);
          },
          [this, index, ask, number, lost](const coordination::LeaseId& lease) {
            of(index).lease = lease;
            call_store<bool>(
                index,
                [this, index, ask, lease] {
                  coordination::Transaction join;
                  if (defect_ != Defect::kJoinUnseen) {
                    join.when = {coordination::unchanged(kChangeKey, ask.known.change_modified),
                                 coordination::unchanged(kCurrentKey, ask.known.current_modified)};
                  }
                  join.then = {coordination::Put{permit_key(std::to_string(index), lease),
                                                 write_permit(ask.permit), lease}};
                  try {
                    return ledger_.commit(join).succeeded;
                  } catch (const coordination::OperationRejected&) {
                    return false;
                  }
                },
                [this, index, number](const bool& joined) {
                  of(index).holder->joined(clock(of(index)), number, joined);
                  if (!joined) {
                    watch(index, of(index).incarnation);
                  }
                },
                lost);
          },
          lost);
      return;
    }
    const coordination::LeaseId lease = of(index).lease;
    call_store<bool>(
        index,
        [this, lease] { return ledger_.keep_alive(store_clock(), lease) > std::chrono::milliseconds(0); },
        [this, index, number](const bool& alive) {
          of(index).holder->renewed(clock(of(index)), number, alive);
        },
        lost);
  }

  // ---- The driver, and staff ----

  void drive() {
    at(now_ + drawn(milliseconds(200)), [this] {
      if (chance(2) && !calm_) {
        driver_.emplace(driver_rules_);  // a successor
      }
      if (!driver_) {
        driver_.emplace(driver_rules_);
      }
      ledger_.expire(store_clock());
      Seen seen = look_now();
      if (defect_ == Defect::kCommitEarly && seen.change && seen.change->state == ChangeState::kHolding) {
        seen.permits.clear();
      }
      const auto step = driver_->next(now_, seen);
      if (step) {
        // What it decided arrives late: the store may have moved on.
        const coordination::Transaction write = carry_out("", seen, *step);
        at(now_ + drawn(chance(80) ? milliseconds(10) : seconds(4)), [this, write, step = *step] {
          ledger_.expire(store_clock());
          if (ledger_.commit(write).succeeded) {
            report_.commits += step.commit ? 1 : 0;
            report_.aborts += step.change.state == ChangeState::kAborted ? 1 : 0;
            if (step.change.state == ChangeState::kAborted) {
              aborted_.insert(step.change.version);
            }
          }
          tell();
        });
      }
      drive();
    });
  }
  void propose() {
    at(now_ + milliseconds(500) + drawn(seconds(6)), [this] {
      if (!calm_) {
        const Seen seen = look_now();
        bool superseded = false;
        const bool urgent = chance(20);
        if (may_begin(seen, urgent, superseded).empty()) {
          if (superseded) {
            aborted_.insert(seen.change->version);
          }
          Change change;
          change.id = seen.change ? seen.change->id + 1 : 1;
          change.version = ++last_version_;
          change.before = seen.current;
          if (ledger_.commit(begin("", seen, change, "document", "")).succeeded) {
            ++report_.changes;
          }
          tell();
        }
        propose();
      }
    });
  }

  // ---- Requests ----

  void arrivals() {
    at(now_ + milliseconds(7), [this] {
      for (std::size_t i = 0; i < routers_.size(); ++i) {
        const Router& router = routers_[i];
        if (router.paused) {
          continue;
        }
        const Ruling ruling = router.holder->ruling(clock(router));
        if (ruling.kind == Ruling::Kind::kRefuse) {
          ++report_.refused;
        } else if (ruling.kind == Ruling::Kind::kBoth) {
          ++report_.in_doubt;
        } else {
          decide(i, ruling.version);
        }
      }
      arrivals();
    });
  }
  // The rule in true time.
  void decide(std::size_t router, std::uint64_t version) {
    ++report_.decided;
    if (aborted_.contains(version)) {
      fail("router " + std::to_string(router) + " decides under version " + std::to_string(version) +
           ", whose change was aborted");
    }
    if (version < newest_) {
      fail("router " + std::to_string(router) + " decides under version " + std::to_string(version) +
           " after a request was decided under " + std::to_string(newest_));
    }
    newest_ = std::max(newest_, version);
  }

  void fault() {
    at(now_ + drawn(seconds(2)), [this] {
      if (calm_) {
        return;
      }
      const int index = static_cast<int>(random_() % routers_.size());
      Router& router = of(index);
      const int incarnation = router.incarnation;
      switch (random_() % 4) {
        case 0:
          if (!router.paused) {
            router.paused = true;
            at(now_ + drawn(seconds(6)), [this, index, incarnation] { wake(index, incarnation); });
          }
          break;
        case 1:
          start(index);  // killed and started
          break;
        case 2:
          router.cut = true;
          router.holder->heard(clock(router), chance(50));  // it may not notice
          at(now_ + drawn(seconds(6)), [this, index, incarnation] { mend(index, incarnation); });
          break;
        default:
          router.bad_disk = !router.bad_disk;
      }
      fault();
    });
  }
  void wake(int index, int incarnation) {
    Router& router = of(index);
    if (router.incarnation == incarnation && router.paused) {
      // Requests that waited in its buffers are decided the moment it wakes, before anything else is read.
      const Ruling ruling = router.holder->ruling(clock(router));
      if (ruling.kind == Ruling::Kind::kVersion) {
        decide(static_cast<std::size_t>(index), ruling.version);
      }
      VirtualWorld::wake(router);
    }
  }
  void mend(int index, int incarnation) {
    Router& router = of(index);
    if (router.cut) {
      router.cut = false;
      if (router.incarnation == incarnation) {
        watch(index, incarnation);
      } else {
        watch(index, router.incarnation);
      }
    }
  }
  void expire() {
    at(now_ + milliseconds(50), [this] {
      ledger_.expire(store_clock());
      tell();
      expire();
    });
  }
  void become_calm() {
    for (int i = 0; i < static_cast<int>(routers_.size()); ++i) {
      of(i).bad_disk = false;
      wake(i, of(i).incarnation);
      mend(i, of(i).incarnation);
      start(i);  // staff restart those whose disk was full
    }
  }

  Defect defect_;
  HolderRules rules_;
  DriverRules driver_rules_;
  coordination::KeyValueState ledger_{coordination::KeyValueLimits{}};
  std::deque<Router> routers_;
  std::optional<Driver> driver_;
  std::uint64_t last_version_ = 0;
  std::uint64_t newest_ = 0;
  std::set<std::uint64_t> aborted_;
  WorldReport report_;
};

TEST(PolicyWorldTest, NoRequestIsDecidedUnderTheOldVersionAfterOneUnderTheNew) {
  const auto seeds = testing_support::seeds_to_play(40);
  WorldReport sum;
  for (std::uint64_t seed = seeds.first; seed <= seeds.last; ++seed) {
    const WorldReport report = World(seed, Defect::kNone).run();
    ASSERT_EQ(report.broken, "") << "TRAILCOURSE_SEED=" << seed;
    sum.decided += report.decided;
    sum.in_doubt += report.in_doubt;
    sum.refused += report.refused;
    sum.changes += report.changes;
    sum.commits += report.commits;
    sum.aborts += report.aborts;
  }
  std::printf("%llu changes, %llu commits, %llu aborts; %llu requests decided, %llu by both, %llu refused\n",
              static_cast<unsigned long long>(sum.changes), static_cast<unsigned long long>(sum.commits),
              static_cast<unsigned long long>(sum.aborts), static_cast<unsigned long long>(sum.decided),
              static_cast<unsigned long long>(sum.in_doubt), static_cast<unsigned long long>(sum.refused));
  EXPECT_GT(sum.commits, 10U);
  EXPECT_GT(sum.aborts, 0U);
}

TEST(PolicyWorldTest, EachSeededDefectIsFound) {
  const std::map<Defect, std::string> expected{{Defect::kCommitEarly, "after a request was decided"},
                                               {Defect::kTimedFromAnswer, "after a request was decided"},
                                               {Defect::kJoinUnseen, "decides under version"},
                                               {Defect::kAbortedKept, "aborted"}};
  for (const auto& [defect, words] : expected) {
    const std::string found = testing_support::find_failure(1, 400, words, [&](std::uint64_t seed) {
                                return World(seed, defect).run().broken;
                              }).failure;
    EXPECT_NE(found.find(words), std::string::npos)
        << "defect " << static_cast<int>(defect) << " was not found: '" << found << "'";
  }
}

}  // namespace
}  // namespace trailcourse::policy
