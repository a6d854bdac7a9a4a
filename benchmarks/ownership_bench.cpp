// Measures ownership with real processes on loopback: the time without an owner after the owner is killed,
// suspended, disconnected or drained, the calls at the store of an idle fleet and after the death of an
// owner, and the resources of a router. Also runs random schedules of faults with checkers; a seed replays a
// schedule.
//
//     ownership_bench --program build/trailcourse --takeover 20
//     ownership_bench --program build/trailcourse --rest 10,100,300
//     ownership_bench --program build/trailcourse --policy 10,100,300
//     ownership_bench --program build/trailcourse --policy 10,100,300 --flat
//     ownership_bench --program build/trailcourse --acknowledge 30,100,300
//     ownership_bench --program build/trailcourse --schedules 50 --seed 1
//
// With --policy, --rest and --acknowledge, routers connect to the store through aggregators, or with --flat
// directly. A row that cannot be measured states the reason; the benchmark continues with the next row and
// exits with status 3.
#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "acknowledgement_measurement.h"
#include "fleet/fault_script.h"
#include "fleet/fencing_token_check.h"
#include "fleet_bench.h"
#include "idle_measurement.h"
#include "ownership/shard_assignment.h"
#include "policy_measurement.h"
#include "truncated_quantile.h"

namespace trailcourse {
namespace {

using bench::FleetBench;
using bench::kAwaitTimeout;
using bench::to_ms;
using fleet::Kind;
using nlohmann::json;
using std::chrono::milliseconds;
using transport::Clock;

// Exit statuses besides 0.
constexpr int kScheduleFailed = 1;
constexpr int kUsageError = 2;
constexpr int kRowMissing = 3;  // a row could not be measured

// ---- Takeover by another router ----

constexpr std::int64_t kTakeoverTtlMs = 2'000;
// Logged by a router that becomes the owner of shard 0 of work w.
constexpr const char* kOwnerStartedText = "starts w/0";

fleet::FleetSpec takeover_fleet(int candidates) {
  fleet::FleetSpec spec = bench::flat_fleet(candidates);
  spec.ownership = {{"ttl_ms", kTakeoverTtlMs}, {"renew_ms", 600},        {"retry_ms", 200},
                    {"settle_ms", 600'000},     {"member_ttl_ms", 3'000}, {"member_renew_ms", 1'000},
                    {"neighbours", 0},          {"most_starts", 100},     {"flap_suppress", 1'000.0}};
  spec.coordination = {{"call_ms", 500}};
  return spec;
}

// Applies one line of a fault script, without its time, to a link.
void apply_link_fault(FleetBench& bench, const std::string& line) {
  bench.scenario().apply(fleet::read_script("0 " + line).at(0));
}

// Injects one fault at the owner, measures the time until another router is the owner, and then restores the
// old owner. Returns the time in ms. Throws MeasurementError.
double measure_one_takeover(FleetBench& bench, const std::string& fault) {
  const auto [owner, old_starts] = bench.find_in_router_logs(kOwnerStartedText);
  // Gives the owner time to renew its lease and to store a checkpoint, which resets its count of starts.
  bench.run_for(milliseconds(700));
  const Clock::time_point start = Clock::now();
  if (fault == "kill") {
    bench.supervisor().kill(owner);
  } else if (fault == "stop") {
    bench.supervisor().signal(owner, SIGSTOP);
  } else if (fault == "cut") {
    apply_link_fault(bench, "cut " + owner + ">registry both");
  } else {
    bench.supervisor().signal(owner, SIGTERM);
  }
  bench.await("another owner", [&, starts = old_starts] {
    return bench.find_in_router_logs(kOwnerStartedText).count > starts;
  });
  const double takeover_ms = to_ms(Clock::now() - start);
  if (fault == "stop") {
    bench.supervisor().signal(owner, SIGCONT);
  } else if (fault == "cut") {
    apply_link_fault(bench, "heal " + owner + ">registry");
  } else {
    bench.await("the end of " + owner, [&, name = owner] { return !bench.supervisor().alive(name); });
    bench.supervisor().start(owner);
    bench.supervisor().await_up(owner, kAwaitTimeout);
  }
  bench.run_for(milliseconds(200));
  return takeover_ms;
}

void measure_takeover_row(const std::string& program, const std::string& fault, int rounds, int candidates) {
  FleetBench bench(takeover_fleet(candidates), program, {"router*>registry"});
  bench.add_fill_work("w", 10'000, 20.0);
  bench.await("the first owner", [&] { return bench.find_in_router_logs(kOwnerStartedText).count > 0; });
  std::vector<double> times;
  times.reserve(static_cast<std::size_t>(rounds));
  for (int round = 0; round < rounds; ++round) {
    times.push_back(measure_one_takeover(bench, fault));
  }
  // The fault comes 0 to 600 ms after a renewal of the lease, which then remains valid for 1,400 to 2,000 ms.
  std::printf("%-10s %9.0f %9.0f %9.0f %22s\n", fault.c_str(), bench::truncated_quantile(times, 0.5),
              bench::truncated_quantile(times, 0.99), *std::max_element(times.begin(), times.end()),
              fault == "drain" ? "0" : "1400 to 2000");
  const auto regressions = fleet::find_token_regressions("cache0", bench.layout().log_file("cache0"));
  std::printf("           fencing tokens that decreased at the receiver: %zu\n", regressions.size());
  std::fflush(stdout);
}

// Prints a row for each fault. Returns the number of rows that could not be measured.
int measure_takeovers(const std::string& program, int rounds, int candidates) {
  std::printf(
      "time from the fault to the start of the next owner, %d rounds each, %d candidates, ttl %lld ms, "
      "default turn_ms (real processes)\n",
      rounds, candidates, static_cast<long long>(kTakeoverTtlMs));
  std::printf("%-10s %9s %9s %9s %22s\n", "fault", "p50 ms", "p99 ms", "worst ms", "the lease allows, least");
  int missing = 0;
  for (const std::string fault : {"kill", "stop", "cut", "drain"}) {
    try {
      measure_takeover_row(program, fault, rounds, candidates);
    } catch (const std::runtime_error& error) {
      std::printf("%-10s not measured: %s\n", fault.c_str(), error.what());
      std::fflush(stdout);
      ++missing;
    }
  }
  return missing;
}

// Prints how many shards change their owner when a member joins or leaves.
void measure_moves() {
  std::printf("shards of 1,000 that move when one member joins or leaves, and the least possible number\n");
  std::printf("%8s %10s %10s %14s %14s\n", "members", "goes", "least", "comes", "least");
  for (const int size : {3, 10, 30, 100, 300}) {
    std::vector<std::string> members;
    members.reserve(static_cast<std::size_t>(size));
    for (int i = 0; i < size; ++i) {
      members.push_back("router" + std::to_string(i));
    }
    std::vector<std::string> fewer(members.begin() + 1, members.end());
    std::size_t owned = 0;
    for (std::size_t i = 0; i < 1'000; ++i) {
      owned += ownership::preferred_owner("w", i, members) == members[0] ? 1 : 0;
    }
    std::printf("%8d %10zu %10zu %14zu %14zu\n", size,
                ownership::count_moved_shards("w", 1'000, members, fewer), owned,
                ownership::count_moved_shards("w", 1'000, fewer, members), owned);
  }
}

// ---- Random schedules of faults ----

// Returns the state of the first shard of the work, or an empty object if the store did not answer.
json read_first_shard(FleetBench& bench, const std::string& work) {
  program::WorkCommand command;
  command.action = "show";
  command.name = work;
  std::string output;
  return bench.run_work_command(command, output) == 0 ? json::parse(output)["shards"][0] : json::object();
}

// Returns a fleet of four routers with times so short that leases expire during a schedule.
fleet::FleetSpec schedule_fleet() {
  fleet::FleetSpec spec = bench::flat_fleet(4);
  spec.ownership = {{"ttl_ms", 1'500},
                    {"renew_ms", 400},
                    {"retry_ms", 100},
                    {"turn_ms", 50},
                    {"longest_turn_ms", 500},
                    {"settle_ms", 3'000},
                    {"neighbours", 0},
                    {"member_ttl_ms", 1'500},
                    {"member_renew_ms", 400},
                    {"poison_pause_ms", 50},
                    {"longest_poison_pause_ms", 100},
                    {"most_starts", 100},
                    {"fill_tries", 50},
                    {"fill_retry_ms", 50},
                    {"flap_suppress", 1'000.0}};
  spec.coordination = {{"call_ms", 400}, {"rest_ms", 50}, {"longest_rest_ms", 300}};
  return spec;
}

std::vector<fleet::Fault> draw_schedule(FleetBench& bench, std::uint64_t seed) {
  fleet::RandomScriptOptions options;
  options.processes = bench.layout().names(Kind::kRouter);
  options.processes.push_back("registry");
  options.processes.push_back("cache0");
  for (const fleet::FaultProxy* link : bench.scenario().links()) {
    options.links.push_back(link->name());
  }
  options.length_ms = 9'000;
  options.faults = 8;
  options.max_fault_ms = 3'000;
  return fleet::random_script(options, seed);
}

// Returns the fault script and the logs of all processes in one text.
std::string script_and_logs(FleetBench& bench, const std::vector<fleet::Fault>& script) {
  std::string out = "\n" + fleet::write_script(script);
  for (const fleet::Member& member : bench.layout().members()) {
    std::ifstream file(bench.layout().log_file(member.name));
    out += "== " + member.name + "\n" +
           std::string{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  }
  return out;
}

// Runs the schedule of the seed against real processes. Returns 0 if all checks passed. Otherwise returns 1
// and sets `failure` to the failed check, the fault script and all logs.
int run_schedule(const std::string& program, std::uint64_t seed, std::string& failure) {
  FleetBench bench(schedule_fleet(), program, {"router*>registry", "*>cache0"});
  bench.allow_store_end();
  bench.add_fill_work("w", 150, 20.0);
  const std::vector<fleet::Fault> script = draw_schedule(bench, seed);
  bench.scenario().start_script(script);
  std::uint64_t max_filled = 0;
  // Sets `failure` if the progress of the work decreased. Returns whether the work is done.
  const auto check_progress = [&]() -> bool {
    if (!bench.supervisor().alive("registry")) {
      return false;
    }
    const json shard = read_first_shard(bench, "w");
    const json checkpoint = json::parse(shard.value("checkpoint", std::string()), nullptr, false);
    const std::uint64_t filled = checkpoint.is_object() ? checkpoint.value("filled", std::uint64_t{0}) : 0;
    if (checkpoint.is_object() && filled < max_filled) {
      failure = "progress decreased from " + std::to_string(max_filled) + " to " + std::to_string(filled);
    }
    max_filled = std::max(max_filled, filled);
    return shard.value("state", std::string()) == "done";
  };
  const Clock::time_point start = Clock::now();
  bool done = false;
  while (failure.empty() && Clock::now() - start < kAwaitTimeout &&
         !(done && bench.scenario().script_finished())) {
    bench.scenario().apply_due_faults();
    bench.run_for(milliseconds(5));
    // Operator commands connect to the store without a fault proxy. The script can suspend the store, which
    // then does not answer them, so they run only after the end of the script.
    const auto elapsed = std::chrono::duration_cast<milliseconds>(Clock::now() - start);
    if (bench.scenario().script_finished() || elapsed.count() % 500 < 10) {
      done = bench.scenario().script_finished() && check_progress();
    }
  }
  for (const std::string& line : fleet::find_token_regressions("cache0", bench.layout().log_file("cache0"))) {
    failure = "a fencing token decreased at the receiver: " + line;
  }
  if (failure.empty() && !done) {
    failure = "the work was not done within the time limit";
  }
  if (!failure.empty()) {
    failure += script_and_logs(bench, script);
  }
  return failure.empty() ? 0 : 1;
}

// Runs schedules with consecutive seeds. Returns the number of schedules that failed or could not be run.
int run_schedules(const std::string& program, std::uint64_t first_seed, int count) {
  int failed = 0;
  for (int i = 0; i < count; ++i) {
    std::string failure;
    const std::uint64_t seed = first_seed + static_cast<std::uint64_t>(i);
    try {
      failed += run_schedule(program, seed, failure);
    } catch (const std::runtime_error& error) {
      failure = error.what();
      ++failed;
    }
    if (!failure.empty()) {
      std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), failure.c_str());
      std::fflush(stdout);
    }
  }
  if (count > 0) {
    std::printf("%d schedules from seed %llu, %d failed\n", count,
                static_cast<unsigned long long>(first_seed), failed);
  }
  return failed;
}

int run(const cxxopts::ParseResult& parsed) {
  const std::string program = std::filesystem::absolute(parsed["program"].as<std::string>());
  const bench::Topology topology{parsed.count("flat") > 0, parsed["regions"].as<int>()};
  int missing = 0;
  if (parsed.count("moves") > 0) {
    measure_moves();
  }
  if (const int rounds = parsed["takeover"].as<int>(); rounds > 0) {
    missing += measure_takeovers(program, rounds, parsed["candidates"].as<int>());
  }
  if (parsed.count("rest") > 0) {
    missing += bench::measure_idle_fleets(program, parsed["rest"].as<std::vector<int>>(), topology);
  }
  if (parsed.count("policy") > 0) {
    std::vector<bench::ChangeCalls> calls_all_up;
    missing +=
        bench::measure_policy(program, parsed["policy"].as<std::vector<int>>(), topology, calls_all_up);
    if (parsed.count("write") > 0) {
      bench::save_change_calls(parsed["write"].as<std::string>(), calls_all_up,
                               parsed["command"].as<std::string>());
    }
  }
  if (parsed.count("acknowledge") > 0) {
    const auto sizes = parsed["acknowledge"].as<std::vector<int>>();
    missing += bench::measure_acknowledgements(program, sizes, topology);
  }
  const int failed =
      run_schedules(program, parsed["seed"].as<std::uint64_t>(), parsed["schedules"].as<int>());
  return failed > 0 ? kScheduleFailed : missing > 0 ? kRowMissing : 0;
}

int run_command_line(int argc, char** argv) {
  cxxopts::Options options("ownership_bench", "Measures ownership with real processes.");
  options.add_options()("program", "path of the trailcourse program",
                        cxxopts::value<std::string>()->default_value("build/trailcourse"))(
      "takeover", "measure takeovers, with this number of rounds for each fault",
      cxxopts::value<int>()->default_value("0"))("candidates", "number of routers in the fleet of --takeover",
                                                 cxxopts::value<int>()->default_value("30"))(
      "rest", "measure idle fleets of these sizes", cxxopts::value<std::vector<int>>())(
      "moves", "count the shards that move when a member joins or leaves")(
      "policy", "measure policy changes in fleets of these sizes", cxxopts::value<std::vector<int>>())(
      "write", "JSON file of slopes in which the results of --policy are saved",
      cxxopts::value<std::string>())(
      "command", "command line that --write records in the file",
      cxxopts::value<std::string>()->default_value("ownership_bench --policy"))(
      "acknowledge", "measure the acknowledgement of purges in fleets of these sizes",
      cxxopts::value<std::vector<int>>())(
      "flat",
      "for --rest, --policy and --acknowledge: routers connect to the store directly, without aggregators")(
      "regions",
      "for --rest, --policy and --acknowledge: number of regions, each with an aggregator; 0: one "
      "for each 50 routers, at least two",
      cxxopts::value<int>()->default_value("0"))("schedules", "number of random schedules of faults",
                                                 cxxopts::value<int>()->default_value("0"))(
      "seed", "seed of the first schedule", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "h,help", "print this help");
  try {
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help() << '\n';
      return 0;
    }
    return run(parsed);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "ownership_bench: " << error.what() << '\n';
    return kUsageError;
  } catch (const std::exception& error) {
    std::cerr << "ownership_bench: " << error.what() << '\n';
    return kRowMissing;
  }
}

}  // namespace
}  // namespace trailcourse

int main(int argc, char** argv) { return trailcourse::run_command_line(argc, argv); }
