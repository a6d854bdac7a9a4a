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
constexpr milliseconds kDrainMore{1'000};            // beyond the last permission of a router
constexpr std::size_t kMostBoardBytes = 64U << 20U;  // of one page
constexpr std::int64_t kReservedDescriptors = 64;    // standard streams, epoll, listener, calls to the store

// An aggregator drives changes of policy and, where it hears the notice board, acknowledgements; it does no
// other work of the fleet.
tasks::OwnershipOptions own_work(const OperatorFile& file) {
  tasks::OwnershipOptions out = file.ownership;
  const bool has_board = !file.aggregator.board.empty();
  const auto is_other = [has_board](const std::string& kind) {
    return kind != tasks::kPolicyWork && !(has_board && kind == tasks::kAcknowledgeWork);
  };
  const bool told = out.kinds != tasks::OwnershipOptions{}.kinds;
  if (told && std::any_of(out.kinds.begin(), out.kinds.end(), is_other)) {
    log_line(Level::kWarning) << "ownership.kinds: an aggregator takes on the kind policy alone, and "
                                 "acknowledge where aggregator.board is named";
  }
  std::erase_if(out.kinds, is_other);
  return out;
}

// How far the notice board tells, and nothing else of it.
class BoardNumbers : public routing::DiscoveryListener {
 public:
  void take(const protocol::DiscoveryPage& page) override { last_ = std::max(last_, page.highest_sequence); }
  std::uint64_t last() const override { return last_; }
  void reset_sequence() override { last_ = 0; }

 private:
  std::uint64_t last_ = 0;
};

// Follows the notice board for its numbers, and tells them on.
class BoardListener {
 public:
  BoardListener(transport::Scheduler& scheduler, const transport::Address& address, std::uint64_t seed,
                tasks::DiscoveryProgress& follower)
      : watcher_(scheduler, address, numbers_, profile_, seed, bounds(), hooks(follower), {}) {
    watcher_.start();
  }

 private:
  static routing::DiscoveryClient::Bounds bounds() {
    routing::DiscoveryClient::Bounds out;
    out.reset_detection_delay = Micros(0);  // numbers alone: taking all again changes nothing
    out.answers.body_bytes = kMostBoardBytes;
    out.first_poll_immediate = true;
    return out;
  }
  static routing::DiscoveryClient::Hooks hooks(tasks::DiscoveryProgress& follower) {
    routing::DiscoveryClient::Hooks out;
    out.taken = [&follower](const std::string& board, std::uint64_t last) {
      follower.set_position({board, last});
    };
    return out;
  }

  BoardNumbers numbers_;
  protocol::Profile profile_;  // of lists, which are not read here
  routing::DiscoveryClient watcher_;
};

// Waits until no router has permission from here, and the policy's work has gone to another.
transport::Task<void> end_aggregator(transport::Scheduler& scheduler, AggregatorService& service,
                                     TaskRunner& runner) {
  service.drain();
  runner.drain();
  const Clock::time_point asked = Clock::now();
  const Micros most = service.longest_ttl() + kDrainMore;
  while (!(service.drained() && runner.drained()) && Clock::now() - asked < most) {
    co_await scheduler.sleep(kDrainCheck);
  }
  log_line(Level::kInfo) << (service.drained() ? "drained, ending" : "ending, not drained in time");
  scheduler.stop();
}

transport::Task<void> heed(transport::Scheduler& scheduler, Signals& signals, AggregatorService& service,
                           TaskRunner& runner) {
  bool ending = false;
  for (;;) {
    const int signal = co_await signals.next();
    if (signal == SIGHUP) {
      log_line(Level::kInfo) << service.status_line();
    } else if (!std::exchange(ending, true)) {
      log_line(Level::kInfo) << "signal " << signal << ": draining, " << service.aggregator().router_count()
                             << " routers have permission";
      scheduler.spawn(end_aggregator(scheduler, service, runner));
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
  tasks::DiscoveryProgress board;
  // Of no zone: work that is bound to a zone is its routers'.
  TaskRunner runner(scheduler, *store, own_work(file), prefix,
                    tasks::MemberIdentity{options.name, service.aggregator().identity().incarnation, "",
                                          options.listen, ""});
  runner.register_kind(tasks::kPolicyWork, [&](tasks::TaskContext context) {
    return std::make_unique<tasks::PolicyRolloutTask>(scheduler, *store, prefix, file.policy,
                                                      std::move(context));
  });
  std::optional<BoardListener> listener;
  if (const auto address = transport::parse_address(options.board)) {
    listener.emplace(scheduler, *address, seed, board);
    runner.register_kind(tasks::kAcknowledgeWork, [&](tasks::TaskContext context) {
      return std::make_unique<tasks::AcknowledgementTask>(
          scheduler, *store, prefix, board, milliseconds(file.ownership.acknowledge_ms), std::move(context));
    });
  }
  service.start();
  runner.start();
  scheduler.spawn(heed(scheduler, signals, service, runner));
  log_line(Level::kInfo) << "aggregator " << options.name << " listens on " << options.listen << ", serves "
                         << options.zones.size() << " zones";
  scheduler.run();
  log_line(Level::kInfo) << service.status_line();
  return 0;
}

}  // namespace trailcourse::program
