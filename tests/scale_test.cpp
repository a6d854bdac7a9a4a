// Tests of the functions fitted to measured points, of the file of slopes, and of fleets simulated in virtual
// time with the production state machines.
#include <gtest/gtest.h>

#include <cmath>
#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>

#include "scale/discovery_poll_simulation.h"
#include "scale/fleet_model.h"
#include "scale/fleet_model_runs.h"
#include "scale/slopes.h"

namespace trailcourse::scale {
namespace {

// Returns the points of the function with a random relative error up to `noise`.
Points points_of(double (*function)(double), double noise, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> share(-noise, noise);
  Points out;
  for (const double x : {30.0, 100.0, 200.0, 300.0, 1'000.0, 3'000.0, 10'000.0, 19'000.0}) {
    out.emplace_back(x, function(x) * (1.0 + share(random)));
  }
  return out;
}

TEST(SlopesTest, FitFindsTheFormOfThePoints) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    EXPECT_EQ(fit(points_of([](double) { return 70.0; }, 0.04, seed)).form, FitForm::kConstant);
    const Fit line = fit(points_of([](double x) { return 100.0 + 3.0 * x; }, 0.01, seed));
    EXPECT_EQ(line.form, FitForm::kLinear);
    EXPECT_NEAR(line.slope, 3.0, 0.15);
    EXPECT_GT(line.r_squared, 0.99);
    const Fit square = fit(points_of([](double x) { return 5.0 + 0.02 * x * x; }, 0.01, seed));
    EXPECT_EQ(square.form, FitForm::kQuadratic);
    EXPECT_NEAR(value_at(square, 38'000.0), 0.02 * 38'000.0 * 38'000.0, 2e6);
  }
  const Points logarithmic = {{10, 10 * std::log(10.0)}, {20, 20 * std::log(20.0)}, {1'000, 6'907.755}};
  const Fit any = fit(logarithmic);
  EXPECT_EQ(any.form, FitForm::kLinear) << "the simplest form whose fit is within 0.01 of the best";
  EXPECT_EQ(fit({{100, 7.0}}).form, FitForm::kConstant);
  EXPECT_EQ(fit({{100, 0.0}, {200, 0.0}}).r_squared, 1.0);
  EXPECT_THROW(fit({}), std::invalid_argument);
}

Slope slope_named(const std::string& name, double y) {
  Slope out;
  out.name = name;
  out.what = "calls";
  out.unit = "calls";
  out.per = "routers";
  out.points = {{200, 2 * y}, {100, y}};
  out.setting = "hollow, virtual time";
  out.command = "scale_bench";
  return complete_slope(out);
}

TEST(SlopesTest, SaveMergesSlopesByName) {
  const std::filesystem::path path = std::filesystem::path(testing::TempDir()) / "scale_test_slopes.json";
  std::filesystem::remove(path);
  save_slopes(path, {slope_named("b", 1.0), slope_named("c", 2.0)});
  save_slopes(path, {slope_named("c", 3.0), slope_named("a", 4.0)});
  const std::vector<Slope> read = load_slopes(path);
  ASSERT_EQ(read.size(), 3U);
  EXPECT_EQ(read[0].name, "a");
  EXPECT_EQ(read[1].name, "b");
  EXPECT_EQ(read[2].points, (Points{{100, 3.0}, {200, 6.0}}));
  EXPECT_EQ(read[2].bound, 200.0);
  EXPECT_EQ(read[2].fit.form, FitForm::kLinear);
  EXPECT_EQ(write_slopes(read_slopes(write_slopes(read))), write_slopes(read));
  std::filesystem::remove(path);
}

TEST(SlopesTest, InvalidSlopesAreRejectedWithAReason) {
  const auto error_for = [](const char* key, const nlohmann::json& value) -> std::string {
    nlohmann::json list = write_slopes({slope_named("one", 1.0)});
    list[0][key] = value;
    try {
      read_slopes(list);
    } catch (const InvalidSlopes& error) {
      return error.what();
    }
    return "";
  };
  EXPECT_EQ(error_for("unit", "bytes"), "");
  EXPECT_EQ(error_for("form", "cubic"), "one: form: unknown value 'cubic'");
  EXPECT_EQ(error_for("slope", "steep"), "one: slope is of the wrong type");
  EXPECT_EQ(error_for("points", nlohmann::json::array()), "one: points: empty");
  EXPECT_NE(error_for("setting", "guessed"), "");
  EXPECT_THROW(load_slopes("/dev/null"), InvalidSlopes) << "an existing file must be complete";
}

// ---- Fleets in virtual time ----

constexpr Micros kSecond{1'000'000};

// Starts a fleet and waits until it has settled.
std::unique_ptr<FleetModel> settled_fleet(const FleetModelOptions& fleet) {
  auto out = std::make_unique<FleetModel>(fleet);
  out->start(kSecond);
  out->run_for(kSecond);
  EXPECT_TRUE(out->settle(60 * kSecond)) << out->describe();
  out->run_for(3 * kSecond);
  return out;
}

TEST(FleetModelTest, AChangeTakesLessThanFiveSecondsWithAThousandRouters) {
  for (const Condition condition :
       {Condition::kAllUp, Condition::kFewRoutersPaused, Condition::kAggregatorPaused}) {
    const auto model = settled_fleet(fleet_model_options(1'000, false, 1));
    ChangeSeries series;
    measure_changes(*model, condition, ChangeSeriesOptions{2, 60 * kSecond}, series);
    EXPECT_EQ(series.violation, "");
    EXPECT_EQ(series.unfinished, 0);
    EXPECT_LT(series.duration_ms.max(), 5'000.0) << to_string(condition);
  }
}

TEST(FleetModelTest, StoreCallsGrowWithRegionsAndNotWithRouters) {
  // The calls of one change plus those of an idle second.
  const auto calls = [](int routers, bool flat) {
    FleetModelOptions fleet = fleet_model_options(routers, flat, 2);
    fleet.regions = 6;
    const auto model = settled_fleet(fleet);
    return static_cast<double>(model->change(60 * kSecond).store.calls) +
           measure_idle_traffic(*model, 10 * kSecond).store_calls;
  };
  const double calls_with_regions = calls(300, false);
  EXPECT_LT(calls_with_regions, 0.25 * calls(300, true));
  EXPECT_LT(calls(1'200, false), 1.25 * calls_with_regions)
      << "four times the routers in the same number of regions";
  EXPECT_GT(calls(1'200, true), 3.0 * calls(300, true));
}

TEST(FleetModelTest, RunsWithTheSameSeedAreIdentical) {
  const auto jobs_run = [](std::uint64_t seed) {
    const auto model = settled_fleet(fleet_model_options(100, false, seed));
    model->change(60 * kSecond);
    return model->simulation().events.jobs_run();
  };
  EXPECT_EQ(jobs_run(3), jobs_run(3));
  EXPECT_NE(jobs_run(3), jobs_run(4));
}

TEST(FleetModelTest, EffectivePolicyRulesHoldUnderRandomFaults) {
  std::uint64_t done = 0;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    const auto model = settled_fleet(fleet_model_options(150, false, seed));
    RandomFaultOptions options;
    options.time = 40 * kSecond;
    options.publish = seed % 2 == 0;
    const FaultResult result = run_random_faults(*model, options);
    EXPECT_EQ(result.violation, "") << "seed " << seed;
    EXPECT_EQ(model->acknowledged_event() > 0, options.publish);
    EXPECT_GT(result.faults, 30U);
    done += result.done;
  }
  EXPECT_GT(done, 6U);
}

// Without faults a purge is acknowledged by all routers within 1.6 s.
TEST(FleetModelTest, PurgesAreAcknowledgedByAThousandRouters) {
  const auto model = settled_fleet(fleet_model_options(1'000, false, 5));
  AcknowledgementOptions options;
  options.time = 5 * kSecond;
  AcknowledgementSeries series;
  measure_acknowledgements(*model, Condition::kAllUp, options, series);
  EXPECT_EQ(series.violation, "");
  EXPECT_EQ(series.unfinished, 0);
  EXPECT_EQ(series.duration_ms.size(), 50U);
  EXPECT_LT(series.duration_ms.max(), 1'600.0);
}

// Verifies that EffectivePolicyCheck detects violations: with a negative lease margin, routers use their
// leases after the aggregator has expired them.
TEST(FleetModelTest, TheCheckDetectsRoutersThatUseExpiredLeases) {
  std::string violation;
  for (std::uint64_t seed = 1; seed <= 20 && violation.empty(); ++seed) {
    FleetModelOptions fleet = fleet_model_options(100, false, seed);
    fleet.router.participant.lease.margin = Micros(-4'000'000);
    const auto model = settled_fleet(fleet);
    RandomFaultOptions options;
    options.time = 40 * kSecond;
    violation = run_random_faults(*model, options).violation;
  }
  EXPECT_NE(violation.find("still"), std::string::npos) << violation;
}

TEST(DiscoveryPollSimulationTest, PollsStayWithinTheRateBound) {
  startup::PollOptions options;
  options.spread = true;
  for (const Micros available_at : {Micros(0), 3'600 * kSecond}) {
    const DiscoveryPolls polls = simulate_discovery_polls(options, 2'000, available_at, 1);
    EXPECT_EQ(polls.polls, 2'000U);
    EXPECT_LT(polls.max_in_second, 200U);
  }
}

}  // namespace
}  // namespace trailcourse::scale
