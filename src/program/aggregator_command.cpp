#include "program/aggregator_command.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <random>
#include <utility>

#include "aggregation/aggregator_service.h"
#include "program/descriptors.h"
#include "program/fleet_work.h"
#include "program/signals.h"
#include "routing/discovery_client.h"
#include "tasks/acknowledgement_task.h"
#include "tasks/discovery_progress.h"
#include "tasks/policy_rollout_task.h"
#include "tasks/task_runner.h"
#include "transport/log.h"

namespace trailcourse::program {

using aggregation::AggregatorService;
using std::chrono::milliseconds;
using tasks::TaskRunner;
using transport::Clock;
using transport::Level;
using transport::log_line;

namespace {

constexpr milliseconds kDrainCheck{10};
constexpr milliseconds kDrainMargin{1'000};        // after the last lease of a router has expired
constexpr std::size_t kMaxPageBytes = 64U << 20U;  // of the discovery service
constexpr std::int64_t kReservedDescriptors = 64;  // standard streams, epoll, listener, calls to the store

// Returns the ownership options of an aggregator: it may own policy rollouts and, if it polls the discovery
// service, acknowledgements, but no other work.
tasks::OwnershipOptions ownership_options(const OperatorFile& file) {
  tasks::OwnershipOptions out = file.ownership;
  const bool has_board = !file.aggregator.board.empty();
  const auto is_other = [has_board](const std::string& kind) {
    return kind != tasks::kPolicyWork && !(has_board && kind == tasks::kAcknowledgeWork);
  };
  const bool configured = out.kinds != tasks::OwnershipOptions{}.kinds;
  if (configured && std::any_of(out.kinds.begin(), out.kinds.end(), is_other)) {
    log_line(Level::kWarning) << "ownership.kinds: an aggregator owns only work of kind policy, and "
                                 "acknowledge if aggregator.board is set";
  }
  std::erase_if(out.kinds, is_other);
  return out;
}

// Keeps the highest sequence number of the discovery service, and no other part of its pages.
class SequenceListener : public routing::DiscoveryListener {
 public:
  void apply(const protocol::DiscoveryPage& page) override { last_ = std::max(last_, page.highest_sequence); }
  std::uint64_t last_sequence() const override { return last_; }
  void reset_sequence() override { last_ = 0; }

 private:
  std::uint64_t last_ = 0;
};

// Polls the discovery service for its sequence number and passes it to `progress`.
class SequenceFollower {
 public:
  SequenceFollower(transport::Scheduler& scheduler, const transport::Address& address, std::uint64_t seed,
                   tasks::DiscoveryProgress& progress)
      : client_(scheduler, address, listener_, deployment_, seed, client_options(), hooks(progress), {}) {
    client_.start();
  }

 private:
  static routing::DiscoveryClient::Options client_options() {
    routing::DiscoveryClient::Options out;
    out.reset_detection_delay = Micros(0);  // a sequence number that is applied again changes nothing
    out.response_bounds.body_bytes = kMaxPageBytes;
    out.first_poll_immediate = true;
    return out;
  }
  static routing::DiscoveryClient::Hooks hooks(tasks::DiscoveryProgress& progress) {
    routing::DiscoveryClient::Hooks out;
    out.on_applied = [&progress](const std::string& source, std::uint64_t sequence) {
      progress.set_position({source, sequence});
    };
    return out;
  }

  SequenceListener listener_;
  protocol::DeploymentSettings deployment_;  // empty: endpoint lists are not used here
  routing::DiscoveryClient client_;
};

// Waits until no router has a lease from this aggregator and the owned work is released, then stops the
// scheduler.
transport::Task<void> drain_aggregator(transport::Scheduler& scheduler, AggregatorService& service,
                                       TaskRunner& runner) {
  service.drain();
  runner.drain();
  const Clock::time_point start = Clock::now();
  const Micros max_wait = service.longest_ttl() + kDrainMargin;
  while (!(service.drained() && runner.drained()) && Clock::now() - start < max_wait) {
    co_await scheduler.sleep(kDrainCheck);
  }
  log_line(Level::kInfo) << (service.drained() ? "drained, ending" : "ending, not drained in time");
  scheduler.stop();
}

transport::Task<void> handle_signals(transport::Scheduler& scheduler, Signals& signals,
                                     AggregatorService& service, TaskRunner& runner) {
  bool draining = false;
  for (;;) {
    const int signal = co_await signals.next();
    if (signal == SIGHUP) {
      log_line(Level::kInfo) << service.status_line();
    } else if (!std::exchange(draining, true)) {
      log_line(Level::kInfo) << "signal " << signal << ": draining, " << service.aggregator().router_count()
                             << " routers have a lease";
      scheduler.spawn(drain_aggregator(scheduler, service, runner));
    }
  }
}

}  // namespace

int run_aggregator(const OperatorFile& file) {
  const aggregation::AggregatorOptions& options = file.aggregator;
  const std::string& prefix = file.coordination.prefix;
  limit_descriptors(options.connections + kReservedDescriptors);
  transport::Scheduler scheduler;
  Signals signals(scheduler);
  std::random_device entropy;
  const std::uint64_t seed = (std::uint64_t{entropy()} << 32U) | entropy();
  const std::unique_ptr<coordination::CoordinationStore> store =
      open_store(scheduler, file.coordination, seed);
  AggregatorService service(scheduler, *store, options, prefix, seed);
  tasks::DiscoveryProgress progress;
  // Registers with an empty zone, so that this process takes no work of a zone: routers of the zone own it.
  TaskRunner runner(scheduler, *store, ownership_options(file), prefix,
                    tasks::MemberIdentity{options.name, service.aggregator().identity().incarnation, "",
                                          options.listen, ""});
  runner.register_kind(tasks::kPolicyWork, [&](tasks::TaskContext context) {
    return std::make_unique<tasks::PolicyRolloutTask>(scheduler, *store, prefix, file.policy,
                                                      std::move(context));
  });
  std::optional<SequenceFollower> follower;
  if (const auto address = transport::parse_address(options.board)) {
    follower.emplace(scheduler, *address, seed, progress);
    runner.register_kind(tasks::kAcknowledgeWork, [&](tasks::TaskContext context) {
      return std::make_unique<tasks::AcknowledgementTask>(scheduler, *store, prefix, progress,
                                                          milliseconds(file.ownership.acknowledge_ms),
                                                          std::move(context));
    });
  }
  service.start();
  runner.start();
  scheduler.spawn(handle_signals(scheduler, signals, service, runner));
  log_line(Level::kInfo) << "aggregator " << options.name << " listens on " << options.listen << ", serves "
                         << options.zones.size() << " zones";
  scheduler.run();
  log_line(Level::kInfo) << service.status_line();
  return 0;
}

}  // namespace trailcourse::program
