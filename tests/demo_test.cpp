// scripts/demo runs to its end, and reports a process that does not start.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace trailcourse::testing_support {
namespace {

struct DemoResult {
  int status = -1;
  std::string output;
};

DemoResult run_demo(const std::string& build, const std::string& folder) {
  const std::string out = folder + "/output";
  const std::string command = "BUILD='" + build + "' TMPDIR='" + folder + "' '" + TRAILCOURSE_SOURCE_DIR +
                              "/scripts/demo' >'" + out + "' 2>&1";
  const int status = std::system(command.c_str());
  std::ifstream file(out);
  return {WIFEXITED(status) ? WEXITSTATUS(status) : -1,
          std::string{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()}};
}

class DemoTest : public testing::Test {
 protected:
  DemoTest() : folder_(testing::TempDir() + "trailcourse-demo-" + std::to_string(::getpid())) {
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_ + "/build");
  }
  ~DemoTest() override { std::filesystem::remove_all(folder_); }

  // Returns a build folder whose program fails at once for one sub-command and works for all others.
  std::string build_without(const std::string& command) const {
    const std::string path = folder_ + "/build/trailcourse";
    std::ofstream(path) << "#!/bin/sh\n[ \"$1\" = " << command
                        << " ] && { echo 'provoked failure' >&2; exit 3; }\nexec '" << TRAILCOURSE_PROGRAM
                        << "' \"$@\"\n";
    std::filesystem::permissions(path, std::filesystem::perms::owner_all);
    return folder_ + "/build";
  }

  std::string folder_;
};

TEST_F(DemoTest, ServesFromEachTierAndSucceeds) {
  const DemoResult result = run_demo(std::filesystem::path(TRAILCOURSE_PROGRAM).parent_path(), folder_);
  EXPECT_EQ(result.status, 0) << result.output;
  EXPECT_NE(result.output.find("deep_fill"), std::string::npos) << result.output;
  EXPECT_NE(result.output.find("damaged = 0"), std::string::npos) << result.output;
}

// Guards against a demo that continues without one of its processes and returns 0, as happened without an
// origin. A process that fails at its start provokes it.
TEST_F(DemoTest, FailsWithTheLogOfAProcessThatDoesNotStart) {
  for (const char* command : {"origin", "cache", "serve"}) {
    const DemoResult result = run_demo(build_without(command), folder_);
    EXPECT_NE(result.status, 0) << result.output;
    EXPECT_NE(result.output.find("did not come up"), std::string::npos) << result.output;
    EXPECT_NE(result.output.find("provoked failure"), std::string::npos) << result.output;
  }
}

}  // namespace
}  // namespace trailcourse::testing_support
