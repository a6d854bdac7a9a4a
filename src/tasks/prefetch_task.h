// Owned work of kind `fill`: prefetches one shard's objects into caches. Each request passes through this
// router's decisions, as a client's request does. Each command contains the fencing token, so that a cache
// node of this project rejects the commands of a former owner. Other caches are filled twice at worst.
//
// Library `tasks`, over `routing`. Not thread-safe: it belongs to its scheduler's thread.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "protocol/settings.h"
#include "routing/router.h"
#include "tasks/options.h"
#include "tasks/owned_task.h"
#include "tasks/prefetch_plan.h"
#include "transport/timer.h"

namespace trailcourse::tasks {

// Scheduler, router and deployment settings have to outlive this object.
class PrefetchTask : public OwnedTask {
 public:
  // `seed` makes the ids of its requests distinct from those of other routers.
  PrefetchTask(transport::Scheduler& scheduler, routing::Router& router,
               const protocol::DeploymentSettings& deployment, const OwnershipOptions& options,
               std::uint64_t seed, TaskContext context);
  ~PrefetchTask() override;

  void start() override;
  void stop() override;

 private:
  class ReplyHandler;

  // Reads the parameters of the work. Throws InvalidPrefetchParameters if no router can execute them.
  void read_parameters();
  void fail(const std::string& reason);
  void load_list();
  void make_plan(std::uint64_t shard, std::uint64_t shards);

  void run_step();
  // Returns whether the start time of the prefetch is reached. If not, sets the timer.
  bool is_start_time_reached();
  void start_requests();
  void request_object(std::size_t index);
  void on_request_result(std::size_t index, PrefetchResult result, Micros retry_after);

  void wake_up_in(Micros time);
  void save_progress();
  void abandon_requests();

  transport::Scheduler& scheduler_;
  routing::Router& router_;
  const protocol::DeploymentSettings& deployment_;
  OwnershipOptions options_;
  TaskContext context_;
  std::uint64_t last_request_id_;
  std::optional<PrefetchParameters> parameters_;
  std::optional<PrefetchPlan> plan_;  // after the list of objects was read
  int request_class_ = -1;
  std::map<std::size_t, RequestId> open_requests_;  // by index of the object
  transport::Timer timer_;
  bool stopping_ = false;
  bool completed_ = false;
  bool waits_for_start_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace trailcourse::tasks
