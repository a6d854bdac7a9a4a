#include "program/fleet_command.h"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>
#include <random>
#include <set>
#include <stdexcept>

#include "fleet/figures.h"
#include "fleet/scenario.h"
#include "program/configuration.h"
#include "program/signals.h"

namespace trailcourse::program {

using fleet::Kind;
using nlohmann::json;
using std::chrono::milliseconds;
using transport::Clock;

namespace {

constexpr milliseconds kStartTimeout{30'000};  // of a process; also for fault and stop to take effect
constexpr milliseconds kPollInterval{50};
constexpr milliseconds kDisplayInterval{500};
constexpr std::size_t kMaxRows = 24;
constexpr std::uint64_t kObjectCount = 400;

double elapsed_ms(Clock::time_point start) {
  return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

std::optional<json> read_json(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  json read = json::parse(text, nullptr, false);
  return file.is_open() && !read.is_discarded() ? std::optional<json>(std::move(read)) : std::nullopt;
}

// Replaces the file atomically, so that a reader never sees a part of it.
void write_file_atomically(const std::string& path, const std::string& text) {
  const std::string next = path + ".next";
  std::ofstream(next, std::ios::binary) << text;
  std::rename(next.c_str(), path.c_str());
}

// Returns the last value of the counter `name=` in a log; 0 if there is none.
std::uint64_t last_counter(const std::string& log, const std::string& name) {
  const std::size_t at = log.rfind(" " + name + "=");
  return at == std::string::npos ? 0 : std::strtoull(log.c_str() + at + name.size() + 2, nullptr, 10);
}

// Returns the largest increase of the counter `name=` between two reports in a log. A lower value than the
// one before means that the process was restarted, and counts from zero.
std::uint64_t max_increase(const std::string& log, const std::string& name) {
  const std::string pattern = " " + name + "=";
  std::uint64_t last = 0;
  std::uint64_t max = 0;
  for (std::size_t at = log.find(pattern); at != std::string::npos; at = log.find(pattern, at + 1)) {
    const std::uint64_t value = std::strtoull(log.c_str() + at + pattern.size(), nullptr, 10);
    max = std::max(max, value >= last ? value - last : value);
    last = value;
  }
  return max;
}

fleet::FleetSpec make_spec(const FleetCommand& command) {
  fleet::FleetSpec spec;
  spec.routers = command.routers;
  spec.caches = command.caches;
  spec.parents = command.parents;
  spec.zones = command.zones;
  spec.starts_with_list = !command.without_list;
  if (command.cold) {
    spec.started_unix_ms =
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
  }
  spec.has_coordination_server = command.registry || command.aggregators > 0;
  spec.aggregators = command.aggregators;
  if (command.aggregators > 0) {
    spec.regions = std::min(command.aggregators, static_cast<int>(command.zones.size()));
    spec.policy = {{"ttl_ms", 3'000}};
  }
  spec.disk = command.disk;
  spec.object_kb = command.object_kb;
  spec.origin_delay_ms = command.origin_delay_ms;
  if (command.spread) {
    spec.operator_sections["startup"] = {{"spread", true},
                                         {"board_calls_per_s", command.board_calls_per_s},
                                         {"node_opens_per_s", command.node_opens_per_s}};
  }
  if (command.snapshots) {
    spec.operator_sections["snapshot"] = {{"fleet", "demo"}};
  }
  return spec;
}

// A running fleet: starts its processes, injects faults, generates load and reports the results.
class FleetRunner {
 public:
  FleetRunner(const FleetCommand& command, std::ostream& out, std::ostream& errors)
      : command_(command),
        out_(out),
        errors_(errors),
        signals_(scheduler_),
        layout_(make_spec(command), command.folder, ports_),
        random_(command.seed) {}

  // Runs until the run time is over or a signal arrives; returns the exit status.
  int run() {
    for (fleet::Member& member : layout_.members()) {
      if (member.kind == Kind::kRouter) {
        if (command_.relay_degree > 0) {
          member.relay = ports_.allocate_text();
        }
        if (!command_.router_program.empty()) {
          layout_.spec().router_program = command_.router_program;
        }
      }
    }
    if (command_.relay_degree > 0) {
      layout_.connect_relays(command_.relay_degree);
    }
    std::vector<fleet::Fault> script;
    if (!command_.faults.empty()) {
      std::ifstream file(command_.faults);
      if (!file.is_open()) {
        throw ConfigurationError("--faults: cannot read " + command_.faults);
      }
      try {
        const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
        script = fleet::read_script(text);
      } catch (const std::invalid_argument& error) {
        throw ConfigurationError(command_.faults + ": " + error.what());
      }
    }
    const bool use_proxies = command_.proxies || command_.random_faults > 0 ||
                             std::any_of(script.begin(), script.end(), [](const fleet::Fault& fault) {
                               return fleet::is_link_fault(fault.kind);
                             });
    scenario_.emplace(scheduler_, layout_, ports_, command_.program,
                      use_proxies ? std::vector<std::string>{"*>*"} : std::vector<std::string>{});
    if (command_.random_faults > 0) {
      script = random_script();
      write_file_atomically(command_.folder + "/faults.txt", fleet::write_script(script));
    }
    json members = json::object();
    for (const fleet::Member& member : layout_.members()) {
      members[member.name] = {{"kind", fleet::to_string(member.kind)}, {"address", member.address}};
    }
    write_file_atomically(command_.folder + "/members.json", members.dump(1) + "\n");
    write_file_atomically(command_.folder + "/fleet.pid", std::to_string(::getpid()) + "\n");
    scheduler_.spawn(handle_signals());
    if (!start_nodes()) {
      return kStartFailed;
    }
    status_.emplace(scheduler_, layout_);
    load_.emplace(scheduler_, fleet::LoadGenerator::Options{}, command_.seed << 20U);
    start_ = Clock::now();
    scenario_->start_script(std::move(script));
    while (!stop_requested_ &&
           (command_.run_time_s <= 0.0 || elapsed_ms(start_) < command_.run_time_s * 1'000)) {
      step();
    }
    return finish();
  }

 private:
  std::vector<fleet::Fault> random_script() {
    fleet::RandomScriptOptions options;
    for (const fleet::Member& member : layout_.members()) {
      if (member.kind == Kind::kRouter || member.kind == Kind::kCache || member.kind == Kind::kParent) {
        options.processes.push_back(member.name);
      }
    }
    for (const fleet::FaultProxy* proxy : scenario_->links()) {
      options.links.push_back(proxy->name());
    }
    options.faults = command_.random_faults;
    options.length_ms = static_cast<std::int64_t>(std::max(2.0, command_.run_time_s * 0.7) * 1'000);
    return fleet::random_script(options, command_.seed);
  }

  bool start_nodes() {
    for (const Kind kind : fleet::kStartOrder) {
      if (kind == Kind::kRouter) {
        continue;  // started by step()
      }
      scenario_->supervisor().start_all(kind);
      for (const std::string& name : layout_.names(kind)) {
        if (!scenario_->supervisor().await_up(name, kStartTimeout)) {
          errors_ << "trailcourse: fleet: " << name
                  << " did not come up: " << scenario_->supervisor().log(name) << '\n';
          return false;
        }
      }
    }
    return true;
  }

  // Starts the routers that are due, injects faults, sends load and updates the status.
  void step() {
    const auto routers = layout_.names(Kind::kRouter);
    while (started_routers_ < routers.size() &&
           elapsed_ms(start_) >=
               static_cast<double>(started_routers_) * static_cast<double>(command_.stagger_ms)) {
      scenario_->supervisor().start(routers[started_routers_++]);
    }
    scenario_->apply_due_faults();
    apply_requested_faults();
    request_node_counters();
    send_load();
    if (Clock::now() >= next_poll_) {
      next_poll_ = Clock::now() + kPollInterval;
      status_->refresh({routers.begin(), routers.begin() + static_cast<std::ptrdiff_t>(started_routers_)});
      record_state_times();
    }
    if (Clock::now() >= next_display_) {
      next_display_ = Clock::now() + kDisplayInterval;
      publish_status();
    }
    scheduler_.run_iteration(milliseconds(2));
  }

  // Applies the faults that `trailcourse fleet fault` requests. Each is a line in a separate file, which is
  // removed once it is read.
  void apply_requested_faults() {
    if (Clock::now() < next_fault_check_) {
      return;
    }
    next_fault_check_ = Clock::now() + kPollInterval;
    std::vector<std::filesystem::path> requests;
    std::error_code error;
    for (const auto& entry : std::filesystem::directory_iterator(command_.folder, error)) {
      if (entry.path().extension() == ".order") {
        requests.push_back(entry.path());
      }
    }
    std::sort(requests.begin(), requests.end());
    for (const std::filesystem::path& request : requests) {
      std::ifstream file(request);
      std::string line;
      std::getline(file, line);
      std::filesystem::remove(request, error);
      try {
        for (const fleet::Fault& fault : fleet::read_script("0 " + line)) {
          scenario_->apply(fault);
        }
      } catch (const std::invalid_argument& invalid) {
        errors_ << "trailcourse: fleet: " << invalid.what() << '\n';
      }
    }
  }

  // Makes each node log its counters every second. The summary takes the highest rates from these logs.
  void request_node_counters() {
    if (Clock::now() < next_counter_request_) {
      return;
    }
    next_counter_request_ = Clock::now() + std::chrono::seconds(1);
    for (const Kind kind : {Kind::kCache, Kind::kParent}) {
      for (const std::string& name : layout_.names(kind)) {
        // SIGHUP would end a process that has not installed its signal handling yet.
        if (scenario_->supervisor().log_since_start(name).find("listens on") != std::string::npos) {
          scenario_->supervisor().signal(name, SIGHUP);
        }
      }
    }
  }

  // Sends the requests that are due, each to a random router that is ready, as a web server does.
  void send_load() {
    const auto due = static_cast<std::size_t>(elapsed_ms(start_) / 1'000.0 * command_.load_per_s);
    const auto& statuses = status_->statuses();
    while (load_->requests().size() < due && command_.load_per_s > 0.0) {
      std::vector<std::string> ready;
      for (const auto& [name, status] : statuses) {
        if (status.ready) {
          ready.push_back(name);
        }
      }
      if (ready.empty()) {
        break;
      }
      const std::string& router = ready[random_() % ready.size()];
      load_->send(router, *transport::parse_address(layout_.member(router).address),
                  fleet::object_name(1'000 + random_() % kObjectCount));
    }
  }

  void record_state_times() {
    for (const auto& [name, status] : status_->statuses()) {
      if (status.ready && ready_at_.emplace(name, elapsed_ms(start_)).second) {
        ready_ms_.push_back(elapsed_ms(start_));
      }
      const bool current = status.state == "current" || (status.state == "plain" && status.ready);
      if (current && current_at_.emplace(name, elapsed_ms(start_)).second) {
        current_ms_.push_back(elapsed_ms(start_));
      }
    }
  }

  std::map<std::string, int> states() const {
    std::map<std::string, int> out;
    for (const auto& [name, status] : status_->statuses()) {
      ++out[status.up ? status.state : "down"];
    }
    return out;
  }

  // Writes status.json, and prints the status.
  void publish_status() {
    json page{{"pid", ::getpid()}, {"seconds", elapsed_ms(start_) / 1'000.0}, {"states", states()}};
    page["routers"] = json::array();
    for (const auto& [name, status] : status_->statuses()) {
      page["routers"].push_back({{"router", name},
                                 {"up", status.up},
                                 {"ready", status.ready},
                                 {"state", status.state},
                                 {"event", status.event},
                                 {"calls", status.polls},
                                 {"failed", status.failed_polls},
                                 {"age_ms", status.age_ms}});
    }
    page["missing"] = scenario_->supervisor().unexpected_exits();
    write_file_atomically(command_.folder + "/status.json", page.dump(1) + "\n");
    if (!command_.json && !command_.quiet) {
      print_status(page, out_, ::isatty(STDOUT_FILENO) == 1);
    }
  }

 public:
  static void print_status(const json& page, std::ostream& out, bool terminal) {
    if (terminal) {
      out << "\x1b[H\x1b[J";
    }
    out << std::fixed << std::setprecision(1) << page.value("seconds", 0.0) << " s ";
    for (const auto& [state, count] : page["states"].items()) {
      out << ' ' << state << '=' << count;
    }
    out << '\n';
    if (!terminal && page["routers"].size() > kMaxRows) {
      out << std::flush;
      return;
    }
    std::size_t rows = 0;
    for (const json& row : page["routers"]) {
      if (++rows > kMaxRows) {
        out << "  and " << page["routers"].size() - kMaxRows << " more\n";
        break;
      }
      out << "  " << std::left << std::setw(12) << row.value("router", "") << std::setw(13)
          << (row.value("up", false) ? row.value("state", "") : "down") << std::setw(10)
          << (row.value("ready", false) ? "ready" : "not ready") << std::right << " event " << std::setw(5)
          << row.value("event", 0) << " calls " << std::setw(6) << row.value("calls", 0) << " failed "
          << std::setw(5) << row.value("failed", 0) << '\n';
    }
    out << std::flush;
  }

 private:
  transport::Task<void> handle_signals() {
    for (;;) {
      const int signal = co_await signals_.next();
      stop_requested_ = stop_requested_ || signal != SIGHUP;
    }
  }

  // Stops the fleet, writes the summary and returns the exit status.
  int finish() {
    const auto unexpected_exits = scenario_->supervisor().unexpected_exits();
    scenario_->supervisor().run_until([this] { return load_->open() == 0; }, milliseconds(4'000));
    const json summary = summarize();
    write_file_atomically(command_.folder + "/summary.json", summary.dump(1) + "\n");
    for (const std::string& name : layout_.names(Kind::kRouter)) {
      scenario_->supervisor().kill(name);
    }
    if (command_.json) {
      out_ << summary.dump() << '\n';
    } else {
      print_summary(summary);
    }
    std::filesystem::remove(command_.folder + "/fleet.pid");
    for (const std::string& message : unexpected_exits) {
      errors_ << "trailcourse: fleet: " << message << '\n';
    }
    const bool all_ready = ready_at_.size() == static_cast<std::size_t>(command_.routers);
    return !unexpected_exits.empty()                 ? kProcessDied
           : !all_ready && command_.run_time_s > 0.0 ? kStartFailed
                                                     : 0;
  }

  json summarize() {
    json out{{"routers", command_.routers},
             {"seconds", elapsed_ms(start_) / 1'000.0},
             {"states", states()},
             {"ready", ready_ms_.size()},
             {"first_ready_ms", fleet::quantile(ready_ms_, 0.0)},
             {"last_ready_ms", fleet::quantile(ready_ms_, 1.0)},
             {"first_current_ms", fleet::quantile(current_ms_, 0.0)},
             {"last_current_ms", fleet::quantile(current_ms_, 1.0)}};
    add_links(out);
    add_requests(out);
    add_routers(out);
    add_nodes(out);
    return out;
  }

  // Adds the calls and connections that the proxies counted, if there are proxies.
  void add_links(json& out) {
    if (scenario_->links().empty()) {
      return;
    }
    std::vector<Clock::time_point> calls;
    std::vector<Clock::time_point> connections;
    std::size_t node_opens = 0;
    for (const fleet::FaultProxy* proxy : scenario_->links()) {
      const fleet::FaultProxy::Traffic& traffic = proxy->traffic();
      const bool router_to_board = proxy->name().starts_with("router");
      if (router_to_board) {
        calls.insert(calls.end(), traffic.requests.begin(), traffic.requests.end());
        connections.insert(connections.end(), traffic.connections.begin(), traffic.connections.end());
      } else if (proxy->name().starts_with("*>")) {
        node_opens = std::max(node_opens, fleet::max_count_within(traffic.connections, milliseconds(1'000)));
      }
    }
    out["board"] = {{"calls", calls.size()},
                    {"connections", connections.size()},
                    {"calls_worst_100_ms", fleet::max_count_within(calls, milliseconds(100))},
                    {"calls_worst_second", fleet::max_count_within(calls, milliseconds(1'000))},
                    {"connections_worst_100_ms", fleet::max_count_within(connections, milliseconds(100))},
                    {"connections_worst_second", fleet::max_count_within(connections, milliseconds(1'000))}};
    out["node_opens_worst_second"] = node_opens;
  }

  // Adds the number of responses by outcome, and the latency of the successful ones.
  void add_requests(json& out) const {
    std::map<std::string, std::size_t> answers;
    std::vector<double> latencies_ms;
    for (const fleet::SentRequest& request : load_->requests()) {
      const bool served = request.status == 200;
      ++answers[served                                           ? "served"
                : request.status == 503 || request.status == 429 ? "refused"
                : request.answers > 0                            ? "failed"
                                                                 : "unanswered"];
      if (served) {
        latencies_ms.push_back(
            std::chrono::duration<double, std::milli>(*request.answered - request.sent).count());
      }
    }
    out["requests"] = answers;
    out["answer_ms_p99"] = fleet::quantile(latencies_ms, 0.99);
  }

  void add_routers(json& out) {
    std::vector<double> memory;
    std::vector<double> descriptors;
    for (const std::string& name : layout_.names(Kind::kRouter)) {
      if (scenario_->supervisor().alive(name)) {
        const fleet::Footprint footprint = fleet::footprint_of(scenario_->supervisor().pid(name));
        memory.push_back(footprint.resident_mb);
        descriptors.push_back(footprint.descriptors);
      }
    }
    out["router_mb_most"] = fleet::quantile(memory, 1.0);
    out["router_descriptors_most"] = fleet::quantile(descriptors, 1.0);
  }

  // Adds the counters of caches and parents, which log them on SIGHUP.
  void add_nodes(json& out) {
    std::vector<std::string> nodes = layout_.names(Kind::kCache);
    const std::vector<std::string> parents = layout_.names(Kind::kParent);
    nodes.insert(nodes.end(), parents.begin(), parents.end());
    for (const std::string& name : nodes) {
      if (scenario_->supervisor().log_since_start(name).find("listens on") != std::string::npos) {
        scenario_->supervisor().signal(name, SIGHUP);
      }
    }
    scenario_->supervisor().run_until([] { return false; }, milliseconds(100));
    std::uint64_t fills = 0;
    std::uint64_t worst_fills = 0;
    std::uint64_t worst_requests = 0;
    for (const std::string& name : nodes) {
      const std::string log = scenario_->supervisor().log(name);
      fills += last_counter(log, "fills");
      worst_fills = std::max(worst_fills, max_increase(log, "fills"));
      worst_requests = std::max(worst_requests, max_increase(log, "requests"));
    }
    out["fills"] = fills;
    out["node_fills_worst_second"] = worst_fills;
    out["node_requests_worst_second"] = worst_requests;
  }

  void print_summary(const json& summary) {
    for (const auto& [name, value] : summary.items()) {
      out_ << name << " = " << value.dump() << '\n';
    }
  }

  const FleetCommand& command_;
  std::ostream& out_;
  std::ostream& errors_;
  transport::Scheduler scheduler_;
  Signals signals_;
  fleet::PortAllocator ports_;
  fleet::Layout layout_;
  std::optional<fleet::Scenario> scenario_;
  std::optional<fleet::StatusPoller> status_;
  std::optional<fleet::LoadGenerator> load_;
  std::mt19937_64 random_;
  Clock::time_point start_ = Clock::now();
  Clock::time_point next_poll_ = start_;
  Clock::time_point next_display_ = start_;
  Clock::time_point next_fault_check_ = start_;
  Clock::time_point next_counter_request_ = start_;
  std::size_t started_routers_ = 0;
  bool stop_requested_ = false;
  std::map<std::string, double> ready_at_;
  std::map<std::string, double> current_at_;
  std::vector<double> ready_ms_;
  std::vector<double> current_ms_;
};

// Returns the process that runs the fleet of the folder, if there is one.
std::optional<pid_t> runner_pid(const std::string& folder) {
  std::ifstream file(folder + "/fleet.pid");
  pid_t pid = 0;
  const bool running = static_cast<bool>(file >> pid) && pid > 0 && ::kill(pid, 0) == 0;
  return running ? std::optional<pid_t>(pid) : std::nullopt;
}

}  // namespace

int run_fleet_command(const FleetCommand& command, std::ostream& out, std::ostream& errors) {
  if (command.action == "start") {
    std::filesystem::create_directories(command.folder);
    if (runner_pid(command.folder)) {
      errors << "trailcourse: fleet: a fleet already runs in " << command.folder << "\n";
      return 1;
    }
    return FleetRunner(command, out, errors).run();
  }
  const std::optional<pid_t> pid = runner_pid(command.folder);
  if (!pid) {
    errors << "trailcourse: fleet: no fleet runs in " << command.folder << '\n';
    return kFleetNotRunning;
  }
  if (command.action == "fault") {
    // The name is the time of the request, so that faults are applied in the order of the requests.
    const std::string name = std::to_string(std::chrono::system_clock::now().time_since_epoch().count());
    write_file_atomically(command.folder + "/" + name + ".order", command.fault + "\n");
    const Clock::time_point until = Clock::now() + kStartTimeout;
    while (std::filesystem::exists(command.folder + "/" + name + ".order") && Clock::now() < until) {
      ::usleep(5'000);
    }
    return std::filesystem::exists(command.folder + "/" + name + ".order") ? 1 : 0;
  }
  if (command.action == "status") {
    const std::optional<json> page = read_json(command.folder + "/status.json");
    if (!page) {
      errors << "trailcourse: fleet: no status is available yet\n";
      return 1;
    }
    if (command.json) {
      out << page->dump() << '\n';
    } else {
      FleetRunner::print_status(*page, out, false);
    }
    return 0;
  }
  ::kill(*pid, SIGTERM);
  const Clock::time_point until = Clock::now() + kStartTimeout;
  while (runner_pid(command.folder)) {
    if (Clock::now() >= until) {
      errors << "trailcourse: fleet: the fleet did not stop within 30 s\n";
      return 1;
    }
    ::usleep(10'000);
  }
  out << "ended\n";
  return 0;
}

}  // namespace trailcourse::program
