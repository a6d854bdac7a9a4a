// A router's part in the fleet's work, put together: the store, the runner, its tasks, the policy, and what
// the router tells them and hears from them. There only where the operator's file names a store, or the
// aggregators of its region, which stand for the store where only the policy is followed.
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

// The store that the section names; null for none.
std::unique_ptr<coordination::CoordinationStore> open_store(transport::Scheduler& scheduler,
                                                            const coordination::CoordinationOptions& options,
                                                            std::uint64_t seed);

class FleetWork {
 public:
  // Nothing happens where neither a store nor an aggregator is named.
  FleetWork(transport::Scheduler& scheduler, const Configuration& configuration, routing::Router& router,
            const routing::EndpointDirectory& directory);
  ~FleetWork();
  FleetWork(const FleetWork&) = delete;
  FleetWork& operator=(const FleetWork&) = delete;

  void start();
  void drain();
  // Whether all is let go, or there was nothing.
  bool drained() const { return !task_runner_ || task_runner_->drained(); }
  // Whether requests may be taken, as far as the fleet's policy goes.
  bool ready() const { return !policy_ || policy_->ready(); }
  // This router has taken in the notice board up to here.
  void took_in(const policy::DiscoveryPosition& position) { board_.set_position(position); }
  // Gives the permission of the policy back: nothing arrives any more.
  void leave();
  bool left() const { return !policy_ || policy_->stopped(); }
  // One object of JSON each; empty where there is no such thing.
  std::string status() const { return task_runner_ ? task_runner_->status() : std::string(); }
  std::string policy_status() const { return policy_ ? policy_->status() : std::string(); }

 private:
  void take_on_work();
  void follow_policy();
  void allow(std::optional<std::set<std::string>> kinds);
  void attempt_ended(const std::string& cache, Status status, Note note);
  void hear_verdict(const std::string& key, const std::string& value);
  void tell_suspects();
  transport::Task<void> count();

  transport::Scheduler& scheduler_;
  const Configuration& configuration_;
  routing::Router& router_;
  const routing::EndpointDirectory& directory_;
  tasks::DiscoveryProgress board_;
  std::unique_ptr<coordination::CoordinationStore> store_;         // null for none
  std::unique_ptr<coordination::CoordinationStore> policy_store_;  // through aggregators; null for none
  std::optional<tasks::TaskRunner> task_runner_;
  std::optional<tasks::PolicyClient> policy_;
  tasks::OutlierTracker outliers_;
  tasks::VerdictTracker verdicts_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace trailcourse::program
