// Connects a router to the fleet's work: the coordination store, the task runner and its tasks, and the
// policy client. They exist only if the operator's file names a store, or aggregators, which take the place
// of the store for the policy.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "coordination/coordination_store.h"
#include "program/configuration.h"
#include "routing/endpoint_directory.h"
#include "routing/router.h"
#include "tasks/discovery_progress.h"
#include "tasks/outlier_tracker.h"
#include "tasks/policy_client.h"
#include "tasks/task_runner.h"
#include "tasks/verdict_tracker.h"

namespace trailcourse::program {

// Returns the store of the section coordination; null if none is set.
std::unique_ptr<coordination::CoordinationStore> open_store(transport::Scheduler& scheduler,
                                                            const coordination::CoordinationOptions& options,
                                                            std::uint64_t seed);

// Not thread-safe: all calls come from the thread of the scheduler.
class FleetWork {
 public:
  // Does nothing if neither a store nor an aggregator is configured. The arguments have to outlive this
  // object.
  FleetWork(transport::Scheduler& scheduler, const Configuration& configuration, routing::Router& router,
            const routing::EndpointDirectory& directory);
  ~FleetWork();
  FleetWork(const FleetWork&) = delete;
  FleetWork& operator=(const FleetWork&) = delete;

  // Starts the task runner and the policy client.
  void start();

  // Releases the owned work.
  void drain();

  // Returns whether all owned work is released.
  bool drained() const { return !task_runner_ || task_runner_->drained(); }

  // Returns whether the fleet's policy allows requests now.
  bool ready() const { return !policy_ || policy_->ready(); }

  // Sets the event of the discovery service up to which this router has applied all events.
  void set_discovery_position(const policy::DiscoveryPosition& position) {
    discovery_progress_.set_position(position);
  }

  // Releases the policy lease. To be called when no request can arrive any more.
  void stop_policy();
  bool policy_stopped() const { return !policy_ || policy_->stopped(); }

  // Each returns one JSON object; empty without a task runner or policy client.
  std::string work_status() const { return task_runner_ ? task_runner_->status() : std::string(); }
  std::string policy_status() const { return policy_ ? policy_->status() : std::string(); }

 private:
  void create_task_runner();
  void create_policy_client();
  void set_allowed_kinds(std::optional<std::set<std::string>> kinds);
  void on_attempt_ended(const std::string& cache, Status status, Note note);
  void on_verdict(const std::string& key, const std::string& value);
  void publish_suspicions();
  transport::Task<void> publish_counters();

  transport::Scheduler& scheduler_;
  const Configuration& configuration_;
  routing::Router& router_;
  const routing::EndpointDirectory& directory_;
  tasks::DiscoveryProgress discovery_progress_;
  std::unique_ptr<coordination::CoordinationStore> store_;         // null: none
  std::unique_ptr<coordination::CoordinationStore> policy_store_;  // through aggregators; null: none
  std::optional<tasks::TaskRunner> task_runner_;
  std::optional<tasks::PolicyClient> policy_;
  tasks::OutlierTracker outliers_;
  tasks::VerdictTracker verdicts_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // false once this object is destroyed
};

}  // namespace trailcourse::program
