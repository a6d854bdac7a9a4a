// The command `trailcourse fleet`.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "fleet/process.h"

namespace trailcourse::testing_support {
namespace {

using nlohmann::json;

class FleetCommandTest : public testing::Test {
 protected:
  FleetCommandTest() : folder_(testing::TempDir() + "trailcourse-fc-" + std::to_string(::getpid())) {
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
  }
  ~FleetCommandTest() override { std::filesystem::remove_all(folder_); }

  struct CommandResult {
    int status = -1;
    std::string output;
  };
  fleet::Process start(const std::vector<std::string>& arguments, const std::string& log) const {
    std::vector<std::string> all{TRAILCOURSE_PROGRAM, "fleet"};
    all.insert(all.end(), arguments.begin(), arguments.end());
    return fleet::Process({"fleet", all, folder_ + "/" + log, {}});
  }
  CommandResult run(const std::vector<std::string>& arguments) const {
    std::filesystem::remove(folder_ + "/output");
    fleet::Process process = start(arguments, "output");
    const int status = process.wait().status;
    return {status, process.log()};
  }
  std::string fleet_folder() const { return folder_ + "/fleet"; }
  bool run_until(const std::function<bool()>& done) const {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(60);
    while (!done() && std::chrono::steady_clock::now() < end) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return done();
  }

  std::string folder_;
};

TEST_F(FleetCommandTest, PrintsASummaryAfterALimitedRun) {
  const CommandResult result = run({"start", "--folder", fleet_folder(), "--routers", "5", "--for", "2",
                                    "--load", "40", "--spread", "--proxies", "--json"});
  EXPECT_EQ(result.status, 0) << result.output;
  const json summary = json::parse(result.output.substr(result.output.find('{')), nullptr, false);
  ASSERT_TRUE(summary.is_object()) << result.output;
  EXPECT_EQ(summary["ready"], 5);
  EXPECT_GT(summary["requests"]["served"], 20);
  EXPECT_GE(summary["board"]["calls"], 5);
  EXPECT_GT(summary["router_mb_most"], 0.0);
}

TEST_F(FleetCommandTest, StatusFaultAndStopWorkFromAnotherProcess) {
  EXPECT_EQ(run({"status", "--folder", fleet_folder()}).status, 6);
  fleet::Process fleet = start({"start", "--folder", fleet_folder(), "--routers", "3"}, "start");
  CommandResult status;
  EXPECT_TRUE(run_until([&] {
    status = run({"status", "--folder", fleet_folder(), "--json"});
    const json page = json::parse(status.output, nullptr, false);
    return page.is_object() && page["states"].value("plain", 0) == 3;
  })) << status.output;
  EXPECT_NE(run({"status", "--folder", fleet_folder()}).output.find("router0"), std::string::npos);
  EXPECT_EQ(run({"start", "--folder", fleet_folder()}).status, 1) << "a fleet runs in this folder already";
  EXPECT_EQ(run({"fault", "--folder", fleet_folder(), "no-such-fault", "router0"}).status, 2);
  EXPECT_EQ(run({"fault", "--folder", fleet_folder(), "kill", "router0"}).status, 0);
  EXPECT_TRUE(run_until([&] {
    const json page =
        json::parse(run({"status", "--folder", fleet_folder(), "--json"}).output, nullptr, false);
    return page.is_object() && page["states"].value("down", 0) == 1;
  }));
  EXPECT_EQ(run({"stop", "--folder", fleet_folder()}).status, 0);
  EXPECT_EQ(fleet.wait().status, 0) << fleet.log();
}

TEST_F(FleetCommandTest, UsageErrorsAndMissingMembersHaveDistinctExitStatuses) {
  EXPECT_EQ(run({"no-such-action"}).status, 2);
  EXPECT_EQ(run({"start"}).status, 2);
  EXPECT_EQ(run({"start", "--folder", fleet_folder(), "--routers", "0"}).status, 2);
  EXPECT_EQ(run({"start", "--folder", fleet_folder(), "--faults", "/no/such/file"}).status, 1);
  std::ofstream(folder_ + "/bad") << "1 no-such-fault router0\n";
  const CommandResult bad = run({"start", "--folder", fleet_folder(), "--faults", folder_ + "/bad"});
  EXPECT_EQ(bad.status, 1);
  EXPECT_NE(bad.output.find("line 1: unknown fault"), std::string::npos) << bad.output;
  const CommandResult missing = run({"start", "--folder", fleet_folder(), "--routers", "2", "--for", "1",
                                     "--quiet", "--router-program", "/bin/false"});
  EXPECT_EQ(missing.status, 4) << missing.output;
}

}  // namespace
}  // namespace trailcourse::testing_support
