// One shard of owned work being done: what carries it out is told where to begin and when to stop, says how
// far it is, and asks before each effect whether it still may.
//
// Package `tasks`.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "coordination/coordination_store.h"
#include "ownership/work_records.h"

namespace trailcourse::tasks {

// What a task is given. The calls may be made for as long as the task lives; they have no effect once the
// shard is owned by another.
struct TaskContext {
  ownership::Work work;
  ownership::ShardId id;
  ownership::Term term = 0;
  std::string checkpoint;  // where the last one was; empty at the very beginning
  // With every effect that a receiver of this project's takes: "STORE:WORK/SHARD:TERM".
  std::string fence;

  // Whether an effect may be begun now; it has to leave at once.
  std::function<bool()> may_act;
  // So far is what was done. `done`: nothing is left.
  std::function<void(std::string checkpoint, bool done)> checkpoint_at;
  // After finish(): the last checkpoint is said, the task may go.
  std::function<void()> finished;
  // Reads a key of the store; nothing where it is not there. Not called back where the store does not answer:
  // the task asks again.
  std::function<void(std::string key, std::function<void(std::optional<std::string>)> then)> get;
  // Writes a key under the term: refused by the store once another owns the shard. An empty value deletes it.
  std::function<void(std::string key, std::string value)> put;
};

class OwnedTask {
 public:
  OwnedTask() = default;
  OwnedTask(const OwnedTask&) = delete;
  OwnedTask& operator=(const OwnedTask&) = delete;
  // It stops at once: what it has out is given up.
  virtual ~OwnedTask() = default;

  virtual void begin() = 0;
  // It is to come to an end soon, and to say finished().
  virtual void finish() = 0;
};

using OwnedTaskMaker = std::function<std::unique_ptr<OwnedTask>(TaskContext)>;

}  // namespace trailcourse::tasks
