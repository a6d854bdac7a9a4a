// A router's side of the fleet's policy: passes the records of the store to the participant
// (policy/participant.h), executes its actions, and sets the rule for each request that arrives.
//
// Library `tasks`, over `coordination`, `policy` and `routing`. Not thread-safe: it belongs to its
// scheduler's thread.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/coordination_store.h"
#include "policy/options.h"
#include "policy/participant.h"
#include "protocol/settings.h"
#include "routing/router.h"
#include "tasks/policy_documents.h"
#include "tasks/request_policy.h"
#include "tasks/step_loop.h"

namespace trailcourse::tasks {

// Scheduler, store, deployment settings and router have to outlive this object.
class PolicyClient : public coordination::WatchObserver {
 public:
  struct Identity {
    std::string name;
    std::string incarnation;  // of this start: 16 hex digits
    std::string zone;
    std::int64_t open_requests = 0;  // maximum that this router's memory and sockets allow
  };
  // Receives the kinds of work that the effective policy allows, or nothing if it allows all kinds.
  using AllowedKindsHandler = std::function<void(std::optional<std::set<std::string>> kinds)>;

  PolicyClient(transport::Scheduler& scheduler, coordination::CoordinationStore& store,
               const policy::PolicyOptions& options, std::string prefix, Identity identity,
               const protocol::DeploymentSettings& deployment, routing::Router& router,
               AllowedKindsHandler on_allowed_kinds);
  ~PolicyClient() override;

  // Starts to watch the records of the policy.
  void start();

  // All events of the discovery service up to the position have been applied.
  void on_discovery_position(const policy::DiscoveryPosition& position);

  // Releases the lease, so that rollouts do not wait for this router. Afterwards it decides under no policy.
  void stop();
  // Returns whether the lease is released, or stop() was not called.
  bool stopped() const { return !stopping_ || participant_.stopped(); }

  // Returns whether requests may be accepted: the participant has a lease. A draining router keeps accepting
  // requests, since some may already be on their way to it.
  bool ready() const;

  // Returns the status as a JSON object, for the health page.
  std::string status() const;

  // WatchObserver, for the records of the policy.
  void on_snapshot(coordination::Revision revision, const std::vector<coordination::Entry>& entries) override;
  void on_changes(coordination::Revision revision,
                  const std::vector<coordination::KeyChange>& changes) override;
  void on_disconnected(const std::string& reason) override;
  void on_heartbeat() override;

 private:
  void apply(const std::string& key, const std::string& value, coordination::Revision modified);
  void update_participant();
  policy::PreparationResult check_document(std::uint64_t version) const;

  std::optional<Micros> run_step();
  void execute(const policy::LeaseAction& action);
  void execute(const policy::ReportAction& action);
  void execute(const policy::PersistDocumentAction& action);
  coordination::Transaction join_transaction(const policy::LeaseAction& action) const;

  void log_state(Micros now);
  void log_effective_version(Micros now);

  coordination::CoordinationStore& store_;
  policy::PolicyOptions options_;
  std::string prefix_;
  Identity identity_;
  routing::Router& router_;
  AllowedKindsHandler on_allowed_kinds_;
  PolicyDocuments documents_;
  RequestPolicy request_policy_;
  std::map<std::string, coordination::Entry> records_;  // by key, without the store's prefix
  policy::Participant participant_;
  coordination::LeaseId lease_ = 0;
  coordination::CoordinationStore::WatchId watch_ = 0;
  std::optional<std::uint64_t> logged_version_;
  policy::ParticipantState logged_state_ = policy::ParticipantState::kNotParticipating;
  bool stopping_ = false;
  StepLoop loop_;
};

}  // namespace trailcourse::tasks
