// Invariants of owned work in a randomised simulation (ownership_simulation.h), and seeded defects that it
// finds. A seed determines an entire run. TRAILCOURSE_SEED=N runs only seed N, TRAILCOURSE_SEEDS=N runs the
// first N seeds.
#include <gtest/gtest.h>

#include <cstdio>
#include <map>
#include <string>

#include "ownership_simulation.h"
#include "virtual_world.h"

namespace trailcourse::ownership {
namespace {

TEST(OwnershipWorldTest, RandomSchedulesViolateNoInvariant) {
  const testing_support::SeedRange seeds = testing_support::seeds_to_play(60);
  SimulationReport sum;
  for (std::uint64_t seed = seeds.first; seed <= seeds.last; ++seed) {
    const SimulationReport report = run_ownership_simulation(seed, SeededDefect::kNone);
    ASSERT_TRUE(report.failure.empty()) << "TRAILCOURSE_SEED=" << seed << ": " << report.failure;
    sum.effects += report.effects;
    sum.rejected += report.rejected;
    sum.acquire_responses += report.acquire_responses;
    sum.steps += report.steps;
  }
  std::printf("%llu steps, %llu grants, %llu effects, %llu late ones rejected\n",
              static_cast<unsigned long long>(sum.steps),
              static_cast<unsigned long long>(sum.acquire_responses),
              static_cast<unsigned long long>(sum.effects), static_cast<unsigned long long>(sum.rejected));
  EXPECT_GT(sum.rejected, 0U) << "no schedule had a late effect, so the fence was not tested";
}

TEST(OwnershipWorldTest, EachSeededDefectIsFound) {
  const std::map<SeededDefect, std::string> expected{{SeededDefect::kNoFence, "an effect of term"},
                                                     {SeededDefect::kFenceLosesTerms, "an effect of term"},
                                                     {SeededDefect::kNoDriftBound, "two routers may act"},
                                                     {SeededDefect::kUncheckedProgress, "progress"}};
  for (const auto& [defect, violation] : expected) {
    std::string found;
    for (std::uint64_t seed = 1; seed <= 300 && found.empty(); ++seed) {
      found = run_ownership_simulation(seed, defect).failure;
    }
    EXPECT_NE(found.find(violation), std::string::npos)
        << "defect " << static_cast<int>(defect) << " was not found: '" << found << "'";
  }
}

}  // namespace
}  // namespace trailcourse::ownership
