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

// XORed with the seed of the router, so that each part has independent random numbers.
constexpr std::uint64_t kStoreSeed = 0x5354'4f52'45;
constexpr std::uint64_t kPrefetchSeed = 0x4649'4c4c;

// Returns the incarnation of this process.
std::string make_incarnation(std::uint64_t seed) {
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
    create_task_runner();
  }
  const StartSections& start = configuration.start;
  if (start.policy.follow && !start.aggregation.endpoints.empty()) {
    policy_store_ = std::make_unique<coordination::EtcdStore>(
        scheduler, aggregation::through_aggregators(start.coordination, start.aggregation),
        configuration.seed ^ kStoreSeed, coordination::EtcdStore::FirstEndpoint::kFirstListed);
  }
  if (start.policy.follow && (policy_store_ || store_)) {
    create_policy_client();
  }
}

void FleetWork::create_task_runner() {
  const tasks::OwnershipOptions& options = configuration_.start.ownership;
  const std::string& prefix = configuration_.start.coordination.prefix;
  task_runner_.emplace(
      scheduler_, *store_, options, prefix,
      tasks::MemberIdentity{configuration_.name, make_incarnation(configuration_.seed),
                            configuration_.deployment.settings.zone, to_string(configuration_.listen), ""});
  task_runner_->register_kind("probe", [this, prefix, options](tasks::TaskContext context) {
    return std::make_unique<tasks::HealthCheckTask>(scheduler_, *store_, prefix, directory_, options,
                                                    std::move(context));
  });
  task_runner_->register_kind("fill", [this, options](tasks::TaskContext context) {
    return std::make_unique<tasks::PrefetchTask>(scheduler_, router_, configuration_.deployment, options,
                                                 configuration_.seed ^ kPrefetchSeed, std::move(context));
  });
  task_runner_->register_kind("report", [this, prefix, options](tasks::TaskContext context) {
    return std::make_unique<tasks::FleetReportTask>(scheduler_, *store_, prefix, options, std::move(context));
  });
  task_runner_->register_kind(tasks::kPolicyWork, [this, prefix](tasks::TaskContext context) {
    return std::make_unique<tasks::PolicyRolloutTask>(scheduler_, *store_, prefix,
                                                      configuration_.start.policy, std::move(context));
  });
  task_runner_->register_kind(tasks::kAcknowledgeWork, [this, prefix, options](tasks::TaskContext context) {
    return std::make_unique<tasks::AcknowledgementTask>(scheduler_, *store_, prefix, discovery_progress_,
                                                        milliseconds(options.acknowledge_ms),
                                                        std::move(context));
  });
  task_runner_->observe_keys(tasks::kVerdictPrefix, [this](const std::string& key, const std::string& value) {
    on_verdict(key, value);
  });
  router_.set_attempt_observer(
      [this](const std::string& cache, Status status, Note note) { on_attempt_ended(cache, status, note); });
}

void FleetWork::create_policy_client() {
  const tasks::PolicyClient::Identity identity{configuration_.name, make_incarnation(configuration_.seed),
                                               configuration_.deployment.settings.zone,
                                               static_cast<std::int64_t>(configuration_.max_open_requests())};
  policy_.emplace(
      scheduler_, policy_store_ ? *policy_store_ : *store_, configuration_.start.policy,
      configuration_.start.coordination.prefix, identity, configuration_.deployment, router_,
      [this](std::optional<std::set<std::string>> kinds) { set_allowed_kinds(std::move(kinds)); });
  discovery_progress_.subscribe(
      [this](const policy::DiscoveryPosition& position) { policy_->on_discovery_position(position); });
}

// Sets the kinds of work that the policy in force lets this router own; nullopt: all.
void FleetWork::set_allowed_kinds(std::optional<std::set<std::string>> kinds) {
  if (!task_runner_) {
    return;
  }
  if (kinds) {
    kinds->insert(tasks::kPolicyWork);  // otherwise no policy could be changed any more
  }
  task_runner_->set_allowed_kinds(std::move(kinds));
}

FleetWork::~FleetWork() { *alive_ = false; }

void FleetWork::start() {
  if (task_runner_) {
    task_runner_->start();
    scheduler_.spawn(publish_counters());
  }
  if (policy_) {
    policy_->start();
  }
}

void FleetWork::stop_policy() {
  if (policy_) {
    policy_->stop();
  }
}

void FleetWork::drain() {
  if (task_runner_) {
    task_runner_->drain();
  }
}

// Counts successes and failures of the cache itself; those of its source or of this router are ignored.
void FleetWork::on_attempt_ended(const std::string& cache, Status status, Note note) {
  const bool failed = status == Status::kConnectFailed || status == Status::kReset ||
                      status == Status::kTimeout || status == Status::kError;
  if (status == Status::kOk) {
    outliers_.on_attempt_result(cache, true);
  } else if (failed && !implicates_source(note)) {
    outliers_.on_attempt_result(cache, false);
  } else {
    return;
  }
  publish_suspicions();
}

void FleetWork::publish_suspicions() {
  const std::string& zone = configuration_.deployment.settings.zone;
  for (const tasks::SuspicionChange& change : outliers_.take_changes()) {
    const std::string key = tasks::suspect_key(zone, change.cache, configuration_.name);
    task_runner_->set_session_key(key, change.suspected ? "1" : "");
  }
}

void FleetWork::on_verdict(const std::string& key, const std::string& value) {
  const std::string prefix = tasks::kVerdictPrefix + configuration_.deployment.settings.zone + "/";
  if (!key.starts_with(prefix)) {
    return;  // a verdict of another zone
  }
  const std::string cache = key.substr(prefix.size());
  if (value.empty()) {
    verdicts_.on_withdrawn(cache);
    return;
  }
  const std::optional<tasks::Verdict> verdict = tasks::read_verdict(cache, value);
  const Micros now = std::chrono::duration_cast<Micros>(Clock::now().time_since_epoch());
  const std::optional<HealthCheckResult> result =
      verdict ? verdicts_.on_verdict(now, *verdict) : std::nullopt;
  if (!result) {
    return;
  }
  router_.health_check_received(*result);
  if (result->healthy) {
    outliers_.on_healthy_verdict(cache);
    publish_suspicions();
  }
}

// Writes the counters of this router at each report interval, for the fleet report.
transport::Task<void> FleetWork::publish_counters() {
  const std::shared_ptr<bool> alive = alive_;
  transport::Scheduler& scheduler = scheduler_;
  const milliseconds interval(configuration_.start.ownership.report_ms);
  for (;;) {
    co_await scheduler.sleep(interval);
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
