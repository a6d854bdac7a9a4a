// Measures ownership with real processes on loopback: how long work is without an owner after a kill, a stop,
// a cut and a drain; what a fleet asks of the store at rest and when an owner dies; what it costs a router;
// and drawn schedules of faults with checkers, replayed by their seed.
//
//     ownership_bench --program build/trailcourse --takeover 20
//     ownership_bench --program build/trailcourse --rest 10,100,300
//     ownership_bench --program build/trailcourse --policy 10,100,300
//     ownership_bench --program build/trailcourse --policy 10,100,300 --flat
//     ownership_bench --program build/trailcourse --acknowledge 30,100,300
//     ownership_bench --program build/trailcourse --schedules 50 --seed 1
//
// With --policy, --rest and --acknowledge routers reach the store by way of aggregators; with --flat each by
// itself. What cannot be measured is said in its row; the tool goes on, and ends with a status of its own.
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
#include "ownership/shard_assignment.h"
#include "policy_measurement.h"
#include "rest_measurement.h"

namespace trailcourse {
namespace {

using bench::FleetBench;
using bench::in_ms;
using bench::kAwaited;
using fleet::Kind;
using nlohmann::json;
using std::chrono::milliseconds;
using transport::Clock;

// Exit status beside 0: a drawn schedule failed, wrong use, a row could not be measured.
constexpr int kScheduleFailed = 1;
constexpr int kWrongUse = 2;
constexpr int kRowMissing = 3;

double at(std::vector<double> all, double share) {
  std::sort(all.begin(), all.end());
  return all.empty() ? 0.0
                     : all[std::min(all.size() - 1,
                                    static_cast<std::size_t>(share * static_cast<double>(all.size())))];
}

// ---- Without an owner ----

constexpr std::int64_t kTakeoverTtlMs = 2'000;
constexpr const char* kOwnerBegins = "starts w/0";

fleet::FleetSpec takeover_shape(int candidates) {
  fleet::FleetSpec shape = bench::flat_shape(candidates);
  shape.ownership = {{"ttl_ms", kTakeoverTtlMs}, {"renew_ms", 600},        {"retry_ms", 200},
                     {"settle_ms", 600'000},     {"member_ttl_ms", 3'000}, {"member_renew_ms", 1'000},
                     {"neighbours", 0},          {"most_starts", 100},     {"flap_suppress", 1'000.0}};
  shape.coordination = {{"call_ms", 500}};
  return shape;
}

void fault_link(FleetBench& bench, const std::string& line) {
  bench.scenario().apply(fleet::read_script("0 " + line).at(0));
}

// One fault of the owner, until another begins; how long that took. Throws NotMeasured.
double take_over_once(FleetBench& bench, const std::string& fault) {
  const auto [owner, before] = bench.begun(kOwnerBegins);
  bench.run_for(milliseconds(700));  // it renews meanwhile, and its checkpoint takes its start back
  const Clock::time_point from = Clock::now();
  if (fault == "kill") {
    bench.supervisor().kill(owner);
  } else if (fault == "stop") {
    bench.supervisor().signal(owner, SIGSTOP);
  } else if (fault == "cut") {
    fault_link(bench, "cut " + owner + ">registry both");
  } else {
    bench.supervisor().signal(owner, SIGTERM);
  }
  bench.await("another owner", [&, seen = before] { return bench.begun(kOwnerBegins).second > seen; });
  const double took = in_ms(Clock::now() - from);
  if (fault == "stop") {
    bench.supervisor().signal(owner, SIGCONT);
  } else if (fault == "cut") {
    fault_link(bench, "heal " + owner + ">registry");
  } else {
    bench.await("the end of " + owner, [&, name = owner] { return !bench.supervisor().alive(name); });
    bench.supervisor().start(owner);
    bench.supervisor().await_up(owner, kAwaited);
  }
  bench.run_for(milliseconds(200));
  return took;
}

void print_takeover(const std::string& program, const std::string& fault, int rounds, int candidates) {
  FleetBench bench(takeover_shape(candidates), program, {"router*>registry"});
  bench.fill("w", 10'000, 20.0);
  bench.await("the first owner", [&] { return bench.begun(kOwnerBegins).second > 0; });
  std::vector<double> times;
  times.reserve(static_cast<std::size_t>(rounds));
  for (int round = 0; round < rounds; ++round) {
    times.push_back(take_over_once(bench, fault));
  }
  // After a renewal at time 0 a fault comes 0 to 600 ms later; the lease stands for the rest.
  std::printf("%-10s %9.0f %9.0f %9.0f %22s\n", fault.c_str(), at(times, 0.5), at(times, 0.99),
              *std::max_element(times.begin(), times.end()), fault == "drain" ? "0" : "1400 to 2000");
  const auto broken = fleet::find_token_regressions("cache0", bench.layout().log_file("cache0"));
  std::printf("           terms that went back at the receiver: %zu\n", broken.size());
  std::fflush(stdout);
}

// Gives how many rows could not be measured.
int measure_takeover(const std::string& program, int rounds, int candidates) {
  std::printf(
      "time from the fault to the next owner's beginning, %d rounds each, %d candidates, ttl %lld ms, "
      "default turns (real processes)\n",
      rounds, candidates, static_cast<long long>(kTakeoverTtlMs));
  std::printf("%-10s %9s %9s %9s %22s\n", "fault", "p50 ms", "p99 ms", "worst ms", "the lease allows, least");
  int missing = 0;
  for (const std::string fault : {"kill", "stop", "cut", "drain"}) {
    try {
      print_takeover(program, fault, rounds, candidates);
    } catch (const std::runtime_error& error) {
      std::printf("%-10s not measured: %s\n", fault.c_str(), error.what());
      std::fflush(stdout);
      ++missing;
    }
  }
  return missing;
}

void measure_moves() {
  std::printf("shards that move when one member comes or goes, of 1,000, against the least possible\n");
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

// ---- Drawn schedules ----

json shard_of(FleetBench& bench, const std::string& work) {
  program::WorkCommand command;
  command.action = "show";
  command.name = work;
  std::string said;
  return bench.work(command, said) == 0 ? json::parse(said)["shards"][0] : json::object();
}

// Four routers with times so short that leases end within a schedule.
fleet::FleetSpec schedule_shape() {
  fleet::FleetSpec shape = bench::flat_shape(4);
  shape.ownership = {{"ttl_ms", 1'500},
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
  shape.coordination = {{"call_ms", 400}, {"rest_ms", 50}, {"longest_rest_ms", 300}};
  return shape;
}

std::vector<fleet::Fault> drawn_schedule(FleetBench& bench, std::uint64_t seed) {
  fleet::RandomScriptOptions draw;
  draw.processes = bench.layout().names(Kind::kRouter);
  draw.processes.push_back("registry");
  draw.processes.push_back("cache0");
  for (const fleet::FaultProxy* link : bench.scenario().links()) {
    draw.links.push_back(link->name());
  }
  draw.length_ms = 9'000;
  draw.faults = 8;
  draw.max_fault_ms = 3'000;
  return fleet::random_script(draw, seed);
}

// The script and the logs of all processes.
std::string evidence_of(FleetBench& bench, const std::vector<fleet::Fault>& script) {
  std::string out = "\n" + fleet::write_script(script);
  for (const fleet::Member& member : bench.layout().members()) {
    std::ifstream file(bench.layout().log_file(member.name));
    out += "== " + member.name + "\n" +
           std::string{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  }
  return out;
}

int run_schedule(const std::string& program, std::uint64_t seed, std::string& what) {
  FleetBench bench(schedule_shape(), program, {"router*>registry", "*>cache0"});
  bench.let_store_end();
  bench.fill("w", 150, 20.0);
  const std::vector<fleet::Fault> script = drawn_schedule(bench, seed);
  bench.scenario().start_script(script);
  std::uint64_t most = 0;
  const auto look = [&]() -> bool {
    if (!bench.supervisor().alive("registry")) {
      return false;
    }
    const json seen = shard_of(bench, "w");
    const json checkpoint = json::parse(seen.value("checkpoint", std::string()), nullptr, false);
    const std::uint64_t filled = checkpoint.is_object() ? checkpoint.value("filled", std::uint64_t{0}) : 0;
    if (checkpoint.is_object() && filled < most) {
      what = "progress went back from " + std::to_string(most) + " to " + std::to_string(filled);
    }
    most = std::max(most, filled);
    return seen.value("state", std::string()) == "done";
  };
  const Clock::time_point begun = Clock::now();
  bool done = false;
  while (what.empty() && Clock::now() - begun < kAwaited && !(done && bench.scenario().script_finished())) {
    bench.scenario().apply_due_faults();
    bench.run_for(milliseconds(5));
    // Staff ask the store itself, past the proxies; a stopped store answers nobody.
    const auto since = std::chrono::duration_cast<milliseconds>(Clock::now() - begun);
    if (bench.scenario().script_finished() || since.count() % 500 < 10) {
      done = bench.scenario().script_finished() && look();
    }
  }
  for (const std::string& line : fleet::find_token_regressions("cache0", bench.layout().log_file("cache0"))) {
    what = "a term went back at the receiver: " + line;
  }
  if (what.empty() && !done) {
    what = "the work was not done long after the last fault";
  }
  if (!what.empty()) {
    what += evidence_of(bench, script);
  }
  return what.empty() ? 0 : 1;
}

// Gives how many failed; what cannot be played fails too.
int run_schedules(const std::string& program, std::uint64_t first, int count) {
  int failed = 0;
  for (int i = 0; i < count; ++i) {
    std::string what;
    const std::uint64_t seed = first + static_cast<std::uint64_t>(i);
    try {
      failed += run_schedule(program, seed, what);
    } catch (const std::runtime_error& error) {
      what = error.what();
      ++failed;
    }
    if (!what.empty()) {
      std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), what.c_str());
      std::fflush(stdout);
    }
  }
  if (count > 0) {
    std::printf("%d schedules from seed %llu, %d failed\n", count, static_cast<unsigned long long>(first),
                failed);
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
    missing += measure_takeover(program, rounds, parsed["candidates"].as<int>());
  }
  if (parsed.count("rest") > 0) {
    missing += bench::measure_rest(program, parsed["rest"].as<std::vector<int>>(), topology);
  }
  if (parsed.count("policy") > 0) {
    std::vector<bench::ChangeCalls> all_up;
    missing += bench::measure_policy(program, parsed["policy"].as<std::vector<int>>(), topology, all_up);
    if (parsed.count("write") > 0) {
      bench::save_change_calls(parsed["write"].as<std::string>(), all_up,
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

int main_of(int count, char** words) {
  cxxopts::Options options("ownership_bench", "Measures ownership with real processes.");
  options.add_options()("program", "the program",
                        cxxopts::value<std::string>()->default_value("build/trailcourse"))(
      "takeover", "rounds of each fault", cxxopts::value<int>()->default_value("0"))(
      "candidates", "routers of --takeover", cxxopts::value<int>()->default_value("30"))(
      "rest", "sizes of the fleet", cxxopts::value<std::vector<int>>())("moves", "shards that move")(
      "policy", "sizes of the fleet", cxxopts::value<std::vector<int>>())(
      "write", "of --policy: the file of slopes", cxxopts::value<std::string>())(
      "command", "that is recorded with them",
      cxxopts::value<std::string>()->default_value("ownership_bench --policy"))(
      "acknowledge", "sizes of the fleet: until a purge is known to be taken in everywhere",
      cxxopts::value<std::vector<int>>())(
      "flat", "of --rest, --policy and --acknowledge: no aggregators, each router asks the store")(
      "regions", "of --rest and --policy, an aggregator each; 0: one for each 50 routers, two at least",
      cxxopts::value<int>()->default_value("0"))("schedules", "so many drawn ones",
                                                 cxxopts::value<int>()->default_value("0"))(
      "seed", "the first", cxxopts::value<std::uint64_t>()->default_value("1"))("h,help", "this");
  try {
    const cxxopts::ParseResult parsed = options.parse(count, words);
    if (parsed.count("help") > 0) {
      std::cout << options.help() << '\n';
      return 0;
    }
    return run(parsed);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "ownership_bench: " << error.what() << '\n';
    return kWrongUse;
  } catch (const std::exception& error) {
    std::cerr << "ownership_bench: " << error.what() << '\n';
    return kRowMissing;
  }
}

}  // namespace
}  // namespace trailcourse

int main(int count, char** words) { return trailcourse::main_of(count, words); }
