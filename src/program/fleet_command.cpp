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

constexpr milliseconds kUp{30'000};
constexpr milliseconds kRefresh{50};
constexpr milliseconds kShow{500};
constexpr std::size_t kMostRows = 24;
constexpr std::uint64_t kObjects = 400;

double since(Clock::time_point begun) {
  return std::chrono::duration<double, std::milli>(Clock::now() - begun).count();
}

std::optional<json> read_json(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  json read = json::parse(text, nullptr, false);
  return file.is_open() && !read.is_discarded() ? std::optional<json>(std::move(read)) : std::nullopt;
}

void write_whole(const std::string& path, const std::string& text) {
  const std::string next = path + ".next";
  std::ofstream(next, std::ios::binary) << text;
  std::rename(next.c_str(), path.c_str());
}

// The figure `name=` of the last line of a log that has it; 0 where none has.
std::uint64_t figure(const std::string& log, const std::string& name) {
  const std::size_t at = log.rfind(" " + name + "=");
  return at == std::string::npos ? 0 : std::strtoull(log.c_str() + at + name.size() + 2, nullptr, 10);
}

// The most that a figure grew between two reports of a log; it begins anew where it falls.
std::uint64_t most_growth(const std::string& log, const std::string& name) {
  const std::string words = " " + name + "=";
  std::uint64_t last = 0;
  std::uint64_t most = 0;
  for (std::size_t at = log.find(words); at != std::string::npos; at = log.find(words, at + 1)) {
    const std::uint64_t value = std::strtoull(log.c_str() + at + words.size(), nullptr, 10);
    most = std::max(most, value >= last ? value - last : value);
    last = value;
  }
  return most;
}

fleet::FleetSpec shape_of(const FleetCommand& command) {
  fleet::FleetSpec shape;
  shape.routers = command.routers;
  shape.caches = command.caches;
  shape.parents = command.parents;
  shape.zones = command.zones;
  shape.known = !command.without_list;
  if (command.cold) {
    shape.since_ms =
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
  }
  shape.registry = command.registry || command.aggregators > 0;
  shape.aggregators = command.aggregators;
  if (command.aggregators > 0) {
    shape.regions = std::min(command.aggregators, static_cast<int>(command.zones.size()));
    shape.policy = {{"ttl_ms", 3'000}};
  }
  shape.disk = command.disk;
  shape.object_kb = command.object_kb;
  shape.origin_delay_ms = command.origin_delay_ms;
  if (command.spread) {
    shape.operators["startup"] = {{"spread", true},
                                  {"board_calls_per_s", command.board_calls_per_s},
                                  {"node_opens_per_s", command.node_opens_per_s}};
  }
  if (command.snapshots) {
    shape.operators["snapshot"] = {{"fleet", "demo"}};
  }
  return shape;
}

// The fleet as it runs, from the first process to the last figure.
class Run {
 public:
  Run(const FleetCommand& command, std::ostream& out, std::ostream& errors)
      : command_(command),
        out_(out),
        errors_(errors),
        signals_(scheduler_),
        layout_(shape_of(command), command.folder, ports_),
        random_(command.seed) {}

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
    const bool faulty = command_.proxies || command_.draw > 0 ||
                        std::any_of(script.begin(), script.end(),
                                    [](const fleet::Fault& one) { return fleet::is_link_fault(one.kind); });
    scenario_.emplace(scheduler_, layout_, ports_, command_.program,
                      faulty ? std::vector<std::string>{"*>*"} : std::vector<std::string>{});
    if (command_.draw > 0) {
      script = drawn_script();
      write_whole(command_.folder + "/faults.txt", fleet::write_script(script));
    }
    json members = json::object();
    for (const fleet::Member& member : layout_.members()) {
      members[member.name] = {{"kind", fleet::to_string(member.kind)}, {"address", member.address}};
    }
    write_whole(command_.folder + "/members.json", members.dump(1) + "\n");
    write_whole(command_.folder + "/fleet.pid", std::to_string(::getpid()) + "\n");
    scheduler_.spawn(heed());
    if (!start_nodes()) {
      return kFleetNotUp;
    }
    status_.emplace(scheduler_, layout_);
    load_.emplace(scheduler_, fleet::LoadGenerator::Options{}, command_.seed << 20U);
    begun_ = Clock::now();
    scenario_->start_script(std::move(script));
    while (!ending_ && (command_.seconds <= 0.0 || since(begun_) < command_.seconds * 1'000)) {
      turn();
    }
    return end();
  }

 private:
  std::vector<fleet::Fault> drawn_script() {
    fleet::RandomScriptOptions draw;
    for (const fleet::Member& member : layout_.members()) {
      if (member.kind == Kind::kRouter || member.kind == Kind::kCache || member.kind == Kind::kParent) {
        draw.processes.push_back(member.name);
      }
    }
    for (const fleet::FaultProxy* proxy : scenario_->links()) {
      draw.links.push_back(proxy->name());
    }
    draw.faults = command_.draw;
    draw.length_ms = static_cast<std::int64_t>(std::max(2.0, command_.seconds * 0.7) * 1'000);
    return fleet::random_script(draw, command_.seed);
  }

  bool start_nodes() {
    for (const Kind kind : fleet::kStartOrder) {
      if (kind == Kind::kRouter) {
        continue;  // started in their turn
      }
      scenario_->fleet().start_all(kind);
      for (const std::string& name : layout_.names(kind)) {
        if (!scenario_->fleet().await_up(name, kUp)) {
          errors_ << "trailcourse: fleet: " << name << " did not come up: " << scenario_->fleet().log(name)
                  << '\n';
          return false;
        }
      }
    }
    return true;
  }

  // Routers are started in their turn; what happens to each is looked at now and then.
  void turn() {
    const auto routers = layout_.names(Kind::kRouter);
    while (started_ < routers.size() &&
           since(begun_) >= static_cast<double>(started_) * static_cast<double>(command_.stagger_ms)) {
      scenario_->fleet().start(routers[started_++]);
    }
    scenario_->apply_due_faults();
    obey();
    look_at_nodes();
    ask();
    if (Clock::now() >= refresh_at_) {
      refresh_at_ = Clock::now() + kRefresh;
      status_->refresh({routers.begin(), routers.begin() + static_cast<std::ptrdiff_t>(started_)});
      note_states();
    }
    if (Clock::now() >= show_at_) {
      show_at_ = Clock::now() + kShow;
      show();
    }
    scheduler_.turn(milliseconds(2));
  }

  // What `trailcourse fleet fault` has asked for: a line each, in files that are taken away once played.
  void obey() {
    if (Clock::now() < obey_at_) {
      return;
    }
    obey_at_ = Clock::now() + kRefresh;
    std::vector<std::filesystem::path> orders;
    std::error_code error;
    for (const auto& entry : std::filesystem::directory_iterator(command_.folder, error)) {
      if (entry.path().extension() == ".order") {
        orders.push_back(entry.path());
      }
    }
    std::sort(orders.begin(), orders.end());
    for (const std::filesystem::path& order : orders) {
      std::ifstream file(order);
      std::string line;
      std::getline(file, line);
      std::filesystem::remove(order, error);
      try {
        for (const fleet::Fault& fault : fleet::read_script("0 " + line)) {
          scenario_->apply(fault);
        }
      } catch (const std::invalid_argument& wrong) {
        errors_ << "trailcourse: fleet: " << wrong.what() << '\n';
      }
    }
  }

  // Each node logs its figures every second, so that the worst second of fills can be told.
  void look_at_nodes() {
    if (Clock::now() < nodes_at_) {
      return;
    }
    nodes_at_ = Clock::now() + std::chrono::seconds(1);
    for (const Kind kind : {Kind::kCache, Kind::kParent}) {
      for (const std::string& name : layout_.names(kind)) {
        // One that was just started does not heed the signal yet: it would end by it.
        if (scenario_->fleet().log_since_start(name).find("listens on") != std::string::npos) {
          scenario_->fleet().signal(name, SIGHUP);
        }
      }
    }
  }

  void ask() {
    const auto due = static_cast<std::size_t>(since(begun_) / 1'000.0 * command_.load_per_s);
    const auto& rows = status_->rows();
    while (load_->requests().size() < due && command_.load_per_s > 0.0) {
      // As a front does: only routers that say they are ready.
      std::vector<std::string> ready;
      for (const auto& [name, row] : rows) {
        if (row.ready) {
          ready.push_back(name);
        }
      }
      if (ready.empty()) {
        break;
      }
      const std::string& router = ready[random_() % ready.size()];
      load_->send(router, *transport::parse_address(layout_.member(router).address),
                  fleet::object_name(1'000 + random_() % kObjects));
    }
  }

  void note_states() {
    for (const auto& [name, row] : status_->rows()) {
      if (row.ready && ready_at_.emplace(name, since(begun_)).second) {
        ready_ms_.push_back(since(begun_));
      }
      const bool current = row.state == "current" || (row.state == "plain" && row.ready);
      if (current && current_at_.emplace(name, since(begun_)).second) {
        current_ms_.push_back(since(begun_));
      }
    }
  }

  std::map<std::string, int> states() const {
    std::map<std::string, int> out;
    for (const auto& [name, row] : status_->rows()) {
      ++out[row.up ? row.state : "down"];
    }
    return out;
  }

  void show() {
    json page{{"pid", ::getpid()}, {"seconds", since(begun_) / 1'000.0}, {"states", states()}};
    page["routers"] = json::array();
    for (const auto& [name, row] : status_->rows()) {
      page["routers"].push_back({{"router", name},
                                 {"up", row.up},
                                 {"ready", row.ready},
                                 {"state", row.state},
                                 {"event", row.event},
                                 {"calls", row.calls},
                                 {"failed", row.failed},
                                 {"age_ms", row.age_ms}});
    }
    page["missing"] = scenario_->fleet().missing();
    write_whole(command_.folder + "/status.json", page.dump(1) + "\n");
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
    if (!terminal && page["routers"].size() > kMostRows) {
      out << std::flush;
      return;
    }
    std::size_t rows = 0;
    for (const json& row : page["routers"]) {
      if (++rows > kMostRows) {
        out << "  and " << page["routers"].size() - kMostRows << " more\n";
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
  transport::Task<void> heed() {
    for (;;) {
      const int signal = co_await signals_.next();
      ending_ = ending_ || signal != SIGHUP;
    }
  }

  int end() {
    const auto missing = scenario_->fleet().missing();
    scenario_->fleet().run_until([this] { return load_->open() == 0; }, milliseconds(4'000));
    const json summary = summarise();
    write_whole(command_.folder + "/summary.json", summary.dump(1) + "\n");
    for (const std::string& name : layout_.names(Kind::kRouter)) {
      scenario_->fleet().kill(name);
    }
    if (command_.json) {
      out_ << summary.dump() << '\n';
    } else {
      print_summary(summary);
    }
    std::filesystem::remove(command_.folder + "/fleet.pid");
    for (const std::string& one : missing) {
      errors_ << "trailcourse: fleet: " << one << '\n';
    }
    const bool all_ready = ready_at_.size() == static_cast<std::size_t>(command_.routers);
    return !missing.empty() ? kFleetMissing : !all_ready && command_.seconds > 0.0 ? kFleetNotUp : 0;
  }

  json summarise() {
    json out{{"routers", command_.routers},
             {"seconds", since(begun_) / 1'000.0},
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

  // Calls and connections that passed the proxies, where there are any.
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

  // Answers of the load by kind, and how long those took that were served.
  void add_requests(json& out) const {
    std::map<std::string, std::size_t> answers;
    std::vector<double> took;
    for (const fleet::SentRequest& one : load_->requests()) {
      const bool served = one.status == 200;
      ++answers[served                                   ? "served"
                : one.status == 503 || one.status == 429 ? "refused"
                : one.answers > 0                        ? "failed"
                                                         : "unanswered"];
      if (served) {
        took.push_back(std::chrono::duration<double, std::milli>(*one.answered - one.sent).count());
      }
    }
    out["requests"] = answers;
    out["answer_ms_p99"] = fleet::quantile(took, 0.99);
  }

  void add_routers(json& out) {
    std::vector<double> memory;
    std::vector<double> descriptors;
    for (const std::string& name : layout_.names(Kind::kRouter)) {
      if (scenario_->fleet().alive(name)) {
        const fleet::Footprint footprint = fleet::footprint_of(scenario_->fleet().pid(name));
        memory.push_back(footprint.resident_mb);
        descriptors.push_back(footprint.descriptors);
      }
    }
    out["router_mb_most"] = fleet::quantile(memory, 1.0);
    out["router_descriptors_most"] = fleet::quantile(descriptors, 1.0);
  }

  // Figures of caches and parents, which log them on SIGHUP.
  void add_nodes(json& out) {
    std::vector<std::string> nodes = layout_.names(Kind::kCache);
    const std::vector<std::string> parents = layout_.names(Kind::kParent);
    nodes.insert(nodes.end(), parents.begin(), parents.end());
    for (const std::string& name : nodes) {
      if (scenario_->fleet().log_since_start(name).find("listens on") != std::string::npos) {
        scenario_->fleet().signal(name, SIGHUP);
      }
    }
    scenario_->fleet().run_until([] { return false; }, milliseconds(100));
    std::uint64_t fills = 0;
    std::uint64_t worst_fills = 0;
    std::uint64_t worst_requests = 0;
    for (const std::string& name : nodes) {
      const std::string log = scenario_->fleet().log(name);
      fills += figure(log, "fills");
      worst_fills = std::max(worst_fills, most_growth(log, "fills"));
      worst_requests = std::max(worst_requests, most_growth(log, "requests"));
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
  Clock::time_point begun_ = Clock::now();
  Clock::time_point refresh_at_ = begun_;
  Clock::time_point show_at_ = begun_;
  Clock::time_point obey_at_ = begun_;
  Clock::time_point nodes_at_ = begun_;
  std::size_t started_ = 0;
  bool ending_ = false;
  std::map<std::string, double> ready_at_;
  std::map<std::string, double> current_at_;
  std::vector<double> ready_ms_;
  std::vector<double> current_ms_;
};

std::optional<pid_t> runner_of(const std::string& folder) {
  std::ifstream file(folder + "/fleet.pid");
  pid_t pid = 0;
  const bool there = static_cast<bool>(file >> pid) && pid > 0 && ::kill(pid, 0) == 0;
  return there ? std::optional<pid_t>(pid) : std::nullopt;
}

}  // namespace

int run_fleet_command(const FleetCommand& command, std::ostream& out, std::ostream& errors) {
  if (command.action == "start") {
    std::filesystem::create_directories(command.folder);
    if (runner_of(command.folder)) {
      errors << "trailcourse: fleet: one runs in " << command.folder << " already\n";
      return 1;
    }
    return Run(command, out, errors).run();
  }
  const std::optional<pid_t> pid = runner_of(command.folder);
  if (!pid) {
    errors << "trailcourse: fleet: none runs in " << command.folder << '\n';
    return kFleetNoneThere;
  }
  if (command.action == "fault") {
    // Named by its moment: orders are played as they were given.
    const std::string name = std::to_string(std::chrono::system_clock::now().time_since_epoch().count());
    write_whole(command.folder + "/" + name + ".order", command.fault + "\n");
    const Clock::time_point until = Clock::now() + kUp;
    while (std::filesystem::exists(command.folder + "/" + name + ".order") && Clock::now() < until) {
      ::usleep(5'000);
    }
    return std::filesystem::exists(command.folder + "/" + name + ".order") ? 1 : 0;
  }
  if (command.action == "status") {
    const std::optional<json> page = read_json(command.folder + "/status.json");
    if (!page) {
      errors << "trailcourse: fleet: it has said nothing yet\n";
      return 1;
    }
    if (command.json) {
      out << page->dump() << '\n';
    } else {
      Run::print_status(*page, out, false);
    }
    return 0;
  }
  ::kill(*pid, SIGTERM);
  const Clock::time_point until = Clock::now() + kUp;
  while (runner_of(command.folder)) {
    if (Clock::now() >= until) {
      errors << "trailcourse: fleet: it does not end\n";
      return 1;
    }
    ::usleep(10'000);
  }
  out << "ended\n";
  return 0;
}

}  // namespace trailcourse::program
