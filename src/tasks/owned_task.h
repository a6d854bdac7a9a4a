// The interface between the task runner and one shard of owned work that this router does: the runner says
// when the task starts and stops; the task reports its progress, and asks before each effect whether it may
// still have it.
//
// Package `tasks`. One thread.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "ownership/work_records.h"

namespace trailcourse::tasks {

// What the task runner gives to a task. The functions may be called for as long as the task lives; they have
// no effect once another router owns the shard.
struct TaskContext {
  ownership::Work work;
  ownership::ShardId id;
  ownership::Term term = 0;
  std::string checkpoint;  // the last one saved; empty at the very beginning

  // Goes with every effect on a receiver that checks it: "STORE:WORK/SHARD:TERM".
  std::string fencing_token;

  // Returns whether an effect may begin now. It has to leave this process at once.
  std::function<bool()> may_act;

  // Saves how far the work is. A later checkpoint replaces one that is not saved yet.
  std::function<void(std::string checkpoint)> save_checkpoint;

  // Saves the last checkpoint of the shard: nothing of it is left to do. None may be saved after it.
  std::function<void(std::string checkpoint)> save_completion;

  // Reports, after stop(), that the last checkpoint was given and the task may be destroyed.
  std::function<void()> on_stopped;

  // Reads a key of the store; nothing if there is none. The handler is not called if the store does not
  // answer: the task has to repeat the call.
  std::function<void(const std::string& key, std::function<void(std::optional<std::string>)> handler)>
      read_key;

  // Writes a key under the term; the store rejects it once another router owns the shard.
  std::function<void(const std::string& key, std::string value)> write_key;

  // Deletes a key under the term, as write_key.
  std::function<void(const std::string& key)> delete_key;
};

// One shard of work of some kind. Its destructor ends it at once, with all that is in flight.
class OwnedTask {
 public:
  OwnedTask() = default;
  OwnedTask(const OwnedTask&) = delete;
  OwnedTask& operator=(const OwnedTask&) = delete;
  virtual ~OwnedTask() = default;

  // Called once, after construction.
  virtual void start() = 0;

  // The task has to end soon, and to call `on_stopped` of its context.
  virtual void stop() = 0;
};

// Makes the task of one shard.
using OwnedTaskFactory = std::function<std::unique_ptr<OwnedTask>(TaskContext)>;

}  // namespace trailcourse::tasks
