// Measures the cost of each role of a fleet by running the project's own code at several sizes, and fits the
// growth of each cost. The results are slopes (see slopes.h), from which docs/CAPACITY.md is computed.
//
//     role_costs --write docs/capacity/slopes.json
//     role_costs --only process --program build/trailcourse --json
//
// The groups `process.idle` and `process.purges` count all traffic on the loopback interface. On a machine
// with other loopback traffic, run them in a network namespace:
//
//     unshare -n sh -c 'ip link set lo up; role_costs --only process.idle --write docs/capacity/slopes.json'
#include "role_costs.h"

#include <cstdio>
#include <cxxopts.hpp>
#include <exception>
#include <filesystem>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "scale/slopes.h"
#include "temporary_folder.h"
#include "transport/log.h"

namespace trailcourse::scale {
namespace {

struct MeasurementGroup {
  const char* name;  // --only selects groups by a prefix of their names
  void (*run)(const CostContext&, const CostSink&);
};

constexpr MeasurementGroup kGroups[] = {{"router", measure_router},
                                        {"purges", measure_router_purges},
                                        {"policy", measure_router_policy},
                                        {"cache", measure_cache},
                                        {"board", measure_discovery_service},
                                        {"store", measure_coordination_store},
                                        {"driver", measure_rollout_coordinator},
                                        {"membership", measure_membership},
                                        {"aggregator", measure_aggregator},
                                        {"process.idle", measure_idle_processes},
                                        {"process.requests", measure_request_processes},
                                        {"process.purges.board", measure_purges_by_board},
                                        {"process.purges.long", measure_purges_by_board_long},
                                        {"process.purges.relays", measure_purges_by_relays},
                                        {"process.purges.http", measure_purges_http}};

Slope slope_of(const CostSeries& series, const std::string& group_name) {
  Slope out;
  out.name = series.name;
  out.what = series.what;
  out.unit = series.unit;
  out.per = series.per;
  out.setting = series.setting;
  out.points = series.points;
  out.command = "role_costs --only " + group_name;
  return complete_slope(std::move(out));
}

void print_slope(const Slope& slope) {
  std::printf("%-36s %-10s %12.4g + %10.4g/%s  R2 %.4f |", slope.name.c_str(), to_string(slope.fit.form),
              slope.fit.offset, slope.fit.slope, slope.unit.c_str(), slope.fit.r_squared);
  for (const auto& [x, y] : slope.points) {
    std::printf(" %g:%.4g", x, y);
  }
  std::printf("\n");
  std::fflush(stdout);
}

struct MeasurementResults {
  std::vector<Slope> slopes;
  int failed_groups = 0;  // number of groups that ended with an exception
};

// Runs the groups whose names start with `only`. Prints each slope, unless `quiet`.
MeasurementResults measure_selected_groups(const CostContext& context, const std::string& only, bool quiet) {
  const bool shows_progress = ::isatty(STDERR_FILENO) == 1;
  MeasurementResults out;
  const auto add_slope = [&](const CostSeries& series, const std::string& group_name) {
    out.slopes.push_back(slope_of(series, group_name));
    if (!quiet) {
      print_slope(out.slopes.back());
    }
  };
  for (const MeasurementGroup& group : kGroups) {
    const std::string name = group.name;
    if (!name.starts_with(only)) {
      continue;
    }
    if (shows_progress) {
      std::cerr << "measuring " << name << " ...\n";
    }
    try {
      group.run(context, [&](const CostSeries& series) { add_slope(series, name); });
    } catch (const std::exception& error) {
      std::cerr << "role_costs: " << name << ": " << error.what() << '\n';
      ++out.failed_groups;
    }
  }
  return out;
}

int run(int argc, char** argv) {
  cxxopts::Options options("role_costs", "Measures the cost of each role of a fleet, and how it grows.");
  options.add_options()("program", "path of the built program, for measurements of real processes",
                        cxxopts::value<std::string>()->default_value("build/trailcourse"))(
      "only",
      "run only the groups with this prefix: router, purges, policy, cache, board, store, driver, "
      "membership, aggregator, process",
      cxxopts::value<std::string>()->default_value(""),
      "PREFIX")("write", "merge the slopes into this file by name", cxxopts::value<std::string>(), "FILE")(
      "json", "print the slopes as JSON")("seed", "seed of the random numbers",
                                          cxxopts::value<std::uint64_t>()->default_value("1"))(
      "h,help", "print this help");
  const cxxopts::ParseResult parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << options.help() << '\n';
    return 0;
  }
  transport::set_log_level(transport::Level::kError);
  const bench::TemporaryFolder folder("role-costs");
  CostContext context;
  context.program = std::filesystem::absolute(parsed["program"].as<std::string>());
  context.folder = folder.path();
  context.seed = parsed["seed"].as<std::uint64_t>();
  const bool as_json = parsed.count("json") > 0;
  const auto [slopes, failed_groups] =
      measure_selected_groups(context, parsed["only"].as<std::string>(), as_json);
  if (as_json) {
    std::cout << write_slopes(slopes).dump(1) << '\n';
  }
  if (parsed.count("write") > 0) {
    save_slopes(parsed["write"].as<std::string>(), slopes);
  }
  return slopes.empty() || failed_groups > 0 ? 1 : 0;
}

}  // namespace
}  // namespace trailcourse::scale

int main(int argc, char** argv) {
  try {
    return trailcourse::scale::run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "role_costs: " << error.what() << '\n';
    return 1;
  }
}
