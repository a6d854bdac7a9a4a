// Owned work has one owner at a time, tested with real processes and faults: owners that are killed,
// suspended and resumed, cut off or drained; a coordination store that is down, slow or a different one;
// receivers that restart; clocks that are set.
#include <sys/socket.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iterator>
#include <set>
#include <string>

#include "fleet/fencing_token_check.h"
#include "fleet/fleet_fixture.h"
#include "ownership/work_records.h"
#include "program/fleet_work.h"
#include "program/work_command.h"
#include "protocol/cache_command.h"
#include "protocol/resp.h"
#include "stand_ins.h"

namespace trailcourse::testing_support {
namespace {

using fleet::FleetSpec;
using fleet::Kind;
using nlohmann::json;
using std::chrono::milliseconds;

// Returns a fleet with short times, so that the lease of a killed owner expires after about a second.
FleetSpec owned_spec(int routers, std::int64_t ttl_ms = 1'500) {
  FleetSpec spec;
  spec.routers = routers;
  spec.caches = 1;
  spec.parents = 0;
  spec.disk = true;
  spec.has_coordination_server = true;
  spec.ownership = {{"ttl_ms", ttl_ms},       {"renew_ms", ttl_ms / 4},    {"retry_ms", 100},
                    {"turn_ms", 50},          {"longest_turn_ms", 500},    {"member_ttl_ms", 1'500},
                    {"member_renew_ms", 400}, {"neighbours", 0},           {"settle_ms", 600'000 / 1'000},
                    {"poison_pause_ms", 100}, {"probe_ms", 100},           {"verdict_ms", 1'000},
                    {"report_ms", 200},       {"fill_patience_ms", 5'000}, {"most_starts", 100}};
  spec.ownership["settle_ms"] = 60'000;
  spec.coordination = {
      {"call_ms", 400}, {"rest_ms", 50}, {"longest_rest_ms", 300}, {"watch_silent_ms", 4'000}};
  return spec;
}

std::string item(std::uint64_t number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
  return text;
}

// A fleet with a coordination store, and the operators' commands on it.
class OwnershipFixture {
 public:
  using Change = std::function<void(fleet::Layout&)>;
  explicit OwnershipFixture(const FleetSpec& spec, const std::vector<std::string>& proxied = {},
                            const Change& change = nullptr)
      : fixture(spec, proxied) {
    if (change) {
      change(fixture.layout());
    }
    fixture.start_all();
  }

  // Returns the options with which an operator connects to the store.
  coordination::CoordinationOptions store_options() {
    coordination::CoordinationOptions options;
    options.store = fixture.layout().spec().embedded_store_folder.empty() ? "etcd" : "embedded";
    options.folder = fixture.layout().spec().embedded_store_folder;
    if (options.store == "etcd") {
      options.endpoints = {fixture.layout().member("registry").address};
    }
    options.look_ms = 5;
    return options;
  }
  // Runs `trailcourse work ...` and returns its exit status; `output` has what it printed.
  int work(program::WorkCommand command) {
    command.store = store_options();
    std::ostringstream out;
    std::ostringstream errors;
    const int status = run_work_command(command, out, errors);
    output = out.str() + errors.str();
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
    ASSERT_EQ(work(command), 0) << output;
  }
  json shard(const std::string& name, std::size_t number = 0) {
    if (work("show", name) != 0) {
      return json::object();
    }
    return json::parse(output)["shards"][number];
  }
  // Returns the router that owns the shard now; empty if none does.
  std::string owner(const std::string& name, std::size_t number = 0) {
    return shard(name, number).value("owner", std::string());
  }
  std::string await_owner(const std::string& name, const std::string& other_than = "",
                          std::size_t number = 0) {
    std::string out;
    EXPECT_TRUE(fixture.run_until([&] {
      fixture.run_for(milliseconds(20));
      out = owner(name, number);
      return !out.empty() && out != other_than;
    })) << fixture.logs();
    return out;
  }
  std::uint64_t filled(const std::string& name, std::size_t number = 0) {
    const json checkpoint = json::parse(shard(name, number).value("checkpoint", ""), nullptr, false);
    return checkpoint.is_object() ? checkpoint.value("filled", std::uint64_t{0}) : 0;
  }
  bool await_state(const std::string& name, const std::string& state, std::size_t number = 0) {
    return fixture.run_until([&] {
      fixture.run_for(milliseconds(20));
      return shard(name, number).value("state", std::string()) == state;
    });
  }
  bool await_filled(const std::string& name, std::uint64_t min_count) {
    return fixture.run_until([&] {
      fixture.run_for(milliseconds(10));
      return filled(name) >= min_count;
    });
  }

  // Returns the log lines of caches with a lower term of a piece of work than an earlier line.
  std::vector<std::string> find_token_regressions() {
    std::vector<std::string> out;
    for (const std::string& cache : fixture.layout().names(Kind::kCache)) {
      const auto more = fleet::find_token_regressions(cache, fixture.layout().log_file(cache));
      out.insert(out.end(), more.begin(), more.end());
    }
    return out;
  }
  // Returns the fencing token under which a router last started a shard, from its log.
  std::string fencing_token_of(const std::string& router, const std::string& shard) {
    const std::string log = fixture.supervisor().log(router);
    const std::string words = "starts " + shard + " under term ";
    const std::size_t at = log.rfind(words);
    const std::string rest = at == std::string::npos ? "" : log.substr(at + words.size());
    const std::string connected = "connected to coordination store ";
    const std::string store = log.substr(log.find(connected) + connected.size());
    return store.substr(0, store.find_first_not_of("0123456789")) + ":" + shard + ":" +
           rest.substr(0, rest.find_first_not_of("0123456789"));
  }

  FleetFixture fixture;
  std::string output;
};

// Sends one command to a cache without a router. Returns the code and the fields of its answer.
std::pair<std::string, std::string> send_to_cache(const std::string& address, const std::string& fence,
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
  std::vector<std::string> answer;
  protocol::resp::Parser parser({});
  for (int tries = 0, sent = 0; tries < 4'000 && answer.empty(); ++tries) {
    if (sent == 0 && ::send(socket, command.data(), command.size(), MSG_NOSIGNAL) > 0) {
      sent = 1;
    }
    char buffer[8'192];
    const ssize_t count = ::recv(socket, buffer, sizeof buffer, MSG_DONTWAIT);
    if (count > 0) {
      parser.feed(std::string_view(buffer, static_cast<std::size_t>(count)),
                  [&](const protocol::resp::Event& event) {
                    if (const auto* head = std::get_if<protocol::resp::ArrayHead>(&event)) {
                      answer = head->strings;
                    }
                  });
    } else {
      ::usleep(2'000);
    }
  }
  return answer.size() >= 3 ? std::pair(answer[1], answer[2]) : std::pair<std::string, std::string>();
}

// ---- Owners that are suspended, killed, or cut off ----

struct OwnerSuspension {
  std::string name;
  std::vector<std::string> before;  // faults just before the owner is suspended
};
void PrintTo(const OwnerSuspension& suspension, std::ostream* out) { *out << suspension.name; }

class SuspendedOwnerTest : public testing::TestWithParam<OwnerSuspension> {};
INSTANTIATE_TEST_SUITE_P(Steps, SuspendedOwnerTest,
                         testing::Values(OwnerSuspension{"WhileItWorks", {}},
                                         // The renewals and checkpoints do not reach the store.
                                         OwnerSuspension{"BeforeARenewal", {"cut OWNER>registry out"}},
                                         // They reach the store, but its answers do not arrive.
                                         OwnerSuspension{"DuringACheckpoint", {"cut OWNER>registry in"}},
                                         // Commands to the cache were sent and have not arrived.
                                         OwnerSuspension{"WithEffectsInFlight", {"cut *>cache0 out"}}),
                         [](const auto& one) { return one.param.name; });

TEST_P(SuspendedOwnerTest, DoesNotActAfterItResumes) {
  OwnershipFixture fleet(owned_spec(3), {"router*>registry", "*>cache0"});
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  fleet.fill("evening", 60, 20.0);
  const std::string first = fleet.await_owner("evening");
  ASSERT_TRUE(fleet.await_filled("evening", 3)) << fleet.fixture.logs();
  const std::string old_token = fleet.fencing_token_of(first, "evening/0");
  for (std::string line : GetParam().before) {
    if (const std::size_t at = line.find("OWNER"); at != std::string::npos) {
      line.replace(at, 5, first);
    }
    fleet.fixture.apply_fault(line);
  }
  fleet.fixture.run_for(milliseconds(150));
  fleet.fixture.apply_fault("stop " + first);
  EXPECT_NE(fleet.await_owner("evening", first), first);
  if (GetParam().name == "WithEffectsInFlight") {
    fleet.fixture.apply_fault("heal *>cache0");
  }
  const std::uint64_t before = fleet.filled("evening");
  ASSERT_TRUE(fleet.await_filled("evening", before + 3))
      << "the second owner makes no progress: " << fleet.fixture.logs();
  // An effect of the first owner that was in flight arrives now.
  const auto [code, fields] =
      send_to_cache(fleet.fixture.layout().member("cache0").address, old_token, 0x9999);
  EXPECT_EQ(code, "VOID") << old_token;
  EXPECT_NE(fields.find("fenced"), std::string::npos) << fields;
  fleet.fixture.apply_fault("cont " + first);
  fleet.fixture.apply_fault("heal " + first + ">registry");
  EXPECT_TRUE(fleet.fixture.supervisor().await_log(first, "aborts evening/0", kTestTimeout))
      << fleet.fixture.logs();
  EXPECT_TRUE(fleet.await_state("evening", "done")) << fleet.fixture.logs();
  EXPECT_EQ(fleet.find_token_regressions(), kNoViolations);
  EXPECT_EQ(fleet.filled("evening"), 60U);
}

TEST(OwnershipFleetTest, KeepsCheckpointedProgressWhenOwnersAreKilledInARow) {
  OwnershipFixture fleet(owned_spec(4));
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  fleet.fill("evening", 120, 25.0);
  std::set<std::string> killed;
  for (int i = 0; i < 3; ++i) {
    const std::string owner = fleet.await_owner("evening");
    const std::uint64_t before = fleet.filled("evening");
    ASSERT_TRUE(fleet.await_filled("evening", before + 2)) << fleet.fixture.logs();
    fleet.fixture.supervisor().kill(owner);
    killed.insert(owner);
    EXPECT_GE(fleet.filled("evening"), before) << "checkpointed progress was lost";
    fleet.fixture.start(owner);
  }
  EXPECT_TRUE(fleet.await_state("evening", "done")) << fleet.fixture.logs();
  EXPECT_EQ(fleet.filled("evening"), 120U);
  EXPECT_EQ(fleet.find_token_regressions(), kNoViolations);
  // Only the fills that were in flight when an owner was killed may reach the origin twice.
  fleet.fixture.supervisor().terminate("origin", kTestTimeout);
  const std::string log = [&] {
    std::ifstream file(fleet.fixture.layout().log_file("origin"));
    return std::string{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  }();
  const std::size_t at = log.rfind("served=");
  ASSERT_NE(at, std::string::npos) << log;
  EXPECT_LE(std::stoul(log.substr(at + 7)), 120U + 3 * 4);
}

// The lease is valid for ten minutes, so the test passes in time only if a draining owner releases it.
TEST(OwnershipFleetTest, ADrainingOwnerReleasesItsWorkAtOnce) {
  OwnershipFixture fleet(owned_spec(3, 600'000));
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  fleet.fill("evening", 200, 20.0);
  const std::string first = fleet.await_owner("evening");
  ASSERT_TRUE(fleet.await_filled("evening", 3));
  const auto end = fleet.fixture.supervisor().terminate(first, kTestTimeout);
  ASSERT_TRUE(end);
  EXPECT_EQ(fleet::to_string(*end), "ended with status 0");
  const std::uint64_t before = fleet.filled("evening");
  const std::string second = fleet.await_owner("evening", first);
  EXPECT_NE(second, first);
  EXPECT_TRUE(fleet.await_filled("evening", before + 2));
  EXPECT_EQ(fleet.find_token_regressions(), kNoViolations);
  // An operator hands it over, equally quickly; the router that released it does not acquire it again.
  EXPECT_EQ(fleet.work("hand-over", "evening"), 0) << fleet.output;
  EXPECT_NE(fleet.await_owner("evening", second), second);
  // An operator pauses it: no router owns it, and its progress is retained.
  EXPECT_EQ(fleet.work("pause", "evening"), 0) << fleet.output;
  EXPECT_TRUE(fleet.fixture.run_until([&] {
    fleet.fixture.run_for(milliseconds(20));
    return fleet.owner("evening").empty();
  })) << fleet.fixture.logs();
  const std::uint64_t paused = fleet.filled("evening");
  EXPECT_EQ(fleet.work("resume", "evening"), 0) << fleet.output;
  EXPECT_TRUE(fleet.await_filled("evening", paused + 2)) << fleet.fixture.logs();
}

TEST(OwnershipFleetTest, AnOwnerThatIsCutOffFromTheStoreAbortsItsWork) {
  OwnershipFixture fleet(owned_spec(3), {"router*>registry"});
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  fleet.fill("evening", 100, 20.0);
  const std::string first = fleet.await_owner("evening");
  ASSERT_TRUE(fleet.await_filled("evening", 2));
  fleet.fixture.apply_fault("cut " + first + ">registry both");
  EXPECT_NE(fleet.await_owner("evening", first), first);
  EXPECT_TRUE(fleet.fixture.supervisor().await_log(first, "aborts evening/0", kTestTimeout))
      << fleet.fixture.logs();
  // It still serves requests.
  EXPECT_EQ(send_to_all(fleet.fixture, {first}, 5), kNoViolations);
  fleet.fixture.apply_fault("heal " + first + ">registry");
  EXPECT_TRUE(fleet.await_state("evening", "done")) << fleet.fixture.logs();
  EXPECT_EQ(fleet.find_token_regressions(), kNoViolations);
  EXPECT_EQ(fleet.filled("evening"), 100U);
}

TEST(OwnershipFleetTest, TheOwnerContinuesWhenAllOtherRoutersAreCutOffFromTheStore) {
  OwnershipFixture fleet(owned_spec(3), {"router*>registry"});
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  fleet.fill("evening", 60, 20.0);
  const std::string first = fleet.await_owner("evening");
  for (const std::string& router : fleet.fixture.routers()) {
    if (router != first) {
      fleet.fixture.apply_fault("cut " + router + ">registry both");
    }
  }
  EXPECT_TRUE(fleet.await_state("evening", "done")) << fleet.fixture.logs();
  EXPECT_EQ(fleet.fixture.supervisor().log(first).find("aborts evening/0"), std::string::npos);
  for (const std::string& router : fleet.fixture.routers()) {
    if (router != first) {
      EXPECT_EQ(fleet.fixture.supervisor().log(router).find("starts evening"), std::string::npos) << router;
    }
  }
}

// ---- The store ----

TEST(OwnershipFleetTest, RoutersServeRequestsAndPauseOwnedWorkWhileTheStoreIsDown) {
  OwnershipFixture fleet(owned_spec(3));
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  fleet.fill("evening", 200, 20.0);
  const std::string first = fleet.await_owner("evening");
  ASSERT_TRUE(fleet.await_filled("evening", 2));
  fleet.fixture.supervisor().kill("registry");
  EXPECT_EQ(send_to_all(fleet.fixture, fleet.fixture.routers(), 10), kNoViolations);
  EXPECT_TRUE(fleet.fixture.supervisor().await_log(first, "aborts evening/0", kTestTimeout))
      << fleet.fixture.logs();
  EXPECT_EQ(send_to_all(fleet.fixture, fleet.fixture.routers(), 10), kNoViolations);
  // A router that starts without the store becomes ready and serves requests.
  const std::string other =
      fleet.fixture.routers()[0] == first ? fleet.fixture.routers()[1] : fleet.fixture.routers()[0];
  fleet.fixture.supervisor().kill(other);
  fleet.fixture.start(other);
  EXPECT_TRUE(fleet.fixture.await_ready(other));
  EXPECT_EQ(send_to_all(fleet.fixture, {other}, 5), kNoViolations);
  fleet.fixture.start("registry");
  const std::uint64_t before = fleet.filled("evening");
  EXPECT_GE(before, 2U) << "the store lost a confirmed checkpoint";
  EXPECT_TRUE(fleet.await_filled("evening", before + 3)) << fleet.fixture.logs();
  EXPECT_EQ(fleet.find_token_regressions(), kNoViolations);
}

// The store answers after the routers' timeout, so they do not know whether a call took effect until the next
// one.
TEST(OwnershipFleetTest, OwnedWorkContinuesAfterStoreAnswersThatCameTooLate) {
  OwnershipFixture fleet(owned_spec(3), {"router*>registry"});
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  fleet.fixture.apply_fault("delay router*>registry 600");  // call_ms is 400
  fleet.fill("evening", 40, 20.0);
  fleet.fixture.run_for(milliseconds(1'500));
  EXPECT_EQ(send_to_all(fleet.fixture, fleet.fixture.routers(), 5), kNoViolations);
  fleet.fixture.apply_fault("heal router*>registry");
  EXPECT_TRUE(fleet.await_state("evening", "done")) << fleet.fixture.logs();
  EXPECT_EQ(fleet.find_token_regressions(), kNoViolations);
  EXPECT_EQ(fleet.filled("evening"), 40U);
}

TEST(OwnershipFleetTest, SlowRenewalsWithinTheLeaseKeepTheOwner) {
  FleetSpec spec = owned_spec(3, 4'000);
  spec.coordination["call_ms"] = 2'500;
  OwnershipFixture fleet(spec, {"router*>registry"});
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  fleet.fill("evening", 100, 20.0);
  const std::string first = fleet.await_owner("evening");
  fleet.fixture.apply_fault("delay " + first + ">registry 250");  // in each direction
  EXPECT_TRUE(fleet.await_state("evening", "done")) << fleet.fixture.logs();
  EXPECT_EQ(fleet.fixture.supervisor().log(first).find("aborts evening/0"), std::string::npos)
      << fleet.fixture.logs();
}

TEST(OwnershipFleetTest, ReceiversRejectFencingTokensOfAnotherStore) {
  OwnershipFixture fleet(owned_spec(2));
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  fleet.fill("evening", 5, 0.0);
  ASSERT_TRUE(fleet.await_state("evening", "done")) << fleet.fixture.logs();
  const std::string address = fleet.fixture.layout().member("cache0").address;
  const auto [code, fields] = send_to_cache(address, "12345:evening/0:999999", 0x9999);
  EXPECT_EQ(code, "VOID");
  EXPECT_NE(fields.find("fence_other_store"), std::string::npos) << fields;
}

TEST(OwnershipFleetTest, ARestartedReceiverRejectsTheLowerTerm) {
  OwnershipFixture fleet(owned_spec(2, 600'000));
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  fleet.fill("evening", 400, 20.0);
  const std::string first = fleet.await_owner("evening");
  ASSERT_TRUE(fleet.await_filled("evening", 2));
  const std::string old_token = fleet.fencing_token_of(first, "evening/0");
  ASSERT_EQ(fleet.work("hand-over", "evening"), 0) << fleet.output;
  const std::string second = fleet.await_owner("evening", first);
  const std::uint64_t before = fleet.filled("evening");
  ASSERT_TRUE(fleet.await_filled("evening", before + 2)) << fleet.fixture.logs();
  fleet.fixture.supervisor().kill("cache0");
  fleet.fixture.start("cache0");
  const std::string address = fleet.fixture.layout().member("cache0").address;
  EXPECT_EQ(send_to_cache(address, old_token, 0x9999).first, "VOID") << old_token;
  const std::string now = fleet.fencing_token_of(second, "evening/0");
  EXPECT_NE(send_to_cache(address, now, 0x5000).first, "VOID") << now;
}

// Wall clocks are an hour off and are set while the routers run, and steady clocks drift by one percent.
// Ownership does not depend on wall clocks, and the drift is within the bound that leases allow.
TEST(OwnershipFleetTest, OwnershipIsUnaffectedByClockStepsAndDrift) {
  FleetSpec spec = owned_spec(3);
  OwnershipFixture fleet(spec, {}, [](fleet::Layout& layout) {
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
  ASSERT_TRUE(fleet.await_filled("evening", 5)) << fleet.fixture.logs();
  // Sets the owner's wall clock back, and those of the other routers forward.
  for (const std::string& router : fleet.fixture.routers()) {
    std::ofstream(fleet.fixture.folder() + "/clock-" + router) << (router == first ? "-7200" : "86400");
  }
  const std::uint64_t before = fleet.filled("evening");
  ASSERT_TRUE(fleet.await_filled("evening", before + 20)) << fleet.fixture.logs();
  EXPECT_EQ(fleet.owner("evening"), first) << "a step of the wall clock must not end a lease";
  fleet.fixture.supervisor().kill(first);
  EXPECT_TRUE(fleet.await_state("evening", "done")) << fleet.fixture.logs();
  EXPECT_EQ(fleet.find_token_regressions(), kNoViolations);
  EXPECT_EQ(fleet.filled("evening"), 100U);
}

// ---- Members ----

TEST(OwnershipFleetTest, TheLaterOfTwoRoutersWithOneNameDoesTheWork) {
  OwnershipFixture fleet(owned_spec(2));
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  fleet.fill("evening", 400, 20.0);
  const std::string first = fleet.await_owner("evening");
  // A second process with the same name and another address, by mistake.
  const std::string config = fleet.fixture.layout().config_file(first);
  json duplicate = [&] {
    std::ifstream file(config);
    return json::parse(file);
  }();
  duplicate["listen"] = fleet.fixture.ports().allocate_text();
  duplicate["seed"] = "00000000000000ff";
  std::ofstream(fleet.fixture.folder() + "/duplicate.json") << duplicate;
  fleet::Process::Spec spec;
  spec.name = "duplicate";
  spec.arguments = {TRAILCOURSE_PROGRAM, "serve",
                    "--config",          fleet.fixture.folder() + "/duplicate.json",
                    "--operator",        fleet.fixture.layout().operator_file(first)};
  spec.log = fleet.fixture.folder() + "/duplicate.log";
  fleet::Process process(spec);
  EXPECT_TRUE(
      fleet.fixture.supervisor().await_log(first, "another instance has this router's name", kTestTimeout))
      << fleet.fixture.logs();
  EXPECT_TRUE(fleet.fixture.supervisor().await_log(first, "releases evening/0", kTestTimeout))
      << fleet.fixture.logs();
  EXPECT_EQ(fleet.work("members", ""), 0);
  const json members = json::parse(fleet.output)["members"];
  EXPECT_EQ(std::count_if(members.begin(), members.end(),
                          [](const json& one) { return one["standing"] == "shadowed"; }),
            1)
      << fleet.output;
  EXPECT_EQ(send_to_all(fleet.fixture, {first}, 5), kNoViolations)
      << "the shadowed router still serves requests";
}

// ---- Work that crashes its owners ----

TEST(OwnershipFleetTest, WorkThatKillsItsOwnersIsParkedAfterTheAllowedStarts) {
  FleetSpec spec = owned_spec(5, 600);
  spec.ownership["most_starts"] = 2;
  spec.ownership["renew_ms"] = 100;
  spec.origin_delay_ms = 4'000;  // longer than the test lets an owner live, so that no fill completes
  OwnershipFixture fleet(spec);
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  fleet.fill("poison", 10, 0.0);
  std::set<std::string> killed;
  for (int i = 0; i < 2; ++i) {
    std::string victim;
    ASSERT_TRUE(fleet.fixture.run_until([&] {
      for (const std::string& router : fleet.fixture.routers()) {
        if (!killed.contains(router) &&
            fleet.fixture.supervisor().log(router).find("starts poison/0") != std::string::npos) {
          victim = router;
        }
      }
      return !victim.empty();
    })) << fleet.fixture.logs();
    fleet.fixture.supervisor().kill(victim);
    killed.insert(victim);
  }
  EXPECT_TRUE(fleet.await_state("poison", "parked")) << fleet.fixture.logs();
  for (const std::string& router : fleet.fixture.routers()) {
    EXPECT_EQ(killed.contains(router), !fleet.fixture.supervisor().alive(router)) << router;
  }
  fleet.fixture.run_for(milliseconds(500));
  EXPECT_EQ(fleet.shard("poison").value("state", ""), "parked") << "it remains parked";
  EXPECT_EQ(fleet.work("resume", "poison"), 0);
  const std::vector<std::string> routers = fleet.fixture.routers();
  EXPECT_TRUE(fleet.fixture.run_until([&] {
    return std::any_of(routers.begin(), routers.end(), [&](const std::string& router) {
      return !killed.contains(router) &&
             fleet.fixture.supervisor().log(router).find("starts poison/0") != std::string::npos;
    });
  })) << fleet.fixture.logs();
}

// ---- The other kinds of work ----

TEST(OwnershipFleetTest, OneRouterProbesASuspectCacheForAllRouters) {
  FleetSpec spec = owned_spec(4);
  spec.caches = 2;
  spec.ownership["suspect_after"] = 2;
  OwnershipFixture fleet(spec);
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  program::WorkCommand add;
  add.action = "add";
  add.name = "probes";
  add.kind = "probe";
  add.zone = "edge";
  ASSERT_EQ(fleet.work(add), 0) << fleet.output;
  const std::string owner = fleet.await_owner("probes");
  fleet.fixture.supervisor().kill("cache1");
  const auto await_verdict = [&](const std::string& verdict) {
    return fleet.fixture.run_until([&] {
      send_to_all(fleet.fixture, fleet.fixture.routers(), 2);
      const std::string log = fleet.fixture.supervisor().log(owner);
      return log.find("verdict on cache cache1: " + verdict) != std::string::npos;
    });
  };
  EXPECT_TRUE(await_verdict("unhealthy")) << fleet.fixture.logs();
  fleet.fixture.start("cache1");
  EXPECT_TRUE(await_verdict("healthy") || await_verdict("withdrawn")) << fleet.fixture.logs();
  for (const std::string& router : fleet.fixture.routers()) {
    if (router != owner) {
      EXPECT_EQ(fleet.fixture.supervisor().log(router).find("verdict on"), std::string::npos)
          << router << " probed too";
    }
  }
}

TEST(OwnershipFleetTest, TheReportCountsEachRequestOnceWhenItsOwnerIsKilled) {
  OwnershipFixture fleet(owned_spec(3));
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  program::WorkCommand add;
  add.action = "add";
  add.name = "counts";
  add.kind = "report";
  ASSERT_EQ(fleet.work(add), 0) << fleet.output;
  const auto requests = [&]() -> std::uint64_t {
    return fleet.work("report", "") == 0
               ? json::parse(fleet.output)["sums"].value("requests", std::uint64_t{0})
               : 0;
  };
  const std::string owner = fleet.await_owner("counts");
  std::vector<std::string> others = fleet.fixture.routers();
  std::erase(others, owner);
  EXPECT_EQ(send_to_all(fleet.fixture, others, 10), kNoViolations);
  EXPECT_TRUE(fleet.fixture.run_until([&] {
    fleet.fixture.run_for(milliseconds(20));
    return requests() == 20;
  })) << requests();
  fleet.fixture.supervisor().kill(owner);
  fleet.await_owner("counts", owner);
  EXPECT_EQ(send_to_all(fleet.fixture, others, 5), kNoViolations);
  EXPECT_TRUE(fleet.fixture.run_until([&] {
    fleet.fixture.run_for(milliseconds(20));
    return requests() == 30;
  })) << requests();
  fleet.fixture.run_for(milliseconds(600));
  EXPECT_EQ(requests(), 30U) << "requests were counted twice";
}

TEST(OwnershipFleetTest, RoutersOfOneMachineShareAnEmbeddedStore) {
  FleetSpec spec = owned_spec(3);
  spec.has_coordination_server = false;
  spec.embedded_store_folder = testing::TempDir() + "trailcourse-shared-" + std::to_string(::getpid());
  std::filesystem::remove_all(spec.embedded_store_folder);
  spec.coordination["look_ms"] = 20;
  {
    OwnershipFixture fleet(spec);
    ASSERT_FALSE(testing::Test::HasFatalFailure());
    fleet.fill("evening", 40, 20.0);
    const std::string first = fleet.await_owner("evening");
    ASSERT_TRUE(fleet.await_filled("evening", 2)) << fleet.fixture.logs();
    fleet.fixture.supervisor().kill(first);
    EXPECT_TRUE(fleet.await_state("evening", "done")) << fleet.fixture.logs();
    EXPECT_EQ(fleet.filled("evening"), 40U);
    EXPECT_EQ(fleet.find_token_regressions(), kNoViolations);
  }
  std::filesystem::remove_all(spec.embedded_store_folder);
}

TEST(OwnershipFleetTest, WorkThatCannotBeDoneEndsWithTheReason) {
  OwnershipFixture fleet(owned_spec(2));
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  program::WorkCommand command;
  command.action = "add";
  command.name = "odd";
  command.kind = "fill";
  command.request_class = "unheard";
  command.objects = {item(1)};
  ASSERT_EQ(fleet.work(command), 0) << fleet.output;
  EXPECT_TRUE(fleet.await_state("odd", "done")) << fleet.fixture.logs();
  EXPECT_NE(fleet.shard("odd").value("checkpoint", "").find("cannot be done"), std::string::npos);
  // Invalid commands of operators.
  EXPECT_EQ(fleet.work("show", "none"), program::kNoSuchWork);
  EXPECT_EQ(fleet.work("pause", "none"), program::kNoSuchWork);
  EXPECT_EQ(fleet.work(command), program::kConflict) << "the work exists already";
  EXPECT_EQ(fleet.work("remove", "odd"), 0);
  EXPECT_EQ(fleet.work("remove", "odd"), program::kNoSuchWork);
  EXPECT_EQ(fleet.work("list", ""), 0);
}

}  // namespace
}  // namespace trailcourse::testing_support
