// Measures routers that run as real processes on loopback: traffic and processor time while idle and during
// purges, memory while idle, and the processor time of a router and a cache for each request.
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

constexpr std::array<int, 3> kRouterCounts{10, 30, 100};
constexpr std::array<int, 4> kPurgeRates{30, 60, 90, 180};  // per second
constexpr std::array<int, 5> kObjectSizesKb{1, 20, 60, 120, 200};
constexpr int kWarmUpRequests = 400;
constexpr int kMeasuredRequests = 3'000;
constexpr milliseconds kStartTimeout{60'000};
constexpr milliseconds kSettleTime{3'000};
constexpr milliseconds kMeasureTime{6'000};
constexpr milliseconds kPurgeInterval{50};  // the discovery server reads its file at this interval
constexpr int kRelayDegree = 8;
constexpr const char* kSetting = "real processes";

// Returns the bytes sent over loopback since the machine was started, with the headers of TCP and IP.
double loopback_bytes() {
  std::ifstream file("/proc/net/dev");
  for (std::string line; std::getline(file, line);) {
    const std::size_t at = line.find("lo:");
    if (at != std::string::npos) {
      return std::strtod(line.c_str() + at + 3, nullptr);
    }
  }
  throw std::runtime_error("/proc/net/dev has no loopback interface");
}

// Returns the processor time of all threads of a process, in microseconds.
double process_cpu_us(pid_t pid) {
  double sum = 0.0;
  std::error_code ignored;
  const std::filesystem::directory_iterator threads("/proc/" + std::to_string(pid) + "/task", ignored);
  for (const auto& thread : threads) {
    std::ifstream file(thread.path() / "schedstat");
    double nanoseconds = 0.0;
    file >> nanoseconds;
    sum += nanoseconds / 1e3;
  }
  return sum;
}

// Returns the resident anonymous memory of a process; 0 if it does not run.
double anonymous_bytes(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("RssAnon:")) {
      return std::strtod(line.c_str() + 8, nullptr) * 1'024.0;
    }
  }
  return 0.0;
}

struct IdleFleetOptions {
  int routers = 10;
  int listed_caches = 40;  // in the list of the discovery server; none of them runs
  bool relays = false;
  bool store = false;    // the routers share a store and apply its policy
  bool proxies = false;  // between routers and discovery server; they count the bytes of HTTP
};

// A discovery server, an origin and routers that receive no requests.
class IdleFleet {
 public:
  IdleFleet(const CostContext& context, const IdleFleetOptions& options)
      : folder_(context.folder + "/fleet"), routers_(options.routers) {
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
    layout_ = std::make_unique<fleet::Layout>(fleet_spec(options), folder_, ports_);
    if (options.relays) {
      for (fleet::Member& member : layout_->members()) {
        member.relay = member.kind == Kind::kRouter ? ports_.allocate_text() : "";
      }
      layout_->connect_relays(kRelayDegree);
    }
    const std::vector<std::string> proxied =
        options.proxies ? std::vector<std::string>{"router*>board"} : std::vector<std::string>{};
    scenario_ = std::make_unique<fleet::Scenario>(scheduler_, *layout_, ports_, context.program, proxied);
    page_ = json::parse(layout_->first_page().dump());
    for (const Kind kind :
         {Kind::kCoordinationServer, Kind::kDiscoveryServer, Kind::kOrigin, Kind::kRouter}) {
      start(kind);
    }
    // The list is published after start() has seen that all routers listen. Routers limit their log lines per
    // second, so an earlier list could make them drop the line which reports that they listen.
    publish_list(options.listed_caches);
    run_for(kSettleTime);
  }
  ~IdleFleet() {
    scenario_.reset();
    std::filesystem::remove_all(folder_);
  }
  IdleFleet(const IdleFleet&) = delete;
  IdleFleet& operator=(const IdleFleet&) = delete;

  int routers() const { return routers_; }
  void run_for(milliseconds time) {
    scenario_->supervisor().run_until([] { return false; }, time);
  }
  // Publishes purges at an even rate for this time.
  void run_with_purges(milliseconds time, int purges_per_s) {
    const Clock::time_point started_at = Clock::now();
    int published = 0;
    while (Clock::now() - started_at < time) {
      const auto passed = std::chrono::duration_cast<milliseconds>(Clock::now() - started_at);
      const int due = static_cast<int>(passed.count() * purges_per_s / 1'000);
      if (due > published) {
        add_purges(due - published);
        published = due;
      }
      run_for(kPurgeInterval);
    }
  }
  double routers_cpu_us() const {
    return sum_over_routers([](pid_t pid) { return process_cpu_us(pid); });
  }
  double routers_memory_bytes() const {
    return sum_over_routers([](pid_t pid) { return anonymous_bytes(pid); });
  }
  // The following two return the bytes of HTTP through the proxies so far; 0 without proxies.
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
  static fleet::FleetSpec fleet_spec(const IdleFleetOptions& options) {
    fleet::FleetSpec spec;
    spec.routers = options.routers;
    spec.caches = 0;
    spec.parents = 0;
    spec.has_coordination_server = options.store;
    spec.max_sockets = 256;
    if (options.store) {
      spec.policy = {{"without", "both"}};
    }
    return spec;
  }

  void start(Kind kind) {
    scenario_->supervisor().start_all(kind);
    for (const std::string& name : layout_->names(kind)) {
      if (!scenario_->supervisor().await_up(name, kStartTimeout)) {
        throw std::runtime_error(name + " did not start: " + scenario_->supervisor().log(name));
      }
    }
  }
  void publish_list(int caches) {
    json event = list_page(caches, 1)["notices"][0];
    const std::uint64_t sequence = page_["rev"].get<std::uint64_t>() + 1;
    event["rev"] = sequence;
    page_["rev"] = sequence;
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
    const std::string new_file = layout_->board_file() + ".next";
    std::ofstream(new_file, std::ios::binary) << page_.dump(1) << '\n';
    std::filesystem::rename(new_file, layout_->board_file());
  }
  // Sums the results of `read_value` for the process ids of all routers.
  template <typename Function>
  double sum_over_routers(Function read_value) const {
    double sum = 0.0;
    for (const std::string& name : layout_->names(Kind::kRouter)) {
      sum += read_value(scenario_->supervisor().pid(name));
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

// Sums over all routers of a fleet, per second.
struct RouterCosts {
  double wire_bytes = 0.0;  // over loopback
  double http_bytes_to = 0.0;
  double http_bytes_from = 0.0;
  double cpu_us = 0.0;
};

// Measures the fleet while purges are published at this rate; 0: none.
RouterCosts measure(IdleFleet& fleet, int purges_per_s) {
  const double started_at_s = wall_us() / 1e6;
  const double wire = loopback_bytes();
  const double to = fleet.http_bytes_to_routers();
  const double from = fleet.http_bytes_from_routers();
  const double cpu = fleet.routers_cpu_us();
  fleet.run_with_purges(kMeasureTime, purges_per_s);
  const double seconds = wall_us() / 1e6 - started_at_s;
  RouterCosts out;
  out.wire_bytes = (loopback_bytes() - wire) / seconds;
  out.http_bytes_to = (fleet.http_bytes_to_routers() - to) / seconds;
  out.http_bytes_from = (fleet.http_bytes_from_routers() - from) / seconds;
  out.cpu_us = (fleet.routers_cpu_us() - cpu) / seconds;
  return out;
}

void measure_idle(const CostContext& context, const CostSink& sink, const std::string& name,
                  const std::string& description, IdleFleetOptions options) {
  CostSeries bytes{
      "process.bytes.idle." + name,
      "control traffic of all routers at rest, " + description + ", both ways, TCP and IP headers counted",
      "bytes/s",
      "routers",
      kSetting,
      {}};
  CostSeries cpu{"process.cpu.idle." + name,
                 "processor time of all routers at rest, " + description,
                 "us/s",
                 "routers",
                 kSetting,
                 {}};
  CostSeries memory{"process.memory.idle." + name,
                    "anonymous memory of all routers, " + description,
                    "bytes",
                    "routers",
                    kSetting,
                    {}};
  for (const int routers : kRouterCounts) {
    options.routers = routers;
    IdleFleet fleet(context, options);
    const RouterCosts costs = measure(fleet, 0);
    bytes.points.emplace_back(routers, costs.wire_bytes);
    cpu.points.emplace_back(routers, costs.cpu_us);
    memory.points.emplace_back(routers, fleet.routers_memory_bytes());
  }
  for (const CostSeries& series : {bytes, cpu, memory}) {
    sink(series);
  }
}

void measure_wire_bytes(const CostContext& context, const CostSink& sink, const std::string& name,
                        const std::string& description, const IdleFleetOptions& options) {
  CostSeries wire{"process.bytes.purges." + name,
                  "control traffic of one router under purges, " + description +
                      ", both ways, TCP and IP headers counted",
                  "bytes/s",
                  "purges a second",
                  kSetting,
                  {}};
  CostSeries cpu{"process.cpu.purges." + name,
                 "processor time of one router under purges, " + description,
                 "us/s",
                 "purges a second",
                 kSetting,
                 {}};
  for (const int rate : kPurgeRates) {
    IdleFleet fleet(context, options);
    const RouterCosts costs = measure(fleet, rate);
    wire.points.emplace_back(rate, costs.wire_bytes / fleet.routers());
    cpu.points.emplace_back(rate, costs.cpu_us / fleet.routers());
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
  IdleFleetOptions options;
  options.proxies = true;
  for (const int rate : kPurgeRates) {
    IdleFleet fleet(context, options);
    const RouterCosts costs = measure(fleet, rate);
    to.points.emplace_back(rate, costs.http_bytes_to / fleet.routers());
    from.points.emplace_back(rate, costs.http_bytes_from / fleet.routers());
  }
  sink(to);
  sink(from);
}

// ---- Requests ----

// A discovery server, an origin, one cache and one router. The router receives several concurrent requests
// over one connection.
class ServingFleet {
 public:
  ServingFleet(const CostContext& context, int object_kb) : folder_(context.folder + "/serving") {
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
    fleet::FleetSpec spec;
    spec.caches = 1;
    spec.parents = 0;
    spec.object_kb = object_kb;
    layout_ = std::make_unique<fleet::Layout>(spec, folder_, ports_);
    scenario_ = std::make_unique<fleet::Scenario>(scheduler_, *layout_, ports_, context.program,
                                                  std::vector<std::string>{});
    for (const Kind kind : {Kind::kDiscoveryServer, Kind::kOrigin, Kind::kCache, Kind::kRouter}) {
      scenario_->supervisor().start_all(kind);
      for (const std::string& name : layout_->names(kind)) {
        if (!scenario_->supervisor().await_up(name, kStartTimeout)) {
          throw std::runtime_error(name + " did not start: " + scenario_->supervisor().log(name));
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

  // Sends this number of requests for a few objects and waits for the responses, at most 30 s. Returns the
  // number of responses with status 200.
  int send_requests(int requests) {
    constexpr std::size_t kMaxConcurrentRequests = 8;
    constexpr std::size_t kObjects = 16;
    const transport::Address router = *transport::parse_address(layout_->member(kRouterName).address);
    const std::size_t first = load_->requests().size();
    const std::size_t last = first + static_cast<std::size_t>(requests);
    scenario_->supervisor().run_until(
        [&] {
          while (load_->open() < kMaxConcurrentRequests && load_->requests().size() < last) {
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
  // Returns the processor time of a process so far, in microseconds.
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
    fleet.send_requests(kWarmUpRequests);
    const double router_before = fleet.cpu_us(ServingFleet::kRouterName);
    const double cache_before = fleet.cpu_us(ServingFleet::kCacheName);
    const int served = fleet.send_requests(kMeasuredRequests);
    if (served < kMeasuredRequests * 9 / 10) {
      throw std::runtime_error("only " + std::to_string(served) + " of " + std::to_string(kMeasuredRequests) +
                               " requests succeeded");
    }
    router.points.emplace_back(object_kb, (fleet.cpu_us(ServingFleet::kRouterName) - router_before) / served);
    cache.points.emplace_back(object_kb, (fleet.cpu_us(ServingFleet::kCacheName) - cache_before) / served);
  }
  sink(router);
  sink(cache);
}

void measure_idle_processes(const CostContext& context, const CostSink& sink) {
  IdleFleetOptions options;
  measure_idle(context, sink, "board", "each asking the board", options);
  options.relays = true;
  measure_idle(context, sink, "relays", "relays of degree 8", options);
  options.relays = false;
  options.store = true;
  measure_idle(context, sink, "store", "each asking the board, one store and its policy", options);
}

void measure_purges_by_board(const CostContext& context, const CostSink& sink) {
  measure_wire_bytes(context, sink, "board", "a list of 40 caches", IdleFleetOptions());
}

void measure_purges_by_board_long(const CostContext& context, const CostSink& sink) {
  IdleFleetOptions options;
  options.listed_caches = 2'100;
  measure_wire_bytes(context, sink, "board.2100", "a list of 2,100 caches", options);
}

void measure_purges_by_relays(const CostContext& context, const CostSink& sink) {
  IdleFleetOptions options;
  options.relays = true;
  options.routers = 30;
  measure_wire_bytes(context, sink, "relays", "30 routers, relays of degree 8", options);
}

void measure_purges_http(const CostContext& context, const CostSink& sink) {
  measure_http_bytes(context, sink);
}

}  // namespace trailcourse::scale
