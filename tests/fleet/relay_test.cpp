// Fleets in which routers pass the board's pages on to each other; relays that die, stall, are cut off, or
// lie.
#include <sys/socket.h>

#include <algorithm>
#include <string>

#include "fleet/rig.h"
#include "stand_ins.h"
#include "startup/relay_tree.h"

namespace trailcourse::testing_support {
namespace {

using fleet::FleetSpec;
using std::chrono::milliseconds;

FleetSpec relay_shape(int routers) {
  FleetSpec shape = spread_shape(routers);
  shape.known = false;
  shape.operators["relay"] = {{"pass_over_ms", 200}, {"audits_per_s", 20.0}};
  return shape;
}

TEST(RelayTest, TheBoardBearsAHandfulAndAPurgeReachesAll) {
  constexpr int kRouters = 15;
  Rig rig(relay_shape(kRouters), {"router*>board"}, 3);
  rig.start_all();
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  ASSERT_EQ(rig.await_states(rig.routers(), {"current"}), "");
  // Once the tree stands, who asks the board for pages? Audits open a connection each and are told apart by
  // that.
  ASSERT_TRUE(rig.until([&] {
    std::size_t by_relay = 0;
    for (const std::string& router : rig.routers()) {
      const std::size_t before = rig.calls(router + ">board");
      rig.run_for(milliseconds(40));
      by_relay += rig.calls(router + ">board") - before <= 1 ? 1 : 0;
    }
    return by_relay >= kRouters - 3;
  }));
  for (const std::string& router : rig.routers()) {
    ASSERT_TRUE(rig.await_ready(router));
  }
  ASSERT_EQ(ask_all(rig, rig.routers(), 5), kNone);
  rig.post({{"pool",
             {{"index", 2},
              {"snapshot", false},
              {"endpoints", {rig.layout().entry(rig.layout().member("cache1"), "draining")}}}}});
  for (const std::string& router : rig.routers()) {
    EXPECT_TRUE(rig.fleet().await_log(router, "cache cache1 is draining", kAwaited))
        << rig.fleet().log(router);
  }
}

// Relays killed one after another; one stopped; one cut off from the board but not from those that ask it.
// Each time the rest hear of the next event.
TEST(RelayTest, DeadStalledAndCutOffRelaysAreLeft) {
  constexpr int kRouters = 9;
  Rig rig(relay_shape(kRouters), {"router*>board"}, 2);
  rig.start_all();
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  ASSERT_EQ(rig.await_states(rig.routers(), {"current"}), "");
  std::vector<std::string> names = rig.routers();
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
    rig.post({{"pool",
               {{"index", 2 + number},
                {"snapshot", false},
                {"endpoints", {rig.layout().entry(rig.layout().member("cache1"), cache)}}}}});
    const std::string words = "cache cache1 is " + cache;
    for (const std::string& router : living) {
      std::size_t count = 0;
      EXPECT_TRUE(rig.until([&] {
        const std::string log = rig.fleet().log(router);
        count = 0;
        for (std::size_t at = log.find(words); at != std::string::npos; at = log.find(words, at + 1)) {
          ++count;
        }
        return count >= static_cast<std::size_t>((number + 1) / 2);
      })) << what
          << ": " << rig.fleet().log(router);
    }
  };
  all_hear("sound");
  rig.fault("cut " + root + ">board both");
  living.erase(std::find(living.begin(), living.end(), root));
  all_hear("the first relay is cut off from the board");
  rig.fault("heal " + root + ">board");
  rig.fault("stop " + root);
  all_hear("the first relay is stopped");
  rig.fault("cont " + root);
  rig.fleet().kill(root);
  all_hear("the first relay is dead");
  while (living.size() > 3) {
    rig.fleet().kill(living.back());
    living.pop_back();
    all_hear("another relay is dead");
  }
}

// A relay that says it is current and tells nothing of what the board has told since.
class LyingRelay : public Server {
 public:
  LyingRelay() { start(); }
  ~LyingRelay() override { stop(); }

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
  LyingRelay liar;
  // Of two names the tree's first is the liar's, so that the router asks it.
  std::string name;
  for (int i = 0; name.empty(); ++i) {
    const std::string candidate = "liar" + std::to_string(i);
    name = startup::RelayTree("router0", {candidate}, 2).position() == 1 ? candidate : "";
  }
  FleetSpec shape = spread_shape(1);
  shape.operators["relay"] = {{"audits_per_s", 20.0}, {"peers", {name + "=" + liar.address()}}};
  Rig rig(shape);
  rig.start_all();
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  rig.post({{"pool",
             {{"index", 2},
              {"snapshot", false},
              {"endpoints", {rig.layout().entry(rig.layout().member("cache1"), "draining")}}}}});
  EXPECT_TRUE(rig.fleet().await_log("router0", "withholds events of the discovery service", kAwaited))
      << rig.fleet().log("router0");
  EXPECT_TRUE(rig.fleet().await_log("router0", "cache cache1 is draining", kAwaited))
      << rig.fleet().log("router0");
}

}  // namespace
}  // namespace trailcourse::testing_support
