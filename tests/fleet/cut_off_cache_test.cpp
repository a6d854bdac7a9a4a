// A cache that is cut off from the discovery service, alone, while objects are purged: fleets of real
// processes.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>

#include "fleet/fleet_fixture.h"

namespace trailcourse::testing_support {
namespace {

using fleet::FleetSpec;
using std::chrono::milliseconds;
using transport::Clock;

constexpr double kPurgeDoneS = 0.2;
// Longer than connected caches have for a purge: purge_done_s and the margins of the router, 2 s at most.
constexpr milliseconds kCachesAreDone{2'500};
constexpr int kRounds = 4;
constexpr int kMaxRounds = 200;
constexpr milliseconds kRoundPause{50};
constexpr std::size_t kServed = 20;
constexpr int kReportAttempts = 300;
constexpr milliseconds kReportTimeout{200};

struct World {
  const char* name;
  bool disk;
  int relay_degree;
  bool starts_from_snapshot;  // the routers; else from all events so far
};

void PrintTo(const World& world, std::ostream* out) { *out << world.name; }

class CutOffCacheTest : public testing::TestWithParam<World> {};

// Returns the number of requests from index `from` on that were answered with status 200 by the cache.
std::size_t served_by(FleetFixture& fixture, const std::string& cache, std::size_t from) {
  const auto& all = fixture.load().requests();
  return static_cast<std::size_t>(
      std::count_if(all.begin() + static_cast<std::ptrdiff_t>(from), all.end(),
                    [&](const auto& one) { return one.status == 200 && one.via.starts_with(cache + ";"); }));
}

// Waits until all routers have the event.
void await_event(FleetFixture& fixture, std::uint64_t sequence) {
  for (const std::string& router : fixture.routers()) {
    ASSERT_TRUE(fixture.run_until([&] { return fixture.status(router).event >= sequence; })) << router;
  }
}

// Waits until the snapshot of the router has the event.
void await_snapshot(FleetFixture& fixture, const std::string& router, std::uint64_t sequence) {
  const std::string last = "\"rev\":" + std::to_string(sequence);
  ASSERT_TRUE(fixture.run_until([&] {
    std::ifstream file(fixture.folder() + "/snapshot-" + router + "/snapshot", std::ios::binary);
    const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    return text.find(last) != std::string::npos;
  }));
}

// Publishes an endpoint update without changes, so that the snapshots are written once more, as a list with
// the sequence number of this event. Returns that number.
std::uint64_t renew_snapshots(FleetFixture& fixture) {
  const nlohmann::json update{{"index", 1}, {"snapshot", false}, {"endpoints", nlohmann::json::array()}};
  const std::uint64_t sequence = fixture.append_event({{"pool", update}});
  await_event(fixture, sequence);
  await_snapshot(fixture, "router0", sequence);
  return sequence;
}

// Guards against review/8: the routers know of a purge, and rely on a cache that cannot know of it.
TEST_P(CutOffCacheTest, AnswersNothingFromBeforeAPurgeHoweverLongAgo) {
  FleetSpec spec = spread_spec(3);
  spec.disk = GetParam().disk;
  spec.purge_done_s = kPurgeDoneS;
  spec.starts_with_list = !GetParam().starts_from_snapshot;
  spec.operator_sections["snapshot"] = {{"fleet", "test"}, {"write_ms", 20}};
  FleetFixture fixture(spec, {"cache0>board"}, GetParam().relay_degree);
  fixture.start_all();
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  ASSERT_EQ(fixture.await_states(fixture.routers(), {"current"}), "");
  ASSERT_EQ(send_to_all(fixture, fixture.routers(), 30), kNoViolations);
  ASSERT_GE(served_by(fixture, "cache0", 0), kServed);

  fixture.apply_fault("cut cache0>board both");
  await_event(fixture, edit_and_purge(fixture));
  fixture.run_for(kCachesAreDone);
  const std::uint64_t last = renew_snapshots(fixture);
  // A router that starts now knows of the purge, too.
  fixture.supervisor().kill("router0");
  ASSERT_TRUE(fixture.run_until([&] { return !fixture.supervisor().alive("router0"); }));
  fixture.start("router0");
  ASSERT_TRUE(fixture.await_ready("router0"));
  const std::string loaded = fixture.supervisor().log("router0");
  ASSERT_EQ(loaded.find("snapshot: loaded") != std::string::npos, GetParam().starts_from_snapshot) << loaded;
  const Clock::time_point no_stale_from = Clock::now();
  const std::size_t from = fixture.load().requests().size();
  // Alone at first: requests of the others replace the old copies. It rejects most where it does not know the
  // start times of the caches.
  for (int round = 0; round < kMaxRounds && served_by(fixture, "cache0", from) < kServed; ++round) {
    EXPECT_EQ(send_to_all(fixture, {"router0"}, 30), kNoViolations);
    fixture.run_for(kRoundPause);
  }
  EXPECT_GE(served_by(fixture, "cache0", from), kServed);
  EXPECT_EQ(stale_answers(fixture, no_stale_from, 2), 0U);
  for (int round = 0; round < kRounds; ++round) {
    EXPECT_EQ(send_to_all(fixture, fixture.routers(), 30), kNoViolations);
  }
  EXPECT_EQ(stale_answers(fixture, no_stale_from, 2), 0U);

  // What the cache has missed is applied once it is connected again.
  fixture.apply_fault("heal cache0>board");
  const std::string applied = " event=" + std::to_string(last) + " ";
  bool caught_up = false;
  for (int attempt = 0; attempt < kReportAttempts && !caught_up; ++attempt) {
    fixture.supervisor().signal("cache0", SIGHUP);  // it logs its counters
    caught_up = fixture.supervisor().await_log("cache0", applied, kReportTimeout);
  }
  ASSERT_TRUE(caught_up) << fixture.supervisor().log("cache0");
  EXPECT_EQ(send_to_all(fixture, fixture.routers(), 30), kNoViolations);
  EXPECT_EQ(stale_answers(fixture, no_stale_from, 2), 0U);
}

INSTANTIATE_TEST_SUITE_P(Fleets, CutOffCacheTest,
                         testing::Values(World{"memory", false, 0, false}, World{"disk", true, 0, false},
                                         World{"relays", false, 2, false},
                                         World{"snapshots", false, 0, true}));

}  // namespace
}  // namespace trailcourse::testing_support
