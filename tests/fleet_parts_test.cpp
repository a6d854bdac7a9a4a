// Unit tests of the parts of a fleet: fault scripts, fault proxies, ports, layouts and child processes.
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <set>
#include <thread>

#include "fleet/fault_proxy.h"
#include "fleet/fault_script.h"
#include "fleet/figures.h"
#include "fleet/layout.h"
#include "fleet/port_allocator.h"
#include "fleet/process.h"
#include "stand_ins.h"

namespace trailcourse::fleet {
namespace {

using std::chrono::milliseconds;
using transport::Clock;

TEST(FaultScript, ReadsWhatItWritesAndRejectsAMalformedLineByItsNumber) {
  const std::string text =
      "# the parent is killed\n1200 kill parent0\n1500 start parent0  # and is restarted\n"
      "100 cut router*>board in\n200 heal router*>board\n300 delay *>cache1 250\n";
  const auto script = read_script(text);
  ASSERT_EQ(script.size(), 5U);
  EXPECT_EQ(script[0].kind, FaultKind::kCut);
  EXPECT_EQ(script[0].direction, "in");
  EXPECT_EQ(script[4].target, "parent0");
  EXPECT_EQ(read_script(write_script(script)), script);
  for (const auto& [bad, message] : std::vector<std::pair<std::string, std::string>>{
           {"x kill a", "line 1: expected a time in ms"},
           {"1 kill a\n2 dance b", "line 2: unknown fault"},
           {"1 kill a>b", "expected the name of a process"},
           {"1 cut a", "expected a link FROM>TO"},
           {"1 cut a>b sideways", "expected the direction in, out or both"},
           {"1 delay a>b", "expected a non-negative number"},
           {"1 delay a>b -4", "expected a non-negative number"},
           {"1 kill", "expected the name of a process"},
           {"1 kill a b", "unexpected text after the fault"}}) {
    try {
      read_script(bad);
      ADD_FAILURE() << bad;
    } catch (const std::invalid_argument& error) {
      EXPECT_NE(std::string(error.what()).find(message), std::string::npos) << error.what();
    }
  }
}

TEST(FaultScript, ARandomScriptDependsOnItsSeedOnlyAndRepairsItsFaults) {
  RandomScriptOptions options;
  options.processes = {"router0", "cache0"};
  options.links = {"router0>board", "*>cache0"};
  options.faults = 30;
  std::set<std::string> texts;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    const auto script = random_script(options, seed);
    EXPECT_EQ(script, random_script(options, seed));
    EXPECT_EQ(read_script(write_script(script)), script);
    texts.insert(write_script(script));
    std::map<std::string, bool> broken;
    for (const Fault& fault : script) {
      const bool repairs = fault.kind == FaultKind::kStart || fault.kind == FaultKind::kCont ||
                           fault.kind == FaultKind::kHeal || fault.kind == FaultKind::kReset;
      const std::string fault_key =
          fault.target + (fault.kind == FaultKind::kStop || fault.kind == FaultKind::kCont ? "/stopped" : "");
      broken[fault_key] = !repairs;
      EXPECT_LE(fault.at_ms, options.length_ms);
    }
    for (const auto& [target, is_broken] : broken) {
      EXPECT_FALSE(is_broken) << target << " of seed " << seed << "\n" << write_script(script);
    }
    for (const auto& part : shrunk_scripts(script)) {
      EXPECT_LT(part.size(), script.size());
    }
  }
  EXPECT_EQ(texts.size(), 200U);
}

TEST(FaultScript, MatchesNamesByPattern) {
  EXPECT_TRUE(matches_pattern("router*>board", "router12>board"));
  EXPECT_TRUE(matches_pattern("*", ""));
  EXPECT_TRUE(matches_pattern("*>*", "a>b"));
  EXPECT_TRUE(matches_pattern("a*b*c", "aXbYbc"));
  EXPECT_FALSE(matches_pattern("a*b", "ac"));
  EXPECT_FALSE(matches_pattern("router1", "router12"));
}

TEST(Figures, CountsWithinAWindowQuantilesAndFootprint) {
  const Clock::time_point zero{};
  EXPECT_EQ(max_count_within({}, milliseconds(10)), 0U);
  EXPECT_EQ(max_count_within({zero + milliseconds(30), zero, zero + milliseconds(9), zero + milliseconds(10)},
                             milliseconds(10)),
            2U);
  EXPECT_EQ(quantile({3, 1, 2}, 0.5), 2);
  EXPECT_EQ(quantile({3, 1, 2}, 1.0), 3);
  EXPECT_EQ(quantile({}, 0.5), 0);
  EXPECT_GT(footprint_of(::getpid()).resident_mb, 0.0);
}

TEST(PortAllocatorTest, ReturnsDistinctFreePortsOfALoopbackHost) {
  PortAllocator ports;
  std::set<std::uint16_t> allocated;
  for (int i = 0; i < 100; ++i) {
    const transport::Address address = ports.allocate();
    EXPECT_EQ(address.ip >> 24U, 127U);
    EXPECT_TRUE(allocated.insert(address.port).second);
    EXPECT_TRUE(transport::listen_on(address, 1).descriptor.valid());
  }
}

class ProcessTest : public testing::Test {
 public:
  ~ProcessTest() override { std::filesystem::remove(log_); }

 protected:
  ProcessTest() : log_(testing::TempDir() + "trailcourse-process-" + std::to_string(::getpid())) {}
  std::string log_;
};

TEST_F(ProcessTest, WritesItsOutputToTheLogAndReportsItsEnd) {
  Process good({"good", {"/bin/sh", "-c", "echo said; echo more >&2; exit 3"}, log_, {}});
  EXPECT_EQ(good.wait().status, 3);
  EXPECT_FALSE(good.wait().by_signal);
  EXPECT_EQ(good.log(), "said\nmore\n");
  Process killed({"killed", {"/bin/sleep", "60"}, log_, {}});
  EXPECT_TRUE(killed.alive());
  killed.signal(SIGKILL);
  EXPECT_EQ(to_string(killed.wait()), "killed by signal 9");
  Process missing({"missing", {"/no/such/program"}, log_, {}});
  EXPECT_EQ(missing.wait().status, 127);
}

// A test that crashes must not leave its child processes running.
TEST_F(ProcessTest, IsKilledWhenItsParentIsKilled) {
  int pipe_ends[2];
  ASSERT_EQ(::pipe(pipe_ends), 0);
  const pid_t parent = ::fork();
  if (parent == 0) {
    Process child({"child", {"/bin/sleep", "60"}, log_, {}});
    const pid_t pid = child.pid();
    const ssize_t written = ::write(pipe_ends[1], &pid, sizeof pid);
    ::kill(::getpid(), written == sizeof pid ? SIGKILL : SIGABRT);
  }
  pid_t child = 0;
  ASSERT_EQ(::read(pipe_ends[0], &child, sizeof child), static_cast<ssize_t>(sizeof child));
  ::waitpid(parent, nullptr, 0);
  ::close(pipe_ends[0]);
  ::close(pipe_ends[1]);
  const auto until = Clock::now() + std::chrono::seconds(20);
  const auto gone = [child] {
    std::ifstream file("/proc/" + std::to_string(child) + "/stat");
    std::string line;
    std::getline(file, line);
    return !file || line.find(") Z") != std::string::npos;
  };
  while (!gone() && Clock::now() < until) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  EXPECT_TRUE(gone());
}

// A server that sends back what it receives.
class EchoServer : public testing_support::Server {
 public:
  EchoServer() { start(); }
  ~EchoServer() override { stop(); }

 protected:
  void serve(int socket) override {
    char buffer[4'096];
    for (;;) {
      const ssize_t count = ::recv(socket, buffer, sizeof buffer, 0);
      if (count <= 0 || !send_all(socket, std::string(buffer, static_cast<std::size_t>(count)))) {
        return;
      }
    }
  }
};

class Client : public transport::Connection::Handler {
 public:
  void on_bytes(std::string_view bytes) override { received += bytes; }
  void on_end(transport::ConnectionEnd reason) override { end = reason; }
  std::string received;
  std::optional<transport::ConnectionEnd> end;
};

std::vector<std::string> names_of(const std::vector<Endpoint>& endpoints) {
  std::vector<std::string> out;
  out.reserve(endpoints.size());
  for (const Endpoint& endpoint : endpoints) {
    out.push_back(endpoint.name);
  }
  return out;
}

TEST(LayoutTest, RoutersGetTheAggregatorsOfTheirRegionFollowedByOneOfTheNext) {
  using Names = std::vector<std::string>;
  FleetSpec spec;
  spec.routers = 6;
  spec.zones = {"a", "b", "c"};
  spec.has_coordination_server = true;
  spec.aggregators = 4;
  spec.regions = 2;  // a and c, b
  PortAllocator ports;
  const Layout layout(spec, ::testing::TempDir(), ports);
  EXPECT_EQ(layout.names(Kind::kAggregator).size(), 4U);
  EXPECT_EQ(layout.served_zones("aggregator0"), (Names{"a", "b", "c"}))
      << "of two regions, each serves the other as well";
  EXPECT_EQ(names_of(layout.member("router0").aggregators),
            (Names{"aggregator0", "aggregator2", "aggregator1"}));
  EXPECT_EQ(names_of(layout.member("router1").aggregators),
            (Names{"aggregator1", "aggregator3", "aggregator0"}));
  EXPECT_EQ(names_of(layout.member("router3").aggregators),
            (Names{"aggregator2", "aggregator0", "aggregator1"}))
      << "the next router of a zone starts with another aggregator";
  EXPECT_TRUE(layout.member("router0").coordination_address.empty());
  EXPECT_FALSE(layout.member("aggregator0").coordination_address.empty());
  spec.aggregators = spec.regions = 3;
  const Layout three(spec, ::testing::TempDir(), ports);
  EXPECT_EQ(three.served_zones("aggregator1"), (Names{"a", "b"}))
      << "the zones of its region and of the region before";
}

class FaultProxyTest : public testing::Test {
 protected:
  std::shared_ptr<transport::Connection> connect(const std::shared_ptr<Client>& client) {
    const auto connection =
        transport::Connection::connect(scheduler_, address(), transport::Connection::Bounds{});
    connection->start(client);
    return connection;
  }
  transport::Address address() const { return address_; }
  bool run_until(const std::function<bool()>& done) {
    const Clock::time_point end = Clock::now() + std::chrono::seconds(20);
    while (!done() && Clock::now() < end) {
      scheduler_.run_iteration(milliseconds(2));
    }
    return done();
  }
  void run_for(milliseconds time) {
    const Clock::time_point end = Clock::now() + time;
    while (Clock::now() < end) {
      scheduler_.run_iteration(milliseconds(2));
    }
  }
  void apply(FaultKind kind, std::int64_t value = 0, const std::string& direction = "") {
    proxy_.apply(Fault{0, kind, "a>b", direction, value});
  }

  transport::Scheduler scheduler_;
  PortAllocator ports_;
  EchoServer echo_;
  transport::Address address_ = ports_.allocate();
  FaultProxy proxy_{scheduler_, "a>b", address_, *transport::parse_address(echo_.address())};
};

TEST_F(FaultProxyTest, ForwardsCutsHealsAndResets) {
  const auto client = std::make_shared<Client>();
  const auto connection = connect(client);
  connection->write("one");
  ASSERT_TRUE(run_until([&] { return client->received == "one"; }));
  apply(FaultKind::kCut, 0, "in");
  connection->write("two");
  ASSERT_TRUE(run_until([&] { return proxy_.traffic().bytes_out == 6; }));
  run_for(milliseconds(20));
  EXPECT_EQ(client->received, "one");
  EXPECT_FALSE(client->end.has_value()) << "a cut link does not end its connections";
  apply(FaultKind::kHeal);
  ASSERT_TRUE(run_until([&] { return client->received == "onetwo"; }));
  apply(FaultKind::kCut, 0, "out");
  connection->write("three");
  run_for(milliseconds(20));
  EXPECT_EQ(proxy_.traffic().bytes_out, 6U);
  apply(FaultKind::kHeal);
  ASSERT_TRUE(run_until([&] { return client->received == "onetwothree"; }));
  apply(FaultKind::kReset);
  ASSERT_TRUE(run_until([&] { return client->end.has_value(); }));
  EXPECT_EQ(*client->end, transport::ConnectionEnd::kPeerReset);
  EXPECT_EQ(proxy_.traffic().connections.size(), 1U);
}

TEST_F(FaultProxyTest, RefusesDelaysSlowsAndTruncates) {
  apply(FaultKind::kRefuse);
  const auto refused = std::make_shared<Client>();
  connect(refused);
  ASSERT_TRUE(run_until([&] { return refused->end.has_value(); }));
  apply(FaultKind::kHeal);
  apply(FaultKind::kDelay, 60);
  const auto delayed = std::make_shared<Client>();
  const auto late = connect(delayed);
  const Clock::time_point sent = Clock::now();
  late->write("x");
  ASSERT_TRUE(run_until([&] { return delayed->received == "x"; }));
  EXPECT_GE(Clock::now() - sent, milliseconds(120)) << "the delay applies in both directions";
  apply(FaultKind::kHeal);
  apply(FaultKind::kSlow, 1'000);
  const Clock::time_point slow = Clock::now();
  late->write(std::string(300, 'y'));
  ASSERT_TRUE(run_until([&] { return delayed->received.size() == 301; }));
  EXPECT_GE(Clock::now() - slow, milliseconds(300));
  apply(FaultKind::kHeal);
  apply(FaultKind::kTruncate, 2);
  late->write("whole");
  ASSERT_TRUE(run_until([&] { return delayed->end.has_value(); }));
  EXPECT_EQ(delayed->received.substr(301), "wh");
}

}  // namespace
}  // namespace trailcourse::fleet
