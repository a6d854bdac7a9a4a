// The report of the fleet's counters, and the options of owned work.
#include "tasks/fleet_report.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <random>
#include <string>

#include "config/record.h"
#include "tasks/options.h"

namespace trailcourse::tasks {
namespace {

Counters make_counters(const std::string& incarnation, std::uint64_t requests) {
  return Counters{incarnation, {{"requests", requests}}};
}

TEST(FleetReportTest, SumsIncludeRestartedAndLostRoutersOnceAndNeverDecrease) {
  FleetReport report("");
  report.update({{"a", make_counters("1", 10)}, {"b", make_counters("1", 5)}});
  EXPECT_EQ(report.sums().at("requests"), 15U);
  report.update({{"a", make_counters("1", 12)}});
  EXPECT_EQ(report.sums().at("requests"), 17U) << "b has left, but its counts remain";
  report.update({{"a", make_counters("2", 3)}, {"b", make_counters("1", 6)}});
  EXPECT_EQ(report.sums().at("requests"), 21U) << "a has restarted, b has returned";
  // A successor continues from the checkpoint.
  FleetReport second(report.checkpoint());
  second.update({{"a", make_counters("2", 4)}, {"b", make_counters("1", 6)}});
  EXPECT_EQ(second.sums().at("requests"), 22U);
  second.update({{"a", make_counters("2", 1)}});
  EXPECT_EQ(second.sums().at("requests"), 23U) << "a counter that decreased has started again at 0";
}

TEST(FleetReportTest, IgnoresAMalformedCheckpoint) {
  FleetReport good("");
  good.update({{"a", make_counters("1", 10)}});
  const std::string text = good.checkpoint();
  std::mt19937_64 random(2);
  for (int round = 0; round < 2'000; ++round) {
    std::string bad = text;
    bad[random() % bad.size()] = "0123456789\"{}[]:,-"[random() % 18];
    FleetReport report(bad);
    report.update({{"a", make_counters("1", 10)}});
    SUCCEED() << report.router_count();
  }
  EXPECT_FALSE(read_counters("[]"));
  EXPECT_FALSE(read_counters("{}"));
}

TEST(OwnershipOptionsTest, RejectsInvalidCombinationsOfOptions) {
  OwnershipOptions options;
  EXPECT_NO_THROW(check_ownership(options));
  options.renew_ms = 3'000;
  EXPECT_THROW(check_ownership(options), config::KeyError);
  options = {};
  options.kinds = {"fill", "unknown"};
  EXPECT_THROW(check_ownership(options), config::KeyError);
  options = {};
  options.flap_reuse = 5.0;
  EXPECT_THROW(check_ownership(options), config::KeyError);
}

}  // namespace
}  // namespace trailcourse::tasks
