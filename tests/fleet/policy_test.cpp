// Changes of policy with several real processes under load and faults between them. The checker: every answer
// names the version it was decided under and when by the machine's one steady clock; for each change there
// has to be a moment that separates the old version from the new, over all routers.
#include <algorithm>
#include <csignal>
#include <fstream>
#include <map>
#include <random>
#include <sstream>
#include <string>

#include "fleet/rig.h"
#include "program/policy_command.h"
#include "stand_ins.h"

namespace trailcourse::testing_support {
namespace {

using fleet::Kind;
using fleet::Shape;
using nlohmann::json;
using std::chrono::milliseconds;

Shape policy_shape(int routers) {
  Shape shape;
  shape.routers = routers;
  shape.caches = 1;
  shape.parents = 0;
  shape.registry = true;
  shape.ownership = {{"ttl_ms", 1'000},        {"renew_ms", 250},        {"retry_ms", 100},
                     {"turn_ms", 30},          {"longest_turn_ms", 300}, {"member_ttl_ms", 1'000},
                     {"member_renew_ms", 250}, {"neighbours", 0},        {"settle_ms", 60'000},
                     {"most_starts", 100},     {"poison_pause_ms", 50},  {"flap_suppress", 1'000.0}};
  shape.coordination = {
      {"call_ms", 400}, {"rest_ms", 50}, {"longest_rest_ms", 300}, {"watch_silent_ms", 4'000}};
  shape.policy = {{"ttl_ms", 1'200},
                  {"renew_ms", 300},
                  {"retry_ms", 100},
                  {"prepare_most_ms", 4'000},
                  {"hold_most_ms", 6'000}};
  return shape;
}

// Checker. Versions by the time of their decision: of two decisions under versions alone the later one is
// never under a lower one.
std::vector<std::string> broken_order(const std::vector<fleet::Asked>& all) {
  struct Decision {
    std::int64_t at_us;
    std::uint64_t version;
    std::string router;
  };
  std::vector<Decision> decisions;
  for (const fleet::Asked& one : all) {
    const bool alone = !one.policy.empty() && one.policy != "-" && one.policy.find('+') == std::string::npos;
    if (alone) {
      decisions.push_back({one.decided_us, std::stoull(one.policy), one.router});
    }
  }
  std::sort(decisions.begin(), decisions.end(),
            [](const Decision& one, const Decision& other) { return one.at_us < other.at_us; });
  std::vector<std::string> out;
  std::uint64_t highest = 0;
  std::string by;
  for (const Decision& one : decisions) {
    if (one.version < highest) {
      out.push_back(one.router + " decided under version " + std::to_string(one.version) + " at " +
                    std::to_string(one.at_us) + ", after " + by + " under " + std::to_string(highest));
    } else {
      highest = one.version;
      by = one.router;
    }
  }
  return out;
}

class Policed {
 public:
  explicit Policed(const Shape& shape, const std::vector<std::string>& proxied = {}) : rig(shape, proxied) {
    rig.start_all();
    for (const std::string& router : rig.routers()) {
      EXPECT_TRUE(rig.await_ready(router)) << rig.logs();
    }
  }

  int policy(program::PolicyCommand command) {
    command.store.store = "etcd";
    command.store.endpoints = {rig.layout().member("registry").address};
    std::ostringstream out;
    std::ostringstream errors;
    const int status = run_policy_command(command, out, errors);
    said = out.str() + errors.str();
    return status;
  }
  int policy(const std::string& action) {
    program::PolicyCommand command;
    command.action = action;
    command.json = true;
    return policy(command);
  }
  // A draft with this worth, as a file.
  std::string draft(double worth, const std::string& more = "") {
    const std::string path = rig.folder() + "/draft.json";
    std::ofstream(path) << R"({"schema":1,"author":"ops","reason":"test","content":{"classes":{"media":)"
                        << R"({"objective_ms":2000,"give_up_ms":6000,"worth":)" << worth << "}}" << more
                        << "}}";
    return path;
  }
  int propose(double worth, bool urgent = false, const std::string& more = "") {
    program::PolicyCommand command;
    command.action = "propose";
    command.file = draft(worth, more);
    command.urgent = urgent;
    command.json = true;
    return policy(command);
  }
  json status() { return policy("status") == 0 ? json::parse(said) : json::object(); }
  std::string change_state() {
    const json change = status().value("change", json());
    return change.is_object() ? change.value("state", std::string()) : std::string();
  }
  std::uint64_t version() { return status().value("version", std::uint64_t{0}); }
  // Under load at these routers all the while.
  bool until_loaded(const std::vector<std::string>& routers, const std::function<bool()>& done,
                    milliseconds longest = kAwaited) {
    int turn = 0;
    return rig.until(
        [&] {
          if (turn++ % 3 == 0) {
            for (const std::string& router : routers) {
              rig.ask(router, 1'000 + static_cast<std::uint64_t>(turn) % 20);
            }
          }
          return turn % 12 == 0 && done();
        },
        longest);
  }
  bool await_change(const std::vector<std::string>& routers, const std::string& state) {
    return until_loaded(routers, [&] { return change_state() == state; });
  }
  // Until each of these decides under it.
  bool await_version(const std::vector<std::string>& routers, std::uint64_t number) {
    return rig.until([&] {
      return std::all_of(routers.begin(), routers.end(), [&](const std::string& router) {
        return answer(router).policy == std::to_string(number);
      });
    });
  }
  // The answer of this router to one request; others may be open meanwhile.
  fleet::Asked answer(const std::string& router) {
    const std::size_t at = rig.ask(router, 5);
    rig.until([&] { return rig.load().all()[at].answers > 0 || rig.load().all()[at].connection_ended; },
              milliseconds(5'000));
    return rig.load().all()[at];
  }
  std::vector<std::string> check() {
    EXPECT_TRUE(rig.await_answers());
    return broken_order(rig.load().all());
  }
  std::map<std::string, std::size_t> decided() {
    std::map<std::string, std::size_t> out;
    for (const fleet::Asked& one : rig.load().all()) {
      ++out[one.policy];
    }
    return out;
  }

  Rig rig;
  std::string said;
};

TEST(PolicyFleetTest, AChangeTakesHoldEverywhereAndTheCheckerFindsItsMoment) {
  Policed fleet(policy_shape(5));
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  ASSERT_EQ(fleet.propose(2.0), 0) << fleet.said;
  EXPECT_TRUE(fleet.await_change(fleet.rig.routers(), "done")) << fleet.rig.logs();
  EXPECT_TRUE(fleet.await_version(fleet.rig.routers(), 1)) << fleet.rig.logs();
  EXPECT_EQ(fleet.check(), kNone);
  const auto decided = fleet.decided();
  EXPECT_TRUE(decided.contains("0") && decided.contains("1")) << fleet.rig.logs();
  // Back: a new change to an old content.
  program::PolicyCommand back;
  back.action = "propose";
  back.version = "1";
  EXPECT_EQ(fleet.policy(back), 0) << fleet.said;
  EXPECT_TRUE(fleet.await_change(fleet.rig.routers(), "done")) << fleet.rig.logs();
  EXPECT_TRUE(fleet.await_version(fleet.rig.routers(), 2));
  EXPECT_EQ(fleet.check(), kNone);
  EXPECT_EQ(fleet.policy("history"), 0);
  EXPECT_GE(json::parse(fleet.said).size(), 8U) << fleet.said;
}

TEST(PolicyFleetTest, AVersionThatOneCannotLiveByIsRefusedEverywhere) {
  Policed fleet(policy_shape(3));
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  ASSERT_EQ(fleet.propose(2.0, false, R"(,"limits":{"open_requests":9000000})"), 0) << fleet.said;
  EXPECT_TRUE(fleet.await_change(fleet.rig.routers(), "aborted")) << fleet.rig.logs();
  const json change = fleet.status()["change"];
  EXPECT_NE(change.value("why", "").find("open_requests"), std::string::npos) << change;
  EXPECT_EQ(fleet.version(), 0U);
  EXPECT_EQ(fleet.check(), kNone);
  EXPECT_FALSE(fleet.decided().contains("1")) << "nobody decided under what was refused";
  // A document that no program could read is not even proposed.
  EXPECT_EQ(fleet.propose(-1.0), program::kBadPolicy);
  EXPECT_NE(fleet.said.find("worth"), std::string::npos) << fleet.said;
}

// Stopped before the commit and woken after it, with requests in its buffers: they are not decided under the
// old one.
TEST(PolicyFleetTest, ARouterThatWakesAfterTheCommitDecidesNothingUnderTheOldVersion) {
  Policed fleet(policy_shape(4));
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  std::vector<std::string> others = fleet.rig.routers();
  const std::string sleeper = others.back();
  others.pop_back();
  ASSERT_TRUE(fleet.await_version(fleet.rig.routers(), 0));
  fleet.rig.fault("stop " + sleeper);
  for (std::uint64_t i = 0; i < 20; ++i) {
    fleet.rig.ask(sleeper, 1'000 + i);
  }
  ASSERT_EQ(fleet.propose(2.0), 0) << fleet.said;
  EXPECT_TRUE(fleet.await_change(others, "done")) << "its permission runs out: " << fleet.rig.logs();
  ASSERT_TRUE(fleet.await_version(others, 1));
  fleet.rig.fault("cont " + sleeper);
  EXPECT_TRUE(fleet.await_version({sleeper}, 1)) << fleet.rig.logs();
  EXPECT_EQ(fleet.check(), kNone);
}

TEST(PolicyFleetTest, AThirdThatIsCutOffDecidesUnderNothingAndJoinsBehindTheChange) {
  Policed fleet(policy_shape(6), {"router*>registry"});
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  const std::vector<std::string> all = fleet.rig.routers();
  const std::vector<std::string> cut(all.begin(), all.begin() + 2);
  const std::vector<std::string> rest(all.begin() + 2, all.end());
  ASSERT_TRUE(fleet.await_version(all, 0));
  for (const std::string& router : cut) {
    fleet.rig.fault("cut " + router + ">registry both");
  }
  ASSERT_EQ(fleet.propose(2.0), 0) << fleet.said;
  EXPECT_TRUE(fleet.await_change(all, "done")) << fleet.rig.logs();
  EXPECT_TRUE(fleet.await_version(rest, 1)) << fleet.rig.logs();
  EXPECT_TRUE(fleet.await_version(rest, 1));
  for (const std::string& router : cut) {
    const fleet::Asked asked = fleet.answer(router);
    EXPECT_EQ(asked.policy, "-") << "without the store it knows nothing";
    EXPECT_EQ(asked.status, 503);
    fleet.rig.fault("heal " + router + ">registry");
  }
  EXPECT_TRUE(fleet.await_version(all, 1)) << fleet.rig.logs();
  EXPECT_EQ(fleet.check(), kNone);
}

struct Kill {
  std::string name;
  std::string words;  // in a driver's log, at which it is killed or stopped
  bool stop;
};
class DriverFaultTest : public testing::TestWithParam<Kill> {};
INSTANTIATE_TEST_SUITE_P(Steps, DriverFaultTest,
                         testing::Values(Kill{"KilledAsItBegins", "begins policy/0", false},
                                         Kill{"KilledAsAllHold", "routers hold", false},
                                         Kill{"KilledAtTheCommit", ": committed", false},
                                         Kill{"StoppedAsAllHold", "routers hold", true},
                                         Kill{"StoppedAtTheCommit", ": committed", true}),
                         [](const auto& one) { return one.param.name; });

TEST_P(DriverFaultTest, ItsSuccessorEndsTheChangeTheSameWay) {
  Policed fleet(policy_shape(4));
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  const std::vector<std::string> all = fleet.rig.routers();
  ASSERT_TRUE(fleet.await_version(all, 0));
  ASSERT_EQ(fleet.propose(2.0), 0) << fleet.said;
  std::string driver;
  ASSERT_TRUE(fleet.until_loaded(all, [&] {
    for (const std::string& router : all) {
      driver = fleet.rig.fleet().log(router).find(GetParam().words) != std::string::npos ? router : driver;
    }
    return !driver.empty();
  })) << fleet.rig.logs();
  std::vector<std::string> rest = all;
  std::erase(rest, driver);
  if (GetParam().stop) {
    fleet.rig.fault("stop " + driver);
  } else {
    fleet.rig.fleet().kill(driver);
  }
  EXPECT_TRUE(fleet.await_change(rest, "done")) << fleet.rig.logs();
  EXPECT_TRUE(fleet.await_version(rest, 1)) << fleet.rig.logs();
  if (GetParam().stop) {
    fleet.rig.fault("cont " + driver);
  } else {
    fleet.rig.start(driver);
    EXPECT_TRUE(fleet.rig.await_ready(driver));
  }
  EXPECT_TRUE(fleet.await_version(all, 1)) << fleet.rig.logs();
  EXPECT_EQ(fleet.version(), 1U);
  EXPECT_EQ(fleet.check(), kNone);
}

TEST(PolicyFleetTest, ChangesInARowUnderLoadWithRoutersKilledThroughout) {
  constexpr int kChanges = 6;
  Policed fleet(policy_shape(5));
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  std::mt19937_64 random(11);
  const std::vector<std::string> all = fleet.rig.routers();
  for (int i = 0; i < kChanges; ++i) {
    ASSERT_EQ(fleet.propose(1.0 + i), 0) << fleet.said;
    const std::string victim = all[random() % all.size()];
    fleet.until_loaded(
        all, [] { return true; }, milliseconds(random() % 150));
    fleet.rig.fleet().kill(victim);
    fleet.until_loaded(
        all, [] { return false; }, milliseconds(random() % 200));
    fleet.rig.start(victim);  // it joins behind the change
    EXPECT_TRUE(fleet.await_change(all, "done")) << fleet.rig.logs();
  }
  EXPECT_TRUE(fleet.await_version(all, kChanges)) << fleet.rig.logs();
  EXPECT_EQ(fleet.check(), kNone);
}

TEST(PolicyFleetTest, TheStoreIsKilledWhileAChangeIsMade) {
  Policed fleet(policy_shape(4));
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  const std::vector<std::string> all = fleet.rig.routers();
  ASSERT_TRUE(fleet.await_version(all, 0));
  for (int i = 0; i < 3; ++i) {
    ASSERT_EQ(fleet.propose(1.0 + i), 0) << fleet.said;
    fleet.until_loaded(
        all, [] { return false; }, milliseconds(20 * i));
    fleet.rig.fleet().kill("registry");
    fleet.until_loaded(
        all, [] { return false; }, milliseconds(300));
    fleet.rig.start("registry");
    std::string state;
    EXPECT_TRUE(fleet.until_loaded(all, [&] {
      state = fleet.change_state();
      return state == "done" || state == "aborted";
    })) << fleet.rig.logs();
    EXPECT_TRUE(fleet.await_version(all, fleet.version())) << fleet.rig.logs();
  }
  EXPECT_EQ(fleet.check(), kNone);
}

TEST(PolicyFleetTest, AnUrgentChangeGoesBeforeOneThatHasNotCommittedAndStaffCanAbort) {
  Policed fleet(policy_shape(3), {"router0>registry"});
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  const std::vector<std::string> all = fleet.rig.routers();
  ASSERT_TRUE(fleet.await_version(all, 0));
  fleet.rig.fault("cut router0>registry in");  // it hears nothing for as long as its permission lasts
  ASSERT_EQ(fleet.propose(2.0), 0) << fleet.said;
  EXPECT_EQ(fleet.propose(3.0), program::kChangeOpen) << "the second waits";
  EXPECT_EQ(fleet.propose(4.0, true), 0) << fleet.said;
  EXPECT_EQ(fleet.policy("abort"), 0) << fleet.said;
  fleet.rig.fault("heal router0>registry");
  EXPECT_EQ(fleet.propose(5.0), 0) << fleet.said;
  EXPECT_TRUE(fleet.await_change(all, "done")) << fleet.rig.logs();
  EXPECT_TRUE(fleet.await_version(all, fleet.version()));
  EXPECT_EQ(fleet.check(), kNone);
  const auto decided = fleet.decided();
  EXPECT_FALSE(decided.contains("1") || decided.contains("2")) << "neither took hold";
}

TEST(PolicyFleetTest, AStageIsWatchedAndTurnedBackWhereItRefusesTooMuch) {
  Shape shape = policy_shape(4);
  shape.zones = {"east", "west"};
  shape.caches = 2;
  Policed fleet(shape);
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  const std::vector<std::string> all = fleet.rig.routers();
  ASSERT_TRUE(fleet.await_version(all, 0));
  program::PolicyCommand command;
  command.action = "propose";
  command.file = fleet.rig.folder() + "/no.json";
  command.stages = {"east"};
  command.watch_s = 60;
  command.most_refused = 0.2;
  std::ofstream(command.file) << R"({"schema":1,"content":{"classes":{"media":{"serve":false}}}})";
  ASSERT_EQ(fleet.policy(command), 0) << fleet.said;
  EXPECT_TRUE(fleet.until_loaded(all, [&] {
    const json change = fleet.status()["change"];
    return change.is_object() &&
           change.value("why", std::string()).find("turned back") != std::string::npos &&
           change.value("state", std::string()) == "done";
  })) << fleet.rig.logs();
  EXPECT_TRUE(fleet.await_version(all, 0)) << fleet.rig.logs();
  // In the other zone nobody ever decided under it.
  for (const fleet::Asked& one : fleet.rig.load().all()) {
    if (fleet.rig.layout().member(one.router).zone == "west") {
      EXPECT_NE(one.policy, "1") << one.router;
    }
  }
}

}  // namespace
}  // namespace trailcourse::testing_support
