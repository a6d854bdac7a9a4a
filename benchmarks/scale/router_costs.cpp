// Measures the costs of a router: of its endpoint list and of each decision.
#include <trailcourse/decider.h>

#include <array>
#include <memory>
#include <random>
#include <variant>

#include "discovery/event_log.h"
#include "planned_fleet.h"
#include "protocol/discovery_page.h"
#include "role_costs.h"
#include "routing/discovery_update_handler.h"
#include "routing/endpoint_directory.h"
#include "routing/router.h"
#include "sample_fleet.h"

namespace trailcourse::scale {
namespace {

constexpr std::array<int, 5> kCacheCounts{40, 500, 2'100, 4'200, 8'400};
constexpr std::array<int, 6> kLocalCacheCounts{5, 10, 40, 100, 400, 1'600};  // caches in the router's zone

// The part of a router that applies the pages of the discovery service, with the router's decision module.
class PageApplier {
 public:
  PageApplier(const protocol::DeploymentSettings& profile, std::uint64_t seed)
      : profile_(profile),
        decider_(profile.settings, seed),
        router_(
            scheduler_, routing::DeciderClock(), profile.settings,
            [this](Micros now, const Event& event, std::vector<Action>& out) {
              decider_.handle(now, event, out);
            },
            routing::Router::Bounds()),
        update_handler_(router_, directory_, [](const std::string&) {}) {}

  void apply(const std::string& text) {
    update_handler_.apply(protocol::parse_discovery_page(text, profile_));
  }

 private:
  const protocol::DeploymentSettings& profile_;
  transport::Scheduler scheduler_;
  Decider decider_;
  routing::EndpointDirectory directory_;
  routing::Router router_;
  routing::DiscoveryUpdateHandler update_handler_;
};

// Returns the text of the page as the discovery service sends it.
std::string page_text(const nlohmann::json& page) {
  discovery::EventLog log;
  log.replace(page);
  return *log.page_after(0);
}

// Returns an endpoint list with `caches` caches, all in `zone`, followed by one origin.
EndpointListReceived complete_list(int caches, const std::string& zone) {
  EndpointListReceived list;
  for (int i = 0; i < caches; ++i) {
    Endpoint entry;
    entry.address = "cache" + std::to_string(i);
    entry.zone = zone;
    entry.weight = 8.0;
    list.entries.push_back(std::move(entry));
  }
  Endpoint origin;
  origin.address = "origin";
  origin.role = Role::kOrigin;
  list.entries.push_back(origin);
  return list;
}

// Measures a page with a complete endpoint list: its size, the CPU time of applying it, and the memory that
// the router then holds.
void measure_lists(const CostContext& context, const CostSink& sink) {
  CostSeries bytes{"router.bytes.list",
                   "one whole list of caches on a page of the board",
                   "bytes",
                   "caches",
                   "in process",
                   {}};
  CostSeries cpu{"router.cpu.list",
                 "a whole list taken in at a start: page parsed, directory, module",
                 "us",
                 "caches",
                 "in process",
                 {}};
  CostSeries memory{"router.memory.list",
                    "directory, taker and module once a list is taken in",
                    "bytes",
                    "caches",
                    "in process",
                    {}};
  CostSeries module{"router.memory.module.list",
                    "the decision module alone with its list",
                    "bytes",
                    "caches",
                    "in process",
                    {}};
  const protocol::DeploymentSettings profile =
      protocol::read_deployment_settings(router_settings(kPlannedRouters, kPlannedZones));
  for (const int caches : kCacheCounts) {
    const std::string text = page_text(list_page(caches, kPlannedZones));
    bytes.points.emplace_back(caches, text.size());
    double minimum = 0.0;
    for (int round = 0; round < 5; ++round) {
      PageApplier applier(profile, context.seed);
      const double before = thread_cpu_us();
      applier.apply(text);
      const double cpu_time_us = thread_cpu_us() - before;
      minimum = round == 0 ? cpu_time_us : std::min(minimum, cpu_time_us);
    }
    cpu.points.emplace_back(caches, minimum);
    memory.points.emplace_back(caches, bytes_held_by([&] {
                                 auto applier = std::make_unique<PageApplier>(profile, context.seed);
                                 applier->apply(text);
                                 return applier;
                               }));
    module.points.emplace_back(caches, bytes_held_by([&] {
                                 auto decider = std::make_unique<Decider>(profile.settings, context.seed);
                                 std::vector<Action> actions;
                                 decider->handle(Micros(1), complete_list(caches, kSampleZone), actions);
                                 return decider;
                               }));
  }
  for (const CostSeries& series : {bytes, cpu, memory, module}) {
    sink(series);
  }
}

// Returns a page with an update of one endpoint.
nlohmann::json update_page(std::uint64_t number, const nlohmann::json& entry) {
  const nlohmann::json pool{
      {"index", number}, {"snapshot", false}, {"endpoints", nlohmann::json::array({entry})}};
  const nlohmann::json event{{"rev", number}, {"pool", pool}};
  return {{"rev", number}, {"notices", nlohmann::json::array({event})}};
}

// Measures the CPU time of applying a page that updates one cache of a list.
void measure_list_change(const CostContext& context, const CostSink& sink) {
  CostSeries cpu{"router.cpu.list.change",
                 "one cache of the list changes: page parsed, directory, module",
                 "us",
                 "caches",
                 "in process",
                 {}};
  const protocol::DeploymentSettings profile =
      protocol::read_deployment_settings(router_settings(kPlannedRouters, kPlannedZones));
  for (const int caches : kCacheCounts) {
    const nlohmann::json page = list_page(caches, kPlannedZones);
    PageApplier applier(profile, context.seed);
    applier.apply(page_text(page));
    nlohmann::json entry = page["notices"][0]["pool"]["endpoints"][1];  // the first cache; 0 is the origin
    std::uint64_t number = 1;
    cpu.points.emplace_back(caches, cpu_us_per_call(200, [&] {
                              ++number;
                              entry["status"] = number % 2 == 0 ? "draining" : "up";
                              applier.apply(page_text(update_page(number, entry)));
                            }));
  }
  sink(cpu);
}

// Passes requests to the decision module one at a time, and completes the attempts of each.
class RequestProcessor {
 public:
  RequestProcessor(const protocol::DeploymentSettings& profile, std::uint64_t seed,
                   const EndpointListReceived& list)
      : decider_(profile.settings, seed), random_(seed) {
    handle(list);
  }

  void process_request() {
    now_ += Micros(1'000);
    RequestArrived arrived;
    arrived.id = ++last_;
    arrived.object = random_() % kObjects;
    arrived.deadline = now_ + Micros(2'000'000);
    arrived.size_kb = 100.0;
    handle(arrived);
    complete_attempts();
    // Timers of completed requests have no effect, so they are not fired.
  }

  std::size_t sent() const { return sent_; }

 private:
  static constexpr std::uint64_t kObjects = 10'000;

  void handle(const Event& event) {
    actions_.clear();
    decider_.handle(now_, event, actions_);
  }
  void complete_attempts() {
    std::vector<Action> pending_actions;
    pending_actions.swap(actions_);
    int attempt = 0;
    for (const Action& action : pending_actions) {
      if (std::holds_alternative<SendAttempt>(action)) {
        ++sent_;
        AttemptEnded ended;
        ended.id = last_;
        ended.attempt = attempt++;
        ended.latency = Micros(5'000);
        ended.finished = true;
        ended.note = Note::kHit;
        handle(ended);
      }
    }
  }

  Decider decider_;
  std::mt19937_64 random_;
  Micros now_{1'000'000};
  RequestId last_ = 0;
  std::size_t sent_ = 0;
  std::vector<Action> actions_;
};

// Measures the CPU time of the decisions on one request: by the number of caches in the router's zone, and by
// the number of caches in the list if only ten of them are in the zone.
void measure_decisions(const CostContext& context, const CostSink& sink) {
  CostSeries by_local_caches{"router.cpu.decision",
                             "one request from its arrival to its one answer, in the module",
                             "us",
                             "caches of the router's zone",
                             "in process",
                             {}};
  CostSeries by_all_caches{"router.cpu.decision.others",
                           "the same, ten caches in the zone and all others elsewhere",
                           "us",
                           "caches",
                           "in process",
                           {}};
  const protocol::DeploymentSettings profile =
      protocol::read_deployment_settings(router_settings(kPlannedRouters, kPlannedZones));
  for (const int caches : kLocalCacheCounts) {
    RequestProcessor processor(profile, context.seed, complete_list(caches, kSampleZone));
    by_local_caches.points.emplace_back(caches, cpu_us_per_call(2'000, [&] { processor.process_request(); }));
  }
  for (const int caches : kCacheCounts) {
    EndpointListReceived list = complete_list(caches, kSampleZone);
    constexpr std::size_t kLocalCaches = 10;
    for (std::size_t i = kLocalCaches; i + 1 < list.entries.size(); ++i) {  // the last entry is the origin
      list.entries[i].zone = "zone1";
    }
    RequestProcessor processor(profile, context.seed, list);
    by_all_caches.points.emplace_back(caches, cpu_us_per_call(2'000, [&] { processor.process_request(); }));
  }
  sink(by_local_caches);
  sink(by_all_caches);
}

}  // namespace

void measure_router(const CostContext& context, const CostSink& sink) {
  measure_lists(context, sink);
  measure_list_change(context, sink);
  measure_decisions(context, sink);
}

}  // namespace trailcourse::scale
