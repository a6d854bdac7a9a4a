// Measures a fleet of real processes through an outage of the discovery service: hits, calls to the origin,
// refusals, and answers from copies older than a purge.
//
//     discovery_outage_bench --program PROGRAM --scope all|cache --outage-s 8 --unsure serve|guard
//
// `all` cuts every router and cache off from the discovery service, `cache` one cache alone. Objects are
// purged throughout, one a second. Prints one line for the outage and one for the time after it.
#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cxxopts.hpp>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "fleet/fault_script.h"
#include "fleet/layout.h"
#include "fleet/load_generator.h"
#include "fleet/scenario.h"
#include "program/discovery_file_server.h"
#include "temporary_folder.h"
#include "transport/scheduler.h"

namespace trailcourse::bench {
namespace {

using fleet::Kind;
using std::chrono::milliseconds;
using transport::Clock;

constexpr milliseconds kStartTimeout{20'000};
constexpr milliseconds kRequestPause{5};
constexpr milliseconds kPurgePause{900};
constexpr milliseconds kLimitedAge{5'900};  // of copies, with --unsure guard
constexpr milliseconds kEditPause{100};     // from the new version of an object to its purge
constexpr milliseconds kWarmUp{20'000};
constexpr milliseconds kAfterwards{12'000};
// From a purge on, until no router and no cache has an excuse: 7 s to be told, 0.3 s of grace, 50 ms.
constexpr milliseconds kPurgeBound{7'350};
constexpr std::uint64_t kFirstObject = 1'000;
constexpr std::size_t kObjects = 2'000;  // some are requested less than once in the bound
constexpr int kObjectKb = 4;
constexpr std::uint32_t kSeed = 20'261'206;

struct Arguments {
  std::string program;
  bool one_cache = false;
  bool limit_ages = false;
  milliseconds outage{0};
};

struct Purge {
  Clock::time_point at;
  int version = 0;  // of the object from then on
};

struct Window {
  Clock::time_point from;
  Clock::time_point until;
};

// What clients and the origin saw of the requests that were sent within a window.
struct Figures {
  std::size_t requests = 0, hits = 0, refused = 0, failed = 0, purged = 0;
  std::size_t origin_calls = 0;
};

class OutageMeasurement {
 public:
  explicit OutageMeasurement(const Arguments& arguments)
      : arguments_(arguments),
        folder_("trailcourse-discovery-outage"),
        layout_(fleet_spec(arguments), folder_.path(), ports_),
        scenario_(scheduler_, layout_, ports_, arguments.program, {"*>board", "*>origin"}),
        load_(scheduler_, {"media", milliseconds(2'000), 20.0, false}, 1) {}

  bool run() {
    if (!start()) {
      return false;
    }
    play(kWarmUp);
    const Clock::time_point cut = Clock::now();
    scenario_.apply(link_fault(fleet::FaultKind::kCut));
    play(arguments_.outage);
    const Clock::time_point healed = Clock::now();
    scenario_.apply(link_fault(fleet::FaultKind::kHeal));
    play(kAfterwards);
    const Clock::time_point ended = Clock::now();
    supervisor().run_until([this] { return load_.open() == 0; }, milliseconds(3'000));
    print("outage", {cut, healed});
    print("after", {healed, ended});
    return true;
  }

 private:
  static fleet::FleetSpec fleet_spec(const Arguments& arguments) {
    fleet::FleetSpec spec;
    spec.routers = 2;
    spec.caches = 3;
    spec.parents = 1;
    spec.origin_delay_ms = 20;
    if (arguments.limit_ages) {
      spec.operator_sections["startup"] = {{"unsure", "guard"}, {"told_within_ms", kLimitedAge.count()}};
    }
    spec.object_kb = kObjectKb;
    return spec;
  }

  fleet::Supervisor& supervisor() { return scenario_.supervisor(); }

  fleet::Fault link_fault(fleet::FaultKind kind) const {
    fleet::Fault fault;
    fault.kind = kind;
    fault.target = arguments_.one_cache ? "cache0>board" : "*>board";
    fault.direction = "both";
    return fault;
  }

  bool start() {
    for (const Kind kind : fleet::kStartOrder) {
      supervisor().start_all(kind);
      for (const std::string& name : layout_.names(kind)) {
        const bool node = kind == Kind::kCache || kind == Kind::kParent;
        if (!supervisor().await_up(name, kStartTimeout) ||
            (node && !supervisor().await_log(name, "received discovery events", kStartTimeout))) {
          std::fprintf(stderr, "%s did not start\n", name.c_str());
          return false;
        }
      }
    }
    return true;
  }

  // Sends requests and purges objects for this long.
  void play(milliseconds time) {
    const Clock::time_point until = Clock::now() + time;
    supervisor().run_until(
        [this, until] {
          const Clock::time_point now = Clock::now();
          send_due(now);
          purge_due(now);
          return now >= until;
        },
        time + milliseconds(1'000));
  }

  void send_due(Clock::time_point now) {
    const std::vector<std::string> routers = layout_.names(Kind::kRouter);
    for (; next_request_ <= now; next_request_ += kRequestPause) {
      const std::string& router = routers[load_.requests().size() % routers.size()];
      load_.send(router, *transport::parse_address(layout_.member(router).address),
                 fleet::object_name(kFirstObject + next_object()));
    }
  }

  // Returns each object once, so that caches have it, and drawn ones from then on.
  std::uint64_t next_object() {
    const std::size_t sent = load_.requests().size();
    return sent < kObjects ? sent : draw_object();
  }

  // Draws an object; the lower its number, the more often.
  std::uint64_t draw_object() {
    const double uniform = std::uniform_real_distribution<double>(0.0, 1.0)(random_);
    return static_cast<std::uint64_t>(uniform * uniform * static_cast<double>(kObjects));
  }

  // Gives all objects of the origin a new version and then purges one of them. Copies of the others stay
  // valid.
  void purge_due(Clock::time_point now) {
    if (now < next_purge_) {
      return;
    }
    if (!std::exchange(edited_, true)) {
      supervisor().signal("origin", SIGHUP);
      ++version_;
      next_purge_ = now + kEditPause;
      return;
    }
    edited_ = false;
    next_purge_ = now + kPurgePause;
    const std::string object = fleet::object_name(kFirstObject + random_() % kObjects);
    const auto unix_now =
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    program::append_event(layout_.board_file(), {{"flush", {{"asset", object}, {"ms", unix_now.count()}}}});
    purges_[object].push_back({now, version_});
  }

  bool from_purged_copy(const fleet::SentRequest& request) const {
    const auto found = purges_.find(request.object);
    return found != purges_.end() &&
           std::any_of(found->second.begin(), found->second.end(), [&](const Purge& purge) {
             return request.sent > purge.at + kPurgeBound && request.version < purge.version;
           });
  }

  Figures figures_of(const Window& window) {
    Figures out;
    const auto within = [&window](Clock::time_point time) {
      return time >= window.from && time < window.until;
    };
    for (const fleet::SentRequest& request : load_.requests()) {
      if (!within(request.sent)) {
        continue;
      }
      ++out.requests;
      const bool refused = request.status == 429 || request.status == 503;
      out.refused += refused ? 1 : 0;
      out.failed += request.status != 200 && !refused ? 1 : 0;
      out.hits += request.status == 200 && request.via.find("; warm;") != std::string::npos ? 1 : 0;
      out.purged += request.status == 200 && from_purged_copy(request) ? 1 : 0;
    }
    for (const fleet::FaultProxy* link : scenario_.links()) {
      if (fleet::matches_pattern("*>origin", link->name())) {
        const auto& calls = link->traffic().requests;
        out.origin_calls += static_cast<std::size_t>(std::count_if(calls.begin(), calls.end(), within));
      }
    }
    return out;
  }

  void print(const char* name, const Window& window) {
    const Figures figures = figures_of(window);
    const double seconds = std::chrono::duration<double>(window.until - window.from).count();
    const double requests = static_cast<double>(std::max<std::size_t>(1, figures.requests));
    std::printf(
        "%-5s %2lld s %-6s: %6zu requests, hits %5.1f%%, origin calls %5zu (%5.1f/s), refused %zu, "
        "failed %zu, from purged copies %zu\n",
        arguments_.one_cache ? "cache" : "all",
        static_cast<long long>(std::chrono::duration_cast<std::chrono::seconds>(arguments_.outage).count()),
        name, figures.requests, 100.0 * static_cast<double>(figures.hits) / requests, figures.origin_calls,
        static_cast<double>(figures.origin_calls) / seconds, figures.refused, figures.failed, figures.purged);
  }

  Arguments arguments_;
  TemporaryFolder folder_;
  transport::Scheduler scheduler_;
  fleet::PortAllocator ports_;
  fleet::Layout layout_;
  fleet::Scenario scenario_;
  fleet::LoadGenerator load_;
  std::mt19937 random_{kSeed};
  std::map<std::string, std::vector<Purge>> purges_;
  int version_ = 1;
  bool edited_ = false;  // since the last purge
  Clock::time_point next_request_ = Clock::now();
  Clock::time_point next_purge_ = Clock::now();
};

}  // namespace
}  // namespace trailcourse::bench

int main(int count, char** values) {
  cxxopts::Options options("discovery_outage_bench", "Measures an outage of the discovery service.");
  options.add_options()("program", "path of the trailcourse program",
                        cxxopts::value<std::string>()->default_value("build/trailcourse"))(
      "scope", "who is cut off: all, or one cache alone",
      cxxopts::value<std::string>()->default_value("all"))("outage-s", "length of the outage in seconds",
                                                           cxxopts::value<int>()->default_value("8"))(
      "unsure", "startup.unsure of the routers: serve, or guard with a limit of 5.9 s",
      cxxopts::value<std::string>()->default_value("serve"));
  try {
    const cxxopts::ParseResult parsed = options.parse(count, values);
    const auto scope = parsed["scope"].as<std::string>();
    const auto unsure = parsed["unsure"].as<std::string>();
    if ((scope != "all" && scope != "cache") || (unsure != "serve" && unsure != "guard")) {
      std::fprintf(stderr, "--scope is all or cache, --unsure is serve or guard\n");
      return 2;
    }
    trailcourse::bench::Arguments arguments;
    arguments.program = parsed["program"].as<std::string>();
    arguments.one_cache = scope == "cache";
    arguments.limit_ages = unsure == "guard";
    arguments.outage = std::chrono::seconds(parsed["outage-s"].as<int>());
    return trailcourse::bench::OutageMeasurement(arguments).run() ? 0 : 1;
  } catch (const cxxopts::exceptions::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
