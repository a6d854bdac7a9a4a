// The ownership benchmark when the fleet that it measures fails: it states so in the row, exits with a
// distinct status, and leaves no process running.
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "fleet/fleet_fixture.h"
#include "fleet/process.h"
#include "fleet_bench.h"

namespace trailcourse::testing_support {
namespace {

using fleet::Process;
using Steady = std::chrono::steady_clock;

constexpr int kRowMissing = 3;
// The benchmark waits up to kAwaitTimeout for one event, for instance a metrics line of a suspended store.
constexpr std::chrono::milliseconds kBenchTimeout = bench::kAwaitTimeout + kTestTimeout;

struct Child {
  pid_t pid;
  std::string command;
};

std::string read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

// Returns the state and the parent of a process; '-' and 0 if it does not exist.
std::pair<char, pid_t> state_of(pid_t pid) {
  const std::string stat = read_file("/proc/" + std::to_string(pid) + "/stat");
  const std::size_t name_end = stat.rfind(')');
  if (name_end == std::string::npos) {
    return {'-', 0};
  }
  std::istringstream fields(stat.substr(name_end + 1));
  char state = '-';
  pid_t parent = 0;
  fields >> state >> parent;
  return {state, parent};
}

std::vector<Child> children_of(pid_t parent) {
  std::vector<Child> out;
  for (const auto& entry : std::filesystem::directory_iterator("/proc")) {
    const std::string name = entry.path().filename();
    const bool number =
        std::all_of(name.begin(), name.end(), [](char one) { return one >= '0' && one <= '9'; });
    const pid_t pid = number ? static_cast<pid_t>(std::stol(name)) : 0;
    if (pid > 0 && state_of(pid).second == parent) {
      std::string command = read_file(entry.path() / "cmdline");
      std::replace(command.begin(), command.end(), '\0', ' ');
      out.push_back({pid, command});
    }
  }
  return out;
}

bool ended(pid_t pid) {
  const char state = state_of(pid).first;
  return state == '-' || state == 'Z' || state == 'X';
}

template <typename Done>
bool await(Done done, std::chrono::milliseconds timeout = kTestTimeout) {
  const auto until = Steady::now() + timeout;
  while (!done() && Steady::now() < until) {
    std::this_thread::yield();
  }
  return done();
}

class BenchTest : public testing::Test {
 protected:
  BenchTest() {
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
  }
  ~BenchTest() override { std::filesystem::remove_all(folder_); }

  Process start(const std::vector<std::string>& arguments, const std::string& program = TRAILCOURSE_PROGRAM) {
    std::vector<std::string> all{TRAILCOURSE_OWNERSHIP_BENCH, "--program", program};
    all.insert(all.end(), arguments.begin(), arguments.end());
    return Process({"ownership_bench", all, folder_ + "/log", {"TMPDIR=" + folder_}});
  }
  // Waits until the benchmark has printed `text`; returns its child processes.
  static std::vector<Child> children_after_output(Process& bench, const std::string& text) {
    EXPECT_TRUE(await([&] { return bench.log().find(text) != std::string::npos || !bench.alive(); }));
    EXPECT_TRUE(bench.alive()) << bench.log();
    return children_of(bench.pid());
  }
  static pid_t registry_of(const std::vector<Child>& children) {
    const auto found = std::find_if(children.begin(), children.end(), [](const Child& one) {
      return one.command.find(" registry ") != std::string::npos;
    });
    return found == children.end() ? 0 : found->pid;
  }
  void expect_missing_row(Process& bench, const std::vector<Child>& children) const {
    ASSERT_TRUE(await([&] { return !bench.alive(); }, kBenchTimeout)) << bench.log();
    EXPECT_FALSE(bench.poll()->by_signal) << bench.log();
    EXPECT_EQ(bench.poll()->status, kRowMissing) << bench.log();
    EXPECT_NE(bench.log().find("not measured: "), std::string::npos) << bench.log();
    for (const Child& child : children) {
      EXPECT_TRUE(ended(child.pid)) << child.command;
    }
    const auto left = std::distance(std::filesystem::directory_iterator(folder_), {});
    EXPECT_EQ(left, 1) << "only its log should remain, and no folder of a fleet";
  }

  std::string folder_ = testing::TempDir() + "trailcourse-bench-" + std::to_string(::getpid());
};

TEST_F(BenchTest, ReportsTheKilledStoreAndLeavesNoProcess) {
  Process bench = start({"--policy", "3", "--flat"});
  const std::vector<Child> children = children_after_output(bench, "all up");
  ASSERT_GE(children.size(), 7U);
  ASSERT_GT(registry_of(children), 0);
  ::kill(registry_of(children), SIGKILL);
  expect_missing_row(bench, children);
  EXPECT_NE(bench.log().find("the store process has exited"), std::string::npos) << bench.log();
}

TEST_F(BenchTest, ReportsNoMeasurementWhenTheStoreIsSuspendedAndLeavesNoProcess) {
  Process bench = start({"--policy", "3", "--flat"});
  const std::vector<Child> children = children_after_output(bench, "all up");
  ASSERT_GT(registry_of(children), 0);
  ::kill(registry_of(children), SIGSTOP);
  expect_missing_row(bench, children);
}

TEST_F(BenchTest, ReportsAProgramThatDoesNotStart) {
  Process bench = start({"--rest", "1", "--flat"}, "/bin/false");
  expect_missing_row(bench, {});
  EXPECT_NE(bench.log().find("did not start"), std::string::npos) << bench.log();
}

// The child processes of the benchmark end with it, also when it is killed.
TEST_F(BenchTest, LeavesNoProcessWhenItIsKilled) {
  Process bench = start({"--policy", "3", "--flat"});
  const std::vector<Child> children = children_after_output(bench, "all up");
  ASSERT_GE(children.size(), 7U);
  bench.signal(SIGKILL);
  bench.wait();
  for (const Child& child : children) {
    EXPECT_TRUE(await([&] { return ended(child.pid); })) << child.command;
  }
}

}  // namespace
}  // namespace trailcourse::testing_support
