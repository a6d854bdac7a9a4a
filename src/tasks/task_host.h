// Owns the tasks that run in this process: creates, stops and destroys them as the lease manager requests.
//
// Library `tasks`, over `coordination` and `ownership`. Not thread-safe: it belongs to its scheduler's
// thread.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "coordination/coordination_store.h"
#include "ownership/lease_manager.h"
#include "tasks/owned_task.h"
#include "tasks/step_loop.h"
#include "transport/scheduler.h"

namespace trailcourse::tasks {

// All arguments of the constructor have to outlive this object.
class TaskHost {
 public:
  TaskHost(transport::Scheduler& scheduler, coordination::CoordinationStore& store, std::string prefix,
           ownership::LeaseManager& lease_manager, StepLoop& loop);
  ~TaskHost() { *alive_ = false; }
  TaskHost(const TaskHost&) = delete;
  TaskHost& operator=(const TaskHost&) = delete;

  // Registers the factory of the tasks of one kind of work.
  void register_kind(const std::string& kind, OwnedTaskFactory factory);

  // Sets the definition of the work of that name, or removes it if `work` is empty.
  void set_work(const std::string& name, const std::optional<ownership::Work>& work);

  // Create and start, stop, or destroy the task of a shard.
  void execute(const ownership::StartTaskAction& action);
  void execute(const ownership::StopTaskAction& action);
  void execute(const ownership::AbortTaskAction& action);

 private:
  struct Running {
    std::unique_ptr<OwnedTask> task;
    ownership::Term term = 0;
  };

  TaskContext make_context(const ownership::StartTaskAction& action, const ownership::Work& work);
  void add_progress_functions(TaskContext& context);
  void add_store_functions(TaskContext& context);
  void read_key(const std::string& key, std::function<void(std::optional<std::string>)> handler);
  void commit_under_term(const ownership::ShardId& id, ownership::Term term,
                         coordination::Operation operation);
  void destroy_later(const ownership::ShardId& id, ownership::Term term);

  transport::Scheduler& scheduler_;
  coordination::CoordinationStore& store_;
  std::string prefix_;
  ownership::LeaseManager& lease_manager_;
  StepLoop& loop_;
  std::map<std::string, OwnedTaskFactory> factories_;  // by kind
  std::map<std::string, ownership::Work> works_;       // by name
  std::map<ownership::ShardId, Running> running_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace trailcourse::tasks
