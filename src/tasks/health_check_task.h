// Owned work of kind `probe`: one router checks, for all routers of its zone, the health of the caches that
// any of them suspects, and publishes the verdicts in the store.
//
// A check changes nothing at the cache, so two routers may make it at the same time, and the cache does not
// check the term. Verdicts contain the term, and a router rejects a verdict of an earlier term
// (verdict_tracker.h).
//
// Library `tasks`, over `routing` and `transport`. Not thread-safe: it belongs to its scheduler's thread.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "coordination/coordination_store.h"
#include "routing/endpoint_directory.h"
#include "tasks/health_check_plan.h"
#include "tasks/options.h"
#include "tasks/owned_task.h"
#include "transport/connection.h"
#include "transport/timer.h"

namespace trailcourse::tasks {

// Scheduler, store and directory have to outlive this object.
class HealthCheckTask : public OwnedTask, public coordination::WatchObserver {
 public:
  HealthCheckTask(transport::Scheduler& scheduler, coordination::CoordinationStore& store, std::string prefix,
                  const routing::EndpointDirectory& directory, const OwnershipOptions& options,
                  TaskContext context);
  ~HealthCheckTask() override;

  void start() override;
  void stop() override;

  // WatchObserver, for the suspects that routers of the zone report.
  void on_snapshot(coordination::Revision revision, const std::vector<coordination::Entry>& entries) override;
  void on_changes(coordination::Revision revision,
                  const std::vector<coordination::KeyChange>& changes) override;
  void on_disconnected(const std::string&) override {}

 private:
  class CheckHandler;

  std::string suspects_prefix() const;
  void apply_suspect_key(const std::string& key, bool deleted);
  void run_step();
  void publish(const VerdictUpdate& update);
  void start_check(const std::string& cache);
  void on_check_result(const std::string& cache, bool healthy);

  transport::Scheduler& scheduler_;
  coordination::CoordinationStore& store_;
  std::string prefix_;
  const routing::EndpointDirectory& directory_;
  OwnershipOptions options_;
  TaskContext context_;
  HealthCheckPlan plan_;
  transport::Timer timer_;
  coordination::CoordinationStore::WatchId watch_ = 0;
  std::set<std::string> suspect_keys_;  // as of the last watch event
  std::map<std::string, std::shared_ptr<transport::Connection>>
      connections_;  // of checks in flight, by cache
  bool start_recorded_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace trailcourse::tasks
