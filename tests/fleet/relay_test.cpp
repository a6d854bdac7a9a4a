// Fleets in which routers pass the board's pages on to each other; relays that die, stall, are cut off, or
// lie.
#include <sys/socket.h>

#include <algorithm>
#include <string>

#include "fleet/fleet_fixture.h"
#include "stand_ins.h"
#include "startup/relay_tree.h"

namespace trailcourse::testing_support {
namespace {

using fleet::FleetSpec;
using std::chrono::milliseconds;

FleetSpec relay_spec(int routers) {
  FleetSpec spec = spread_spec(routers);
  spec.known = false;
  spec.operators["relay"] = {{"pass_over_ms", 200}, {"audits_per_s", 20.0}};
  return spec;
}

TEST(RelayTest, TheBoardBearsAHandfulAndAPurgeReachesAll) {
  constexpr int kRouters = 15;
  FleetFixture fixture(relay_spec(kRouters), {"router*>board"}, 3);
  fixture.start_all();
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  ASSERT_EQ(fixture.await_states(fixture.routers(), {"current"}), "");
  // Once the tree stands, who asks the board for pages? Audits open a connection each and are told apart by
  // that.
  ASSERT_TRUE(fixture.run_until([&] {
    std::size_t by_relay = 0;
    for (const std::string& router : fixture.routers()) {
      const std::size_t before = fixture.call_count(router + ">board");
      fixture.run_for(milliseconds(40));
      by_relay += fixture.call_count(router + ">board") - before <= 1 ? 1 : 0;
    }
    return by_relay >= kRouters - 3;
  }));
  for (const std::string& router : fixture.routers()) {
    ASSERT_TRUE(fixture.await_ready(router));
  }
  ASSERT_EQ(send_to_all(fixture, fixture.routers(), 5), kNoViolations);
  fixture.append_event(
      {{"pool",
        {{"index", 2},
         {"snapshot", false},
         {"endpoints", {fixture.layout().entry(fixture.layout().member("cache1"), "draining")}}}}});
  for (const std::string& router : fixture.routers()) {
    EXPECT_TRUE(fixture.fleet().await_log(router, "cache cache1 is draining", kTestTimeout))
        << fixture.fleet().log(router);
  }
}

// Relays killed one after another; one stopped; one cut off from the board but not from those that ask it.
// Each time the rest hear of the next event.
TEST(RelayTest, DeadStalledAndCutOffRelaysAreLeft) {
  constexpr int kRouters = 9;
  FleetFixture fixture(relay_spec(kRouters), {"router*>board"}, 2);
  fixture.start_all();
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  ASSERT_EQ(fixture.await_states(fixture.routers(), {"current"}), "");
  std::vector<std::string> names = fixture.routers();
  std::vector<std::string> living = names;
  const auto root = [&] {
    return startup::RelayTree(names[0], names, 2).ancestors().empty()
               ? names[0]
               : startup::RelayTree(names[0], names, 2).ancestors().back();
  }();
  int number = 0;
  const auto all_hear = [&](const std::string& what) {
    ++number;
    const std::string cache = number % 2 == 1 ? "draining" : "up";
    fixture.append_event(
        {{"pool",
          {{"index", 2 + number},
           {"snapshot", false},
           {"endpoints", {fixture.layout().entry(fixture.layout().member("cache1"), cache)}}}}});
    const std::string words = "cache cache1 is " + cache;
    for (const std::string& router : living) {
      std::size_t count = 0;
      EXPECT_TRUE(fixture.run_until([&] {
        const std::string log = fixture.fleet().log(router);
        count = 0;
        for (std::size_t at = log.find(words); at != std::string::npos; at = log.find(words, at + 1)) {
          ++count;
        }
        return count >= static_cast<std::size_t>((number + 1) / 2);
      })) << what
          << ": " << fixture.fleet().log(router);
    }
  };
  all_hear("sound");
  fixture.apply_fault("cut " + root + ">board both");
  living.erase(std::find(living.begin(), living.end(), root));
  all_hear("the first relay is cut off from the board");
  fixture.apply_fault("heal " + root + ">board");
  fixture.apply_fault("stop " + root);
  all_hear("the first relay is stopped");
  fixture.apply_fault("cont " + root);
  fixture.fleet().kill(root);
  all_hear("the first relay is dead");
  while (living.size() > 3) {
    fixture.fleet().kill(living.back());
    living.pop_back();
    all_hear("another relay is dead");
  }
}

// A relay that says it is current and tells nothing of what the board has told since.
class MisreportingRelay : public Server {
 public:
  MisreportingRelay() { start(); }
  ~MisreportingRelay() override { stop(); }

 protected:
  void serve(int socket) override {
    char buffer[4'096];
    for (;;) {
      const ssize_t count = ::recv(socket, buffer, sizeof buffer, 0);
      const std::string body = R"({"rev":1,"notices":[]})";
      if (count <= 0 ||
          !send_all(socket, "HTTP/1.1 200 OK\r\nX-Age-Ms: 0\r\nX-Path: liar\r\nContent-Length: " +
                                std::to_string(body.size()) + "\r\n\r\n" + body)) {
        return;
      }
    }
  }
};

TEST(RelayTest, ALyingRelayIsFoundByAnAudit) {
  MisreportingRelay liar;
  // Of two names the tree's first is the liar's, so that the router asks it.
  std::string name;
  for (int i = 0; name.empty(); ++i) {
    const std::string candidate = "liar" + std::to_string(i);
    name = startup::RelayTree("router0", {candidate}, 2).position() == 1 ? candidate : "";
  }
  FleetSpec spec = spread_spec(1);
  spec.operators["relay"] = {{"audits_per_s", 20.0}, {"peers", {name + "=" + liar.address()}}};
  FleetFixture fixture(spec);
  fixture.start_all();
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  fixture.append_event(
      {{"pool",
        {{"index", 2},
         {"snapshot", false},
         {"endpoints", {fixture.layout().entry(fixture.layout().member("cache1"), "draining")}}}}});
  EXPECT_TRUE(fixture.fleet().await_log("router0", "withholds what the board tells", kTestTimeout))
      << fixture.fleet().log("router0");
  EXPECT_TRUE(fixture.fleet().await_log("router0", "cache cache1 is draining", kTestTimeout))
      << fixture.fleet().log("router0");
}

}  // namespace
}  // namespace trailcourse::testing_support
