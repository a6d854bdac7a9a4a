#include "acknowledgement_measurement.h"

#include <csignal>
#include <cstdio>
#include <deque>

#include "fleet/figures.h"
#include "fleet/load_generator.h"
#include "program/discovery_file_server.h"
#include "tasks/acknowledgement_task.h"

namespace trailcourse::bench {

using fleet::Kind;
using nlohmann::json;
using std::chrono::milliseconds;
using transport::Clock;

namespace {

constexpr milliseconds kPurgeInterval{100};
constexpr milliseconds kPollInterval{20};  // between reads of the acknowledged event
constexpr int kPurges = 100;
constexpr int kPurgesBeforeFault = 20;  // purges that are published before the fault is injected

enum class FaultCase { kAllUp, kOneStopped, kAggregatorStopped };

const char* to_string(FaultCase fault) {
  switch (fault) {
    case FaultCase::kAllUp:
      return "all up";
    case FaultCase::kOneStopped:
      return "one router stopped";
    case FaultCase::kAggregatorStopped:
      break;
  }
  return "an aggregator stopped";
}

// Measures, in one fleet, the time until all routers have acknowledged each purge of a series.
class AcknowledgementMeasurement {
 public:
  AcknowledgementMeasurement(const fleet::FleetSpec& spec, const std::string& program)
      : bench_(spec, program, {}), routers_(bench_.layout().names(Kind::kRouter)) {
    bench_.await("permission of all routers", [this] {
      bench_.run_for(milliseconds(100));
      return bench_.count_permitted_routers() >= routers_.size();
    });
    program::WorkCommand add;
    add.action = "add";
    add.name = "events";
    add.kind = tasks::kAcknowledgeWork;
    bench_.run_work_command(add);
    const std::uint64_t first_purge = publish_purge();
    bench_.await("the acknowledgement of the first purge",
                 [&] { return last_acknowledged_event() >= first_purge; });
  }

  // Injects the fault during a series of purges, prints the row and removes the fault. Throws
  // MeasurementError.
  void measure_case(FaultCase fault) {
    const Metrics store_before = bench_.request_metrics("registry");
    const auto aggregators_before = bench_.request_aggregator_metrics();
    const Clock::time_point start = Clock::now();
    const std::vector<double> times_ms = run_purges(fault);
    const double seconds = to_ms(Clock::now() - start) / 1e3;
    resume_stopped();
    const Traffic store = traffic_between(store_before, bench_.request_metrics("registry"));
    const Traffic aggregator = busiest_traffic(aggregators_before, bench_.request_aggregator_metrics());
    std::printf("%8zu %-22s %8zu %9.0f %9.0f %9.0f %14.1f %18.1f %16.1f\n", routers_.size(), to_string(fault),
                times_ms.size(), fleet::quantile(times_ms, 0.5), fleet::quantile(times_ms, 0.99),
                fleet::quantile(times_ms, 1.0), static_cast<double>(store.calls) / seconds,
                static_cast<double>(aggregator.calls) / seconds,
                static_cast<double>(aggregator.bytes) / seconds / 1e3);
    std::fflush(stdout);
    bench_.run_for(milliseconds(1'000));
  }

 private:
  // Publishes a purge of one object. Returns the sequence number of its event.
  std::uint64_t publish_purge() {
    const json event{{"flush", {{"asset", fleet::object_name(7)}, {"ms", 1}}}};
    return program::append_event(bench_.layout().board_file(), event);
  }
  // Returns the last event that all routers have acknowledged; 0 if the store did not answer.
  std::uint64_t last_acknowledged_event() {
    program::PolicyCommand command;
    command.action = "acknowledged";
    std::string output;
    if (bench_.run_policy_command(command, output) != 0) {
      return 0;
    }
    const json record = json::parse(output, nullptr, false);
    return record.is_object() ? record["done"].value("event", std::uint64_t{0}) : 0;
  }
  void stop(const std::string& member) {
    bench_.supervisor().signal(member, SIGSTOP);
    stopped_ = member;
  }
  void resume_stopped() {
    if (!stopped_.empty()) {
      bench_.supervisor().signal(stopped_, SIGCONT);
      stopped_.clear();
    }
  }
  void inject_fault(FaultCase fault) {
    if (fault == FaultCase::kOneStopped) {
      stop(routers_.back());
    } else if (fault == FaultCase::kAggregatorStopped) {
      stop(bench_.layout().names(Kind::kAggregator).back());
    }
  }

  // Publishes kPurges purges and injects the fault during the series. Returns the time from each purge to its
  // acknowledgement, in ms.
  std::vector<double> run_purges(FaultCase fault) {
    struct PendingPurge {
      std::uint64_t event;
      Clock::time_point published;
    };
    std::deque<PendingPurge> pending;
    std::vector<double> times_ms;
    int purges = 0;
    Clock::time_point next_purge = Clock::now();
    Clock::time_point next_poll = next_purge;
    bench_.await("the acknowledgement of all purges", [&] {
      if (purges < kPurges && Clock::now() >= next_purge) {
        pending.push_back({publish_purge(), Clock::now()});
        next_purge += kPurgeInterval;
        if (++purges == kPurgesBeforeFault) {
          inject_fault(fault);
        }
      }
      if (Clock::now() >= next_poll) {
        const std::uint64_t acknowledged = last_acknowledged_event();
        const Clock::time_point now = Clock::now();
        for (; !pending.empty() && pending.front().event <= acknowledged; pending.pop_front()) {
          times_ms.push_back(to_ms(now - pending.front().published));
        }
        next_poll = Clock::now() + kPollInterval;
      }
      return purges == kPurges && pending.empty();
    });
    return times_ms;
  }

  FleetBench bench_;
  std::vector<std::string> routers_;
  std::string stopped_;
};

}  // namespace

int measure_acknowledgements(const std::string& program, const std::vector<int>& sizes,
                             const Topology& topology) {
  std::printf(
      "time from a purge at the discovery service until every router has acknowledged it, ten purges per "
      "second, default times (real processes), %s\n",
      topology.flat ? "each router connects to the store" : "routers connect through aggregators");
  std::printf("%8s %-22s %8s %9s %9s %9s %14s %18s %16s\n", "routers", "case", "purges", "p50 ms", "p99 ms",
              "worst ms", "store calls/s", "aggregator calls/s", "aggregator KB/s");
  return measure_sizes(sizes, [&](int size, std::string& row_label) {
    AcknowledgementMeasurement measurement(policy_fleet(size, topology), program);
    for (const FaultCase fault : {FaultCase::kAllUp, FaultCase::kOneStopped, FaultCase::kAggregatorStopped}) {
      if (topology.flat && fault == FaultCase::kAggregatorStopped) {
        continue;
      }
      row_label = to_string(fault);
      measurement.measure_case(fault);
    }
  });
}

}  // namespace trailcourse::bench
