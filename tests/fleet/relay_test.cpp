// Fleets whose routers forward the pages of the discovery service to each other, with relays that are killed,
// suspended, cut off, or withhold events.
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
  spec.starts_with_list = false;
  spec.operator_sections["relay"] = {{"pass_over_ms", 200}, {"audits_per_s", 20.0}};
  return spec;
}

TEST(RelayTest, OnlyAFewRoutersPollTheDiscoveryServiceAndAllReceiveAnEvent) {
  constexpr int kRouters = 15;
  FleetFixture fixture(relay_spec(kRouters), {"router*>board"}, 3);
  fixture.start_all();
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  ASSERT_EQ(fixture.await_states(fixture.routers(), {"current"}), "");
  // Counts the routers that get their pages through a relay. An audit opens a connection of its own, so up to
  // one call to the discovery server is allowed to them.
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
    EXPECT_TRUE(fixture.supervisor().await_log(router, "cache cache1 is draining", kTestTimeout))
        << fixture.supervisor().log(router);
  }
}

// A relay is cut off from the discovery service but not from its pollers, then suspended, then killed;
// further relays are killed one after another. Each time the other routers have to receive the next event.
TEST(RelayTest, RoutersReceiveEventsWhenRelaysAreCutOffSuspendedOrKilled) {
  constexpr int kRouters = 9;
  FleetFixture fixture(relay_spec(kRouters), {"router*>board"}, 2);
  fixture.start_all();
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  ASSERT_EQ(fixture.await_states(fixture.routers(), {"current"}), "");
  std::vector<std::string> names = fixture.routers();
  std::vector<std::string> running = names;
  const auto root = [&] {
    return startup::RelayTree(names[0], names, 2).ancestors().empty()
               ? names[0]
               : startup::RelayTree(names[0], names, 2).ancestors().back();
  }();
  int event = 0;
  const auto expect_event_everywhere = [&](const std::string& condition) {
    ++event;
    const std::string status = event % 2 == 1 ? "draining" : "up";
    fixture.append_event(
        {{"pool",
          {{"index", 2 + event},
           {"snapshot", false},
           {"endpoints", {fixture.layout().entry(fixture.layout().member("cache1"), status)}}}}});
    const std::string text = "cache cache1 is " + status;
    for (const std::string& router : running) {
      std::size_t count = 0;
      EXPECT_TRUE(fixture.run_until([&] {
        const std::string log = fixture.supervisor().log(router);
        count = 0;
        for (std::size_t at = log.find(text); at != std::string::npos; at = log.find(text, at + 1)) {
          ++count;
        }
        return count >= static_cast<std::size_t>((event + 1) / 2);
      })) << condition
          << ": " << fixture.supervisor().log(router);
    }
  };
  expect_event_everywhere("no fault");
  fixture.apply_fault("cut " + root + ">board both");
  running.erase(std::find(running.begin(), running.end(), root));
  expect_event_everywhere("the first relay is cut off from the discovery service");
  fixture.apply_fault("heal " + root + ">board");
  fixture.apply_fault("stop " + root);
  expect_event_everywhere("the first relay is suspended");
  fixture.apply_fault("cont " + root);
  fixture.supervisor().kill(root);
  expect_event_everywhere("the first relay is killed");
  while (running.size() > 3) {
    fixture.supervisor().kill(running.back());
    running.pop_back();
    expect_event_everywhere("another relay is killed");
  }
}

// A relay that claims to be current and withholds all events after the first page.
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
          !send_all(socket, "HTTP/1.1 200 OK\r\nX-Age-Ms: 0\r\nX-Path: relay\r\nContent-Length: " +
                                std::to_string(body.size()) + "\r\n\r\n" + body)) {
        return;
      }
    }
  }
};

TEST(RelayTest, AnAuditDetectsARelayThatWithholdsEvents) {
  MisreportingRelay relay;
  // Finds a name that has the first position of the relay tree, so that the router polls that relay.
  std::string name;
  for (int i = 0; name.empty(); ++i) {
    const std::string candidate = "relay" + std::to_string(i);
    name = startup::RelayTree("router0", {candidate}, 2).position() == 1 ? candidate : "";
  }
  FleetSpec spec = spread_spec(1);
  spec.operator_sections["relay"] = {{"audits_per_s", 20.0}, {"peers", {name + "=" + relay.address()}}};
  FleetFixture fixture(spec);
  fixture.start_all();
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  fixture.append_event(
      {{"pool",
        {{"index", 2},
         {"snapshot", false},
         {"endpoints", {fixture.layout().entry(fixture.layout().member("cache1"), "draining")}}}}});
  EXPECT_TRUE(
      fixture.supervisor().await_log("router0", "withholds events of the discovery service", kTestTimeout))
      << fixture.supervisor().log("router0");
  EXPECT_TRUE(fixture.supervisor().await_log("router0", "cache cache1 is draining", kTestTimeout))
      << fixture.supervisor().log("router0");
}

}  // namespace
}  // namespace trailcourse::testing_support
