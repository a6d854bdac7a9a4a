#include "policy_measurement.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <utility>

#include "fleet/load_generator.h"
#include "scale/slopes.h"

namespace trailcourse::bench {

using fleet::Kind;
using nlohmann::json;
using std::chrono::milliseconds;
using transport::Clock;

namespace {

constexpr milliseconds kRequestInterval{2};
constexpr std::size_t kRequestsPerStatusQuery = 25;
constexpr milliseconds kPermitTtl{3'000};  // of a router's permit to serve under a policy version

enum class FaultCase { kAllUp, kOneStopped, kTenthKilled };

const char* to_string(FaultCase fault) {
  switch (fault) {
    case FaultCase::kAllUp:
      return "all up";
    case FaultCase::kOneStopped:
      return "one stopped";
    case FaultCase::kTenthKilled:
      break;
  }
  return "a tenth killed before";
}

// The cost of a policy change.
struct ChangeCost {
  double ms = 0.0;  // from the proposal to the end of the change
  Traffic store;
  Traffic aggregator;  // of the busiest aggregator
};

// The number of requests sent during a change, by the policy version that each response names.
struct LoadResult {
  std::size_t requests = 0;          // in total
  std::size_t both_versions = 0;     // decisions that the old and the new version both allow
  std::size_t refused = 0;           // the router had no policy version
  std::size_t order_violations = 0;  // decisions under an older version that follow one under a newer version
};

// Counts the requests from index `first` on. A response names the version that allowed the request ("7"),
// both versions if both allowed it ("6+7"), or "-" if the router had no version.
LoadResult count_requests(const std::vector<fleet::SentRequest>& all, std::size_t first) {
  LoadResult result;
  std::vector<std::pair<std::int64_t, std::uint64_t>> decisions;
  for (std::size_t i = first; i < all.size(); ++i) {
    const std::string& policy = all[i].policy;
    const bool both = policy.find('+') != std::string::npos;
    result.both_versions += both ? 1 : 0;
    result.refused += policy == "-" ? 1 : 0;
    if (!policy.empty() && policy != "-" && !both) {
      decisions.emplace_back(all[i].decided_us, std::stoull(policy));
    }
  }
  result.requests = all.size() - first;
  std::sort(decisions.begin(), decisions.end());
  for (std::size_t i = 1; i < decisions.size(); ++i) {
    result.order_violations += decisions[i].second < decisions[i - 1].second ? 1 : 0;
  }
  return result;
}

// Measures policy changes, one after the other, in one fleet.
class PolicyMeasurement {
 public:
  PolicyMeasurement(const fleet::FleetSpec& spec, const std::string& program)
      : bench_(spec, program, {}),
        load_(bench_.scheduler(), fleet::LoadGenerator::Options{}, 1),
        routers_(bench_.layout().names(Kind::kRouter)) {
    bench_.await("permission of all routers", [this] {
      bench_.run_for(milliseconds(100));
      return bench_.count_permitted_routers() >= routers_.size();
    });
  }

  // Measures one change with the fault and prints its row. Returns the number of calls at the store. Throws
  // MeasurementError.
  double measure_change(FaultCase fault) {
    const std::vector<std::string> running = inject_fault(fault);
    const std::size_t first_request = load_.requests().size();
    const ChangeCost cost = run_change(running);
    bench_.run_until([this] { return load_.open() == 0; }, milliseconds(5'000));
    const LoadResult load = count_requests(load_.requests(), first_request);
    std::printf("%8zu %-22s %9.0f %12llu %10zu %9zu %9zu %12zu %16llu %14.1f\n", routers_.size(),
                to_string(fault), cost.ms, static_cast<unsigned long long>(cost.store.calls), load.requests,
                load.both_versions, load.refused, load.order_violations,
                static_cast<unsigned long long>(cost.aggregator.calls),
                static_cast<double>(cost.aggregator.bytes) / 1e3);
    std::fflush(stdout);
    remove_fault(fault);
    return static_cast<double>(cost.store.calls);
  }

 private:
  // Injects the fault. Returns the running routers.
  std::vector<std::string> inject_fault(FaultCase fault) {
    std::vector<std::string> running = routers_;
    if (fault == FaultCase::kOneStopped) {
      bench_.supervisor().signal(running.back(), SIGSTOP);
      running.pop_back();
    } else if (fault == FaultCase::kTenthKilled) {
      for (std::size_t i = 0; i < std::max<std::size_t>(1, routers_.size() / 10); ++i) {
        bench_.supervisor().kill(running.back());
        running.pop_back();
      }
      bench_.run_for(kPermitTtl + milliseconds(500));
    }
    return running;
  }
  void remove_fault(FaultCase fault) {
    if (fault == FaultCase::kOneStopped) {
      bench_.supervisor().signal(routers_.back(), SIGCONT);
      bench_.run_for(milliseconds(1'000));
    }
  }

  // Proposes a new policy version, waits until the change is done and returns its cost.
  ChangeCost run_change(const std::vector<std::string>& running) {
    program::PolicyCommand propose;
    propose.action = "propose";
    propose.file = bench_.folder() + "/draft.json";
    std::ofstream(propose.file)
        << R"({"schema":1,"content":{"classes":{"media":{"objective_ms":2000,"give_up_ms":6000,"worth":)"
        << ++worth_ << "}}}}";
    const Metrics store_before = bench_.request_metrics("registry");
    const auto aggregators_before = bench_.request_aggregator_metrics();
    const Clock::time_point start = Clock::now();
    bench_.run_policy_command(propose);
    ChangeCost cost;
    cost.ms = to_ms(await_done(running, start) - start);
    cost.store = traffic_between(store_before, bench_.request_metrics("registry"));
    cost.aggregator = busiest_traffic(aggregators_before, bench_.request_aggregator_metrics());
    return cost;
  }

  // Sends requests to the running routers in turn until the change is done. Returns the time of its end.
  Clock::time_point await_done(const std::vector<std::string>& running, Clock::time_point start) {
    Clock::time_point next_request = start;
    Clock::time_point done_at;
    std::size_t sent = 0;
    bench_.await("the end of the change", [&] {
      while (next_request <= Clock::now()) {
        const std::string& router = running[sent++ % running.size()];
        load_.send(router, *transport::parse_address(bench_.layout().member(router).address),
                   fleet::object_name(sent % 50));
        next_request += kRequestInterval;
      }
      if (sent % kRequestsPerStatusQuery != 0) {
        return false;
      }
      const json change = bench_.policy_status().value("change", json());
      done_at = Clock::now();
      return change.is_object() && change.value("state", std::string()) == "done";
    });
    return done_at;
  }

  FleetBench bench_;
  fleet::LoadGenerator load_;
  std::vector<std::string> routers_;
  double worth_ = 1.0;  // differs in each proposal, so that each one changes the policy
};

}  // namespace

fleet::FleetSpec policy_fleet(int routers, const Topology& topology) {
  fleet::FleetSpec spec =
      topology.flat ? flat_fleet(routers) : aggregated_fleet(routers, topology.regions_for(routers));
  spec.disk = false;
  spec.max_sockets = 256;
  spec.policy = {{"ttl_ms", kPermitTtl.count()}};
  return spec;
}

int Topology::regions_for(int routers) const {
  return regions > 0 ? regions : std::max(kMinRegions, (routers + kRoutersPerRegion - 1) / kRoutersPerRegion);
}

int measure_policy(const std::string& program, const std::vector<int>& sizes, const Topology& topology,
                   std::vector<ChangeCalls>& calls_all_up) {
  std::printf(
      "a policy change from its proposal to its end, default times (ttl 3,000 ms), 500 requests per "
      "second to the whole fleet (real processes), %s\n",
      topology.flat ? "each router connects to the store" : "routers connect through aggregators");
  std::printf("%8s %-22s %9s %12s %10s %9s %9s %12s %16s %14s\n", "routers", "case", "ms", "store calls",
              "requests", "by both", "refused", "order broken", "aggregator calls", "aggregator KB");
  return measure_sizes(sizes, [&](int size, std::string& row_label) {
    PolicyMeasurement measurement(policy_fleet(size, topology), program);
    for (const FaultCase fault : {FaultCase::kAllUp, FaultCase::kOneStopped, FaultCase::kTenthKilled}) {
      row_label = to_string(fault);
      const double calls = measurement.measure_change(fault);
      if (fault == FaultCase::kAllUp) {
        calls_all_up.push_back({size, topology.flat ? 0 : topology.regions_for(size), calls});
      }
    }
  });
}

void save_change_calls(const std::string& path, const std::vector<ChangeCalls>& calls_all_up,
                       const std::string& command) {
  scale::Slope flat;
  flat.name = "store.calls.change.flat.real";
  flat.what = "calls at the store during one change, every router at the store, the tool's own among them";
  flat.per = "routers";
  scale::Slope regions;
  regions.name = "store.calls.change.regions.real";
  regions.what = "calls at the store during one change, by aggregators, the tool's own among them";
  regions.per = "regions";
  for (const ChangeCalls& calls : calls_all_up) {
    scale::Slope& slope = calls.regions > 0 ? regions : flat;
    slope.points.emplace_back(calls.regions > 0 ? calls.regions : calls.routers, calls.store_calls);
  }
  std::vector<scale::Slope> measured;
  for (scale::Slope slope : {flat, regions}) {
    if (!slope.points.empty()) {
      slope.unit = "calls";
      slope.setting = "real processes";
      slope.command = command;
      measured.push_back(scale::complete_slope(slope));
    }
  }
  scale::save_slopes(path, measured);
}

}  // namespace trailcourse::bench
