#include "fleet_bench.h"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace trailcourse::bench {

using fleet::Kind;
using nlohmann::json;
using std::chrono::milliseconds;
using transport::Clock;

namespace {

constexpr int kMostUnanswered = 10;  // looks in a row; each is given up after about a second

constexpr milliseconds kEndOfProcess{500};

}  // namespace

TemporaryFolder::TemporaryFolder() {
  static int made = 0;
  path_ = std::filesystem::temp_directory_path() /
          ("ownership-bench-" + std::to_string(::getpid()) + "-" + std::to_string(++made));
  std::filesystem::remove_all(path_);
  std::filesystem::create_directories(path_);
}

TemporaryFolder::~TemporaryFolder() {
  std::error_code none;
  std::filesystem::remove_all(path_, none);
}

Served served_between(const Figures& before, const Figures& after) {
  const auto grown = [&](const std::string& name) -> std::uint64_t {
    const auto first = before.find(name);
    const auto last = after.find(name);
    const std::uint64_t from = first == before.end() ? 0 : first->second;
    return last == after.end() || last->second < from ? 0 : last->second - from;
  };
  return {grown("calls"), grown("bytes_read") + grown("bytes_written")};
}

Served busiest(const std::map<std::string, Figures>& before, const std::map<std::string, Figures>& after) {
  Served most;
  for (const auto& [name, figures] : after) {
    const auto found = before.find(name);
    const Served served = served_between(found == before.end() ? Figures{} : found->second, figures);
    most = served.calls > most.calls ? served : most;
  }
  return most;
}

int measure_sizes(const std::vector<int>& sizes,
                  const std::function<void(int size, std::string& which)>& rows) {
  int missing = 0;
  for (const int size : sizes) {
    std::string which;
    try {
      rows(size, which);
    } catch (const std::runtime_error& error) {
      std::printf("%8d %-22s not measured: %s\n", size, which.c_str(), error.what());
      std::fflush(stdout);
      ++missing;
    }
  }
  return missing;
}

double in_ms(Clock::duration time) { return std::chrono::duration<double, std::milli>(time).count(); }

FleetBench::FleetBench(const fleet::FleetSpec& shape, const std::string& program,
                       const std::vector<std::string>& proxied)
    : layout_(std::make_unique<fleet::Layout>(shape, folder_.path(), ports_)),
      scenario_(std::make_unique<fleet::Scenario>(scheduler_, *layout_, ports_, program, proxied)) {
  for (const Kind kind : fleet::kStartOrder) {
    if (kind == Kind::kRouter) {
      await_aggregators();
    }
    supervisor().start_all(kind);
    for (const std::string& name : layout_->names(kind)) {
      if (!supervisor().await_up(name, kAwaited)) {
        const std::string log = supervisor().log(name);
        throw NotMeasured(name + " did not come up: " + log.substr(0, log.find('\n')));
      }
    }
  }
  needs_store_ = shape.has_coordination_server;
}

// Routers that come sooner go on to the next aggregator, and stay there.
void FleetBench::await_aggregators() {
  for (const std::string& name : layout_->names(Kind::kAggregator)) {
    await("permission of " + name, [&] { return report(name).find("permission=yes") != std::string::npos; });
  }
}

int FleetBench::work(program::WorkCommand command, std::string& said) {
  return ask_store(std::move(command), &program::run_work_command, said);
}

int FleetBench::policy(program::PolicyCommand command, std::string& said) {
  return ask_store(std::move(command), &program::run_policy_command, said);
}

template <typename Command, typename Run>
int FleetBench::ask_store(Command command, Run run, std::string& said) {
  command.store.store = "etcd";
  command.store.endpoints = {layout_->member("registry").address};
  command.json = true;
  std::ostringstream out;
  std::ostringstream errors;
  const int status = run(command, out, errors);
  said = out.str() + errors.str();
  return status;
}

std::string FleetBench::work(const program::WorkCommand& command) {
  std::string said;
  if (work(command, said) != 0) {
    fail("work " + command.action, said);
  }
  return said;
}

std::string FleetBench::policy(const program::PolicyCommand& command) {
  std::string said;
  if (policy(command, said) != 0) {
    fail("policy " + command.action, said);
  }
  return said;
}

void FleetBench::check_store() {
  if (needs_store_ && !supervisor().alive("registry")) {
    throw NotMeasured("the store has ended");
  }
}

// Of a store that ends, the connections are gone a moment before the process is.
void FleetBench::fail(const std::string& command, const std::string& said) {
  run_for(kEndOfProcess);
  throw NotMeasured(command + ": " + said.substr(0, said.find('\n')));
}

json FleetBench::policy_status() {
  program::PolicyCommand command;
  command.action = "status";
  std::string said;
  const bool answered = policy(command, said) == 0;
  unanswered_ = answered ? 0 : unanswered_ + 1;
  if (unanswered_ >= kMostUnanswered) {
    fail("policy status", said);
  }
  return answered ? json::parse(said) : json::object();
}

std::size_t FleetBench::permitted_routers() {
  if (layout_->spec().aggregators <= 0) {
    const json status = policy_status();
    return status.value("permits", json::array()).size();
  }
  std::size_t out = 0;
  for (auto& [name, figures] : aggregator_figures()) {
    out += static_cast<std::size_t>(figures["routers"]);
  }
  return out;
}

void FleetBench::fill(const std::string& name, int objects, double rate) {
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
  work(command);
}

bool FleetBench::until(const std::function<bool()>& done, milliseconds longest) {
  return supervisor().run_until(
      [&] {
        check_store();
        return done();
      },
      longest);
}

void FleetBench::await(const std::string& what, const std::function<bool()>& done, milliseconds longest) {
  if (!until(done, longest)) {
    throw NotMeasured(what + " did not come within " + std::to_string(longest.count()) + " ms");
  }
}

void FleetBench::run_for(milliseconds time) {
  until([] { return false; }, time);
}

std::pair<std::string, std::size_t> FleetBench::begun(const std::string& words) {
  std::string last;
  std::size_t count = 0;
  std::string latest;
  for (const std::string& router : layout_->names(Kind::kRouter)) {
    std::ifstream file(layout_->log_file(router));
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

std::string FleetBench::report(const std::string& member) {
  const std::size_t before = supervisor().log(member).size();
  supervisor().signal(member, SIGHUP);
  std::string line;
  await("a report of " + member, [&] {
    const std::string log = supervisor().log(member);
    const std::size_t at = log.find("revision=", before);
    const std::size_t end = log.find('\n', at);
    if (at != std::string::npos && end != std::string::npos) {
      const std::size_t start = log.rfind('\n', at) + 1;
      line = log.substr(start, end - start);
    }
    return !line.empty();
  });
  return line;
}

Figures FleetBench::figures(const std::string& member) {
  Figures out;
  std::istringstream words(report(member));
  for (std::string word; words >> word;) {
    if (const std::size_t equals = word.find('='); equals != std::string::npos) {
      out[word.substr(0, equals)] = std::strtoull(word.c_str() + equals + 1, nullptr, 10);
    }
  }
  return out;
}

std::map<std::string, Figures> FleetBench::aggregator_figures() {
  std::map<std::string, Figures> out;
  for (const std::string& name : layout_->names(Kind::kAggregator)) {
    if (supervisor().alive(name)) {
      out[name] = figures(name);
    }
  }
  return out;
}

fleet::FleetSpec flat_shape(int routers) {
  fleet::FleetSpec shape;
  shape.routers = routers;
  shape.caches = 1;
  shape.parents = 0;
  shape.disk = true;
  shape.has_coordination_server = true;
  return shape;
}

fleet::FleetSpec aggregated_shape(int routers, int regions) {
  fleet::FleetSpec shape = flat_shape(routers);
  shape.aggregators = regions;
  shape.regions = regions;
  shape.caches = regions;
  shape.zones.clear();
  for (int i = 0; i < regions; ++i) {
    shape.zones.push_back("zone" + std::to_string(i));
  }
  shape.policy = {{"ttl_ms", 3'000}};
  return shape;
}

}  // namespace trailcourse::bench
