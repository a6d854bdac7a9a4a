#include "program/aggregator_command.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <random>
#include <utility>

#include "aggregation/service.h"
#include "duties/conductor.h"
#include "duties/steward.h"
#include "program/descriptors.h"
#include "program/fleet_work.h"
#include "program/signals.h"
#include "transport/log.h"

namespace trailcourse::program {

using aggregation::Service;
using duties::Steward;
using std::chrono::milliseconds;
using transport::Clock;
using transport::Level;
using transport::log_line;

namespace {

constexpr milliseconds kDrainCheck{10};
constexpr milliseconds kDrainMore{1'000};          // beyond the last permission of a router
constexpr std::int64_t kReservedDescriptors = 64;  // standard streams, epoll, listener, calls to the store

// An aggregator drives changes of policy, and does no other work of the fleet.
duties::OwnershipOptions own_work(const OperatorFile& file) {
  duties::OwnershipOptions out = file.ownership;
  const auto is_other = [](const std::string& kind) { return kind != duties::kPolicyWork; };
  const bool told = out.kinds != duties::OwnershipOptions{}.kinds;
  if (told && std::any_of(out.kinds.begin(), out.kinds.end(), is_other)) {
    log_line(Level::kWarning) << "ownership.kinds: an aggregator takes on the kind policy alone";
  }
  std::erase_if(out.kinds, is_other);
  return out;
}

// Waits until no router has permission from here, and the policy's work has gone to another.
transport::Task<void> end_aggregator(transport::Scheduler& scheduler, Service& service, Steward& steward) {
  service.drain();
  steward.drain();
  const Clock::time_point asked = Clock::now();
  const Micros most = service.longest_ttl() + kDrainMore;
  while (!(service.drained() && steward.drained()) && Clock::now() - asked < most) {
    co_await scheduler.sleep(kDrainCheck);
  }
  log_line(Level::kInfo) << (service.drained() ? "drained, ending" : "ending, not drained in time");
  scheduler.stop();
}

transport::Task<void> heed(transport::Scheduler& scheduler, Signals& signals, Service& service,
                           Steward& steward) {
  bool ending = false;
  for (;;) {
    const int signal = co_await signals.next();
    if (signal == SIGHUP) {
      log_line(Level::kInfo) << service.report();
    } else if (!std::exchange(ending, true)) {
      log_line(Level::kInfo) << "signal " << signal << ": draining, " << service.core().routers()
                             << " routers have permission";
      scheduler.spawn(end_aggregator(scheduler, service, steward));
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
  const std::unique_ptr<coordination::SharedStore> store = open_store(scheduler, file.coordination, seed);
  Service service(scheduler, *store, options, prefix, seed);
  // Of no zone: work that is bound to a zone is its routers'.
  Steward steward(scheduler, *store, own_work(file), prefix,
                  Steward::Self{options.name, service.core().identity().incarnation, "", options.listen, ""});
  steward.add(duties::kPolicyWork, [&](duties::Charge charge) {
    return std::make_unique<duties::Conductor>(scheduler, *store, prefix, file.policy, std::move(charge));
  });
  service.start();
  steward.start();
  scheduler.spawn(heed(scheduler, signals, service, steward));
  log_line(Level::kInfo) << "aggregator " << options.name << " listens on " << options.listen << ", serves "
                         << options.zones.size() << " zones";
  scheduler.run();
  log_line(Level::kInfo) << service.report();
  return 0;
}

}  // namespace trailcourse::program
