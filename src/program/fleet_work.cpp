#include "program/fleet_work.h"

#include <cstdio>
#include <utility>

#include "coordination/embedded_store.h"
#include "coordination/etcd_store.h"
#include "tasks/acknowledgement_task.h"
#include "tasks/fleet_report_task.h"
#include "tasks/health_check_task.h"
#include "tasks/policy_rollout_task.h"
#include "tasks/prefetch_task.h"
#include "transport/log.h"

namespace trailcourse::program {

using std::chrono::milliseconds;
using transport::Clock;

namespace {

constexpr std::uint64_t kStoreSeed = 0x5354'4f52'45;
constexpr std::uint64_t kFillSeed = 0x4649'4c4c;

std::string incarnation_of(std::uint64_t seed) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(seed));
  return text;
}

}  // namespace

std::unique_ptr<coordination::CoordinationStore> open_store(transport::Scheduler& scheduler,
                                                            const coordination::CoordinationOptions& options,
                                                            std::uint64_t seed) {
  if (options.store == "etcd") {
    return std::make_unique<coordination::EtcdStore>(scheduler, options, seed ^ kStoreSeed);
  }
  if (options.store == "embedded") {
    return std::make_unique<coordination::EmbeddedStore>(scheduler, options);
  }
  return nullptr;
}

FleetWork::FleetWork(transport::Scheduler& scheduler, const Configuration& configuration,
                     routing::Router& router, const routing::EndpointDirectory& directory)
    : scheduler_(scheduler),
      configuration_(configuration),
      router_(router),
      directory_(directory),
      store_(open_store(scheduler, configuration.start.coordination, configuration.seed)),
      outliers_(static_cast<int>(configuration.start.ownership.suspect_after)),
      verdicts_(milliseconds(configuration.start.ownership.verdict_ms)) {
  if (store_) {
    take_on_work();
  }
  const StartSections& start = configuration.start;
  if (start.policy.follow && !start.aggregation.endpoints.empty()) {
    policy_store_ = std::make_unique<coordination::EtcdStore>(
        scheduler, aggregation::through_aggregators(start.coordination, start.aggregation),
        configuration.seed ^ kStoreSeed, coordination::EtcdStore::FirstEndpoint::kFirstListed);
  }
  if (start.policy.follow && (policy_store_ || store_)) {
    follow_policy();
  }
}

void FleetWork::take_on_work() {
  const tasks::OwnershipOptions& options = configuration_.start.ownership;
  const std::string& prefix = configuration_.start.coordination.prefix;
  task_runner_.emplace(
      scheduler_, *store_, options, prefix,
      tasks::MemberIdentity{configuration_.name, incarnation_of(configuration_.seed),
                            configuration_.profile.settings.zone, to_string(configuration_.listen), ""});
  task_runner_->register_kind("probe", [this, prefix, options](tasks::TaskContext context) {
    return std::make_unique<tasks::HealthCheckTask>(scheduler_, *store_, prefix, directory_, options,
                                                    std::move(context));
  });
  task_runner_->register_kind("fill", [this, options](tasks::TaskContext context) {
    return std::make_unique<tasks::PrefetchTask>(scheduler_, router_, configuration_.profile, options,
                                                 configuration_.seed ^ kFillSeed, std::move(context));
  });
  task_runner_->register_kind("report", [this, prefix, options](tasks::TaskContext context) {
    return std::make_unique<tasks::FleetReportTask>(scheduler_, *store_, prefix, options, std::move(context));
  });
  task_runner_->register_kind(tasks::kPolicyWork, [this, prefix](tasks::TaskContext context) {
    return std::make_unique<tasks::PolicyRolloutTask>(scheduler_, *store_, prefix,
                                                      configuration_.start.policy, std::move(context));
  });
  task_runner_->register_kind(tasks::kAcknowledgeWork, [this, prefix, options](tasks::TaskContext context) {
    return std::make_unique<tasks::AcknowledgementTask>(
        scheduler_, *store_, prefix, board_, milliseconds(options.acknowledge_ms), std::move(context));
  });
  task_runner_->observe_keys(tasks::kVerdictPrefix, [this](const std::string& key, const std::string& value) {
    hear_verdict(key, value);
  });
  router_.set_attempt_observer(
      [this](const std::string& cache, Status status, Note note) { attempt_ended(cache, status, note); });
}

void FleetWork::follow_policy() {
  const tasks::PolicyClient::Identity identity{
      configuration_.name, incarnation_of(configuration_.seed), configuration_.profile.settings.zone,
      static_cast<std::int64_t>(configuration_.most_open_requests())};
  policy_.emplace(scheduler_, policy_store_ ? *policy_store_ : *store_, configuration_.start.policy,
                  configuration_.start.coordination.prefix, identity, configuration_.profile, router_,
                  [this](std::optional<std::set<std::string>> kinds) { allow(std::move(kinds)); });
  board_.subscribe(
      [this](const policy::DiscoveryPosition& position) { policy_->on_discovery_position(position); });
}

// What work the policy in force lets this router own.
void FleetWork::allow(std::optional<std::set<std::string>> kinds) {
  if (!task_runner_) {
    return;
  }
  if (kinds) {
    kinds->insert(tasks::kPolicyWork);  // else no policy could ever be changed
  }
  task_runner_->set_allowed_kinds(std::move(kinds));
}

FleetWork::~FleetWork() { *alive_ = false; }

void FleetWork::start() {
  if (task_runner_) {
    task_runner_->start();
    scheduler_.spawn(count());
  }
  if (policy_) {
    policy_->start();
  }
}

void FleetWork::leave() {
  if (policy_) {
    policy_->stop();
  }
}

void FleetWork::drain() {
  if (task_runner_) {
    task_runner_->drain();
  }
}

// What says that a cache, and not its source or this router, failed.
void FleetWork::attempt_ended(const std::string& cache, Status status, Note note) {
  const bool failed = status == Status::kConnectFailed || status == Status::kReset ||
                      status == Status::kTimeout || status == Status::kError;
  if (status == Status::kOk) {
    outliers_.on_attempt_result(cache, true);
  } else if (failed && !implicates_source(note)) {
    outliers_.on_attempt_result(cache, false);
  } else {
    return;
  }
  tell_suspects();
}

void FleetWork::tell_suspects() {
  const std::string& zone = configuration_.profile.settings.zone;
  for (const tasks::SuspicionChange& change : outliers_.take_changes()) {
    const std::string key = tasks::suspect_key(zone, change.cache, configuration_.name);
    task_runner_->set_session_key(key, change.suspected ? "1" : "");
  }
}

void FleetWork::hear_verdict(const std::string& key, const std::string& value) {
  const std::string stem = tasks::kVerdictPrefix + configuration_.profile.settings.zone + "/";
  if (!key.starts_with(stem)) {
    return;  // another zone's
  }
  const std::string cache = key.substr(stem.size());
  if (value.empty()) {
    verdicts_.on_withdrawn(cache);
    return;
  }
  const std::optional<tasks::Verdict> verdict = tasks::read_verdict(cache, value);
  const Micros now = std::chrono::duration_cast<Micros>(Clock::now().time_since_epoch());
  const std::optional<HealthCheckResult> seen = verdict ? verdicts_.on_verdict(now, *verdict) : std::nullopt;
  if (!seen) {
    return;
  }
  router_.health_check_received(*seen);
  if (seen->healthy) {
    outliers_.on_healthy_verdict(cache);
    tell_suspects();
  }
}

// What this router counts, for the fleet's report.
transport::Task<void> FleetWork::count() {
  const std::shared_ptr<bool> alive = alive_;
  transport::Scheduler& scheduler = scheduler_;
  const milliseconds pause(configuration_.start.ownership.report_ms);
  for (;;) {
    co_await scheduler.sleep(pause);
    if (!*alive) {
      co_return;
    }
    const routing::RouterCounts& counts = router_.counts();
    tasks::Counters counters;
    counters.incarnation = task_runner_->identity().incarnation;
    counters.values = {{"requests", counts.requests},
                       {"served", counts.served},
                       {"refused", counts.rejected},
                       {"failed", counts.failed},
                       {"left", counts.abandoned},
                       {"attempts", counts.attempts},
                       {"attempts_failed", counts.attempts_failed}};
    task_runner_->set_session_key(tasks::kCounterPrefix + configuration_.name,
                                  tasks::write_counters(counters));
  }
}

}  // namespace trailcourse::program
