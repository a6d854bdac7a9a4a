// How costs grow with the fleet: the form that is fitted to points, the file of slopes; and whole fleets in
// virtual time on the real state machines.
#include <gtest/gtest.h>

#include <cmath>
#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>

#include "scale/fleet_model.h"
#include "scale/fleet_model_runs.h"
#include "scale/hollow_start.h"
#include "scale/slopes.h"

namespace trailcourse::scale {
namespace {

Points points_of(double (*function)(double), double noise, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> share(-noise, noise);
  Points out;
  for (const double x : {30.0, 100.0, 200.0, 300.0, 1'000.0, 3'000.0, 10'000.0, 19'000.0}) {
    out.emplace_back(x, function(x) * (1.0 + share(random)));
  }
  return out;
}

TEST(SlopesTest, TheFormThatThePointsHaveIsNamed) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    EXPECT_EQ(fit(points_of([](double) { return 70.0; }, 0.04, seed)).form, Form::kConstant);
    const Fit line = fit(points_of([](double x) { return 100.0 + 3.0 * x; }, 0.01, seed));
    EXPECT_EQ(line.form, Form::kLinear);
    EXPECT_NEAR(line.slope, 3.0, 0.15);
    EXPECT_GT(line.r_squared, 0.99);
    const Fit square = fit(points_of([](double x) { return 5.0 + 0.02 * x * x; }, 0.01, seed));
    EXPECT_EQ(square.form, Form::kQuadratic);
    EXPECT_NEAR(value_at(square, 38'000.0), 0.02 * 38'000.0 * 38'000.0, 2e6);
  }
  const Points logarithmic = {{10, 10 * std::log(10.0)}, {20, 20 * std::log(20.0)}, {1'000, 6'907.755}};
  const Fit any = fit(logarithmic);
  EXPECT_EQ(any.form, Form::kLinear) << "the simplest within a hundredth of the best";
  EXPECT_EQ(fit({{100, 7.0}}).form, Form::kConstant);
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
  return measured_here(out);
}

TEST(SlopesTest, AFileIsMergedByName) {
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
  EXPECT_EQ(read[2].fit.form, Form::kLinear);
  EXPECT_EQ(write_slopes(read_slopes(write_slopes(read))), write_slopes(read));
  std::filesystem::remove(path);
}

TEST(SlopesTest, WhatCannotBeUsedIsNamed) {
  const auto why = [](const char* key, const nlohmann::json& value) -> std::string {
    nlohmann::json list = write_slopes({slope_named("one", 1.0)});
    list[0][key] = value;
    try {
      read_slopes(list);
    } catch (const BadSlopes& error) {
      return error.what();
    }
    return "";
  };
  EXPECT_EQ(why("unit", "bytes"), "");
  EXPECT_EQ(why("form", "cubic"), "one: form: 'cubic' is none that is known");
  EXPECT_EQ(why("slope", "steep"), "one: slope is of the wrong type");
  EXPECT_EQ(why("points", nlohmann::json::array()), "one: points: there is none");
  EXPECT_NE(why("setting", "guessed"), "");
  EXPECT_THROW(load_slopes("/dev/null"), BadSlopes) << "a file that is there must be whole";
}

// ---- Fleets in virtual time ----

constexpr Micros kSecond{1'000'000};

std::unique_ptr<FleetModel> settled_fleet(const FleetShape& shape) {
  auto out = std::make_unique<FleetModel>(shape);
  out->start(kSecond);
  out->run_for(kSecond);
  EXPECT_TRUE(out->settle(60 * kSecond)) << out->describe();
  out->run_for(3 * kSecond);
  return out;
}

TEST(FleetModelTest, AChangeIsInForceWithinFiveSecondsAtAThousandRouters) {
  for (const Condition condition :
       {Condition::kAllUp, Condition::kFewStopped, Condition::kAggregatorStopped}) {
    const auto model = settled_fleet(shape_of(1'000, false, 1));
    ChangeSeries series;
    measure_changes(*model, condition, SeriesOptions{2, 60 * kSecond}, series);
    EXPECT_EQ(series.broken, "");
    EXPECT_EQ(series.unfinished, 0);
    EXPECT_LT(series.ms.worst(), 5'000.0) << to_string(condition);
  }
}

TEST(FleetModelTest, TheStoreSeesRegionsAndNotRouters) {
  const auto calls = [](int routers, bool flat) {
    FleetShape shape = shape_of(routers, flat, 2);
    shape.regions = 6;
    const auto model = settled_fleet(shape);
    return static_cast<double>(model->change(60 * kSecond).store.calls) +
           measure_rest(*model, 10 * kSecond).store_calls;
  };
  const double by_regions = calls(300, false);
  EXPECT_LT(by_regions, 0.25 * calls(300, true));
  EXPECT_LT(calls(1'200, false), 1.25 * by_regions) << "four times the routers in as many regions";
  EXPECT_GT(calls(1'200, true), 3.0 * calls(300, true));
}

TEST(FleetModelTest, OneSeedIsOneRun) {
  const auto steps = [](std::uint64_t seed) {
    const auto model = settled_fleet(shape_of(100, false, seed));
    model->change(60 * kSecond);
    return model->simulation().events.steps();
  };
  EXPECT_EQ(steps(3), steps(3));
  EXPECT_NE(steps(3), steps(4));
}

TEST(FleetModelTest, TheRuleHoldsUnderDrawnFaults) {
  std::uint64_t done = 0;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    const auto model = settled_fleet(shape_of(150, false, seed));
    FaultOptions options;
    options.time = 40 * kSecond;
    options.publish = seed % 2 == 0;
    const FaultFigures figures = run_faults(*model, options);
    EXPECT_EQ(figures.broken, "") << "seed " << seed;
    EXPECT_EQ(model->done_event() > 0, options.publish);
    EXPECT_GT(figures.faults, 30U);
    done += figures.done;
  }
  EXPECT_GT(done, 6U);
}

// With all up a purge is known to be taken in within 1.6 s.
TEST(FleetModelTest, PurgesAreKnownToBeTakenInEverywhereAtAThousandRouters) {
  const auto model = settled_fleet(shape_of(1'000, false, 5));
  AcknowledgementOptions options;
  options.time = 5 * kSecond;
  AcknowledgementSeries series;
  measure_acknowledgements(*model, Condition::kAllUp, options, series);
  EXPECT_EQ(series.broken, "");
  EXPECT_EQ(series.unfinished, 0);
  EXPECT_EQ(series.ms.size(), 50U);
  EXPECT_LT(series.ms.worst(), 1'600.0);
}

// The check is able to find what it is there for: routers that take their permission to hold for longer than
// the aggregator does.
TEST(FleetModelTest, APermissionThatIsTakenTooLongIsFound) {
  std::string found;
  for (std::uint64_t seed = 1; seed <= 20 && found.empty(); ++seed) {
    FleetShape shape = shape_of(100, false, seed);
    shape.router.participant.lease.margin = Micros(-4'000'000);
    const auto model = settled_fleet(shape);
    FaultOptions options;
    options.time = 40 * kSecond;
    found = run_faults(*model, options).broken;
  }
  EXPECT_NE(found.find("still"), std::string::npos) << found;
}

TEST(HollowStartTest, TheBoardIsAskedWithinItsBound) {
  startup::PollOptions rules;
  rules.spread = true;
  for (const Micros back : {Micros(0), 3'600 * kSecond}) {
    const BoardCalls calls = measure_board(rules, 2'000, back, 1);
    EXPECT_EQ(calls.calls, 2'000U);
    EXPECT_LT(calls.most_in_second, 200U);
  }
}

}  // namespace
}  // namespace trailcourse::scale
