// The interface between the task runner and the task of one shard of owned work. The runner starts and stops
// the task. The task reports its progress, and checks before each effect whether it still may act.
//
// Library `tasks`. Not thread-safe.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "ownership/work_records.h"

namespace trailcourse::tasks {

// The context that the task runner passes to a task. The functions may be called until the task is destroyed.
// They have no effect once another router owns the shard.
struct TaskContext {
  ownership::Work work;
  ownership::ShardId id;
  ownership::Term term = 0;
  std::string checkpoint;  // the last one saved; empty if there is none

  // Sent with every effect, for receivers that check it: "STORE:WORK/SHARD:TERM".
  std::string fencing_token;

  // Returns whether an effect may begin now. The task has to send it at once.
  std::function<bool()> may_act;

  // Saves the progress of the work. A later checkpoint replaces one that is not saved yet.
  std::function<void(std::string checkpoint)> save_checkpoint;

  // Saves the last checkpoint of the shard and marks the shard as done. No checkpoint may follow.
  std::function<void(std::string checkpoint)> save_completion;

  // Reports, after stop(), that the last checkpoint was passed on and that the task may be destroyed.
  std::function<void()> on_stopped;

  // Reads a key of the store. The handler receives nothing if the key does not exist. It is not called if the
  // store does not answer, so the task has to repeat the call.
  std::function<void(const std::string& key, std::function<void(std::optional<std::string>)> handler)>
      read_key;

  // Writes a key under the term; the store rejects it once another router owns the shard.
  std::function<void(const std::string& key, std::string value)> write_key;

  // Deletes a key under the term, as write_key does.
  std::function<void(const std::string& key)> delete_key;
};

// The task of one shard. Its destructor ends it at once and abandons its calls in flight.
class OwnedTask {
 public:
  OwnedTask() = default;
  OwnedTask(const OwnedTask&) = delete;
  OwnedTask& operator=(const OwnedTask&) = delete;
  virtual ~OwnedTask() = default;

  // Called once, after construction.
  virtual void start() = 0;

  // Asks the task to end. The task has to call `on_stopped` of its context soon.
  virtual void stop() = 0;
};

// Makes the task of one shard.
using OwnedTaskFactory = std::function<std::unique_ptr<OwnedTask>(TaskContext)>;

}  // namespace trailcourse::tasks
