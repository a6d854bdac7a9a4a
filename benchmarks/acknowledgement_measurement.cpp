#include "acknowledgement_measurement.h"

#include <algorithm>
#include <cmath>
#include <csignal>
#include <cstdio>
#include <deque>

#include "fleet/load_generator.h"
#include "program/discovery_file_server.h"
#include "tasks/acknowledgement_task.h"

namespace trailcourse::bench {

using fleet::Kind;
using nlohmann::json;
using std::chrono::milliseconds;
using transport::Clock;

namespace {

constexpr milliseconds kBetweenPurges{100};
constexpr milliseconds kBetweenLooks{20};
constexpr int kPurges = 100;
constexpr int kPurgesBeforeFault = 20;

enum class Case { kAllUp, kOneStopped, kAggregatorStopped };

const char* to_string(Case which) {
  switch (which) {
    case Case::kAllUp:
      return "all up";
    case Case::kOneStopped:
      return "one router stopped";
    case Case::kAggregatorStopped:
      break;
  }
  return "an aggregator stopped";
}

double quantile(std::vector<double> all, double share) {
  std::sort(all.begin(), all.end());
  const double rank = std::ceil(share * static_cast<double>(all.size()));
  return all.empty() ? 0.0 : all[static_cast<std::size_t>(std::max(1.0, rank)) - 1];
}

// One fleet, and purges that come all the while.
class AcknowledgementMeasurement {
 public:
  AcknowledgementMeasurement(const fleet::FleetSpec& shape, const std::string& program)
      : bench_(shape, program, {}), routers_(bench_.layout().names(Kind::kRouter)) {
    bench_.await("permission of all routers", [this] {
      bench_.run_for(milliseconds(100));
      return bench_.permitted_routers() >= routers_.size();
    });
    program::WorkCommand announce;
    announce.action = "add";
    announce.name = "events";
    announce.kind = tasks::kAcknowledgeWork;
    bench_.work(announce);
    const std::uint64_t first = purge();
    bench_.await("the first purge to be done", [&] { return done_event() >= first; });
  }

  // Throws NotMeasured.
  void print_row(Case which) {
    const Figures store = bench_.figures("registry");
    const auto aggregators = bench_.aggregator_figures();
    const Clock::time_point from = Clock::now();
    const std::vector<double> ms = play(which);
    const double seconds = in_ms(Clock::now() - from) / 1e3;
    wake();
    const Served at_store = served_between(store, bench_.figures("registry"));
    const Served at_aggregator = busiest(aggregators, bench_.aggregator_figures());
    std::printf("%8zu %-22s %8zu %9.0f %9.0f %9.0f %14.1f %18.1f %16.1f\n", routers_.size(), to_string(which),
                ms.size(), quantile(ms, 0.5), quantile(ms, 0.99), quantile(ms, 1.0),
                static_cast<double>(at_store.calls) / seconds,
                static_cast<double>(at_aggregator.calls) / seconds,
                static_cast<double>(at_aggregator.bytes) / seconds / 1e3);
    std::fflush(stdout);
    bench_.run_for(milliseconds(1'000));
  }

 private:
  std::uint64_t purge() {
    const json event{{"flush", {{"asset", fleet::object_name(7)}, {"ms", 1}}}};
    return program::append_event(bench_.layout().board_file(), event);
  }
  std::uint64_t done_event() {
    program::PolicyCommand command;
    command.action = "acknowledged";
    std::string said;
    if (bench_.policy(command, said) != 0) {
      return 0;
    }
    const json record = json::parse(said, nullptr, false);
    return record.is_object() ? record["done"].value("event", std::uint64_t{0}) : 0;
  }
  void stop(const std::string& member) {
    bench_.supervisor().signal(member, SIGSTOP);
    stopped_ = member;
  }
  void wake() {
    if (!stopped_.empty()) {
      bench_.supervisor().signal(stopped_, SIGCONT);
      stopped_.clear();
    }
  }
  void begin(Case which) {
    if (which == Case::kOneStopped) {
      stop(routers_.back());
    } else if (which == Case::kAggregatorStopped) {
      stop(bench_.layout().names(Kind::kAggregator).back());
    }
  }

  // The time of each purge until it was seen to be done, in ms.
  std::vector<double> play(Case which) {
    struct Open {
      std::uint64_t event;
      Clock::time_point at;
    };
    std::deque<Open> open;
    std::vector<double> out;
    int purges = 0;
    Clock::time_point next = Clock::now();
    Clock::time_point look = next;
    bench_.await("the end of all purges", [&] {
      if (purges < kPurges && Clock::now() >= next) {
        open.push_back({purge(), Clock::now()});
        next += kBetweenPurges;
        if (++purges == kPurgesBeforeFault) {
          begin(which);
        }
      }
      if (Clock::now() >= look) {
        const std::uint64_t done = done_event();
        const Clock::time_point seen = Clock::now();
        for (; !open.empty() && open.front().event <= done; open.pop_front()) {
          out.push_back(in_ms(seen - open.front().at));
        }
        look = Clock::now() + kBetweenLooks;
      }
      return purges == kPurges && open.empty();
    });
    return out;
  }

  FleetBench bench_;
  std::vector<std::string> routers_;
  std::string stopped_;
};

}  // namespace

int measure_acknowledgements(const std::string& program, const std::vector<int>& sizes,
                             const Topology& topology) {
  std::printf(
      "from a purge at the notice board until every router is known to have taken it in, ten purges a "
      "second, "
      "default times (real processes), %s\n",
      topology.flat ? "each router at the store" : "by way of aggregators");
  std::printf("%8s %-22s %8s %9s %9s %9s %14s %18s %16s\n", "routers", "case", "purges", "p50 ms", "p99 ms",
              "worst ms", "store calls/s", "aggregator calls/s", "aggregator KB/s");
  return measure_sizes(sizes, [&](int size, std::string& which) {
    AcknowledgementMeasurement measurement(policy_shape(size, topology), program);
    for (const Case one : {Case::kAllUp, Case::kOneStopped, Case::kAggregatorStopped}) {
      if (topology.flat && one == Case::kAggregatorStopped) {
        continue;
      }
      which = to_string(one);
      measurement.print_row(one);
    }
  });
}

}  // namespace trailcourse::bench
