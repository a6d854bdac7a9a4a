// One owner at a time with several real processes and faults between them: owners killed, stopped and woken,
// cut off, drained; a store that is down, slow, another one; receivers that restart; clocks that are set.
#include <sys/socket.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iterator>
#include <set>
#include <string>

#include "fleet/rig.h"
#include "fleet/fencing_token_check.h"
#include "ownership/work_records.h"
#include "program/fleet_work.h"
#include "program/work_command.h"
#include "protocol/cache_command.h"
#include "protocol/resp.h"
#include "stand_ins.h"

namespace trailcourse::testing_support {
namespace {

using fleet::Kind;
using fleet::FleetSpec;
using nlohmann::json;
using std::chrono::milliseconds;

// Short times, so that a death costs a test a second and not ten.
FleetSpec owned_shape(int routers, std::int64_t ttl_ms = 1'500) {
  FleetSpec shape;
  shape.routers = routers;
  shape.caches = 1;
  shape.parents = 0;
  shape.disk = true;
  shape.registry = true;
  shape.ownership = {{"ttl_ms", ttl_ms},       {"renew_ms", ttl_ms / 4},    {"retry_ms", 100},
                     {"turn_ms", 50},          {"longest_turn_ms", 500},    {"member_ttl_ms", 1'500},
                     {"member_renew_ms", 400}, {"neighbours", 0},           {"settle_ms", 600'000 / 1'000},
                     {"poison_pause_ms", 100}, {"probe_ms", 100},           {"verdict_ms", 1'000},
                     {"report_ms", 200},       {"fill_patience_ms", 5'000}, {"most_starts", 100}};
  shape.ownership["settle_ms"] = 60'000;
  shape.coordination = {
      {"call_ms", 400}, {"rest_ms", 50}, {"longest_rest_ms", 300}, {"watch_silent_ms", 4'000}};
  return shape;
}

std::string item(std::uint64_t number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
  return text;
}

// A fleet with a store, as staff and a checker see it.
class Owned {
 public:
  using Change = std::function<void(fleet::Layout&)>;
  explicit Owned(const FleetSpec& shape, const std::vector<std::string>& proxied = {},
                 const Change& change = nullptr)
      : rig(shape, proxied) {
    if (change) {
      change(rig.layout());
    }
    rig.start_all();
  }

  coordination::CoordinationOptions staff() {
    coordination::CoordinationOptions options;
    options.store = rig.layout().shape().embedded.empty() ? "etcd" : "embedded";
    options.folder = rig.layout().shape().embedded;
    if (options.store == "etcd") {
      options.endpoints = {rig.layout().member("registry").address};
    }
    options.look_ms = 5;
    return options;
  }
  // Runs `trailcourse work ...` and gives its status; what it printed is in `said`.
  int work(program::WorkCommand command) {
    command.store = staff();
    std::ostringstream out;
    std::ostringstream errors;
    const int status = run_work_command(command, out, errors);
    said = out.str() + errors.str();
    return status;
  }
  int work(const std::string& action, const std::string& name) {
    program::WorkCommand command;
    command.action = action;
    command.name = name;
    command.json = true;
    return work(command);
  }
  void fill(const std::string& name, int objects, double rate, int shards = 1, const std::string& at = "") {
    program::WorkCommand command;
    command.action = "add";
    command.name = name;
    command.kind = "fill";
    command.request_class = "media";
    command.shards = shards;
    command.objects_per_s = rate;
    command.at = at;
    for (int i = 0; i < objects; ++i) {
      command.objects.push_back(item(0x5000 + static_cast<std::uint64_t>(i)));
    }
    ASSERT_EQ(work(command), 0) << said;
  }
  json shard(const std::string& name, std::size_t number = 0) {
    if (work("show", name) != 0) {
      return json::object();
    }
    return json::parse(said)["shards"][number];
  }
  // The router that owns it now; empty while nobody does.
  std::string owner(const std::string& name, std::size_t number = 0) {
    return shard(name, number).value("owner", std::string());
  }
  std::string await_owner(const std::string& name, const std::string& other_than = "",
                          std::size_t number = 0) {
    std::string out;
    EXPECT_TRUE(rig.until([&] {
      rig.run_for(milliseconds(20));
      out = owner(name, number);
      return !out.empty() && out != other_than;
    })) << rig.logs();
    return out;
  }
  std::uint64_t filled(const std::string& name, std::size_t number = 0) {
    const json checkpoint = json::parse(shard(name, number).value("checkpoint", ""), nullptr, false);
    return checkpoint.is_object() ? checkpoint.value("filled", std::uint64_t{0}) : 0;
  }
  bool await_state(const std::string& name, const std::string& state, std::size_t number = 0) {
    return rig.until([&] {
      rig.run_for(milliseconds(20));
      return shard(name, number).value("state", std::string()) == state;
    });
  }
  bool await_filled(const std::string& name, std::uint64_t least) {
    return rig.until([&] {
      rig.run_for(milliseconds(10));
      return filled(name) >= least;
    });
  }

  // Checker: at each receiver the terms of a piece of work never go back, over its restarts too.
  std::vector<std::string> find_token_regressions() {
    std::vector<std::string> out;
    for (const std::string& cache : rig.layout().names(Kind::kCache)) {
      const auto more = fleet::find_token_regressions(cache, rig.layout().log_file(cache));
      out.insert(out.end(), more.begin(), more.end());
    }
    return out;
  }
  // The token under which a router last began a piece of work, as it stands in its log.
  std::string fence_of(const std::string& router, const std::string& shard) {
    const std::string log = rig.fleet().log(router);
    const std::string words = "starts " + shard + " under term ";
    const std::size_t at = log.rfind(words);
    const std::string rest = at == std::string::npos ? "" : log.substr(at + words.size());
    const std::string connected = "connected to coordination store ";
    const std::string store = log.substr(log.find(connected) + connected.size());
    return store.substr(0, store.find_first_not_of("0123456789")) + ":" + shard + ":" +
           rest.substr(0, rest.find_first_not_of("0123456789"));
  }

  Rig rig;
  std::string said;
};

// One command to a cache node, past all routers: the word and the fields of its answer.
std::pair<std::string, std::string> ask_cache(const std::string& address, const std::string& fence,
                                              std::uint64_t object) {
  const transport::Opened opened = transport::start_connect(*transport::parse_address(address));
  const int socket = opened.descriptor.get();
  protocol::ServeFields fields;
  fields.request_class = "media";
  fields.item = item(object);
  fields.limit_ms = 5'000;
  fields.source = "origin";
  fields.keep_rank = 1;
  fields.fence = fence;
  const std::string command = protocol::write_serve("0000000000000abc", fields, "");
  std::vector<std::string> words;
  protocol::resp::Parser parser({});
  for (int tries = 0, sent = 0; tries < 4'000 && words.empty(); ++tries) {
    if (sent == 0 && ::send(socket, command.data(), command.size(), MSG_NOSIGNAL) > 0) {
      sent = 1;
    }
    char buffer[8'192];
    const ssize_t count = ::recv(socket, buffer, sizeof buffer, MSG_DONTWAIT);
    if (count > 0) {
      parser.feed(std::string_view(buffer, static_cast<std::size_t>(count)),
                  [&](const protocol::resp::Event& event) {
                    if (const auto* head = std::get_if<protocol::resp::ArrayHead>(&event)) {
                      words = head->strings;
                    }
                  });
    } else {
      ::usleep(2'000);
    }
  }
  return words.size() >= 3 ? std::pair(words[1], words[2]) : std::pair<std::string, std::string>();
}

// ---- Owners that stop, die, are cut off ----

struct Stop {
  std::string name;
  std::vector<std::string> before;  // faults just before the owner is stopped
};
void PrintTo(const Stop& fault, std::ostream* out) { *out << fault.name; }

class StoppedOwnerTest : public testing::TestWithParam<Stop> {};
INSTANTIATE_TEST_SUITE_P(Steps, StoppedOwnerTest,
                         testing::Values(Stop{"InItsWork", {}},
                                         // Its renewals and checkpoints do not leave; or have left, and their
                                         // answers are on the way.
                                         Stop{"BeforeARenewal", {"cut OWNER>registry out"}},
                                         Stop{"InTheMiddleOfACheckpoint", {"cut OWNER>registry in"}},
                                         // Commands to the cache have been written and have not arrived.
                                         Stop{"WithEffectsOnTheWay", {"cut *>cache0 out"}}),
                         [](const auto& one) { return one.param.name; });

TEST_P(StoppedOwnerTest, WakesToNoHarm) {
  Owned fleet(owned_shape(3), {"router*>registry", "*>cache0"});
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  fleet.fill("evening", 60, 20.0);
  const std::string first = fleet.await_owner("evening");
  ASSERT_TRUE(fleet.await_filled("evening", 3)) << fleet.rig.logs();
  const std::string old = fleet.fence_of(first, "evening/0");
  for (std::string line : GetParam().before) {
    if (const std::size_t at = line.find("OWNER"); at != std::string::npos) {
      line.replace(at, 5, first);
    }
    fleet.rig.fault(line);
  }
  fleet.rig.run_for(milliseconds(150));
  fleet.rig.fault("stop " + first);
  EXPECT_NE(fleet.await_owner("evening", first), first);
  if (GetParam().name == "WithEffectsOnTheWay") {
    fleet.rig.fault("heal *>cache0");
  }
  const std::uint64_t before = fleet.filled("evening");
  ASSERT_TRUE(fleet.await_filled("evening", before + 3)) << "the second owner acts: " << fleet.rig.logs();
  // An effect of the first that was still on its way arrives now.
  const auto [word, fields] = ask_cache(fleet.rig.layout().member("cache0").address, old, 0x9999);
  EXPECT_EQ(word, "VOID") << old;
  EXPECT_NE(fields.find("fenced"), std::string::npos) << fields;
  fleet.rig.fault("cont " + first);
  fleet.rig.fault("heal " + first + ">registry");
  EXPECT_TRUE(fleet.rig.fleet().await_log(first, "aborts evening/0", kAwaited)) << fleet.rig.logs();
  EXPECT_TRUE(fleet.await_state("evening", "done")) << fleet.rig.logs();
  EXPECT_EQ(fleet.find_token_regressions(), kNone);
  EXPECT_EQ(fleet.filled("evening"), 60U);
}

TEST(OwnershipFleetTest, OwnersKilledInARowLoseNothingThatWasCheckpointed) {
  Owned fleet(owned_shape(4));
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  fleet.fill("evening", 120, 25.0);
  std::set<std::string> killed;
  for (int i = 0; i < 3; ++i) {
    const std::string owner = fleet.await_owner("evening");
    const std::uint64_t before = fleet.filled("evening");
    ASSERT_TRUE(fleet.await_filled("evening", before + 2)) << fleet.rig.logs();
    fleet.rig.fleet().kill(owner);
    killed.insert(owner);
    EXPECT_GE(fleet.filled("evening"), before) << "progress went back";
    fleet.rig.start(owner);
  }
  EXPECT_TRUE(fleet.await_state("evening", "done")) << fleet.rig.logs();
  EXPECT_EQ(fleet.filled("evening"), 120U);
  EXPECT_EQ(fleet.find_token_regressions(), kNone);
  // At most what was open at each death came from the origin twice.
  fleet.rig.fleet().end("origin", kAwaited);
  const std::string log = [&] {
    std::ifstream file(fleet.rig.layout().log_file("origin"));
    return std::string{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  }();
  const std::size_t at = log.rfind("served=");
  ASSERT_NE(at, std::string::npos) << log;
  EXPECT_LE(std::stoul(log.substr(at + 7)), 120U + 3 * 4);
}

// The lease would hold for ten minutes: only a hand-over can be so quick.
TEST(OwnershipFleetTest, ADrainHandsTheWorkOnAtOnce) {
  Owned fleet(owned_shape(3, 600'000));
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  fleet.fill("evening", 200, 20.0);
  const std::string first = fleet.await_owner("evening");
  ASSERT_TRUE(fleet.await_filled("evening", 3));
  const auto end = fleet.rig.fleet().end(first, kAwaited);
  ASSERT_TRUE(end);
  EXPECT_EQ(fleet::to_string(*end), "ended with status 0");
  const std::uint64_t kept = fleet.filled("evening");
  const std::string second = fleet.await_owner("evening", first);
  EXPECT_NE(second, first);
  EXPECT_TRUE(fleet.await_filled("evening", kept + 2));
  EXPECT_EQ(fleet.find_token_regressions(), kNone);
  // Staff move it on, just as quickly; the one that let go stands back.
  EXPECT_EQ(fleet.work("hand-over", "evening"), 0) << fleet.said;
  EXPECT_NE(fleet.await_owner("evening", second), second);
  // And pause it: nobody has it, and what was done stays.
  EXPECT_EQ(fleet.work("pause", "evening"), 0) << fleet.said;
  EXPECT_TRUE(fleet.rig.until([&] {
    fleet.rig.run_for(milliseconds(20));
    return fleet.owner("evening").empty();
  })) << fleet.rig.logs();
  const std::uint64_t paused = fleet.filled("evening");
  EXPECT_EQ(fleet.work("resume", "evening"), 0) << fleet.said;
  EXPECT_TRUE(fleet.await_filled("evening", paused + 2)) << fleet.rig.logs();
}

TEST(OwnershipFleetTest, AnOwnerThatIsCutOffFromTheStoreStopsByItself) {
  Owned fleet(owned_shape(3), {"router*>registry"});
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  fleet.fill("evening", 100, 20.0);
  const std::string first = fleet.await_owner("evening");
  ASSERT_TRUE(fleet.await_filled("evening", 2));
  fleet.rig.fault("cut " + first + ">registry both");
  EXPECT_NE(fleet.await_owner("evening", first), first);
  EXPECT_TRUE(fleet.rig.fleet().await_log(first, "aborts evening/0", kAwaited)) << fleet.rig.logs();
  // It serves on.
  EXPECT_EQ(ask_all(fleet.rig, {first}, 5), kNone);
  fleet.rig.fault("heal " + first + ">registry");
  EXPECT_TRUE(fleet.await_state("evening", "done")) << fleet.rig.logs();
  EXPECT_EQ(fleet.find_token_regressions(), kNone);
  EXPECT_EQ(fleet.filled("evening"), 100U);
}

TEST(OwnershipFleetTest, AllButTheOwnerAreCutOffAndTheOwnerGoesOn) {
  Owned fleet(owned_shape(3), {"router*>registry"});
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  fleet.fill("evening", 60, 20.0);
  const std::string first = fleet.await_owner("evening");
  for (const std::string& router : fleet.rig.routers()) {
    if (router != first) {
      fleet.rig.fault("cut " + router + ">registry both");
    }
  }
  EXPECT_TRUE(fleet.await_state("evening", "done")) << fleet.rig.logs();
  EXPECT_EQ(fleet.rig.fleet().log(first).find("aborts evening/0"), std::string::npos);
  for (const std::string& router : fleet.rig.routers()) {
    if (router != first) {
      EXPECT_EQ(fleet.rig.fleet().log(router).find("starts evening"), std::string::npos) << router;
    }
  }
}

// ---- The store ----

TEST(OwnershipFleetTest, WithoutTheStoreRoutersServeAndOwnedWorkRests) {
  Owned fleet(owned_shape(3));
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  fleet.fill("evening", 200, 20.0);
  const std::string first = fleet.await_owner("evening");
  ASSERT_TRUE(fleet.await_filled("evening", 2));
  fleet.rig.fleet().kill("registry");
  EXPECT_EQ(ask_all(fleet.rig, fleet.rig.routers(), 10), kNone);
  EXPECT_TRUE(fleet.rig.fleet().await_log(first, "aborts evening/0", kAwaited)) << fleet.rig.logs();
  EXPECT_EQ(ask_all(fleet.rig, fleet.rig.routers(), 10), kNone);
  // A router that starts without the store is ready, and serves.
  const std::string other = fleet.rig.routers()[0] == first ? fleet.rig.routers()[1] : fleet.rig.routers()[0];
  fleet.rig.fleet().kill(other);
  fleet.rig.start(other);
  EXPECT_TRUE(fleet.rig.await_ready(other));
  EXPECT_EQ(ask_all(fleet.rig, {other}, 5), kNone);
  fleet.rig.start("registry");
  const std::uint64_t kept = fleet.filled("evening");
  EXPECT_GE(kept, 2U) << "the store forgot what it had answered";
  EXPECT_TRUE(fleet.await_filled("evening", kept + 3)) << fleet.rig.logs();
  EXPECT_EQ(fleet.find_token_regressions(), kNone);
}

// Answers come after the routers have given the call up: was it done? The next call finds out.
TEST(OwnershipFleetTest, AStoreThatAnswersTooLateStopsOwnedWorkAndHarmsNothing) {
  Owned fleet(owned_shape(3), {"router*>registry"});
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  fleet.rig.fault("delay router*>registry 600");  // call_ms is 400
  fleet.fill("evening", 40, 20.0);
  fleet.rig.run_for(milliseconds(1'500));
  EXPECT_EQ(ask_all(fleet.rig, fleet.rig.routers(), 5), kNone);
  fleet.rig.fault("heal router*>registry");
  EXPECT_TRUE(fleet.await_state("evening", "done")) << fleet.rig.logs();
  EXPECT_EQ(fleet.find_token_regressions(), kNone);
  EXPECT_EQ(fleet.filled("evening"), 40U);
}

TEST(OwnershipFleetTest, RenewalsThatAreLateButInTimeKeepTheWork) {
  FleetSpec shape = owned_shape(3, 4'000);
  shape.coordination["call_ms"] = 2'500;
  Owned fleet(shape, {"router*>registry"});
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  fleet.fill("evening", 100, 20.0);
  const std::string first = fleet.await_owner("evening");
  fleet.rig.fault("delay " + first + ">registry 250");  // each way
  EXPECT_TRUE(fleet.await_state("evening", "done")) << fleet.rig.logs();
  EXPECT_EQ(fleet.rig.fleet().log(first).find("aborts evening/0"), std::string::npos) << fleet.rig.logs();
}

TEST(OwnershipFleetTest, ReceiversRefuseOwnersOfASecondStore) {
  Owned fleet(owned_shape(2));
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  fleet.fill("evening", 5, 0.0);
  ASSERT_TRUE(fleet.await_state("evening", "done")) << fleet.rig.logs();
  const std::string address = fleet.rig.layout().member("cache0").address;
  const auto [word, fields] = ask_cache(address, "12345:evening/0:999999", 0x9999);
  EXPECT_EQ(word, "VOID");
  EXPECT_NE(fields.find("fence_other_store"), std::string::npos) << fields;
}

TEST(OwnershipFleetTest, AReceiverThatRestartsBetweenTwoTermsRemembersTheHigher) {
  Owned fleet(owned_shape(2, 600'000));
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  fleet.fill("evening", 400, 20.0);
  const std::string first = fleet.await_owner("evening");
  ASSERT_TRUE(fleet.await_filled("evening", 2));
  const std::string old = fleet.fence_of(first, "evening/0");
  ASSERT_EQ(fleet.work("hand-over", "evening"), 0) << fleet.said;
  const std::string second = fleet.await_owner("evening", first);
  const std::uint64_t before = fleet.filled("evening");
  ASSERT_TRUE(fleet.await_filled("evening", before + 2)) << fleet.rig.logs();
  fleet.rig.fleet().kill("cache0");
  fleet.rig.start("cache0");
  const std::string address = fleet.rig.layout().member("cache0").address;
  EXPECT_EQ(ask_cache(address, old, 0x9999).first, "VOID") << old;
  const std::string now = fleet.fence_of(second, "evening/0");
  EXPECT_NE(ask_cache(address, now, 0x5000).first, "VOID") << now;
}

// Clocks that are an hour off and set while they run, and that run a percent apart: nobody asks the wall
// clock who owns what, and the drift is within the bound.
TEST(OwnershipFleetTest, ClocksThatAreSetOrRunApartChangeNothing) {
  FleetSpec shape = owned_shape(3);
  Owned fleet(shape, {}, [](fleet::Layout& layout) {
    const char* const rates[] = {"1.01", "0.99", "1.0"};
    const char* const steps[] = {"3600", "-3600", "0"};
    const std::vector<std::string> routers = layout.names(Kind::kRouter);
    for (std::size_t i = 0; i < routers.size(); ++i) {
      const std::string file = layout.folder() + "/clock-" + routers[i];
      std::ofstream(file) << steps[i];
      layout.member(routers[i]).environment = {
          "LD_PRELOAD=" TRAILCOURSE_CLOCK_SHIM, "CLOCK_SHIM_FILE=" + file,
          std::string("CLOCK_SHIM_RATE=") + rates[i], "ASAN_OPTIONS=verify_asan_link_order=0"};
    }
  });
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  fleet.fill("evening", 100, 20.0);
  const std::string first = fleet.await_owner("evening");
  ASSERT_TRUE(fleet.await_filled("evening", 5)) << fleet.rig.logs();
  // Everybody's clock is set, the owner's back and forth.
  for (const std::string& router : fleet.rig.routers()) {
    std::ofstream(fleet.rig.folder() + "/clock-" + router) << (router == first ? "-7200" : "86400");
  }
  const std::uint64_t before = fleet.filled("evening");
  ASSERT_TRUE(fleet.await_filled("evening", before + 20)) << fleet.rig.logs();
  EXPECT_EQ(fleet.owner("evening"), first) << "a set clock must not end a lease";
  fleet.rig.fleet().kill(first);
  EXPECT_TRUE(fleet.await_state("evening", "done")) << fleet.rig.logs();
  EXPECT_EQ(fleet.find_token_regressions(), kNone);
  EXPECT_EQ(fleet.filled("evening"), 100U);
}

// ---- Members ----

TEST(OwnershipFleetTest, OfTwoRoutersOfOneNameTheLaterDoesTheWork) {
  Owned fleet(owned_shape(2));
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  fleet.fill("evening", 400, 20.0);
  const std::string first = fleet.await_owner("evening");
  // A second process with the same name and another address, by mistake.
  const std::string config = fleet.rig.layout().config_file(first);
  json twin = [&] {
    std::ifstream file(config);
    return json::parse(file);
  }();
  twin["listen"] = fleet.rig.ports().take_text();
  twin["seed"] = "00000000000000ff";
  std::ofstream(fleet.rig.folder() + "/twin.json") << twin;
  fleet::Process::Spec spec;
  spec.name = "twin";
  spec.words = {TRAILCOURSE_PROGRAM, "serve",
                "--config",          fleet.rig.folder() + "/twin.json",
                "--operator",        fleet.rig.layout().operator_file(first)};
  spec.log = fleet.rig.folder() + "/twin.log";
  fleet::Process process(spec);
  EXPECT_TRUE(fleet.rig.fleet().await_log(first, "another instance has this router's name", kAwaited))
      << fleet.rig.logs();
  EXPECT_TRUE(fleet.rig.fleet().await_log(first, "releases evening/0", kAwaited)) << fleet.rig.logs();
  EXPECT_EQ(fleet.work("members", ""), 0);
  const json members = json::parse(fleet.said)["members"];
  EXPECT_EQ(std::count_if(members.begin(), members.end(),
                          [](const json& one) { return one["standing"] == "shadowed"; }),
            1)
      << fleet.said;
  EXPECT_EQ(ask_all(fleet.rig, {first}, 5), kNone) << "it serves on";
}

// ---- Work that its owners die of ----

TEST(OwnershipFleetTest, PoisonedWorkIsParkedBeforeItHasTakenAllDown) {
  FleetSpec shape = owned_shape(5, 600);
  shape.ownership["most_starts"] = 2;
  shape.ownership["renew_ms"] = 100;
  shape.origin_delay_ms = 4'000;  // no object is ever there before its owner dies
  Owned fleet(shape);
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  fleet.fill("poison", 10, 0.0);
  std::set<std::string> died;
  for (int i = 0; i < 2; ++i) {
    std::string victim;
    ASSERT_TRUE(fleet.rig.until([&] {
      for (const std::string& router : fleet.rig.routers()) {
        if (!died.contains(router) &&
            fleet.rig.fleet().log(router).find("starts poison/0") != std::string::npos) {
          victim = router;
        }
      }
      return !victim.empty();
    })) << fleet.rig.logs();
    fleet.rig.fleet().kill(victim);
    died.insert(victim);
  }
  EXPECT_TRUE(fleet.await_state("poison", "parked")) << fleet.rig.logs();
  for (const std::string& router : fleet.rig.routers()) {
    EXPECT_EQ(died.contains(router), !fleet.rig.fleet().alive(router)) << router;
  }
  fleet.rig.run_for(milliseconds(500));
  EXPECT_EQ(fleet.shard("poison").value("state", ""), "parked") << "and stays so";
  EXPECT_EQ(fleet.work("resume", "poison"), 0);
  const std::vector<std::string> routers = fleet.rig.routers();
  EXPECT_TRUE(fleet.rig.until([&] {
    return std::any_of(routers.begin(), routers.end(), [&](const std::string& router) {
      return !died.contains(router) &&
             fleet.rig.fleet().log(router).find("starts poison/0") != std::string::npos;
    });
  })) << fleet.rig.logs();
}

// ---- The other kinds of work ----

TEST(OwnershipFleetTest, OneRouterProbesASuspectCacheForAllAndAllHearOfItsReturn) {
  FleetSpec shape = owned_shape(4);
  shape.caches = 2;
  shape.ownership["suspect_after"] = 2;
  Owned fleet(shape);
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  program::WorkCommand add;
  add.action = "add";
  add.name = "probes";
  add.kind = "probe";
  add.zone = "edge";
  ASSERT_EQ(fleet.work(add), 0) << fleet.said;
  const std::string owner = fleet.await_owner("probes");
  fleet.rig.fleet().kill("cache1");
  const auto says = [&](const std::string& words) {
    return fleet.rig.until([&] {
      ask_all(fleet.rig, fleet.rig.routers(), 2);
      const std::string log = fleet.rig.fleet().log(owner);
      return log.find("verdict on cache cache1: " + words) != std::string::npos;
    });
  };
  EXPECT_TRUE(says("unhealthy")) << fleet.rig.logs();
  fleet.rig.start("cache1");
  EXPECT_TRUE(says("healthy") || says("withdrawn")) << fleet.rig.logs();
  for (const std::string& router : fleet.rig.routers()) {
    if (router != owner) {
      EXPECT_EQ(fleet.rig.fleet().log(router).find("verdict on"), std::string::npos)
          << router << " probed too";
    }
  }
}

TEST(OwnershipFleetTest, TheReportCountsEachRequestOnceOverDeathsOfItsOwner) {
  Owned fleet(owned_shape(3));
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  program::WorkCommand add;
  add.action = "add";
  add.name = "counts";
  add.kind = "report";
  ASSERT_EQ(fleet.work(add), 0) << fleet.said;
  const auto requests = [&]() -> std::uint64_t {
    return fleet.work("report", "") == 0 ? json::parse(fleet.said)["sums"].value("requests", std::uint64_t{0})
                                         : 0;
  };
  const std::string owner = fleet.await_owner("counts");
  std::vector<std::string> others = fleet.rig.routers();
  std::erase(others, owner);
  EXPECT_EQ(ask_all(fleet.rig, others, 10), kNone);
  EXPECT_TRUE(fleet.rig.until([&] {
    fleet.rig.run_for(milliseconds(20));
    return requests() == 20;
  })) << requests();
  fleet.rig.fleet().kill(owner);
  fleet.await_owner("counts", owner);
  EXPECT_EQ(ask_all(fleet.rig, others, 5), kNone);
  EXPECT_TRUE(fleet.rig.until([&] {
    fleet.rig.run_for(milliseconds(20));
    return requests() == 30;
  })) << requests();
  fleet.rig.run_for(milliseconds(600));
  EXPECT_EQ(requests(), 30U) << "counted twice";
}

TEST(OwnershipFleetTest, RoutersOfOneMachineShareAFolderInTheStoresPlace) {
  FleetSpec shape = owned_shape(3);
  shape.registry = false;
  shape.embedded = testing::TempDir() + "trailcourse-shared-" + std::to_string(::getpid());
  std::filesystem::remove_all(shape.embedded);
  shape.coordination["look_ms"] = 20;
  {
    Owned fleet(shape);
    ASSERT_FALSE(testing::Test::HasFatalFailure());
    fleet.fill("evening", 40, 20.0);
    const std::string first = fleet.await_owner("evening");
    ASSERT_TRUE(fleet.await_filled("evening", 2)) << fleet.rig.logs();
    fleet.rig.fleet().kill(first);
    EXPECT_TRUE(fleet.await_state("evening", "done")) << fleet.rig.logs();
    EXPECT_EQ(fleet.filled("evening"), 40U);
    EXPECT_EQ(fleet.find_token_regressions(), kNone);
  }
  std::filesystem::remove_all(shape.embedded);
}

TEST(OwnershipFleetTest, WorkThatCannotBeDoneIsOverAndSaysWhy) {
  Owned fleet(owned_shape(2));
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  program::WorkCommand command;
  command.action = "add";
  command.name = "odd";
  command.kind = "fill";
  command.request_class = "unheard";
  command.objects = {item(1)};
  ASSERT_EQ(fleet.work(command), 0) << fleet.said;
  EXPECT_TRUE(fleet.await_state("odd", "done")) << fleet.rig.logs();
  EXPECT_NE(fleet.shard("odd").value("checkpoint", "").find("cannot be done"), std::string::npos);
  // Staff's mistakes.
  EXPECT_EQ(fleet.work("show", "none"), program::kNoSuchWork);
  EXPECT_EQ(fleet.work("pause", "none"), program::kNoSuchWork);
  EXPECT_EQ(fleet.work(command), program::kChangedMeanwhile) << "it is there already";
  EXPECT_EQ(fleet.work("remove", "odd"), 0);
  EXPECT_EQ(fleet.work("remove", "odd"), program::kNoSuchWork);
  EXPECT_EQ(fleet.work("list", ""), 0);
}

}  // namespace
}  // namespace trailcourse::testing_support
