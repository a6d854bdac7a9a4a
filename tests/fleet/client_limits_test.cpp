// Routers beside clients that misuse them: memory and descriptors stay under the configured limits, no
// process ends, and each request of a usual client gets one answer in time.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <string_view>

#include "fleet/bad_clients.h"
#include "fleet/fleet_fixture.h"
#include "fleet/process_usage.h"

namespace trailcourse::testing_support {
namespace {

using fleet::BadClients;
using fleet::Misuse;
using std::chrono::milliseconds;
using transport::Clock;

constexpr milliseconds kMisuseTime{2'000};
constexpr milliseconds kRequestPause{5};
constexpr std::size_t kObjectBytes = 20U << 10U;

// Sanitizers keep freed memory and shadow memory, so the resident memory says nothing about the router there.
#if defined(__SANITIZE_ADDRESS__)
constexpr bool kMeasuresMemory = false;
#else
constexpr bool kMeasuresMemory = true;
#endif

struct Limits {
  int memory_mb = 0;
  int sockets = 0;
};

// Runs bad clients beside one usual client, with one request at a time, and checks the router.
void check_limits(Misuse misuse, std::size_t connections, const Limits& limits) {
  SCOPED_TRACE(std::string(to_string(misuse)) + ", " + std::to_string(limits.memory_mb) + " MB");
  fleet::FleetSpec spec;
  spec.memory_mb = limits.memory_mb;
  spec.max_sockets = limits.sockets;
  FleetFixture fixture(spec);
  fixture.start_all();
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  const std::string router = fixture.routers().front();
  const auto address = *transport::parse_address(fixture.layout().member(router).address);
  auto bad = std::make_unique<BadClients>(address, BadClients::Options{misuse, connections, "media", 1});
  const Clock::time_point until = Clock::now() + kMisuseTime;
  Clock::time_point next = Clock::now();
  std::uint64_t object = 0;
  std::size_t most_descriptors = 0;
  while (Clock::now() < until) {
    if (fixture.load().open() == 0 && Clock::now() >= next) {
      fixture.send(router, 1'000 + ++object % 30);
      next = Clock::now() + kRequestPause;
    }
    most_descriptors =
        std::max(most_descriptors, fleet::read_process_usage(fixture.supervisor().pid(router)).descriptors);
    fixture.run_for(milliseconds(1));
  }
  EXPECT_TRUE(fixture.await_answers());
  const fleet::ProcessUsage usage = fleet::read_process_usage(fixture.supervisor().pid(router));
  EXPECT_GT(bad->counts().bytes_sent, 0U);
  bad.reset();
  if (kMeasuresMemory) {
    EXPECT_LE(usage.peak_resident_bytes, static_cast<std::size_t>(limits.memory_mb) << 20U);
  }
  EXPECT_LE(most_descriptors, static_cast<std::size_t>(limits.sockets));
  EXPECT_EQ(find_answer_violations(fixture.load().requests(), milliseconds(2'000), kObjectBytes),
            kNoViolations);
  EXPECT_EQ(fixture.supervisor().unexpected_exits(), std::vector<std::string>{});
}

TEST(ClientLimitsTest, KeepsTheMemoryLimitWhenManyHeadsOfEmptyFieldsAreCompletedInOneWrite) {
  check_limits(Misuse::kEmptyFields, 3, {32, 256});
}

}  // namespace
}  // namespace trailcourse::testing_support
