#include "policy_measurement.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>

#include "fleet/load_generator.h"
#include "scale/slopes.h"

namespace trailcourse::bench {

using fleet::Kind;
using nlohmann::json;
using std::chrono::milliseconds;
using transport::Clock;

namespace {

constexpr milliseconds kBetweenRequests{2};
constexpr std::size_t kRequestsBetweenLooks = 25;
constexpr milliseconds kPermissionTime{3'000};  // of a router

enum class Case { kAllUp, kOneStopped, kTenthKilled };

const char* to_string(Case which) {
  switch (which) {
    case Case::kAllUp:
      return "all up";
    case Case::kOneStopped:
      return "one stopped";
    case Case::kTenthKilled:
      break;
  }
  return "a tenth killed before";
}

// What a change cost.
struct ChangeCost {
  double ms = 0.0;
  Served store;
  Served aggregator;  // the busiest
};

// What the requests say that were sent meanwhile.
struct LoadSeen {
  std::size_t requests = 0;
  std::size_t by_both = 0;  // decided so that both versions allow it
  std::size_t refused = 0;  // for want of a version
  std::size_t broken = 0;   // decided under an older version after one under a newer
};

LoadSeen read_load(const std::vector<fleet::SentRequest>& all, std::size_t first) {
  LoadSeen out;
  std::vector<std::pair<std::int64_t, std::uint64_t>> order;
  for (std::size_t i = first; i < all.size(); ++i) {
    const std::string& policy = all[i].policy;
    const bool both = policy.find('+') != std::string::npos;
    out.by_both += both ? 1 : 0;
    out.refused += policy == "-" ? 1 : 0;
    if (!policy.empty() && policy != "-" && !both) {
      order.emplace_back(all[i].decided_us, std::stoull(policy));
    }
  }
  out.requests = all.size() - first;
  std::sort(order.begin(), order.end());
  for (std::size_t i = 1; i < order.size(); ++i) {
    out.broken += order[i].second < order[i - 1].second ? 1 : 0;
  }
  return out;
}

// One fleet, and changes made to its policy one after the other.
class PolicyMeasurement {
 public:
  PolicyMeasurement(const fleet::FleetSpec& shape, const std::string& program)
      : bench_(shape, program, {}),
        load_(bench_.scheduler(), fleet::LoadGenerator::Options{}, 1),
        routers_(bench_.layout().names(Kind::kRouter)) {
    bench_.await("permission of all routers", [this] {
      bench_.run_for(milliseconds(100));
      return bench_.permitted_routers() >= routers_.size();
    });
  }

  // Gives the calls at the store. Throws NotMeasured.
  double print_row(Case which) {
    const std::vector<std::string> living = begin(which);
    const std::size_t first = load_.requests().size();
    const ChangeCost cost = change(living);
    bench_.until([this] { return load_.open() == 0; }, milliseconds(5'000));
    const LoadSeen seen = read_load(load_.requests(), first);
    std::printf("%8zu %-22s %9.0f %12llu %10zu %9zu %9zu %12zu %16llu %14.1f\n", routers_.size(),
                to_string(which), cost.ms, static_cast<unsigned long long>(cost.store.calls), seen.requests,
                seen.by_both, seen.refused, seen.broken,
                static_cast<unsigned long long>(cost.aggregator.calls),
                static_cast<double>(cost.aggregator.bytes) / 1e3);
    std::fflush(stdout);
    end(which);
    return static_cast<double>(cost.store.calls);
  }

 private:
  // Brings the fault about; those that are asked meanwhile.
  std::vector<std::string> begin(Case which) {
    std::vector<std::string> living = routers_;
    if (which == Case::kOneStopped) {
      bench_.supervisor().signal(living.back(), SIGSTOP);
      living.pop_back();
    } else if (which == Case::kTenthKilled) {
      for (std::size_t i = 0; i < std::max<std::size_t>(1, routers_.size() / 10); ++i) {
        bench_.supervisor().kill(living.back());
        living.pop_back();
      }
      bench_.run_for(kPermissionTime + milliseconds(500));
    }
    return living;
  }
  void end(Case which) {
    if (which == Case::kOneStopped) {
      bench_.supervisor().signal(routers_.back(), SIGCONT);
      bench_.run_for(milliseconds(1'000));
    }
  }

  ChangeCost change(const std::vector<std::string>& living) {
    program::PolicyCommand propose;
    propose.action = "propose";
    propose.file = bench_.folder() + "/draft.json";
    std::ofstream(propose.file)
        << R"({"schema":1,"content":{"classes":{"media":{"objective_ms":2000,"give_up_ms":6000,"worth":)"
        << ++worth_ << "}}}}";
    const Figures store = bench_.figures("registry");
    const auto aggregators = bench_.aggregator_figures();
    const Clock::time_point from = Clock::now();
    bench_.policy(propose);
    ChangeCost out;
    out.ms = in_ms(await_done(living, from) - from);
    out.store = served_between(store, bench_.figures("registry"));
    out.aggregator = busiest(aggregators, bench_.aggregator_figures());
    return out;
  }

  // Asks the living in turn until the change is done; when it was.
  Clock::time_point await_done(const std::vector<std::string>& living, Clock::time_point from) {
    Clock::time_point next = from;
    Clock::time_point done_at;
    std::size_t turn = 0;
    bench_.await("the change's end", [&] {
      while (next <= Clock::now()) {
        const std::string& router = living[turn++ % living.size()];
        load_.send(router, *transport::parse_address(bench_.layout().member(router).address),
                   fleet::object_name(turn % 50));
        next += kBetweenRequests;
      }
      if (turn % kRequestsBetweenLooks != 0) {
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
  double worth_ = 1.0;
};

}  // namespace

fleet::FleetSpec policy_shape(int routers, const Topology& topology) {
  fleet::FleetSpec shape =
      topology.flat ? flat_shape(routers) : aggregated_shape(routers, topology.regions_for(routers));
  shape.disk = false;
  shape.max_sockets = 256;
  shape.policy = {{"ttl_ms", kPermissionTime.count()}};
  return shape;
}

int Topology::regions_for(int routers) const {
  return regions > 0 ? regions
                     : std::max(kFewestRegions, (routers + kRoutersOfRegion - 1) / kRoutersOfRegion);
}

int measure_policy(const std::string& program, const std::vector<int>& sizes, const Topology& topology,
                   std::vector<ChangeCalls>& all_up) {
  std::printf(
      "a change of policy from its proposal to done, default times (ttl 3,000 ms), 500 requests a second "
      "over the fleet (real processes), %s\n",
      topology.flat ? "each router at the store" : "by way of aggregators");
  std::printf("%8s %-22s %9s %12s %10s %9s %9s %12s %16s %14s\n", "routers", "case", "ms", "store calls",
              "requests", "by both", "refused", "order broken", "aggregator calls", "aggregator KB");
  return measure_sizes(sizes, [&](int size, std::string& which) {
    PolicyMeasurement measurement(policy_shape(size, topology), program);
    for (const Case one : {Case::kAllUp, Case::kOneStopped, Case::kTenthKilled}) {
      which = to_string(one);
      const double calls = measurement.print_row(one);
      if (one == Case::kAllUp) {
        all_up.push_back({size, topology.flat ? 0 : topology.regions_for(size), calls});
      }
    }
  });
}

void save_change_calls(const std::string& path, const std::vector<ChangeCalls>& all_up,
                       const std::string& command) {
  scale::Slope flat;
  flat.name = "store.calls.change.flat.real";
  flat.what = "calls at the store during one change, every router at the store, the tool's own among them";
  flat.per = "routers";
  scale::Slope regions;
  regions.name = "store.calls.change.regions.real";
  regions.what = "calls at the store during one change, by aggregators, the tool's own among them";
  regions.per = "regions";
  for (const ChangeCalls& one : all_up) {
    scale::Slope& slope = one.regions > 0 ? regions : flat;
    slope.points.emplace_back(one.regions > 0 ? one.regions : one.routers, one.store_calls);
  }
  std::vector<scale::Slope> measured;
  for (scale::Slope slope : {flat, regions}) {
    if (!slope.points.empty()) {
      slope.unit = "calls";
      slope.setting = "real processes";
      slope.command = command;
      measured.push_back(scale::measured_here(slope));
    }
  }
  scale::save_slopes(path, measured);
}

}  // namespace trailcourse::bench
