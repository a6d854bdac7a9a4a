// Measures ownership with real processes on loopback: how long work is without an owner after a kill, a stop,
// a cut and a drain; what a fleet asks of the store at rest and when an owner dies; what it costs a router;
// and drawn schedules of faults with checkers, replayed by their seed.
//
//     ownership_bench --program build/trailcourse --takeover 20
//     ownership_bench --program build/trailcourse --rest 10,100,300
//     ownership_bench --program build/trailcourse --policy 10,100,300
//     ownership_bench --program build/trailcourse --schedules 50 --seed 1
#include <dirent.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

#include "fleet/layout.h"
#include "fleet/load.h"
#include "fleet/ports.h"
#include "fleet/scenario.h"
#include "fleet/term_check.h"
#include "ownership/shards.h"
#include "program/policy_command.h"
#include "program/work_command.h"

namespace trailcourse {
namespace {

using fleet::Kind;
using nlohmann::json;
using std::chrono::milliseconds;
using transport::Clock;

constexpr milliseconds kAwaited{90'000};

// A fleet with a store in a folder of its own, and staff that look at it.
class Bench {
 public:
  Bench(const fleet::Shape& shape, const std::string& program, const std::vector<std::string>& proxied) {
    static int made = 0;
    folder_ = std::filesystem::temp_directory_path() /
              ("ownership-bench-" + std::to_string(::getpid()) + "-" + std::to_string(++made));
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
    layout = std::make_unique<fleet::Layout>(shape, folder_, ports_);
    scenario = std::make_unique<fleet::Scenario>(scheduler, *layout, ports_, program, proxied);
    for (const Kind kind : {Kind::kRegistry, Kind::kBoard, Kind::kOrigin, Kind::kCache, Kind::kRouter}) {
      scenario->fleet().start_all(kind);
      for (const std::string& name : layout->names(kind)) {
        if (!scenario->fleet().await_up(name, kAwaited)) {
          throw std::runtime_error(name + " did not come up: " + scenario->fleet().log(name));
        }
      }
    }
  }
  ~Bench() {
    scenario.reset();
    std::filesystem::remove_all(folder_);
  }

  int work(program::WorkCommand command, std::string& said) {
    command.store.store = "etcd";
    command.store.endpoints = {layout->member("registry").address};
    command.json = true;
    std::ostringstream out;
    std::ostringstream errors;
    const int status = run_work_command(command, out, errors);
    said = out.str() + errors.str();
    return status;
  }
  json shard(const std::string& name) {
    program::WorkCommand command;
    command.action = "show";
    command.name = name;
    std::string said;
    return work(command, said) == 0 ? json::parse(said)["shards"][0] : json::object();
  }
  void fill(const std::string& name, int objects, double rate) {
    program::WorkCommand command;
    command.action = "add";
    command.name = name;
    command.kind = "fill";
    command.request_class = "media";
    command.objects_per_s = rate;
    for (int i = 0; i < objects; ++i) {
      char text[17];
      std::snprintf(text, sizeof text, "%016x", 0x5000 + i);
      command.objects.push_back(text);
    }
    std::string said;
    if (work(command, said) != 0) {
      throw std::runtime_error(said);
    }
  }
  bool until(const std::function<bool()>& done, milliseconds longest = kAwaited) {
    return scenario->fleet().until(done, longest);
  }
  void run_for(milliseconds time) {
    until([] { return false; }, time);
  }
  // The router whose log says last that it began, and how often any did.
  std::pair<std::string, std::size_t> begun(const std::string& words) {
    std::string last;
    std::size_t count = 0;
    std::string latest;
    for (const std::string& router : layout->names(Kind::kRouter)) {
      std::ifstream file(layout->log_file(router));
      for (std::string line; std::getline(file, line);) {
        if (line.find(words) != std::string::npos) {
          ++count;
          if (line >= latest) {
            latest = line;
            last = router;
          }
        }
      }
    }
    return {last, count};
  }
  // Figures of the registry's log, asked for now.
  std::map<std::string, std::uint64_t> store_figures() {
    const std::size_t before = scenario->fleet().log("registry").size();
    scenario->fleet().signal("registry", SIGHUP);
    std::string line;
    until([&] {
      const std::string log = scenario->fleet().log("registry");
      const std::size_t at = log.find("revision=", before);
      line = at == std::string::npos ? "" : log.substr(at, log.find('\n', at) - at);
      return !line.empty();
    });
    std::map<std::string, std::uint64_t> out;
    std::istringstream words(line);
    for (std::string word; words >> word;) {
      const std::size_t equals = word.find('=');
      out[word.substr(0, equals)] = std::strtoull(word.c_str() + equals + 1, nullptr, 10);
    }
    return out;
  }
  const std::string& folder() const { return folder_; }

  transport::Scheduler scheduler;
  std::unique_ptr<fleet::Layout> layout;
  std::unique_ptr<fleet::Scenario> scenario;

 private:
  fleet::PortBook ports_;
  std::string folder_;
};

fleet::Shape shape_of(int routers, bool store) {
  fleet::Shape shape;
  shape.routers = routers;
  shape.caches = 1;
  shape.parents = 0;
  shape.disk = true;
  shape.registry = store;
  return shape;
}

double ms(Clock::duration time) { return std::chrono::duration<double, std::milli>(time).count(); }

double at(std::vector<double> all, double share) {
  std::sort(all.begin(), all.end());
  return all.empty() ? 0.0
                     : all[std::min(all.size() - 1,
                                    static_cast<std::size_t>(share * static_cast<double>(all.size())))];
}

// ---- Without an owner ----

void measure_takeover(const std::string& program, int rounds, int candidates) {
  constexpr std::int64_t kTtl = 2'000;
  std::printf(
      "time from the fault to the next owner's beginning, %d rounds each, %d candidates, ttl %lld ms, "
      "default turns (real processes)\n",
      rounds, candidates, static_cast<long long>(kTtl));
  std::printf("%-10s %9s %9s %9s %22s\n", "fault", "p50 ms", "p99 ms", "worst ms", "the lease allows, least");
  for (const std::string fault : {"kill", "stop", "cut", "drain"}) {
    fleet::Shape shape = shape_of(candidates, true);
    shape.ownership = {{"ttl_ms", kTtl},       {"renew_ms", 600},        {"retry_ms", 200},
                       {"settle_ms", 600'000}, {"member_ttl_ms", 3'000}, {"member_renew_ms", 1'000},
                       {"neighbours", 0},      {"most_starts", 100},     {"flap_suppress", 1'000.0}};
    shape.coordination = {{"call_ms", 500}};
    Bench bench(shape, program, {"router*>registry"});
    bench.fill("w", 100'000 / 10, 20.0);
    const std::string words = "begins w/0";
    bench.until([&] { return bench.begun(words).second > 0; });
    std::vector<double> times;
    for (int round = 0; round < rounds; ++round) {
      const auto [owner, before] = bench.begun(words);
      bench.run_for(milliseconds(700));  // it renews meanwhile, and its checkpoint takes its start back
      const Clock::time_point from = Clock::now();
      if (fault == "kill") {
        bench.scenario->fleet().kill(owner);
      } else if (fault == "stop") {
        bench.scenario->fleet().signal(owner, SIGSTOP);
      } else if (fault == "cut") {
        bench.scenario->apply(fleet::read_script("0 cut " + owner + ">registry both").at(0));
      } else {
        bench.scenario->fleet().signal(owner, SIGTERM);
      }
      const bool came = bench.until([&, seen = before] { return bench.begun(words).second > seen; });
      times.push_back(came ? ms(Clock::now() - from) : ms(kAwaited));
      if (fault == "stop") {
        bench.scenario->fleet().signal(owner, SIGCONT);
      } else if (fault == "cut") {
        bench.scenario->apply(fleet::read_script("0 heal " + owner + ">registry").at(0));
      } else {
        bench.until([&] { return !bench.scenario->fleet().alive(owner); });
        bench.scenario->fleet().start(owner);
        bench.scenario->fleet().await_up(owner, kAwaited);
      }
      bench.run_for(milliseconds(200));
    }
    // After a renewal at time 0 a fault comes 0 to 600 ms later; the lease stands for the rest.
    std::printf("%-10s %9.0f %9.0f %9.0f %22s\n", fault.c_str(), at(times, 0.5), at(times, 0.99),
                *std::max_element(times.begin(), times.end()), fault == "drain" ? "0" : "1400 to 2000");
    const auto broken = fleet::broken_terms("cache0", bench.layout->log_file("cache0"));
    std::printf("           terms that went back at the receiver: %zu\n", broken.size());
    std::fflush(stdout);
  }
}

// ---- At rest ----

struct Cost {
  double rss_kb = 0.0, cpu_ms_per_s = 0.0, sockets = 0.0;
};

Cost cost_of(Bench& bench, double seconds, std::map<std::string, double>& cpu_before) {
  Cost sum;
  const auto routers = bench.layout->names(Kind::kRouter);
  for (const std::string& router : routers) {
    const std::string proc = "/proc/" + std::to_string(bench.scenario->fleet().pid(router));
    std::ifstream status(proc + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.starts_with("RssAnon:")) {
        sum.rss_kb += std::strtod(line.c_str() + 8, nullptr);
      }
    }
    std::ifstream stat(proc + "/stat");
    std::string text{std::istreambuf_iterator<char>(stat), std::istreambuf_iterator<char>()};
    std::istringstream words(text.substr(text.rfind(')') + 2));
    std::string word;
    double ticks = 0.0;
    for (int i = 0; i < 13 && words >> word; ++i) {
      ticks += i >= 11 ? std::strtod(word.c_str(), nullptr) : 0.0;
    }
    const double cpu = ticks * 1e3 / static_cast<double>(::sysconf(_SC_CLK_TCK));
    if (seconds > 0.0) {
      sum.cpu_ms_per_s += (cpu - cpu_before[router]) / seconds;
    }
    cpu_before[router] = cpu;
    for (const auto& entry : std::filesystem::directory_iterator(proc + "/fd")) {
      std::error_code none;
      sum.sockets +=
          std::filesystem::read_symlink(entry.path(), none).string().starts_with("socket:") ? 1 : 0;
    }
  }
  const auto count = static_cast<double>(routers.size());
  return {sum.rss_kb / count, sum.cpu_ms_per_s / count, sum.sockets / count};
}

void measure_rest(const std::string& program, const std::vector<int>& sizes) {
  std::printf(
      "a router at rest, and what the store is asked (real processes, default times; report_ms 10,000)\n");
  std::printf("%8s %-9s %11s %14s %9s %12s %14s %16s\n", "routers", "store", "anon KB", "CPU ms a s",
              "sockets", "calls a s", "renewals a s", "calls at a death");
  for (const int size : sizes) {
    for (const bool store : {false, true}) {
      fleet::Shape shape = shape_of(size, store);
      shape.sockets = 256;
      Bench bench(shape, program, {});
      if (store) {
        bench.fill("w", 10'000, 1.0);
        program::WorkCommand report;
        report.action = "add";
        report.name = "counts";
        report.kind = "report";
        std::string said;
        bench.work(report, said);
      }
      bench.run_for(milliseconds(8'000));
      std::map<std::string, double> cpu;
      cost_of(bench, 0.0, cpu);
      const auto before = store ? bench.store_figures() : std::map<std::string, std::uint64_t>{};
      constexpr double kSpan = 20.0;
      bench.run_for(milliseconds(20'000));
      const Cost cost = cost_of(bench, kSpan, cpu);
      double calls = 0.0;
      double renewals = 0.0;
      std::uint64_t death = 0;
      if (store) {
        auto after = bench.store_figures();
        auto first = before;
        calls = static_cast<double>(after["calls"] - first["calls"]) / kSpan;
        renewals = static_cast<double>(after["renewals"] - first["renewals"]) / kSpan;
        const auto [owner, count] = bench.begun("begins w/0");
        const auto from = bench.store_figures();
        const Clock::time_point killed = Clock::now();
        bench.scenario->fleet().kill(owner);
        bench.until([&, seen = count] { return bench.begun("begins w/0").second > seen; });
        const double seconds = ms(Clock::now() - killed) / 1e3;
        auto to = bench.store_figures();
        auto start = from;
        // Beside what the others ask for anyway.
        const double extra = static_cast<double>(to["calls"] - start["calls"]) - calls * seconds;
        death = extra > 0.0 ? static_cast<std::uint64_t>(extra) : 0;
      }
      std::printf("%8d %-9s %11.0f %14.2f %9.1f %12.1f %14.1f %16llu\n", size, store ? "registry" : "none",
                  cost.rss_kb, cost.cpu_ms_per_s, cost.sockets, calls, renewals,
                  static_cast<unsigned long long>(death));
      std::fflush(stdout);
    }
  }
}

void measure_moves() {
  std::printf("shards that move when one member comes or goes, of 1,000, against the least possible\n");
  std::printf("%8s %10s %10s %14s %14s\n", "members", "goes", "least", "comes", "least");
  for (const int size : {3, 10, 30, 100, 300}) {
    std::vector<std::string> members;
    for (int i = 0; i < size; ++i) {
      members.push_back("router" + std::to_string(i));
    }
    std::vector<std::string> fewer(members.begin() + 1, members.end());
    std::size_t owned = 0;
    for (std::size_t i = 0; i < 1'000; ++i) {
      owned += ownership::owner_of("w", i, members) == members[0] ? 1 : 0;
    }
    std::printf("%8d %10zu %10zu %14zu %14zu\n", size, ownership::moved("w", 1'000, members, fewer), owned,
                ownership::moved("w", 1'000, fewer, members), owned);
  }
}

// ---- Changes of policy ----

void measure_policy(const std::string& program, const std::vector<int>& sizes) {
  std::printf(
      "a change of policy from its proposal to done, default times (ttl 3,000 ms), 500 requests a second "
      "over the "
      "fleet (real processes)\n");
  std::printf("%8s %-22s %9s %12s %10s %9s %9s %12s\n", "routers", "case", "ms", "store calls", "requests",
              "by both", "refused", "order broken");
  for (const int size : sizes) {
    fleet::Shape shape = shape_of(size, true);
    shape.disk = false;
    shape.sockets = 256;
    shape.policy = {{"ttl_ms", 3'000}};
    Bench bench(shape, program, {});
    const auto routers = bench.layout->names(Kind::kRouter);
    const auto policy = [&](program::PolicyCommand command, std::string& said) {
      command.store.store = "etcd";
      command.store.endpoints = {bench.layout->member("registry").address};
      command.json = true;
      std::ostringstream out;
      std::ostringstream errors;
      const int status = run_policy_command(command, out, errors);
      said = out.str() + errors.str();
      return status;
    };
    const auto status = [&] {
      program::PolicyCommand command;
      command.action = "status";
      std::string said;
      return policy(command, said) == 0 ? json::parse(said) : json::object();
    };
    bench.until([&] {
      bench.run_for(milliseconds(100));
      return status()["permits"].size() >= static_cast<std::size_t>(size);
    });
    fleet::Load load(bench.scheduler, fleet::Load::Options{}, 1);
    double worth = 1.0;
    for (const std::string which : {"all up", "one stopped", "a tenth killed before"}) {
      std::vector<std::string> living = routers;
      if (which == "one stopped") {
        bench.scenario->fleet().signal(living.back(), SIGSTOP);
        living.pop_back();
      } else if (which != "all up") {
        for (int i = 0; i < std::max(1, size / 10); ++i) {
          bench.scenario->fleet().kill(living.back());
          living.pop_back();
        }
        bench.run_for(milliseconds(3'500));
      }
      const std::string file = bench.folder() + "/draft.json";
      std::ofstream(file)
          << R"({"schema":1,"content":{"classes":{"media":{"objective_ms":2000,"give_up_ms":6000,"worth":)"
          << ++worth << "}}}}";
      const std::size_t first = load.all().size();
      std::size_t turn = 0;
      const auto ask = [&] {
        const std::string& router = living[turn++ % living.size()];
        load.ask(router, *transport::parse_address(bench.layout->member(router).address),
                 fleet::object_name(turn % 50));
      };
      const auto before = bench.store_figures();
      program::PolicyCommand propose;
      propose.action = "propose";
      propose.file = file;
      std::string said;
      const Clock::time_point from = Clock::now();
      if (policy(propose, said) != 0) {
        throw std::runtime_error(said);
      }
      Clock::time_point next = from;
      double took = 0.0;
      bench.until([&] {
        while (next <= Clock::now()) {
          ask();
          next += milliseconds(2);
        }
        if (turn % 25 != 0) {
          return false;
        }
        const json change = status()["change"];
        const bool done = change.is_object() && change.value("state", std::string()) == "done";
        took = done ? ms(Clock::now() - from) : 0.0;
        return done;
      });
      auto after = bench.store_figures();
      auto start = before;
      bench.until([&] { return load.open() == 0; }, milliseconds(5'000));
      std::size_t both = 0;
      std::size_t refused = 0;
      std::vector<std::pair<std::int64_t, std::uint64_t>> order;
      for (std::size_t i = first; i < load.all().size(); ++i) {
        const fleet::Asked& asked = load.all()[i];
        both += asked.policy.find('+') != std::string::npos ? 1 : 0;
        refused += asked.policy == "-" ? 1 : 0;
        if (!asked.policy.empty() && asked.policy != "-" && asked.policy.find('+') == std::string::npos) {
          order.emplace_back(asked.decided_us, std::stoull(asked.policy));
        }
      }
      std::sort(order.begin(), order.end());
      std::size_t broken = 0;
      for (std::size_t i = 1; i < order.size(); ++i) {
        broken += order[i].second < order[i - 1].second ? 1 : 0;
      }
      std::printf("%8d %-22s %9.0f %12llu %10zu %9zu %9zu %12zu\n", size, which.c_str(), took,
                  static_cast<unsigned long long>(after["calls"] - start["calls"]), load.all().size() - first,
                  both, refused, broken);
      std::fflush(stdout);
      if (which == "one stopped") {
        bench.scenario->fleet().signal(routers.back(), SIGCONT);
        bench.run_for(milliseconds(1'000));
      }
    }
  }
}

// ---- Drawn schedules ----

int run_schedule(const std::string& program, std::uint64_t seed, std::string& what) {
  fleet::Shape shape = shape_of(4, true);
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
  Bench bench(shape, program, {"router*>registry", "*>cache0"});
  bench.fill("w", 150, 20.0);
  fleet::Draw draw;
  draw.processes = bench.layout->names(Kind::kRouter);
  draw.processes.push_back("registry");
  draw.processes.push_back("cache0");
  for (const fleet::FaultProxy* link : bench.scenario->links()) {
    draw.links.push_back(link->name());
  }
  draw.length_ms = 9'000;
  draw.faults = 8;
  draw.longest_ms = 3'000;
  const std::vector<fleet::Fault> script = fleet::draw_script(draw, seed);
  bench.scenario->begin(script);
  std::uint64_t most = 0;
  const auto look = [&]() -> bool {
    if (!bench.scenario->fleet().alive("registry")) {
      return false;
    }
    const json seen = bench.shard("w");
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
  while (what.empty() && Clock::now() - begun < kAwaited && !(done && bench.scenario->played())) {
    bench.scenario->play();
    bench.run_for(milliseconds(5));
    // Staff ask the store itself, past the proxies; a stopped store answers nobody.
    const auto since = std::chrono::duration_cast<milliseconds>(Clock::now() - begun);
    if (bench.scenario->played() || since.count() % 500 < 10) {
      done = bench.scenario->played() && look();
    }
  }
  for (const std::string& line : fleet::broken_terms("cache0", bench.layout->log_file("cache0"))) {
    what = "a term went back at the receiver: " + line;
  }
  if (what.empty() && !done) {
    what = "the work was not done long after the last fault";
  }
  if (!what.empty()) {
    what += "\n" + fleet::write_script(script);
    for (const fleet::Member& member : bench.layout->members()) {
      std::ifstream file(bench.layout->log_file(member.name));
      what += "== " + member.name + "\n" +
              std::string{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    }
  }
  return what.empty() ? 0 : 1;
}

int main_of(int count, char** words) {
  cxxopts::Options options("ownership_bench", "Measures ownership with real processes.");
  options.add_options()("program", "the program",
                        cxxopts::value<std::string>()->default_value("build/trailcourse"))(
      "takeover", "rounds of each fault", cxxopts::value<int>()->default_value("0"))(
      "candidates", "routers of --takeover", cxxopts::value<int>()->default_value("30"))(
      "rest", "sizes of the fleet", cxxopts::value<std::vector<int>>())("moves", "shards that move")(
      "policy", "sizes of the fleet", cxxopts::value<std::vector<int>>())(
      "schedules", "so many drawn ones", cxxopts::value<int>()->default_value("0"))(
      "seed", "the first", cxxopts::value<std::uint64_t>()->default_value("1"))("h,help", "this");
  const cxxopts::ParseResult parsed = options.parse(count, words);
  if (parsed.count("help") > 0) {
    std::cout << options.help() << '\n';
    return 0;
  }
  const std::string program = std::filesystem::absolute(parsed["program"].as<std::string>());
  if (parsed.count("moves") > 0) {
    measure_moves();
  }
  if (const int rounds = parsed["takeover"].as<int>(); rounds > 0) {
    measure_takeover(program, rounds, parsed["candidates"].as<int>());
  }
  if (parsed.count("rest") > 0) {
    measure_rest(program, parsed["rest"].as<std::vector<int>>());
  }
  if (parsed.count("policy") > 0) {
    measure_policy(program, parsed["policy"].as<std::vector<int>>());
  }
  int failed = 0;
  const auto first = parsed["seed"].as<std::uint64_t>();
  const int schedules = parsed["schedules"].as<int>();
  for (int i = 0; i < schedules; ++i) {
    std::string what;
    const std::uint64_t seed = first + static_cast<std::uint64_t>(i);
    failed += run_schedule(program, seed, what);
    if (!what.empty()) {
      std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), what.c_str());
      std::fflush(stdout);
    }
  }
  if (schedules > 0) {
    std::printf("%d schedules from seed %llu, %d failed\n", schedules, static_cast<unsigned long long>(first),
                failed);
  }
  return failed > 0 ? 1 : 0;
}

}  // namespace
}  // namespace trailcourse

int main(int count, char** words) { return trailcourse::main_of(count, words); }
