#include "tasks/policy_client.h"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>
#include <variant>

#include "tasks/clock.h"
#include "tasks/lease_calls.h"
#include "transport/log.h"

namespace trailcourse::tasks {

using coordination::LeaseId;
using coordination::Transaction;
using coordination::TransactionResult;
using policy::EffectivePolicy;
using std::chrono::milliseconds;
using transport::Level;
using transport::log_line;

namespace {

constexpr Micros kMinStepInterval{1'000};

const char* describe(EffectivePolicy::Kind kind) {
  switch (kind) {
    case EffectivePolicy::Kind::kSingle:
      return "version";
    case EffectivePolicy::Kind::kIntersection:
      return "both";
    case EffectivePolicy::Kind::kReject:
      break;
  }
  return "nothing";
}

}  // namespace

PolicyClient::PolicyClient(transport::Scheduler& scheduler, coordination::CoordinationStore& store,
                           const policy::PolicyOptions& options, std::string prefix, Identity identity,
                           const protocol::DeploymentSettings& deployment, routing::Router& router,
                           AllowedKindsHandler on_allowed_kinds)
    : store_(store),
      options_(options),
      prefix_(std::move(prefix)),
      identity_(std::move(identity)),
      router_(router),
      on_allowed_kinds_(std::move(on_allowed_kinds)),
      documents_(scheduler, options.folder),
      request_policy_(deployment, router, documents_),
      participant_(identity_.incarnation, identity_.zone, policy::participant_options(options),
                   [this](std::uint64_t version) { return check_document(version); }),
      loop_(scheduler, kMinStepInterval, [this] { return run_step(); }) {
  router.set_policy_lookup([this](int request_class) {
    return request_policy_.rule(participant_.effective_policy(steady_now()), request_class);
  });
}

PolicyClient::~PolicyClient() {
  if (watch_ != 0) {
    store_.unwatch(watch_);
  }
}

void PolicyClient::start() {
  watch_ = store_.watch(coordination::Range{prefix_ + policy::kPolicyPrefix, true}, *this);
  loop_.schedule();
}

void PolicyClient::stop() {
  if (!std::exchange(stopping_, true)) {
    participant_.stop(steady_now());
    loop_.schedule();
  }
}

bool PolicyClient::ready() const { return participant_.ready(steady_now()); }

void PolicyClient::on_discovery_position(const policy::DiscoveryPosition& position) {
  participant_.on_events_applied(steady_now(), position);
  loop_.schedule();
}

// ---- Records of the store ----

void PolicyClient::on_snapshot(coordination::Revision, const std::vector<coordination::Entry>& entries) {
  records_.clear();
  for (const coordination::Entry& entry : entries) {
    apply(entry.key.substr(prefix_.size()), entry.value, entry.modified);
  }
  on_heartbeat();
  update_participant();
}

void PolicyClient::on_changes(coordination::Revision, const std::vector<coordination::KeyChange>& changes) {
  for (const coordination::KeyChange& change : changes) {
    const std::string value = change.deleted ? std::string() : change.entry.value;
    apply(change.entry.key.substr(prefix_.size()), value, change.entry.modified);
  }
  on_heartbeat();
  update_participant();
}

void PolicyClient::on_disconnected(const std::string&) {
  participant_.set_connected(steady_now(), false);
  loop_.schedule();
}

void PolicyClient::on_heartbeat() {
  participant_.set_connected(steady_now(), true);
  loop_.schedule();
}

void PolicyClient::apply(const std::string& key, const std::string& value, coordination::Revision modified) {
  if (value.empty()) {
    records_.erase(key);
    return;
  }
  coordination::Entry& record = records_[key];
  record.value = value;
  record.modified = modified;
  if (key.starts_with(policy::kDocumentPrefix)) {
    const std::string number = key.substr(std::string_view(policy::kDocumentPrefix).size());
    const std::uint64_t version = std::strtoull(number.c_str(), nullptr, 10);
    documents_.add(version, value);
    participant_.on_document(steady_now(), version);
  }
}

void PolicyClient::update_participant() {
  const auto record_of = [this](const std::string& key) {
    const auto found = records_.find(key);
    return found == records_.end() ? coordination::Entry{} : found->second;
  };
  participant_.on_observed_state(
      steady_now(),
      policy::observed_in_zone(policy::read_observed_state(record_of), record_of, identity_.zone));
  loop_.schedule();
}

policy::PreparationResult PolicyClient::check_document(std::uint64_t version) const {
  policy::RouterCapabilities capabilities;
  capabilities.classes = request_policy_.class_names();
  capabilities.max_open_requests = identity_.open_requests;
  return documents_.check(version, capabilities);
}

// ---- The participant's actions ----

std::optional<Micros> PolicyClient::run_step() {
  const Micros now = steady_now();
  const routing::RouterCounts& counts = router_.counts();
  participant_.set_request_counts(counts.requests, counts.rejected + counts.failed);
  for (const policy::ParticipantAction& action : participant_.step(now)) {
    std::visit([this](const auto& alternative) { execute(alternative); }, action);
  }
  log_state(now);
  log_effective_version(now);
  return participant_.next_step_at(steady_now());
}

void PolicyClient::execute(const policy::LeaseAction& action) {
  const std::uint64_t call_id = action.call.call_id;
  LeaseCallHandlers handlers;
  handlers.make_transaction = [this, action](LeaseId lease) {
    lease_ = lease;
    return join_transaction(action);
  };
  handlers.on_acquire_result = [this, call_id](LeaseId, const TransactionResult& outcome) {
    participant_.on_join_result(steady_now(), call_id, outcome.succeeded);
    return outcome.succeeded;
  };
  handlers.on_renew_result = [this, call_id](bool valid) {
    participant_.on_renew_result(steady_now(), call_id, valid);
  };
  handlers.on_released = [this, call_id] { participant_.on_release_result(steady_now(), call_id); };
  handlers.on_no_response = [this, call_id] { participant_.on_no_response(steady_now(), call_id); };
  make_lease_call(store_, loop_, action.call.kind, milliseconds(options_.ttl_ms), lease_,
                  std::move(handlers));
}

// The report is written only if the records are unchanged since this router observed them. Otherwise the
// router could decide under a policy that is no longer in force.
Transaction PolicyClient::join_transaction(const policy::LeaseAction& action) const {
  Transaction join;
  join.when = policy::join_conditions(prefix_, action.observed, identity_.zone);
  join.then = {coordination::Put{prefix_ + policy::report_key(identity_.name, lease_),
                                 policy::write_report(action.report), lease_}};
  return join;
}

void PolicyClient::execute(const policy::ReportAction& action) {
  Transaction report;
  report.then = {coordination::Put{prefix_ + policy::report_key(identity_.name, lease_),
                                   policy::write_report(action.report), lease_}};
  store_.commit(std::move(report), loop_.then_step([this, call_id = action.call_id](const auto& reply) {
    participant_.on_report_result(steady_now(), call_id, reply.ok());
  }));
}

void PolicyClient::execute(const policy::PersistDocumentAction& action) {
  documents_.persist(
      action.version,
      loop_.then_step([this, version = action.version](const policy::PreparationResult& result) {
        participant_.on_persist_result(steady_now(), version, result);
      }));
}

// ---- Log and status ----

void PolicyClient::log_state(Micros now) {
  const policy::ParticipantState state = participant_.state(now);
  if (state != std::exchange(logged_state_, state)) {
    log_line(state == policy::ParticipantState::kNotParticipating ? Level::kWarning : Level::kInfo)
        << "policy: " << policy::to_string(state) << ", version " << participant_.observed().version;
  }
}

void PolicyClient::log_effective_version(Micros now) {
  const EffectivePolicy effective = participant_.effective_policy(now);
  if (effective.kind != EffectivePolicy::Kind::kSingle || effective.version == logged_version_) {
    return;
  }
  logged_version_ = effective.version;
  log_line(Level::kInfo) << "policy version " << effective.version << " takes effect";
  if (effective.version == 0) {
    on_allowed_kinds_(std::nullopt);
    return;
  }
  const std::vector<std::string> kinds = request_policy_.content_of(effective.version).limits.work;
  on_allowed_kinds_(std::set<std::string>(kinds.begin(), kinds.end()));
}

std::string PolicyClient::status() const {
  const Micros now = steady_now();
  const policy::ObservedState& observed = participant_.observed();
  return nlohmann::json{{"standing", policy::to_string(participant_.state(now))},
                        {"version", observed.version},
                        {"serves", describe(participant_.effective_policy(now).kind)},
                        {"change", observed.rollout ? policy::to_string(observed.rollout->state) : "none"},
                        {"events_done", observed.acknowledgement.completed.sequence}}
      .dump();
}

}  // namespace trailcourse::tasks
