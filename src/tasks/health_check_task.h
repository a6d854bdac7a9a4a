// The task of probing: of the caches that routers of a zone suspect, each is asked for its health by one
// router for all, and the verdict goes to the store, from where every router hears it.
//
// A probe changes nothing and is harmless twice, so its receiver need not check the term; verdicts bear it,
// and a router passes over one of an earlier term (suspects.h). A cache that drains or is gone is not probed:
// rule 3 goes before.
//
// Package `tasks`, over `routing` and `transport`. One thread.
#pragma once

#include <memory>

#include "routing/directory.h"
#include "tasks/health_check_plan.h"
#include "tasks/options.h"
#include "tasks/owned_task.h"
#include "transport/alarm.h"
#include "transport/connection.h"

namespace trailcourse::tasks {

constexpr const char* kSuspectPrefix = "suspects/";        // suspects/ZONE/CACHE/ROUTER
constexpr const char* kVerdictPrefix = "fleet/verdicts/";  // fleet/verdicts/ZONE/CACHE
std::string suspect_key(const std::string& zone, const std::string& cache, const std::string& router);
std::string verdict_key(const std::string& zone, const std::string& cache);

class HealthCheckTask : public OwnedTask, public coordination::Watcher {
 public:
  HealthCheckTask(transport::Scheduler& scheduler, coordination::SharedStore& store, std::string prefix,
                  const routing::Directory& directory, const OwnershipOptions& options, TaskContext context);
  ~HealthCheckTask() override;

  void begin() override;
  void finish() override;

  void current(coordination::Revision revision, const std::vector<coordination::Entry>& entries) override;
  void changed(coordination::Revision revision, const std::vector<coordination::Change>& changes) override;
  void silent(const std::string&) override {}

 private:
  class Probe;

  static Micros now();
  void take(const std::string& key, bool gone);
  void turn();
  void probe(const std::string& cache);
  void probed(const std::string& cache, bool sound);

  transport::Scheduler& scheduler_;
  coordination::SharedStore& store_;
  std::string prefix_;
  const routing::Directory& directory_;
  OwnershipOptions options_;
  TaskContext context_;
  HealthCheckPlan plan_;
  transport::Alarm timer_;
  coordination::SharedStore::WatchId watch_ = 0;
  std::set<std::string> named_;  // keys
  std::map<std::string, std::shared_ptr<transport::Connection>> out_;
  bool checkpointed_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace trailcourse::tasks
