// Routers beside clients that misuse them: memory and descriptors stay under the configured limits, no
// process ends, and each request of a usual client gets one answer in time.
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/bad_clients.h"
#include "fleet/fleet_fixture.h"
#include "fleet/process_usage.h"
#include "stand_ins.h"

namespace trailcourse::testing_support {
namespace {

using fleet::BadClients;
using fleet::Misuse;
using std::chrono::milliseconds;
using transport::Clock;

constexpr milliseconds kMisuseTime{2'000};
constexpr milliseconds kRequestPause{5};
constexpr int kLargeObjectKb = 200;  // where answers are not read

// Sanitizers keep freed memory and shadow memory, so the resident memory says nothing about the router there.
#if defined(__SANITIZE_ADDRESS__)
constexpr bool kMeasuresMemory = false;
#else
constexpr bool kMeasuresMemory = true;
#endif

// Memory of the program itself, as `base_memory_mb` has it by default.
constexpr std::size_t kBaseBytes = 12U << 20U;

struct Limits {
  int memory_mb = 0;
  int sockets = 0;
};

// Returns the largest total of the router's memory account.
std::size_t account_peak(const transport::Address& router) {
  Client client(router);
  const auto answer = client.ask(1, {{"SCRIPT_NAME", "/healthz"}, {"HTTP_X_TRACE", "1"}});
  const auto status = nlohmann::json::parse(answer ? answer->body : "", nullptr, false);
  return status.is_object() ? status.at("memory").at("peak").get<std::size_t>() : 0;
}

// Runs bad clients beside one usual client, with one request at a time, and checks the router.
void check_limits(Misuse misuse, std::size_t connections, const Limits& limits) {
  SCOPED_TRACE(std::string(to_string(misuse)) + ", " + std::to_string(limits.memory_mb) + " MB");
  fleet::FleetSpec spec;
  spec.memory_mb = limits.memory_mb;
  spec.max_sockets = limits.sockets;
  spec.object_kb = misuse == Misuse::kUnreadAnswers ? kLargeObjectKb : spec.object_kb;
  const std::size_t object_bytes = static_cast<std::size_t>(spec.object_kb) << 10U;
  FleetFixture fixture(spec);
  fixture.start_all();
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  const std::string router = fixture.routers().front();
  const auto address = *transport::parse_address(fixture.layout().member(router).address);
  auto bad = std::make_unique<BadClients>(address, BadClients::Options{misuse, connections, "media", 1});
  // On a busy machine many clients need a while to build what they send.
  ASSERT_TRUE(fixture.run_until([&] { return bad->counts().bytes_sent > 0; }));
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
  const std::size_t memory_limit = static_cast<std::size_t>(limits.memory_mb) << 20U;
  const std::size_t charged = account_peak(address);
  EXPECT_GT(charged, 0U);
  EXPECT_LE(charged, memory_limit - kBaseBytes);
  if (kMeasuresMemory) {
    EXPECT_LE(usage.peak_resident_bytes, memory_limit);
    EXPECT_LE(usage.peak_resident_bytes, kBaseBytes + charged) << "the account misses memory";
  }
  EXPECT_LE(most_descriptors, static_cast<std::size_t>(limits.sockets));
  EXPECT_EQ(find_answer_violations(fixture.load().requests(), milliseconds(2'000), object_bytes),
            kNoViolations);
  EXPECT_EQ(fixture.supervisor().unexpected_exits(), std::vector<std::string>{});
}

TEST(ClientLimitsTest, KeepsTheMemoryLimitWhenManyHeadsOfEmptyFieldsAreCompletedInOneWrite) {
  check_limits(Misuse::kEmptyFields, 3, {32, 256});
}

// Guards against closing idle clients because accept fails for a moment.
TEST(ClientLimitsTest, KeepsAnIdleClientWhileAcceptFailsForMoments) {
  FleetFixture fixture{fleet::FleetSpec()};
  const std::string router = fixture.routers().front();
  fixture.layout().member(router).environment = {"LD_PRELOAD=" TRAILCOURSE_FAULT_SHIM, "FAULT_SHIM_SEED=1",
                                                 "FAULT_SHIM_ONLY=accept4", "FAULT_SHIM_PER_10000=3000",
                                                 "ASAN_OPTIONS=verify_asan_link_order=0"};
  fixture.start_all();
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  fixture.send(router, 1'000);
  ASSERT_TRUE(fixture.await_answers());
  const auto address = *transport::parse_address(fixture.layout().member(router).address);
  const auto others =
      std::make_unique<BadClients>(address, BadClients::Options{Misuse::kCloseUnread, 40, "media", 1});
  constexpr milliseconds kIdleTime{300};  // longer than client_young_ms
  for (int i = 0; i < 5; ++i) {
    fixture.run_for(kIdleTime);
    fixture.send(router, 1'000);
    ASSERT_TRUE(fixture.await_answers());
  }
  for (const fleet::SentRequest& request : fixture.load().requests()) {
    EXPECT_EQ(request.answers, 1) << "the connection of an idle client was closed";
  }
  EXPECT_EQ(fixture.load().connections(), 1U);
}

// One misuse under one pair of limits.
struct MisuseCase {
  Misuse misuse;
  Limits limits;
};

// Prints a case as in "stopped-bodies_192_MB", without spaces, so that KNOWN-RED.txt can name its test.
void PrintTo(const MisuseCase& one, std::ostream* out) {
  *out << to_string(one.misuse) << '_' << one.limits.memory_mb << "_MB";
}

// Returns each misuse under each of the limits.
std::vector<MisuseCase> cases_of(const std::vector<Misuse>& misuses, const std::vector<Limits>& all_limits) {
  std::vector<MisuseCase> out;
  for (const Misuse misuse : misuses) {
    for (const Limits& limits : all_limits) {
      out.push_back({misuse, limits});
    }
  }
  return out;
}

// As many connections as clients may hold, a third of the descriptors, under each misuse.
class ClientMisuseTest : public testing::TestWithParam<MisuseCase> {};

TEST_P(ClientMisuseTest, KeepsTheLimitsAndServesUsualClients) {
  const auto& [misuse, limits] = GetParam();
  check_limits(misuse, static_cast<std::size_t>(limits.sockets / 3), limits);
}

INSTANTIATE_TEST_SUITE_P(Memory, ClientMisuseTest,
                         testing::ValuesIn(cases_of({Misuse::kEmptyFields, Misuse::kShortFields,
                                                     Misuse::kStoppedBodies, Misuse::kSlowWriters,
                                                     Misuse::kUnreadAnswers},
                                                    {{32, 256}, {48, 576}, {192, 1'024}})));
INSTANTIATE_TEST_SUITE_P(Floods, ClientMisuseTest,
                         testing::ValuesIn(cases_of({Misuse::kLongHeads, Misuse::kManagement,
                                                     Misuse::kGetValues, Misuse::kAbortedRequests,
                                                     Misuse::kNewObjects, Misuse::kCloseUnread},
                                                    {{48, 576}})));

}  // namespace
}  // namespace trailcourse::testing_support
