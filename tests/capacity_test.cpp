// Tests of the capacity page: formulas over targets and slopes, figures written between markers, and the
// check that fails if the page does not match its data. The settings in the data must equal the program's
// defaults.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <cmath>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

#include "aggregation/options.h"
#include "coordination/options.h"
#include "discovery/long_poll_scheduler.h"
#include "policy/options.h"
#include "program/configuration.h"
#include "program/start_options.h"
#include "scale/capacity_page.h"
#include "scale/capacity_page_formula.h"
#include "startup/options.h"
#include "store/options.h"
#include "tasks/options.h"

namespace trailcourse::scale {
namespace {

namespace fs = std::filesystem;
using nlohmann::json;

Slope slope_of(const std::string& name, const Points& points) {
  Slope out;
  out.name = name;
  out.what = "calls at the store";
  out.unit = "calls";
  out.per = "routers";
  out.points = points;
  out.fit = fit(points);
  out.bound = points.back().first;
  out.setting = "in process";
  out.command = "role_costs";
  out.date = "2026-12-02";
  out.commit = "0000000";
  out.machine = "8 cores";
  return out;
}

FormulaNames sample_names() {
  FormulaNames out;
  out.figures["routers"].value = 1'000.0;
  out.figures["zones"].value = 4.0;
  out.slopes["store.calls"] = slope_of("store.calls", {{10, 25}, {20, 45}, {100, 205}});  // 5 + 2 x
  out.slopes["store.deliveries"] =
      slope_of("store.deliveries", {{10, 300}, {30, 2'700}, {60, 10'800}, {100, 30'000}});  // 3 x^2
  return out;
}

TEST(CapacityFormulaTest, OperatorsHaveTheUsualPrecedence) {
  const FormulaNames names = sample_names();
  EXPECT_DOUBLE_EQ(evaluate("1 + 2 * 3 - 4 / 2", names).value, 5.0);
  EXPECT_DOUBLE_EQ(evaluate("8 - 2 - 1", names).value, 5.0);
  EXPECT_DOUBLE_EQ(evaluate("16 / 4 / 2", names).value, 2.0);
  EXPECT_DOUBLE_EQ(evaluate("-(1 + 2) * 3", names).value, -9.0);
  EXPECT_DOUBLE_EQ(evaluate("1e3 / zones+routers", names).value, 1'250.0);
}

TEST(CapacityFormulaTest, UnknownNamesAndInvalidSyntaxAreErrors) {
  const FormulaNames names = sample_names();
  for (const char* text : {"",
                           "1 +",
                           "(1",
                           "1 2",
                           "router",
                           "routers zones",
                           "1 / 0",
                           "1 / (zones - 4)",
                           "abs(1)",
                           "fit(store.calls)",
                           "fit(, 1)",
                           "fit(\"store.calls, 1)",
                           "slope(store.deliveries)",
                           "fit(1, 2)",
                           "fit(store.calls; 2)",
                           "2 ^ 3",
                           "min()",
                           ".5",
                           "Routers",
                           "ceil(1, 2)"}) {
    EXPECT_THROW(evaluate(text, names), FormulaError) << text;
  }
}

TEST(CapacityFormulaTest, RandomTextGivesAValueOrAFormulaError) {
  const FormulaNames names = sample_names();
  const std::string letters = "routers store.calls fit( ) , + - * / 1 2e \" zones";
  for (std::uint64_t seed = 1; seed <= 3'000; ++seed) {
    std::mt19937_64 random(seed);
    std::string text;
    for (std::size_t length = random() % 24; text.size() < length;) {
      text += letters[random() % letters.size()];
    }
    try {
      evaluate(text, names);
    } catch (const FormulaError& error) {
      EXPECT_STRNE(error.what(), "") << text;
    }
  }
}

TEST(CapacityFormulaTest, FitEvaluatesTheFittedForm) {
  const FormulaNames names = sample_names();
  EXPECT_NEAR(evaluate("fit(store.calls, 50)", names).value, 105.0, 1e-6);
  EXPECT_NEAR(evaluate("fit(\"store.deliveries\", routers)", names).value, 3e6, 1.0);
  EXPECT_NEAR(evaluate("max(fit(store.calls, 1), 3, zones)", names).value, 7.0, 1e-6);
  EXPECT_DOUBLE_EQ(evaluate("min(ceil(7 / 2), 9)", names).value, 4.0);
}

TEST(CapacityFormulaTest, MeasuredReturnsThePointNotTheFittedValue) {
  FormulaNames names = sample_names();
  names.slopes["store.calls"].points[1].second = 48.0;
  EXPECT_DOUBLE_EQ(evaluate("measured(store.calls, 2 * 10)", names).value, 48.0);
  EXPECT_FALSE(evaluate("measured(store.calls, 21)", names).known());
  EXPECT_FALSE(evaluate("measured(board.calls, 20)", names).known());
  EXPECT_FALSE(evaluate("measured(store.calls, fit(board.calls, 1))", names).known());
}

TEST(CapacityFormulaTest, ExtrapolationIsTheRatioToTheLargestMeasuredSize) {
  const FormulaNames names = sample_names();
  EXPECT_DOUBLE_EQ(evaluate("fit(store.calls, 50)", names).extrapolation, 1.0);
  EXPECT_DOUBLE_EQ(evaluate("fit(store.calls, routers) + fit(store.calls, 1)", names).extrapolation, 10.0);
}

TEST(CapacityFormulaTest, APoorFitIsShownWithItsRSquared) {
  FormulaNames names = sample_names();
  names.slopes["store.calls"].fit.r_squared = 0.42;
  const Figure figure = evaluate("fit(store.deliveries, 1) + fit(store.calls, 10)", names);
  EXPECT_DOUBLE_EQ(figure.r_squared, 0.42);
  EXPECT_NE(format_figure(figure, "").find("poor fit, R² 0.42"), std::string::npos);
  EXPECT_EQ(format_figure(evaluate("fit(store.deliveries, 1)", names), "").find("fit"), std::string::npos);
}

TEST(CapacityFormulaTest, AFigureWithoutItsSlopesHasNoValue) {
  FormulaNames names = sample_names();
  const Figure figure =
      evaluate("zones + fit(store.calls, 1) / fit(board.calls, 2) * fit(relay.calls, 1)", names);
  EXPECT_FALSE(figure.known());
  EXPECT_EQ(figure.missing, (std::set<std::string>{"board.calls", "relay.calls"}));
  names.figures["deliveries"] = figure;
  EXPECT_EQ(evaluate("1 / deliveries", names).missing.size(), 2U)
      << "a figure computed from one without a value has none either";
}

TEST(CapacityPageTest, NumbersAreFormattedWithThreeSignificantDigits) {
  EXPECT_EQ(format_number(19'000, ""), "19,000");
  EXPECT_EQ(format_number(7'142.86, "requests/s"), "7,140 requests/s");
  EXPECT_EQ(format_number(3.42e6, "deliveries/s"), "3.42 million deliveries/s");
  EXPECT_EQ(format_number(35e9, ""), "35 billion");
  EXPECT_EQ(format_number(217.1e6, "B/s"), "217 MB/s");
  EXPECT_EQ(format_number(999.6e6, "B/s"), "1 GB/s");
  EXPECT_EQ(format_number(33e12, "bit/s"), "33 Tbit/s");
  EXPECT_EQ(format_number(0.018, "core"), "1.8% of a core");
  EXPECT_EQ(format_number(4.547, "s"), "4.55 s");
  EXPECT_EQ(format_number(0.0005, "s"), "0.5 ms");
  EXPECT_EQ(format_number(0.0, "calls/s"), "0 calls/s");
  EXPECT_EQ(format_number(999.9, ""), "1,000");
}

// Creates a repository with a capacity page and its data in a temporary folder.
class CapacityFilesTest : public testing::Test {
 protected:
  void SetUp() override {
    const testing::TestInfo* test = testing::UnitTest::GetInstance()->current_test_info();
    root_ = fs::path(testing::TempDir()) / (std::string("capacity_") + test->name());
    fs::remove_all(root_);
    fs::create_directories(root_ / "docs/capacity");
    write("docs/capacity/target.json", target().dump());
    write("docs/capacity/model.json", model().dump());
    save_slopes((root_ / "docs/capacity/slopes.json").string(),
                {slope_of("store.calls", {{10, 27}, {100, 207}})});
    write("docs/CAPACITY.md",
          "# Page\nWords with <!--= routers * 2 | calls/s -->stale<!--.--> in them.\n<!-- table: plan "
          "-->\nstale\n"
          "<!-- end -->\n<!-- table: unknown -->\n<!-- end -->\n<!-- table: role store -->\n<!-- end "
          "-->\nLast.\n");
  }
  void TearDown() override { fs::remove_all(root_); }

  static json target() {
    return json::parse(R"({"groups": [{"name": "size", "what": "intended size", "targets": [
      {"name": "routers", "value": 1000, "unit": "", "what": "routers"},
      {"name": "max_calls", "value": 500, "unit": "calls/s", "what": "limit of calls"}]}]})");
  }
  static json model() {
    return json::parse(R"json({"derived": [
        {"name": "calls", "formula": "fit(store.calls, routers)", "unit": "calls/s", "what": "calls"}],
      "situations": [{"name": "steady", "what": "no changes"}],
      "roles": [{"name": "store", "mechanism": "coordination server", "rows": [
        {"situation": "steady", "state": "{routers} leases", "messages in a second": "{calls | calls/s}",
         "memory": "{fit(store.memory, routers) | B}"}]}],
      "plan": [
        {"role": "store", "situation": "steady", "what": "calls", "unit": "calls/s", "wanted": "max_calls",
         "reached": "calls", "sense": "at most", "mechanism": "m", "exists": "yes", "file": "f"},
        {"role": "store", "situation": "steady", "what": "served calls", "unit": "calls/s",
         "wanted": "calls", "reached": "max_calls / 10", "sense": "at least", "mechanism": "m",
         "exists": "no", "file": ""},
        {"role": "store", "situation": "steady", "what": "deliveries", "unit": "", "wanted": "1",
         "reached": "", "sense": "at least", "mechanism": "m", "exists": "no", "file": ""},
        {"role": "store", "situation": "steady", "what": "memory", "unit": "B", "wanted": "1",
         "reached": "fit(store.memory, routers)", "sense": "at most", "mechanism": "m", "exists": "yes",
         "file": ""}],
      "unknowable": ["cost of a second machine"]})json");
  }

  void write(const std::string& name, const std::string& text) {
    std::ofstream(root_ / name, std::ios::trunc) << text;
  }
  std::string read(const std::string& name) {
    std::ifstream file(root_ / name);
    return {std::istreambuf_iterator<char>(file), {}};
  }
  // Runs capacity_page, stores its output in output_ and returns its exit status, or -1 if it did not exit.
  int run_capacity_page(const std::string& flags) {
    const std::string output_file = (root_ / "output").string();
    const std::string command = std::string(TRAILCOURSE_CAPACITY_PAGE) + " " + flags + " --root '" +
                                root_.string() + "' >" + output_file + " 2>&1";
    const int status = std::system(command.c_str());
    output_ = read("output");
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

  fs::path root_;
  std::string output_;
};

// Exit statuses of capacity_page.
constexpr int kUpToDate = 0;
constexpr int kInvalid = 1;
constexpr int kOutOfDate = 2;

TEST_F(CapacityFilesTest, OnlyTextBetweenMarkersIsReplaced) {
  ASSERT_EQ(run_capacity_page("--write"), kUpToDate) << output_;
  const std::string text = read("docs/CAPACITY.md");
  EXPECT_NE(text.find("# Page\nWords with <!--= routers * 2 | calls/s -->2,000 calls/s<!--.--> in them.\n"),
            std::string::npos)
      << text;
  EXPECT_EQ(text.find("stale"), std::string::npos);
  EXPECT_EQ(text.substr(text.size() - 6), "Last.\n");
  EXPECT_NE(text.find("| 2,010 calls/s (extrapolated ×10) |"), std::string::npos) << text;
  ASSERT_EQ(run_capacity_page("--write"), kUpToDate);
  EXPECT_EQ(read("docs/CAPACITY.md"), text) << "a second run changes nothing";
}

TEST_F(CapacityFilesTest, ThePlanIsSortedByDescendingRatio) {
  ASSERT_EQ(run_capacity_page("--write"), kUpToDate) << output_;
  const std::string text = read("docs/CAPACITY.md");
  const std::size_t nothing = text.find("| nothing does it | store, steady | deliveries |");
  const std::size_t served = text.find("| 40.1 | store, steady | served calls |");
  const std::size_t calls = text.find("| 4.01 | store, steady | calls |");
  ASSERT_NE(nothing, std::string::npos) << text;
  ASSERT_NE(calls, std::string::npos) << text;
  EXPECT_LT(nothing, served);
  EXPECT_LT(served, calls);
}

TEST_F(CapacityFilesTest, FiguresWithoutASlopeAreListedAsUnknown) {
  ASSERT_EQ(run_capacity_page("--write"), kUpToDate) << output_;
  const std::string text = read("docs/CAPACITY.md");
  EXPECT_NE(text.find("- store, steady: memory. No slope: `store.memory`\n- cost of a second machine\n"),
            std::string::npos)
      << text;
  EXPECT_NE(text.find("| no slope |\n"), std::string::npos) << text;
}

TEST_F(CapacityFilesTest, TheCheckFailsOnAChangedSlopeTargetOrPage) {
  ASSERT_EQ(run_capacity_page("--check"), kOutOfDate) << "the page was not written yet";
  EXPECT_NE(output_.find("CAPACITY.md:2:"), std::string::npos) << output_;
  ASSERT_EQ(run_capacity_page("--write"), kUpToDate);
  ASSERT_EQ(run_capacity_page("--check"), kUpToDate) << output_;
  const std::string up_to_date = read("docs/CAPACITY.md");

  save_slopes((root_ / "docs/capacity/slopes.json").string(),
              {slope_of("store.calls", {{10, 27}, {100, 217}})});
  EXPECT_EQ(run_capacity_page("--check"), kOutOfDate);
  EXPECT_NE(output_.find("2,120 calls/s"), std::string::npos) << output_;
  save_slopes((root_ / "docs/capacity/slopes.json").string(),
              {slope_of("store.calls", {{10, 27}, {100, 207}})});
  ASSERT_EQ(run_capacity_page("--check"), kUpToDate) << output_;

  json changed = target();
  changed["groups"][0]["targets"][0]["value"] = 1'100;
  write("docs/capacity/target.json", changed.dump());
  EXPECT_EQ(run_capacity_page("--check"), kOutOfDate);
  EXPECT_NE(output_.find("CAPACITY.md:2:"), std::string::npos) << output_;
  write("docs/capacity/target.json", target().dump());
  ASSERT_EQ(run_capacity_page("--check"), kUpToDate) << output_;

  // A change of any line of a table or list is found.
  for (std::size_t begin = 0; begin < up_to_date.size(); begin = up_to_date.find('\n', begin) + 1) {
    std::string modified = up_to_date;
    modified.insert(begin, "x");
    write("docs/CAPACITY.md", modified);
    const bool is_computed = up_to_date[begin] == '|' || up_to_date[begin] == '-';
    if (is_computed) {
      EXPECT_EQ(run_capacity_page("--check"), kOutOfDate) << modified;
    }
  }
}

TEST_F(CapacityFilesTest, TheErrorNamesTheInvalidData) {
  json broken = model();
  broken["plan"][0]["wanted"] = "max_call";
  write("docs/capacity/model.json", broken.dump());
  EXPECT_EQ(run_capacity_page("--check"), kInvalid);
  EXPECT_NE(output_.find("max_call"), std::string::npos) << output_;
  broken = model();
  broken["roles"][0]["rows"][0].erase("situation");
  write("docs/capacity/model.json", broken.dump());
  EXPECT_EQ(run_capacity_page("--check"), kInvalid);
  EXPECT_NE(output_.find("situation"), std::string::npos) << output_;
  broken = model();
  broken["derived"][0]["name"] = "routers";
  write("docs/capacity/model.json", broken.dump());
  EXPECT_EQ(run_capacity_page("--check"), kInvalid);
  EXPECT_NE(output_.find("twice"), std::string::npos) << output_;
  write("docs/capacity/model.json", "{");
  EXPECT_EQ(run_capacity_page("--check"), kInvalid);
  EXPECT_EQ(run_capacity_page(""), kInvalid);
}

TEST_F(CapacityFilesTest, InvalidMarkersAreRejected) {
  for (const char* text :
       {"<!-- table: plan -->\n", "<!-- table: plan\n", "<!-- table: plans -->\n<!-- end -->\n",
        "<!--= routers -->x\n", "<!--= routers\n"}) {
    write("docs/CAPACITY.md", text);
    EXPECT_EQ(run_capacity_page("--write"), kInvalid) << text;
    EXPECT_EQ(read("docs/CAPACITY.md"), text) << "the page is unchanged";
  }
}

// ---- The page and data of this repository ----

std::string source_dir() { return TRAILCOURSE_SOURCE_DIR; }

TEST(CapacityDataTest, ThePageOfTheRepositoryMatchesItsData) {
  const std::string command =
      std::string(TRAILCOURSE_CAPACITY_PAGE) + " --check --root '" + source_dir() + "'";
  EXPECT_EQ(std::system(command.c_str()), 0);
}

// Checks that a target equals the default of a setting. Times are in seconds in the targets, and in
// milliseconds in settings whose names end in "_ms".
template <typename Options>
void expect_default(const config::Record<Options>& record, const std::string& key, const Target& target) {
  const double scale = key.size() > 3 && key.substr(key.size() - 3) == "_ms" ? 1e-3 : 1.0;
  EXPECT_DOUBLE_EQ(record.value(Options{}, key).template get<double>() * scale, target.value) << target.key;
}

// Each setting in the capacity data equals the default that the program uses without an operator's file.
TEST(CapacityDataTest, SettingsAreTheDefaultsOfTheProgram) {
  std::size_t checked = 0;
  for (const TargetGroup& group : load_capacity_data(source_dir() + "/docs/capacity").targets) {
    for (const Target& target : group.targets) {
      if (target.key.empty()) {
        continue;
      }
      const std::size_t dot = target.key.find('.');
      const std::string section = target.key.substr(0, dot);
      const std::string key = target.key.substr(dot + 1);
      ++checked;
      if (section == "policy") {
        expect_default(policy::policy_record(), key, target);
      } else if (section == "ownership") {
        expect_default(tasks::ownership_record(), key, target);
      } else if (section == "startup") {
        expect_default(startup::start_record(), key, target);
      } else if (section == "relay") {
        expect_default(program::relay_record(), key, target);
      } else if (section == "aggregator") {
        expect_default(aggregation::aggregator_record(), key, target);
      } else if (section == "board") {
        expect_default(discovery::discovery_record(), key, target);
      } else if (section == "registry") {
        expect_default(coordination::registry_record(), key, target);
      } else if (section == "store") {
        expect_default(store::options_record(), key, target);
      } else if (section == "router") {
        expect_default(program::tuning_record(), key, target);
      } else {
        ADD_FAILURE() << "no section " << section;
      }
    }
  }
  EXPECT_GT(checked, 20U);
}

}  // namespace
}  // namespace trailcourse::scale
