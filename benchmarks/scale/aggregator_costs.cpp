// Measures the memory and CPU time that an aggregator needs for the routers that report to it. In the names
// and texts of the measured points, a permit is a participant report with its lease, and a turn is a call of
// step().
#include <array>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "aggregation/aggregator.h"
#include "policy/rollout.h"
#include "role_costs.h"

namespace trailcourse::scale {
namespace {

using aggregation::Aggregator;
using coordination::LeaseId;

constexpr std::array<int, 5> kRouterCounts{100, 360, 1'000, 2'000, 4'000};
constexpr int kZones = 4;
constexpr Micros kRouterTtl{3'000'000};
constexpr const char* kPrefix = "trailcourse/";

std::string router_name(int index) { return "router-" + std::to_string(10'000 + index); }
std::string zone_name(int index) { return "zone" + std::to_string(index % kZones); }

aggregation::AggregatorSettings settings_with_raised_limits() {
  aggregation::AggregatorSettings settings;
  settings.lease.ttl = Micros(3'600'000'000);  // no lease expires during a measurement
  settings.routers.max_routers = 100'000;
  return settings;
}

aggregation::AggregatorIdentity identity() {
  aggregation::AggregatorIdentity out;
  out.name = "aggregator0";
  out.incarnation = "0123456789abcdef";
  out.prefix = kPrefix;
  for (int i = 0; i < kZones; ++i) {
    out.zones.push_back(zone_name(i));
  }
  return out;
}

// Returns the records of the store that the aggregator replicates at its start: the policy version in force.
std::vector<coordination::Entry> initial_entries() {
  return {coordination::Entry{std::string(kPrefix) + policy::kCurrentKey, "812", 5, 5, 1, 0}};
}

// An aggregator that holds its own lease and has granted one to each of `routers` routers, which have all
// reported once.
class LoadedAggregator {
 public:
  LoadedAggregator(int routers, std::uint64_t seed)
      : aggregator_(settings_with_raised_limits(), identity(), seed) {
    aggregator_.on_snapshot(initial_entries());
    aggregator_.set_connected(true);
    for (const aggregation::UpstreamAction& action : aggregator_.step(now_)) {
      if (const auto* lease = std::get_if<aggregation::LeaseAction>(&action)) {
        aggregator_.upstream().on_join_result(now_, lease->call.call_id,
                                              {aggregation::JoinResult::Status::kJoined, 9, 0});
      }
    }
    for (int i = 0; i < routers; ++i) {
      leases_.push_back(aggregator_.grant(now_, kRouterTtl));
      report(i);
    }
  }

  std::size_t size() const { return leases_.size(); }
  void renew(std::size_t router) { aggregator_.keep_alive(now_, leases_[router]); }
  void report(int router) {
    const LeaseId lease = leases_[static_cast<std::size_t>(router)];
    policy::ParticipantReport report;
    report.incarnation = "0123456789abcdef";
    report.zone = zone_name(router);
    report.version = 812;
    report.sequence = ++sequence_;
    aggregator_.commit(now_, {{},
                              {coordination::Put{kPrefix + policy::report_key(router_name(router), lease),
                                                 policy::write_report(report), lease}},
                              {}});
  }
  void summarize() { keep_result(aggregator_.summaries()); }
  void step() { keep_result(aggregator_.step(now_)); }

 private:
  Aggregator aggregator_;
  Micros now_{1'000'000};
  std::vector<LeaseId> leases_;
  std::uint64_t sequence_ = 0;
};

}  // namespace

void measure_aggregator(const CostContext& context, const CostSink& sink) {
  CostSeries memory{"aggregator.memory.router",
                    "an aggregator with its routers' permits",
                    "bytes",
                    "routers",
                    "in process",
                    {}};
  CostSeries renewal{
      "aggregator.cpu.renewal", "a renewal of each router, in the core", "us", "routers", "in process", {}};
  CostSeries reports{"aggregator.cpu.permit",
                     "a permit of each router taken in, in the core",
                     "us",
                     "routers",
                     "in process",
                     {}};
  CostSeries summaries{"aggregator.cpu.summaries",
                       "what all routers say together, of four zones",
                       "us",
                       "routers",
                       "in process",
                       {}};
  CostSeries step{
      "aggregator.cpu.turn", "what is due now, asked for after each call", "us", "routers", "in process", {}};
  for (const int routers : kRouterCounts) {
    memory.points.emplace_back(
        routers, bytes_held_by([&] { return std::make_unique<LoadedAggregator>(routers, context.seed); }));
    LoadedAggregator aggregator(routers, context.seed);
    renewal.points.emplace_back(routers, cpu_us_per_call(1, [&] {
                                  for (std::size_t i = 0; i < aggregator.size(); ++i) {
                                    aggregator.renew(i);
                                  }
                                }));
    reports.points.emplace_back(routers, cpu_us_per_call(1, [&] {
                                  for (std::size_t i = 0; i < aggregator.size(); ++i) {
                                    aggregator.report(static_cast<int>(i));
                                  }
                                }));
    summaries.points.emplace_back(routers, cpu_us_per_call(50, [&] { aggregator.summarize(); }));
    step.points.emplace_back(routers, cpu_us_per_call(50, [&] { aggregator.step(); }));
  }
  for (const CostSeries& series : {memory, renewal, reports, summaries, step}) {
    sink(series);
  }
}

}  // namespace trailcourse::scale
