// What an aggregator pays for the routers below it.
#include <array>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "aggregation/aggregator.h"
#include "policy/change.h"
#include "role_costs.h"

namespace trailcourse::scale {
namespace {

using aggregation::Aggregator;
using coordination::LeaseId;

constexpr std::array<int, 5> kRouters{100, 360, 1'000, 2'000, 4'000};
constexpr int kZones = 4;  // of a region
constexpr Micros kRouterTtl{3'000'000};
constexpr const char* kPrefix = "trailcourse/";

std::string router_name(int index) { return "router-" + std::to_string(10'000 + index); }
std::string zone_name(int index) { return "zone" + std::to_string(index % kZones); }

aggregation::AggregatorRules wide_rules() {
  aggregation::AggregatorRules rules;
  rules.lease.ttl = Micros(3'600'000'000);  // nothing ends while it is measured
  rules.routers.most_routers = 100'000;
  return rules;
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

std::vector<coordination::Entry> records() {
  return {coordination::Entry{std::string(kPrefix) + policy::kCurrentKey, "812", 5, 5, 1, 0}};
}

// An aggregator that has permission, with so many routers that have said a permit each.
class Region {
 public:
  Region(int routers, std::uint64_t seed) : aggregator_(wide_rules(), identity(), seed) {
    aggregator_.mirror(records());
    aggregator_.heard(true);
    for (const aggregation::UplinkOrder& order : aggregator_.due(now_)) {
      if (const auto* ask = std::get_if<aggregation::AskPermission>(&order)) {
        aggregator_.uplink().joined(now_, ask->order.call_id, {true, 9, 0});
      }
    }
    for (int i = 0; i < routers; ++i) {
      leases_.push_back(aggregator_.grant(now_, kRouterTtl));
      say(i);
    }
  }

  std::size_t size() const { return leases_.size(); }
  void renew(std::size_t router) { aggregator_.keep_alive(now_, leases_[router]); }
  void say(int router) {
    const LeaseId lease = leases_[static_cast<std::size_t>(router)];
    policy::Permit permit;
    permit.incarnation = "0123456789abcdef";
    permit.zone = zone_name(router);
    permit.version = 812;
    permit.number = ++number_;
    aggregator_.commit(now_, {{},
                              {coordination::Put{kPrefix + policy::permit_key(router_name(router), lease),
                                                 policy::write_permit(permit), lease}},
                              {}});
  }
  void summarize() { keep_result(aggregator_.summaries()); }
  void turn() { keep_result(aggregator_.due(now_)); }

 private:
  Aggregator aggregator_;
  Micros now_{1'000'000};
  std::vector<LeaseId> leases_;
  std::uint64_t number_ = 0;
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
  CostSeries permit{"aggregator.cpu.permit",
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
  CostSeries turn{
      "aggregator.cpu.turn", "what is due now, asked for after each call", "us", "routers", "in process", {}};
  for (const int routers : kRouters) {
    memory.points.emplace_back(
        routers, bytes_held_by([&] { return std::make_unique<Region>(routers, context.seed); }));
    Region region(routers, context.seed);
    renewal.points.emplace_back(routers, cpu_us_per_call(1, [&] {
                                  for (std::size_t i = 0; i < region.size(); ++i) {
                                    region.renew(i);
                                  }
                                }));
    permit.points.emplace_back(routers, cpu_us_per_call(1, [&] {
                                 for (std::size_t i = 0; i < region.size(); ++i) {
                                   region.say(static_cast<int>(i));
                                 }
                               }));
    summaries.points.emplace_back(routers, cpu_us_per_call(50, [&] { region.summarize(); }));
    turn.points.emplace_back(routers, cpu_us_per_call(50, [&] { region.turn(); }));
  }
  for (const CostSeries& series : {memory, renewal, permit, summaries, turn}) {
    sink(series);
  }
}

}  // namespace trailcourse::scale
