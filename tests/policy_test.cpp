// The operators' policy: documents and what two of them both allow; the driver of a change and a router's
// side, step by step; and both in a drawn world of losses, pauses, deaths and clocks that run apart, where no
// request may be decided under the old version once one was decided under the new.
#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <random>

#include "coordination/ledger.h"
#include "policy/document.h"
#include "policy/participant.h"
#include "policy/rollout.h"
#include "virtual_world.h"

namespace trailcourse::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing_support::VirtualProcess;
using testing_support::VirtualWorld;

// ---- Documents ----

PolicyContent drawn_content(std::mt19937_64& random) {
  PolicyContent out;
  for (const char* name : {"media", "page", "entry"}) {
    if (random() % 4 == 0) {
      continue;
    }
    ClassPolicy& rule = out.classes[name];
    rule.serve = random() % 4 != 0;
    rule.objective_ms = 1 + static_cast<std::int64_t>(random() % 50);
    rule.give_up_ms = rule.objective_ms + static_cast<std::int64_t>(random() % 50);
    rule.priority_weight = static_cast<double>(random() % 5);
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
    const PolicyContent a = drawn_content(random);
    const PolicyContent b = drawn_content(random);
    const PolicyContent c = drawn_content(random);
    const PolicyContent ab = intersection(a, b);
    EXPECT_EQ(ab, intersection(b, a)) << "commutative";
    EXPECT_EQ(intersection(ab, c), intersection(a, intersection(b, c))) << "associative";
    EXPECT_EQ(intersection(a, a), a) << "idempotent";
    EXPECT_TRUE(is_subset(ab, a)) << "allowed by the first";
    EXPECT_TRUE(is_subset(ab, b)) << "allowed by the second";
    // The widest such: what is within both is within it.
    const PolicyContent narrow = intersection(ab, c);
    EXPECT_TRUE(is_subset(narrow, ab));
    if (is_subset(c, a) && is_subset(c, b)) {
      EXPECT_TRUE(is_subset(c, ab));
    }
    ASSERT_FALSE(testing::Test::HasFailure()) << "case " << i;
  }
}

PolicyDocument document_of(std::uint64_t version, std::uint64_t parent) {
  PolicyDocument out;
  out.version = version;
  out.parent = parent;
  out.author = "ops";
  out.reason = "evening";
  out.content.classes["media"].give_up_ms = 4'000;
  return out;
}

TEST(PolicyDocumentTest, ItIsReadWholeOrRefusedWithTheField) {
  const PolicyDocument document = document_of(7, 6);
  const std::string text = write_document_text(document);
  EXPECT_EQ(read_document(text), document);
  const auto why = [](const std::string& from, bool draft = false) -> std::string {
    try {
      draft ? read_draft(from) : read_document(from);
    } catch (const InvalidDocument& error) {
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
  PolicyDocument document = document_of(7, 6);
  document.content.limits.open_requests = 1'000;
  RouterCapabilities capabilities{{"media"}, 1'000'000};
  EXPECT_EQ(check_capabilities(document, capabilities), "");
  capabilities.max_open_requests = 500;
  EXPECT_NE(check_capabilities(document, capabilities).find("open_requests"), std::string::npos);
  capabilities = {{"page"}, 1'000'000};
  EXPECT_NE(check_capabilities(document, capabilities).find("classes.media"), std::string::npos);
}

TEST(PolicyDocumentTest, TheDifferenceIsInWords) {
  PolicyContent before = document_of(1, 0).content;
  PolicyContent after = before;
  EXPECT_TRUE(describe_difference(before, after).empty());
  after.classes["media"].give_up_ms = 5'000;
  after.limits.open_requests = 7;
  const auto words = describe_difference(before, after);
  ASSERT_EQ(words.size(), 2U);
  EXPECT_EQ(words[0], "classes.media.give_up_ms is 5,000 ms, was 4,000 ms");
}

// ---- The driver ----

class DriverTest : public testing::Test {
 protected:
  DriverTest() {
    Rollout change;
    change.id = 3;
    change.target_version = 8;
    change.previous_version = 7;
    seen.rollout = change;
    seen.rollout_revision = 40;
    seen.current_version = 7;
    seen.reports["a"] = permit("edge");
    seen.reports["b"] = permit("edge");
  }
  static ParticipantReport permit(const std::string& zone) {
    ParticipantReport out;
    out.zone = zone;
    out.version = 7;
    return out;
  }
  std::uint64_t step() const { return stage_id(*seen.rollout); }
  void ready(const std::string& name) { seen.reports[name].ready_stage = step(); }
  void held(const std::string& name) { seen.reports[name].suspended_stage = step(); }
  // Carries the step out, as the store would.
  void take(const RolloutStep& told) {
    seen.rollout = told.rollout;
    ++seen.rollout_revision;
  }

  RolloutCoordinator driver{RolloutTimeouts{}};
  RolloutSnapshot seen;
  Micros now{0};
};

TEST_F(DriverTest, AnAggregatorIsAwaitedWithTheRouterThatItWaitsFor) {
  seen.reports.clear();
  seen.reports["a1.edge/9"] = permit("edge");
  seen.reports["a1.edge/9"].represented_routers = 40;
  seen.reports["a1.edge/9"].waiting_for = "r7";
  const std::vector<std::string> words = describe_pending(seen);
  ASSERT_EQ(words.size(), 1U);
  EXPECT_EQ(words[0], "a1.edge for 40 routers, among them r7, is to say that it is ready");
}

TEST_F(DriverTest, ItCommitsOnlyOnceEachIsReadyAndThenHolds) {
  EXPECT_FALSE(driver.step(now, seen));
  EXPECT_EQ(describe_pending(seen).size(), 2U);
  ready("a");
  EXPECT_FALSE(driver.step(now, seen));
  ready("b");
  auto told = driver.step(now, seen);
  ASSERT_TRUE(told);
  EXPECT_EQ(told->rollout.state, RolloutState::kSuspending);
  EXPECT_FALSE(told->commit);
  take(*told);
  held("a");
  EXPECT_FALSE(driver.step(now, seen));
  // The other one's permission runs out: it does not decide, and is not waited for.
  seen.reports.erase("b");
  told = driver.step(now, seen);
  ASSERT_TRUE(told);
  EXPECT_TRUE(told->commit);
  take(*told);
  EXPECT_FALSE(driver.step(now, seen));
  seen.reports["a"].version = 8;
  EXPECT_FALSE(driver.step(now, seen)) << "it says that it holds still";
  seen.reports["a"].suspended_stage = 0;
  told = driver.step(now, seen);
  ASSERT_TRUE(told);
  EXPECT_EQ(told->rollout.state, RolloutState::kDone);
}

TEST_F(DriverTest, ANoOrTooLongAWaitAborts) {
  ready("a");
  seen.reports["b"].rejected_stage = step();
  seen.reports["b"].rejection_reason = "full disk";
  auto told = driver.step(now, seen);
  ASSERT_TRUE(told);
  EXPECT_EQ(told->rollout.state, RolloutState::kAborted);
  EXPECT_EQ(told->rollout.reason, "b says no: full disk");
  seen.reports["b"].rejected_stage = 0;
  EXPECT_FALSE(driver.step(now, seen));
  ASSERT_TRUE(driver.next_step_at());
  told = driver.step(*driver.next_step_at(), seen);
  ASSERT_TRUE(told);
  EXPECT_EQ(told->rollout.reason, "not ready in time: b");
}

TEST_F(DriverTest, ANoOfAnEarlierChangeIsNone) {
  ready("a");
  ready("b");
  seen.reports["b"].rejected_stage = step() - 1'000;
  const auto told = driver.step(now, seen);
  ASSERT_TRUE(told);
  EXPECT_EQ(told->rollout.state, RolloutState::kSuspending);
}

TEST_F(DriverTest, StagesGoZoneByZoneAndTheRestAtTheEnd) {
  seen.rollout->stages = {"edge"};
  seen.rollout->watch_ms = 1'000;
  seen.reports["c"] = permit("west");
  ready("a");
  ready("b");
  take(*driver.step(now, seen));
  held("a");
  held("b");
  auto told = driver.step(now, seen);
  ASSERT_TRUE(told);
  EXPECT_TRUE(told->commit) << "the other zone is not asked";
  take(*told);
  for (const char* name : {"a", "b"}) {
    seen.reports[name] = permit("edge");
    seen.reports[name].version = 8;
  }
  take(*driver.step(now, seen));
  EXPECT_EQ(seen.rollout->state, RolloutState::kWatching);
  EXPECT_FALSE(driver.step(now, seen));
  now += seconds(1);
  take(*driver.step(now, seen));
  EXPECT_EQ(seen.rollout->state, RolloutState::kPreparing);
  EXPECT_EQ(seen.rollout->stage, 1U);
  EXPECT_FALSE(driver.step(now, seen));
  ready("c");
  take(*driver.step(now, seen));
  held("c");
  told = driver.step(now, seen);
  ASSERT_TRUE(told);
  EXPECT_TRUE(told->commit);
}

TEST_F(DriverTest, AStageOverItsLimitIsTurnedBack) {
  seen.rollout->stages = {"edge"};
  seen.rollout->watch_ms = 60'000;
  seen.rollout->max_rejected_share = 0.1;
  seen.rollout->state = RolloutState::kWatching;
  for (const char* name : {"a", "b"}) {
    seen.reports[name].version = 8;
    seen.reports[name].requests = 1'000;
    seen.reports[name].failed_requests = 900;  // before: does not count
  }
  EXPECT_FALSE(driver.step(now, seen));
  seen.reports["a"].requests += 50;
  seen.reports["a"].failed_requests += 4;
  EXPECT_FALSE(driver.step(now, seen));
  seen.reports["b"].requests += 50;
  seen.reports["b"].failed_requests += 20;
  const auto told = driver.step(now, seen);
  ASSERT_TRUE(told);
  EXPECT_EQ(told->rollout.id, 4U);
  EXPECT_EQ(told->rollout.target_version, 7U);
  EXPECT_EQ(told->rollout.state, RolloutState::kPreparing);
}

TEST_F(DriverTest, OneChangeAtATimeAndUrgentOnesBeforeWhatHasNotCommitted) {
  bool superseded = false;
  EXPECT_NE(check_can_begin(seen, false, superseded), "");
  EXPECT_EQ(check_can_begin(seen, true, superseded), "");
  EXPECT_TRUE(superseded);
  seen.rollout->state = RolloutState::kCommitted;
  EXPECT_NE(check_can_begin(seen, true, superseded), "");
  seen.rollout->state = RolloutState::kDone;
  EXPECT_EQ(check_can_begin(seen, false, superseded), "");
  EXPECT_FALSE(superseded);
}

TEST(PolicyRecordTest, MutatedRecordsAreReadSoundOrNotAtAll) {
  Rollout change;
  change.id = 3;
  change.target_version = 8;
  change.stages = {"edge", "west"};
  change.stage = 1;
  EXPECT_EQ(read_rollout(write_rollout(change)), change);
  ParticipantReport permit;
  permit.zone = "edge";
  permit.suspended_stage = 3'000;
  EXPECT_EQ(read_report(write_report(permit)), permit);
  std::mt19937_64 random(6);
  int refused = 0;
  for (int round = 0; round < 3'000; ++round) {
    std::string text = write_rollout(change);
    text[random() % text.size()] = "0123456789\"{}[]:,-x"[random() % 19];
    const auto read = read_rollout(text);
    refused += read ? 0 : 1;
    EXPECT_TRUE(!read || (read->id > 0 && read->target_version != read->previous_version &&
                          read->stage <= read->stages.size()));
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
    driver_rules_.prepare_timeout = seconds(6);
    driver_rules_.suspend_timeout = seconds(8);
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
    const RolloutSnapshot seen = look_now();
    if (seen.rollout && seen.rollout->is_open()) {
      fail(std::string("a change is stuck: ") + to_string(seen.rollout->state) + told(seen));
    }
    for (std::size_t i = 0; i < routers_.size(); ++i) {
      const Router& one = routers_[i];
      const EffectivePolicy effective_policy = one.participant->effective_policy(clock(one));
      if (effective_policy.kind != EffectivePolicy::Kind::kSingle ||
          effective_policy.version != seen.current_version) {
        fail("router " + std::to_string(i) + " does not decide under what is in force: " +
             to_string(one.participant->state(clock(one))) + told(seen));
      }
    }
    report_.broken = broken_;
    report_.steps = steps_;
    return report_;
  }

 private:
  struct Router : VirtualProcess {
    std::optional<Participant> participant;
    bool bad_disk = false;
    coordination::LeaseId lease = 0;
    Micros told_until{0};
  };

  std::string told(const RolloutSnapshot& seen) const {
    std::string out;
    for (const auto& [name, permit] : seen.reports) {
      out += "\n  " + name + " " + write_report(permit);
    }
    if (seen.rollout) {
      out += "\n  " + write_rollout(*seen.rollout);
    }
    return out + "\n  current " + std::to_string(seen.current_version);
  }

  RolloutSnapshot look_now() {
    const coordination::Outcome outcome = ledger_.commit(snapshot_transaction(""));
    return read_snapshot("", outcome);
  }
  ObservedState known_now() {
    const RolloutSnapshot seen = look_now();
    ObservedState out;
    out.rollout = seen.rollout;
    out.rollout_revision = seen.rollout_revision;
    out.version = seen.current_version;
    out.current_revision = seen.current_revision;
    return out;
  }

  // To the store and back.
  template <typename Value>
  void call_store(int index, std::function<Value()> use, std::function<void(const Value&)> answer,
                  std::function<void()> lost) {
    call<Value>(
        of(index), nullptr, of(index).cut,
        [this, use]() -> std::optional<Value> {
          ledger_.expire(store_ms());
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
    router.participant.emplace(std::to_string(router.incarnation), "edge", rules_,
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
  void tell_one(int index, const ObservedState& known) {
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
          one.participant->on_document(now, version);
        }
        ObservedState mine = known;
        if (defect_ == Defect::kAbortedKept && mine.rollout &&
            mine.rollout->state == RolloutState::kAborted &&
            one.participant->state(now) == ParticipantState::kInDoubt) {
          mine.version = mine.rollout->target_version;  // as if what it holds were in force
        }
        one.participant->on_observed_state(now, mine);
        one.participant->set_connected(now, true);
      });
    });
  }
  // What changed goes to all that are heard by the store.
  void tell() {
    bool news = false;
    for (const coordination::Change& change : ledger_.changes()) {
      news = news || change.entry.key.starts_with("policy/");
    }
    if (!news) {
      return;
    }
    const ObservedState known = known_now();
    for (int i = 0; i < static_cast<int>(routers_.size()); ++i) {
      if (!routers_[static_cast<std::size_t>(i)].cut) {
        tell_one(i, known);
      }
    }
  }

  void turn(int index) {
    Router& router = routers_[static_cast<std::size_t>(index)];
    for (const ParticipantAction& order : router.participant->step(clock(router))) {
      std::visit([this, index](const auto& one) { carry(index, one); }, order);
    }
  }
  Router& of(int index) { return routers_[static_cast<std::size_t>(index)]; }

  void carry(int index, const PersistDocumentAction& keep) {
    const int incarnation = of(index).incarnation;
    at(now_ + drawn(milliseconds(30)), [this, index, incarnation, keep] {
      deliver(of(index), [this, index, incarnation, keep] {
        if (of(index).incarnation == incarnation) {
          of(index).participant->on_persist_result(clock(of(index)), keep.version,
                                                   of(index).bad_disk ? "full disk" : "");
        }
      });
    });
  }
  void carry(int index, const ReportAction& say) {
    const coordination::LeaseId lease = of(index).lease;
    call_store<bool>(
        index,
        [this, index, say, lease] {
          try {
            ledger_.commit(
                coordination::Transaction{{},
                                          {coordination::Put{report_key(std::to_string(index), lease),
                                                             write_report(say.report), lease}},
                                          {}});
            return true;
          } catch (const coordination::Rejected&) {
            return false;
          }
        },
        [this, index, say](const bool& done) {
          of(index).participant->on_report_result(clock(of(index)), say.call_id, done);
        },
        [this, index, say] {
          of(index).participant->on_report_result(clock(of(index)), say.call_id, false);
        });
  }
  void carry(int index, const LeaseAction& ask) {
    const std::uint64_t number = ask.order.number;
    const auto lost = [this, index, number] {
      of(index).participant->on_no_response(clock(of(index)), number);
    };
    if (ask.order.ask == ownership::Ask::kAcquire) {
      call_store<coordination::LeaseId>(
          index, [this] { return ledger_.grant(store_ms(), rules_.lease.ttl.count() / 1'000, 0); },
          [this, index, ask, number, lost](const coordination::LeaseId& lease) {
            of(index).lease = lease;
            call_store<bool>(
                index,
                [this, index, ask, lease] {
                  coordination::Transaction join;
                  if (defect_ != Defect::kJoinUnseen) {
                    join.when = {coordination::unchanged(kRolloutKey, ask.observed.rollout_revision),
                                 coordination::unchanged(kCurrentKey, ask.observed.current_revision)};
                  }
                  join.then = {coordination::Put{report_key(std::to_string(index), lease),
                                                 write_report(ask.report), lease}};
                  try {
                    return ledger_.commit(join).succeeded;
                  } catch (const coordination::Rejected&) {
                    return false;
                  }
                },
                [this, index, number](const bool& joined) {
                  of(index).participant->on_join_result(clock(of(index)), number, joined);
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
        index, [this, lease] { return ledger_.keep_alive(store_ms(), lease) > 0; },
        [this, index, number](const bool& alive) {
          of(index).participant->on_renew_result(clock(of(index)), number, alive);
        },
        lost);
  }

  // ---- The driver, and staff ----

  void drive() {
    at(now_ + drawn(milliseconds(200)), [this] {
      if (chance(2) && !calm_) {
        coordinator_.emplace(driver_rules_);  // a successor
      }
      if (!driver_) {
        coordinator_.emplace(driver_rules_);
      }
      ledger_.expire(store_ms());
      RolloutSnapshot seen = look_now();
      if (defect_ == Defect::kCommitEarly && seen.rollout &&
          seen.rollout->state == RolloutState::kSuspending) {
        seen.reports.clear();
      }
      const auto step = coordinator_->step(now_, seen);
      if (step) {
        // What it decided arrives late: the store may have moved on.
        const coordination::Transaction write = execute_transaction("", seen, *step);
        at(now_ + drawn(chance(80) ? milliseconds(10) : seconds(4)), [this, write, step = *step] {
          ledger_.expire(store_ms());
          if (ledger_.commit(write).succeeded) {
            report_.commits += step.commit ? 1 : 0;
            report_.aborts += step.rollout.state == RolloutState::kAborted ? 1 : 0;
            if (step.rollout.state == RolloutState::kAborted) {
              aborted_.insert(step.rollout.target_version);
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
        const RolloutSnapshot seen = look_now();
        bool superseded = false;
        const bool urgent = chance(20);
        if (check_can_begin(seen, urgent, superseded).empty()) {
          if (superseded) {
            aborted_.insert(seen.rollout->target_version);
          }
          Rollout change;
          change.id = seen.rollout ? seen.rollout->id + 1 : 1;
          change.target_version = ++last_version_;
          change.previous_version = seen.current_version;
          if (ledger_.commit(begin_transaction("", seen, change, "document", "")).succeeded) {
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
        const EffectivePolicy effective_policy = router.participant->effective_policy(clock(router));
        if (effective_policy.kind == EffectivePolicy::Kind::kReject) {
          ++report_.refused;
        } else if (effective_policy.kind == EffectivePolicy::Kind::kIntersection) {
          ++report_.in_doubt;
        } else {
          decide(i, effective_policy.version);
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
          router.participant->set_connected(clock(router), chance(50));  // it may not notice
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
      const EffectivePolicy effective_policy = router.participant->effective_policy(clock(router));
      if (effective_policy.kind == EffectivePolicy::Kind::kSingle) {
        decide(static_cast<std::size_t>(index), effective_policy.version);
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
      ledger_.expire(store_ms());
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
  ParticipantOptions rules_;
  RolloutTimeouts driver_rules_;
  coordination::Ledger ledger_{coordination::Limits{}};
  std::deque<Router> routers_;
  std::optional<RolloutCoordinator> coordinator_;
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
