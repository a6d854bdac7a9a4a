// Measures what one role of a fleet costs, on the project's own code at several sizes, and fits how each cost
// grows: the slopes that docs/CAPACITY.md is worked out from.
//
//     role_costs --write docs/capacity/slopes.json
//     role_costs --only process --program build/trailcourse --json
//
// The groups `process.idle` and `process.purges` count all that passes over loopback: on a machine that does
// other work too, in a network of their own:
//
//     unshare -n sh -c 'ip link set lo up; role_costs --only process.idle --write docs/capacity/slopes.json'
#include "role_costs.h"

#include <unistd.h>

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
#include "transport/log.h"

namespace trailcourse::scale {
namespace {

struct Measurement {
  const char* group;  // by which --only chooses
  void (*run)(const CostContext&, const CostSink&);
};

constexpr Measurement kMeasurements[] = {{"router", measure_router},
                                         {"purges", measure_purges},
                                         {"policy", measure_policy},
                                         {"cache", measure_cache},
                                         {"board", measure_board},
                                         {"store", measure_store},
                                         {"driver", measure_driver},
                                         {"membership", measure_membership},
                                         {"aggregator", measure_aggregator},
                                         {"process.idle", measure_idle_processes},
                                         {"process.requests", measure_request_processes},
                                         {"process.purges.board", measure_purges_by_board},
                                         {"process.purges.long", measure_purges_by_board_long},
                                         {"process.purges.relays", measure_purges_by_relays},
                                         {"process.purges.http", measure_purges_http}};

// A folder of this process, gone with it.
class OwnFolder {
 public:
  OwnFolder() : path_(std::filesystem::temp_directory_path() / ("role-costs-" + std::to_string(::getpid()))) {
    std::filesystem::remove_all(path_);
    std::filesystem::create_directories(path_);
  }
  ~OwnFolder() {
    std::error_code none;
    std::filesystem::remove_all(path_, none);
  }
  OwnFolder(const OwnFolder&) = delete;
  OwnFolder& operator=(const OwnFolder&) = delete;
  std::string path() const { return path_.string(); }

 private:
  std::filesystem::path path_;
};

Slope slope_of(const CostSeries& series, const std::string& group) {
  Slope out;
  out.name = series.name;
  out.what = series.what;
  out.unit = series.unit;
  out.per = series.per;
  out.setting = series.setting;
  out.points = series.points;
  out.command = "role_costs --only " + group;
  return measured_here(std::move(out));
}

void print(const Slope& slope) {
  std::printf("%-36s %-10s %12.4g + %10.4g/%s  R2 %.4f |", slope.name.c_str(), to_string(slope.fit.form),
              slope.fit.offset, slope.fit.slope, slope.unit.c_str(), slope.fit.r_squared);
  for (const auto& [x, y] : slope.points) {
    std::printf(" %g:%.4g", x, y);
  }
  std::printf("\n");
  std::fflush(stdout);
}

struct Measured {
  std::vector<Slope> slopes;
  int failed = 0;  // groups that ended before their end
};

Measured measure_all(const CostContext& context, const std::string& only, bool quiet) {
  const bool shows_progress = ::isatty(STDERR_FILENO) == 1;
  Measured out;
  const auto take = [&](const CostSeries& series, const std::string& group) {
    out.slopes.push_back(slope_of(series, group));
    if (!quiet) {
      print(out.slopes.back());
    }
  };
  for (const Measurement& one : kMeasurements) {
    const std::string group = one.group;
    if (!group.starts_with(only)) {
      continue;
    }
    if (shows_progress) {
      std::cerr << "measuring " << group << " ...\n";
    }
    try {
      one.run(context, [&](const CostSeries& series) { take(series, group); });
    } catch (const std::exception& error) {
      std::cerr << "role_costs: " << group << ": " << error.what() << '\n';
      ++out.failed;
    }
  }
  return out;
}

int main_of(int count, char** words) {
  cxxopts::Options options("role_costs", "Measures what one role of a fleet costs, and how that grows.");
  options.add_options()("program", "the built program, for real processes",
                        cxxopts::value<std::string>()->default_value("build/trailcourse"))(
      "only",
      "groups that begin so: router, purges, policy, cache, board, store, driver, membership, aggregator, "
      "process",
      cxxopts::value<std::string>()->default_value(""),
      "PREFIX")("write", "merges the slopes into this file by name", cxxopts::value<std::string>(), "FILE")(
      "json", "prints the slopes as JSON")(
      "seed", "of what is drawn", cxxopts::value<std::uint64_t>()->default_value("1"))("h,help", "this");
  const cxxopts::ParseResult parsed = options.parse(count, words);
  if (parsed.count("help") > 0) {
    std::cout << options.help() << '\n';
    return 0;
  }
  transport::set_log_level(transport::Level::kError);
  const OwnFolder folder;
  CostContext context;
  context.program = std::filesystem::absolute(parsed["program"].as<std::string>());
  context.folder = folder.path();
  context.seed = parsed["seed"].as<std::uint64_t>();
  const bool as_json = parsed.count("json") > 0;
  const auto [slopes, failed] = measure_all(context, parsed["only"].as<std::string>(), as_json);
  if (as_json) {
    std::cout << write_slopes(slopes).dump(1) << '\n';
  }
  if (parsed.count("write") > 0) {
    save_slopes(parsed["write"].as<std::string>(), slopes);
  }
  return slopes.empty() || failed > 0 ? 1 : 0;
}

}  // namespace
}  // namespace trailcourse::scale

int main(int count, char** words) {
  try {
    return trailcourse::scale::main_of(count, words);
  } catch (const std::exception& error) {
    std::cerr << "role_costs: " << error.what() << '\n';
    return 1;
  }
}
