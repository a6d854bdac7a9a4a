// The parts of a fleet by themselves: scripts of faults, the proxy on a link, ports, children.
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

TEST(FaultScript, ReadsWhatItWritesAndNamesTheLineAtFault) {
  const std::string text =
      "# the parent goes\n1200 kill parent0\n1500 start parent0  # and is back\n"
      "100 cut router*>board in\n200 heal router*>board\n300 delay *>cache1 250\n";
  const auto script = read_script(text);
  ASSERT_EQ(script.size(), 5U);
  EXPECT_EQ(script[0].kind, FaultKind::kCut);
  EXPECT_EQ(script[0].direction, "in");
  EXPECT_EQ(script[4].target, "parent0");
  EXPECT_EQ(read_script(write_script(script)), script);
  for (const auto& [bad, words] : std::vector<std::pair<std::string, std::string>>{
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
      EXPECT_NE(std::string(error.what()).find(words), std::string::npos) << error.what();
    }
  }
}

TEST(FaultScript, DrawnFromASeedItIsTheSameEachTimeAndMendsWhatItBreaks) {
  RandomScriptOptions draw;
  draw.processes = {"router0", "cache0"};
  draw.links = {"router0>board", "*>cache0"};
  draw.faults = 30;
  std::set<std::string> texts;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    const auto script = random_script(draw, seed);
    EXPECT_EQ(script, random_script(draw, seed));
    EXPECT_EQ(read_script(write_script(script)), script);
    texts.insert(write_script(script));
    std::map<std::string, bool> broken;
    for (const Fault& fault : script) {
      const bool mends = fault.kind == FaultKind::kStart || fault.kind == FaultKind::kCont ||
                         fault.kind == FaultKind::kHeal || fault.kind == FaultKind::kReset;
      const std::string way =
          fault.target + (fault.kind == FaultKind::kStop || fault.kind == FaultKind::kCont ? "/stopped" : "");
      broken[way] = !mends;
      EXPECT_LE(fault.at_ms, draw.length_ms);
    }
    for (const auto& [target, still] : broken) {
      EXPECT_FALSE(still) << target << " of seed " << seed << "\n" << write_script(script);
    }
    for (const auto& part : shrunk_scripts(script)) {
      EXPECT_LT(part.size(), script.size());
    }
  }
  EXPECT_EQ(texts.size(), 200U);
}

TEST(FaultScript, PatternsFit) {
  EXPECT_TRUE(matches_pattern("router*>board", "router12>board"));
  EXPECT_TRUE(matches_pattern("*", ""));
  EXPECT_TRUE(matches_pattern("*>*", "a>b"));
  EXPECT_TRUE(matches_pattern("a*b*c", "aXbYbc"));
  EXPECT_FALSE(matches_pattern("a*b", "ac"));
  EXPECT_FALSE(matches_pattern("router1", "router12"));
}

TEST(Figures, TheMostWithinAWindow) {
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

TEST(Ports, AreThisProcessesOwnAndFree) {
  PortAllocator book;
  std::set<std::uint16_t> seen;
  for (int i = 0; i < 100; ++i) {
    const transport::Address address = book.allocate();
    EXPECT_EQ(address.ip >> 24U, 127U);
    EXPECT_TRUE(seen.insert(address.port).second);
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

TEST_F(ProcessTest, IsStartedWithItsLogAndReaped) {
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

// Provokes: a test that dies. What it started must not live on.
TEST_F(ProcessTest, NoChildOutlivesTheOneWhoStartedIt) {
  int pipe_ends[2];
  ASSERT_EQ(::pipe(pipe_ends), 0);
  const pid_t dying = ::fork();
  if (dying == 0) {
    Process child({"child", {"/bin/sleep", "60"}, log_, {}});
    const pid_t pid = child.pid();
    const ssize_t written = ::write(pipe_ends[1], &pid, sizeof pid);
    ::kill(::getpid(), written == sizeof pid ? SIGKILL : SIGABRT);
  }
  pid_t child = 0;
  ASSERT_EQ(::read(pipe_ends[0], &child, sizeof child), static_cast<ssize_t>(sizeof child));
  ::waitpid(dying, nullptr, 0);
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

// A client, the proxy, and a server that answers each line with itself.
class Echo : public testing_support::Server {
 public:
  Echo() { start(); }
  ~Echo() override { stop(); }

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

class Asker : public transport::Connection::Handler {
 public:
  void on_bytes(std::string_view bytes) override { got += bytes; }
  void on_end(transport::ConnectionEnd how) override { end = how; }
  std::string got;
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

TEST(LayoutTest, RoutersGetTheAggregatorsOfTheirRegionAndThenOneOfTheNext) {
  using Names = std::vector<std::string>;
  FleetSpec spec;
  spec.routers = 6;
  spec.zones = {"a", "b", "c"};
  spec.registry = true;
  spec.aggregators = 4;
  spec.regions = 2;  // a and c, b
  PortAllocator ports;
  const Layout layout(spec, ::testing::TempDir(), ports);
  EXPECT_EQ(layout.names(Kind::kAggregator).size(), 4U);
  EXPECT_EQ(layout.served_zones("aggregator0"), (Names{"a", "b", "c"}))
      << "two regions: each helps the other";
  EXPECT_EQ(names_of(layout.member("router0").aggregators),
            (Names{"aggregator0", "aggregator2", "aggregator1"}));
  EXPECT_EQ(names_of(layout.member("router1").aggregators),
            (Names{"aggregator1", "aggregator3", "aggregator0"}));
  EXPECT_EQ(names_of(layout.member("router3").aggregators),
            (Names{"aggregator2", "aggregator0", "aggregator1"}))
      << "the next of a zone begins at another one";
  EXPECT_TRUE(layout.member("router0").registry.empty());
  EXPECT_FALSE(layout.member("aggregator0").registry.empty());
  spec.aggregators = spec.regions = 3;
  const Layout three(spec, ::testing::TempDir(), ports);
  EXPECT_EQ(three.served_zones("aggregator1"), (Names{"a", "b"})) << "its own, and that of the region before";
}

class FaultProxyTest : public testing::Test {
 protected:
  std::shared_ptr<transport::Connection> connect(const std::shared_ptr<Asker>& asker) {
    const auto connection =
        transport::Connection::connect(scheduler_, address(), transport::Connection::Bounds{});
    connection->start(asker);
    return connection;
  }
  transport::Address address() const { return at_; }
  bool run_until(const std::function<bool()>& done) {
    const Clock::time_point end = Clock::now() + std::chrono::seconds(20);
    while (!done() && Clock::now() < end) {
      scheduler_.turn(milliseconds(2));
    }
    return done();
  }
  void run_for(milliseconds time) {
    const Clock::time_point end = Clock::now() + time;
    while (Clock::now() < end) {
      scheduler_.turn(milliseconds(2));
    }
  }
  void apply(FaultKind kind, std::int64_t value = 0, const std::string& direction = "") {
    proxy_.apply(Fault{0, kind, "a>b", direction, value});
  }

  transport::Scheduler scheduler_;
  PortAllocator ports_;
  Echo echo_;
  transport::Address at_ = ports_.allocate();
  FaultProxy proxy_{scheduler_, "a>b", at_, *transport::parse_address(echo_.address())};
};

TEST_F(FaultProxyTest, PassesOnCutsHealsAndResets) {
  const auto asker = std::make_shared<Asker>();
  const auto connection = connect(asker);
  connection->write("one");
  ASSERT_TRUE(run_until([&] { return asker->got == "one"; }));
  apply(FaultKind::kCut, 0, "in");
  connection->write("two");
  ASSERT_TRUE(run_until([&] { return proxy_.traffic().bytes_out == 6; }));
  run_for(milliseconds(20));
  EXPECT_EQ(asker->got, "one");
  EXPECT_FALSE(asker->end.has_value()) << "a cut tells nobody";
  apply(FaultKind::kHeal);
  ASSERT_TRUE(run_until([&] { return asker->got == "onetwo"; }));
  apply(FaultKind::kCut, 0, "out");
  connection->write("three");
  run_for(milliseconds(20));
  EXPECT_EQ(proxy_.traffic().bytes_out, 6U);
  apply(FaultKind::kHeal);
  ASSERT_TRUE(run_until([&] { return asker->got == "onetwothree"; }));
  apply(FaultKind::kReset);
  ASSERT_TRUE(run_until([&] { return asker->end.has_value(); }));
  EXPECT_EQ(*asker->end, transport::ConnectionEnd::kPeerReset);
  EXPECT_EQ(proxy_.traffic().connections.size(), 1U);
}

TEST_F(FaultProxyTest, RefusesDelaysSlowsAndTruncates) {
  apply(FaultKind::kRefuse);
  const auto refused = std::make_shared<Asker>();
  connect(refused);
  ASSERT_TRUE(run_until([&] { return refused->end.has_value(); }));
  apply(FaultKind::kHeal);
  apply(FaultKind::kDelay, 60);
  const auto delayed = std::make_shared<Asker>();
  const auto late = connect(delayed);
  const Clock::time_point sent = Clock::now();
  late->write("x");
  ASSERT_TRUE(run_until([&] { return delayed->got == "x"; }));
  EXPECT_GE(Clock::now() - sent, milliseconds(120)) << "there and back";
  apply(FaultKind::kHeal);
  apply(FaultKind::kSlow, 1'000);
  const Clock::time_point slow = Clock::now();
  late->write(std::string(300, 'y'));
  ASSERT_TRUE(run_until([&] { return delayed->got.size() == 301; }));
  EXPECT_GE(Clock::now() - slow, milliseconds(300));
  apply(FaultKind::kHeal);
  apply(FaultKind::kTruncate, 2);
  late->write("whole");
  ASSERT_TRUE(run_until([&] { return delayed->end.has_value(); }));
  EXPECT_EQ(delayed->got.substr(301), "wh");
}

}  // namespace
}  // namespace trailcourse::fleet
