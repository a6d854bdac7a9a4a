// What routers cost as real processes on loopback: traffic, processor time and memory, at rest and under
// purges.
#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

#include "fleet/layout.h"
#include "fleet/load_generator.h"
#include "fleet/port_allocator.h"
#include "fleet/scenario.h"
#include "role_costs.h"
#include "sample_fleet.h"
#include "transport/scheduler.h"

namespace trailcourse::scale {
namespace {

using fleet::Kind;
using nlohmann::json;
using std::chrono::milliseconds;
using transport::Clock;

constexpr std::array<int, 3> kRouters{10, 30, 100};
constexpr std::array<int, 4> kPurgeRates{30, 60, 90, 180};
constexpr std::array<int, 5> kObjectSizesKb{1, 20, 60, 120, 200};
constexpr int kWarmRequests = 400;
constexpr int kCountedRequests = 3'000;
constexpr milliseconds kUp{60'000};
constexpr milliseconds kSettle{3'000};
constexpr milliseconds kMeasured{6'000};
constexpr milliseconds kPurgeStep{50};  // as often as a board looks at its file
constexpr int kRelayDegree = 8;
constexpr const char* kSetting = "real processes";

// Bytes that passed over loopback since the machine was started, headers of TCP and IP counted.
double loopback_bytes() {
  std::ifstream file("/proc/net/dev");
  for (std::string line; std::getline(file, line);) {
    const std::size_t at = line.find("lo:");
    if (at != std::string::npos) {
      return std::strtod(line.c_str() + at + 3, nullptr);
    }
  }
  throw std::runtime_error("/proc/net/dev tells nothing of loopback");
}

// Processor time of all threads of a process, in microseconds.
double process_cpu_us(pid_t pid) {
  double sum = 0.0;
  std::error_code none;
  const std::filesystem::directory_iterator threads("/proc/" + std::to_string(pid) + "/task", none);
  for (const auto& thread : threads) {
    std::ifstream file(thread.path() / "schedstat");
    double nanoseconds = 0.0;
    file >> nanoseconds;
    sum += nanoseconds / 1e3;
  }
  return sum;
}

double anonymous_bytes(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("RssAnon:")) {
      return std::strtod(line.c_str() + 8, nullptr) * 1'024.0;
    }
  }
  return 0.0;
}

struct FleetKind {
  int routers = 10;
  int listed_caches = 40;  // that the board lists; none of them runs
  bool relays = false;
  bool store = false;    // routers that share a store and follow its policy
  bool proxies = false;  // between routers and board, to count the bytes of HTTP
};

// Board, origin and routers; nobody asks the routers for anything.
class QuietFleet {
 public:
  QuietFleet(const CostContext& context, const FleetKind& kind)
      : folder_(context.folder + "/fleet"), routers_(kind.routers) {
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
    layout_ = std::make_unique<fleet::Layout>(shape_of(kind), folder_, ports_);
    if (kind.relays) {
      for (fleet::Member& member : layout_->members()) {
        member.relay = member.kind == Kind::kRouter ? ports_.allocate_text() : "";
      }
      layout_->connect_relays(kRelayDegree);
    }
    const std::vector<std::string> proxied =
        kind.proxies ? std::vector<std::string>{"router*>board"} : std::vector<std::string>{};
    scenario_ = std::make_unique<fleet::Scenario>(scheduler_, *layout_, ports_, context.program, proxied);
    page_ = json::parse(layout_->first_page().dump());
    for (const Kind one : {Kind::kCoordinationServer, Kind::kDiscoveryServer, Kind::kOrigin, Kind::kRouter}) {
      start(one);
    }
    // Told once all run: a router logs no more than some lines a second, and that it listens must be seen.
    tell_list(kind.listed_caches);
    run_for(kSettle);
  }
  ~QuietFleet() {
    scenario_.reset();
    std::filesystem::remove_all(folder_);
  }
  QuietFleet(const QuietFleet&) = delete;
  QuietFleet& operator=(const QuietFleet&) = delete;

  int routers() const { return routers_; }
  void run_for(milliseconds time) {
    scenario_->supervisor().run_until([] { return false; }, time);
  }
  // Purges put on the board at an even rate.
  void run_with_purges(milliseconds time, int purges_per_s) {
    const Clock::time_point begun = Clock::now();
    int told = 0;
    while (Clock::now() - begun < time) {
      const auto passed = std::chrono::duration_cast<milliseconds>(Clock::now() - begun);
      const int due = static_cast<int>(passed.count() * purges_per_s / 1'000);
      if (due > told) {
        add_purges(due - told);
        told = due;
      }
      run_for(kPurgeStep);
    }
  }
  double routers_cpu_us() const {
    return sum_over_routers([](pid_t pid) { return process_cpu_us(pid); });
  }
  double routers_memory() const {
    return sum_over_routers([](pid_t pid) { return anonymous_bytes(pid); });
  }
  // Through the proxies, to and from the routers.
  double http_bytes_to_routers() const {
    double sum = 0.0;
    for (fleet::FaultProxy* link : scenario_->links()) {
      sum += static_cast<double>(link->traffic().bytes_in);
    }
    return sum;
  }
  double http_bytes_from_routers() const {
    double sum = 0.0;
    for (fleet::FaultProxy* link : scenario_->links()) {
      sum += static_cast<double>(link->traffic().bytes_out);
    }
    return sum;
  }

 private:
  static fleet::FleetSpec shape_of(const FleetKind& kind) {
    fleet::FleetSpec shape;
    shape.routers = kind.routers;
    shape.caches = 0;
    shape.parents = 0;
    shape.has_coordination_server = kind.store;
    shape.max_sockets = 256;
    if (kind.store) {
      shape.policy = {{"without", "both"}};
    }
    return shape;
  }

  void start(Kind kind) {
    scenario_->supervisor().start_all(kind);
    for (const std::string& name : layout_->names(kind)) {
      if (!scenario_->supervisor().await_up(name, kUp)) {
        throw std::runtime_error(name + " did not come up: " + scenario_->supervisor().log(name));
      }
    }
  }
  void tell_list(int caches) {
    json event = list_page(caches, 1)["notices"][0];
    const std::uint64_t number = page_["rev"].get<std::uint64_t>() + 1;
    event["rev"] = number;
    page_["rev"] = number;
    page_["notices"].push_back(std::move(event));
    write_page();
  }
  void add_purges(int count) {
    const json added = purge_page(page_["rev"].get<std::uint64_t>(), count, unix_ms_now());
    page_["rev"] = added["rev"];
    for (const json& event : added["notices"]) {
      page_["notices"].push_back(event);
    }
    write_page();
  }
  void write_page() const {
    const std::string next = layout_->board_file() + ".next";
    std::ofstream(next, std::ios::binary) << page_.dump(1) << '\n';
    std::filesystem::rename(next, layout_->board_file());
  }
  template <typename Figure>
  double sum_over_routers(Figure figure) const {
    double sum = 0.0;
    for (const std::string& name : layout_->names(Kind::kRouter)) {
      sum += figure(scenario_->supervisor().pid(name));
    }
    return sum;
  }

  std::string folder_;
  int routers_;
  transport::Scheduler scheduler_;
  fleet::PortAllocator ports_;
  std::unique_ptr<fleet::Layout> layout_;
  std::unique_ptr<fleet::Scenario> scenario_;
  json page_;
};

// What all routers of a fleet cost in a second.
struct SecondOfRouters {
  double wire_bytes = 0.0;  // over loopback
  double http_bytes_to = 0.0;
  double http_bytes_from = 0.0;
  double cpu_us = 0.0;
};

SecondOfRouters measure(QuietFleet& fleet, int purges_per_s) {
  const double seconds_begun = wall_us() / 1e6;
  const double wire = loopback_bytes();
  const double to = fleet.http_bytes_to_routers();
  const double from = fleet.http_bytes_from_routers();
  const double cpu = fleet.routers_cpu_us();
  fleet.run_with_purges(kMeasured, purges_per_s);
  const double seconds = wall_us() / 1e6 - seconds_begun;
  SecondOfRouters out;
  out.wire_bytes = (loopback_bytes() - wire) / seconds;
  out.http_bytes_to = (fleet.http_bytes_to_routers() - to) / seconds;
  out.http_bytes_from = (fleet.http_bytes_from_routers() - from) / seconds;
  out.cpu_us = (fleet.routers_cpu_us() - cpu) / seconds;
  return out;
}

void measure_idle(const CostContext& context, const CostSink& sink, const std::string& with,
                  const std::string& words, FleetKind kind) {
  CostSeries bytes{
      "process.bytes.idle." + with,
      "control traffic of all routers at rest, " + words + ", both ways, TCP and IP headers counted",
      "bytes/s",
      "routers",
      kSetting,
      {}};
  CostSeries cpu{"process.cpu.idle." + with,
                 "processor time of all routers at rest, " + words,
                 "us/s",
                 "routers",
                 kSetting,
                 {}};
  CostSeries memory{"process.memory.idle." + with,
                    "anonymous memory of all routers, " + words,
                    "bytes",
                    "routers",
                    kSetting,
                    {}};
  for (const int routers : kRouters) {
    kind.routers = routers;
    QuietFleet fleet(context, kind);
    const SecondOfRouters second = measure(fleet, 0);
    bytes.points.emplace_back(routers, second.wire_bytes);
    cpu.points.emplace_back(routers, second.cpu_us);
    memory.points.emplace_back(routers, fleet.routers_memory());
  }
  for (const CostSeries& series : {bytes, cpu, memory}) {
    sink(series);
  }
}

void measure_wire_bytes(const CostContext& context, const CostSink& sink, const std::string& with,
                        const std::string& words, const FleetKind& kind) {
  CostSeries wire{
      "process.bytes.purges." + with,
      "control traffic of one router under purges, " + words + ", both ways, TCP and IP headers counted",
      "bytes/s",
      "purges a second",
      kSetting,
      {}};
  CostSeries cpu{"process.cpu.purges." + with,
                 "processor time of one router under purges, " + words,
                 "us/s",
                 "purges a second",
                 kSetting,
                 {}};
  for (const int rate : kPurgeRates) {
    QuietFleet fleet(context, kind);
    const SecondOfRouters second = measure(fleet, rate);
    wire.points.emplace_back(rate, second.wire_bytes / fleet.routers());
    cpu.points.emplace_back(rate, second.cpu_us / fleet.routers());
  }
  sink(wire);
  sink(cpu);
}

void measure_http_bytes(const CostContext& context, const CostSink& sink) {
  CostSeries to{"process.bytes.purges.http.to",
                "HTTP from the board to one router under purges, heads counted",
                "bytes/s",
                "purges a second",
                kSetting,
                {}};
  CostSeries from{"process.bytes.purges.http.from",
                  "HTTP from one router to the board under purges, heads counted",
                  "bytes/s",
                  "purges a second",
                  kSetting,
                  {}};
  FleetKind kind;
  kind.proxies = true;
  for (const int rate : kPurgeRates) {
    QuietFleet fleet(context, kind);
    const SecondOfRouters second = measure(fleet, rate);
    to.points.emplace_back(rate, second.http_bytes_to / fleet.routers());
    from.points.emplace_back(rate, second.http_bytes_from / fleet.routers());
  }
  sink(to);
  sink(from);
}

// ---- Requests ----

// Origin, one cache and one router; requests come over one connection, a few at once.
class ServingFleet {
 public:
  ServingFleet(const CostContext& context, int object_kb) : folder_(context.folder + "/serving") {
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
    fleet::FleetSpec shape;
    shape.caches = 1;
    shape.parents = 0;
    shape.object_kb = object_kb;
    layout_ = std::make_unique<fleet::Layout>(shape, folder_, ports_);
    scenario_ = std::make_unique<fleet::Scenario>(scheduler_, *layout_, ports_, context.program,
                                                  std::vector<std::string>{});
    for (const Kind kind : {Kind::kDiscoveryServer, Kind::kOrigin, Kind::kCache, Kind::kRouter}) {
      scenario_->supervisor().start_all(kind);
      for (const std::string& name : layout_->names(kind)) {
        if (!scenario_->supervisor().await_up(name, kUp)) {
          throw std::runtime_error(name + " did not come up: " + scenario_->supervisor().log(name));
        }
      }
    }
    load_ = std::make_unique<fleet::LoadGenerator>(scheduler_, fleet::LoadGenerator::Options{},
                                                   context.seed << 20U);
    scenario_->supervisor().run_until([] { return false; }, milliseconds(1'000));
  }
  ~ServingFleet() {
    load_.reset();
    scenario_.reset();
    std::filesystem::remove_all(folder_);
  }
  ServingFleet(const ServingFleet&) = delete;
  ServingFleet& operator=(const ServingFleet&) = delete;

  // Asks for few objects again and again; how many were answered with 200.
  int ask(int requests) {
    constexpr std::size_t kAtOnce = 8;
    constexpr std::size_t kObjects = 16;
    const transport::Address router = *transport::parse_address(layout_->member(kRouterName).address);
    const std::size_t first = load_->requests().size();
    const std::size_t last = first + static_cast<std::size_t>(requests);
    scenario_->supervisor().run_until(
        [&] {
          while (load_->open() < kAtOnce && load_->requests().size() < last) {
            load_->send(kRouterName, router, fleet::object_name(1 + load_->requests().size() % kObjects));
          }
          return load_->open() == 0;
        },
        milliseconds(30'000));
    int served = 0;
    for (std::size_t i = first; i < load_->requests().size(); ++i) {
      served += load_->requests()[i].status == 200 ? 1 : 0;
    }
    return served;
  }
  double cpu_us(const std::string& name) const { return process_cpu_us(scenario_->supervisor().pid(name)); }

  static constexpr const char* kRouterName = "router0";
  static constexpr const char* kCacheName = "cache0";

 private:
  std::string folder_;
  transport::Scheduler scheduler_;
  fleet::PortAllocator ports_;
  std::unique_ptr<fleet::Layout> layout_;
  std::unique_ptr<fleet::Scenario> scenario_;
  std::unique_ptr<fleet::LoadGenerator> load_;
};

}  // namespace

void measure_request_processes(const CostContext& context, const CostSink& sink) {
  CostSeries router{"process.cpu.request.router",
                    "processor time of a router for one hit",
                    "us",
                    "KB of the object",
                    kSetting,
                    {}};
  CostSeries cache{"process.cpu.request.cache",
                   "processor time of a cache for one hit in memory",
                   "us",
                   "KB of the object",
                   kSetting,
                   {}};
  for (const int object_kb : kObjectSizesKb) {
    ServingFleet fleet(context, object_kb);
    fleet.ask(kWarmRequests);
    const double router_before = fleet.cpu_us(ServingFleet::kRouterName);
    const double cache_before = fleet.cpu_us(ServingFleet::kCacheName);
    const int served = fleet.ask(kCountedRequests);
    if (served < kCountedRequests * 9 / 10) {
      throw std::runtime_error("only " + std::to_string(served) + " requests were served");
    }
    router.points.emplace_back(object_kb, (fleet.cpu_us(ServingFleet::kRouterName) - router_before) / served);
    cache.points.emplace_back(object_kb, (fleet.cpu_us(ServingFleet::kCacheName) - cache_before) / served);
  }
  sink(router);
  sink(cache);
}

void measure_idle_processes(const CostContext& context, const CostSink& sink) {
  FleetKind kind;
  measure_idle(context, sink, "board", "each asking the board", kind);
  kind.relays = true;
  measure_idle(context, sink, "relays", "relays of degree 8", kind);
  kind.relays = false;
  kind.store = true;
  measure_idle(context, sink, "store", "each asking the board, one store and its policy", kind);
}

void measure_purges_by_board(const CostContext& context, const CostSink& sink) {
  measure_wire_bytes(context, sink, "board", "a list of 40 caches", FleetKind());
}

void measure_purges_by_board_long(const CostContext& context, const CostSink& sink) {
  FleetKind kind;
  kind.listed_caches = 2'100;
  measure_wire_bytes(context, sink, "board.2100", "a list of 2,100 caches", kind);
}

void measure_purges_by_relays(const CostContext& context, const CostSink& sink) {
  FleetKind kind;
  kind.relays = true;
  kind.routers = 30;
  measure_wire_bytes(context, sink, "relays", "30 routers, relays of degree 8", kind);
}

void measure_purges_http(const CostContext& context, const CostSink& sink) {
  measure_http_bytes(context, sink);
}

}  // namespace trailcourse::scale
