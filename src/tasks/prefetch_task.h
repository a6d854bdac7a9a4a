// The task of announced filling: one shard's objects asked for through this router's own decisions, as a
// client would. The term goes with each command, so that a cache node of this project refuses an owner of the
// past; a cache that cannot check fills twice at worst.
//
// Package `tasks`, over `routing`. One thread.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "protocol/settings.h"
#include "routing/router.h"
#include "tasks/options.h"
#include "tasks/owned_task.h"
#include "tasks/prefetch_plan.h"
#include "transport/alarm.h"

namespace trailcourse::tasks {

class PrefetchTask : public OwnedTask {
 public:
  PrefetchTask(transport::Scheduler& scheduler, routing::Router& router, const protocol::Profile& profile,
               const OwnershipOptions& options, std::uint64_t seed, TaskContext context);
  ~PrefetchTask() override;

  void begin() override;
  void finish() override;

 private:
  class Answer;

  static Micros now();
  void cannot(const std::string& why);
  void load();
  void plan(std::uint64_t shard, std::uint64_t shards);
  void turn();
  void ask(std::size_t place);
  void answered(std::size_t place, PrefetchPlan::End end, Micros retry_after);
  void say(bool done);

  transport::Scheduler& scheduler_;
  routing::Router& router_;
  const protocol::Profile& profile_;
  OwnershipOptions options_;
  TaskContext context_;
  std::uint64_t last_id_;
  std::optional<PrefetchOrder> order_;
  std::optional<PrefetchPlan> plan_;
  int request_class_ = -1;
  std::map<std::size_t, RequestId> out_;
  transport::Alarm timer_;
  bool finishing_ = false;
  bool said_done_ = false;
  bool waited_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace trailcourse::tasks
