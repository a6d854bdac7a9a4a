#include "fleet_bench.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <utility>

namespace trailcourse::bench {

using fleet::Kind;
using nlohmann::json;
using std::chrono::milliseconds;
using transport::Clock;

namespace {

constexpr int kMaxFailedStatusQueries = 10;  // consecutive; each times out after about 1 s

// The longest time from the closing of a process's connections to its exit.
constexpr milliseconds kProcessExitDelay{500};

}  // namespace

Traffic traffic_between(const Metrics& before, const Metrics& after) {
  const auto increase = [&](const std::string& name) -> std::uint64_t {
    const auto old = before.find(name);
    const auto current = after.find(name);
    const std::uint64_t old_value = old == before.end() ? 0 : old->second;
    return current == after.end() || current->second < old_value ? 0 : current->second - old_value;
  };
  return {increase("calls"), increase("bytes_read") + increase("bytes_written")};
}

Traffic busiest_traffic(const std::map<std::string, Metrics>& before,
                        const std::map<std::string, Metrics>& after) {
  Traffic busiest;
  for (const auto& [name, metrics] : after) {
    const auto found = before.find(name);
    const Traffic traffic = traffic_between(found == before.end() ? Metrics{} : found->second, metrics);
    busiest = traffic.calls > busiest.calls ? traffic : busiest;
  }
  return busiest;
}

int measure_sizes(const std::vector<int>& sizes,
                  const std::function<void(int size, std::string& row_label)>& print_rows) {
  int failed_sizes = 0;
  for (const int size : sizes) {
    std::string row_label;
    try {
      print_rows(size, row_label);
    } catch (const std::runtime_error& error) {
      std::printf("%8d %-22s not measured: %s\n", size, row_label.c_str(), error.what());
      std::fflush(stdout);
      ++failed_sizes;
    }
  }
  return failed_sizes;
}

double to_ms(Clock::duration time) { return std::chrono::duration<double, std::milli>(time).count(); }

FleetBench::FleetBench(const fleet::FleetSpec& spec, const std::string& program,
                       const std::vector<std::string>& proxied_links)
    : layout_(std::make_unique<fleet::Layout>(spec, folder_.path(), ports_)),
      scenario_(std::make_unique<fleet::Scenario>(scheduler_, *layout_, ports_, program, proxied_links)) {
  for (const Kind kind : fleet::kStartOrder) {
    if (kind == Kind::kRouter) {
      await_aggregator_permission();
    }
    supervisor().start_all(kind);
    for (const std::string& name : layout_->names(kind)) {
      if (!supervisor().await_up(name, kAwaitTimeout)) {
        const std::string log = supervisor().log(name);
        throw MeasurementError(name + " did not start: " + log.substr(0, log.find('\n')));
      }
    }
  }
  store_required_ = spec.has_coordination_server;
}

// Waits until all aggregators have permission. A router that started earlier would switch to the next
// aggregator and stay there.
void FleetBench::await_aggregator_permission() {
  for (const std::string& name : layout_->names(Kind::kAggregator)) {
    await("permission of " + name,
          [&] { return request_metrics_line(name).find("permission=yes") != std::string::npos; });
  }
}

int FleetBench::run_work_command(program::WorkCommand command, std::string& output) {
  return run_store_command(std::move(command), &program::run_work_command, output);
}

int FleetBench::run_policy_command(program::PolicyCommand command, std::string& output) {
  return run_store_command(std::move(command), &program::run_policy_command, output);
}

template <typename Command, typename Run>
int FleetBench::run_store_command(Command command, Run run, std::string& output) {
  command.store.store = "etcd";
  command.store.endpoints = {layout_->member("registry").address};
  command.json = true;
  std::ostringstream out;
  std::ostringstream errors;
  const int status = run(command, out, errors);
  output = out.str() + errors.str();
  return status;
}

std::string FleetBench::run_work_command(const program::WorkCommand& command) {
  std::string output;
  if (run_work_command(command, output) != 0) {
    throw_command_failure("work " + command.action, output);
  }
  return output;
}

std::string FleetBench::run_policy_command(const program::PolicyCommand& command) {
  std::string output;
  if (run_policy_command(command, output) != 0) {
    throw_command_failure("policy " + command.action, output);
  }
  return output;
}

void FleetBench::check_store_is_running() {
  if (store_required_ && !supervisor().alive("registry")) {
    throw MeasurementError("the store process has exited");
  }
}

// When the store ends, its connections close shortly before the process exits. The delay gives it time to
// exit, so that the error names the store as the cause.
void FleetBench::throw_command_failure(const std::string& command, const std::string& output) {
  run_for(kProcessExitDelay);
  throw MeasurementError(command + ": " + output.substr(0, output.find('\n')));
}

json FleetBench::policy_status() {
  program::PolicyCommand command;
  command.action = "status";
  std::string output;
  const bool answered = run_policy_command(command, output) == 0;
  failed_status_queries_ = answered ? 0 : failed_status_queries_ + 1;
  if (failed_status_queries_ >= kMaxFailedStatusQueries) {
    throw_command_failure("policy status", output);
  }
  return answered ? json::parse(output) : json::object();
}

std::size_t FleetBench::count_permitted_routers() {
  if (layout_->spec().aggregators <= 0) {
    const json status = policy_status();
    return status.value("permits", json::array()).size();
  }
  std::size_t count = 0;
  for (auto& [name, metrics] : request_aggregator_metrics()) {
    count += static_cast<std::size_t>(metrics["routers"]);
  }
  return count;
}

void FleetBench::add_fill_work(const std::string& name, int objects, double objects_per_s) {
  program::WorkCommand command;
  command.action = "add";
  command.name = name;
  command.kind = "fill";
  command.request_class = "media";
  command.objects_per_s = objects_per_s;
  for (int i = 0; i < objects; ++i) {
    char object[17];
    std::snprintf(object, sizeof object, "%016x", 0x5000 + i);
    command.objects.push_back(object);
  }
  run_work_command(command);
}

bool FleetBench::run_until(const std::function<bool()>& done, milliseconds timeout) {
  return supervisor().run_until(
      [&] {
        check_store_is_running();
        return done();
      },
      timeout);
}

void FleetBench::await(const std::string& what, const std::function<bool()>& done, milliseconds timeout) {
  if (!run_until(done, timeout)) {
    throw MeasurementError("timed out after " + std::to_string(timeout.count()) + " ms waiting for " + what);
  }
}

void FleetBench::run_for(milliseconds time) {
  run_until([] { return false; }, time);
}

RouterLogMatches FleetBench::find_in_router_logs(const std::string& text) {
  RouterLogMatches matches;
  std::string latest_line;
  for (const std::string& router : layout_->names(Kind::kRouter)) {
    std::ifstream file(layout_->log_file(router));
    for (std::string line; std::getline(file, line);) {
      if (line.find(text) != std::string::npos) {
        ++matches.count;
        if (line >= latest_line) {
          latest_line = line;
          matches.last_router = router;
        }
      }
    }
  }
  return matches;
}

std::string FleetBench::request_metrics_line(const std::string& member) {
  const std::size_t old_size = supervisor().log(member).size();
  supervisor().signal(member, SIGHUP);
  std::string line;
  await("a metrics line of " + member, [&] {
    const std::string log = supervisor().log(member);
    const std::size_t revision = log.find("revision=", old_size);
    const std::size_t end = log.find('\n', revision);
    if (revision != std::string::npos && end != std::string::npos) {
      const std::size_t start = log.rfind('\n', revision) + 1;
      line = log.substr(start, end - start);
    }
    return !line.empty();
  });
  return line;
}

Metrics FleetBench::request_metrics(const std::string& member) {
  Metrics metrics;
  std::istringstream line(request_metrics_line(member));
  for (std::string field; line >> field;) {
    if (const std::size_t equals = field.find('='); equals != std::string::npos) {
      metrics[field.substr(0, equals)] = std::strtoull(field.c_str() + equals + 1, nullptr, 10);
    }
  }
  return metrics;
}

std::map<std::string, Metrics> FleetBench::request_aggregator_metrics() {
  std::map<std::string, Metrics> metrics;
  for (const std::string& name : layout_->names(Kind::kAggregator)) {
    if (supervisor().alive(name)) {
      metrics[name] = request_metrics(name);
    }
  }
  return metrics;
}

fleet::FleetSpec flat_fleet(int routers) {
  fleet::FleetSpec spec;
  spec.routers = routers;
  spec.caches = 1;
  spec.parents = 0;
  spec.disk = true;
  spec.has_coordination_server = true;
  return spec;
}

fleet::FleetSpec aggregated_fleet(int routers, int regions) {
  fleet::FleetSpec spec = flat_fleet(routers);
  spec.aggregators = regions;
  spec.regions = regions;
  spec.caches = regions;
  spec.zones.clear();
  for (int i = 0; i < regions; ++i) {
    spec.zones.push_back("zone" + std::to_string(i));
  }
  spec.policy = {{"ttl_ms", 3'000}};
  return spec;
}

}  // namespace trailcourse::bench
