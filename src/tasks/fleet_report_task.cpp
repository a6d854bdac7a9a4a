#include "tasks/fleet_report_task.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace trailcourse::tasks {

using std::chrono::milliseconds;
using transport::Clock;

FleetReportTask::FleetReportTask(transport::Scheduler& scheduler, coordination::SharedStore& store,
                                 std::string prefix, const OwnershipOptions& options, TaskContext context)
    : scheduler_(scheduler),
      store_(store),
      prefix_(std::move(prefix)),
      options_(options),
      context_(std::move(context)),
      report_(context_.checkpoint),
      timer_(scheduler, [this] { turn(); }) {}

void FleetReportTask::finish() {
  timer_.set(std::nullopt);
  context_.finished();
}

void FleetReportTask::turn() {
  if (context_.may_act()) {
    coordination::Transaction read;
    read.then = {coordination::Get{coordination::Range{prefix_ + kCounterPrefix, true}}};
    store_.commit(std::move(read),
                  [this, alive = alive_](const coordination::Reply<coordination::Outcome>& reply) {
                    if (*alive && reply.done()) {
                      this->read(reply.value.steps.at(0).found);
                    }
                  });
  }
  timer_.set(Clock::now() + milliseconds(options_.report_ms));
}

void FleetReportTask::read(const std::vector<coordination::Entry>& entries) {
  std::map<std::string, Counters> routers;
  const std::size_t stem = prefix_.size() + std::string(kCounterPrefix).size();
  for (const coordination::Entry& entry : entries) {
    if (auto counters = read_counters(entry.value)) {
      routers[entry.key.substr(stem)] = std::move(*counters);
    }
  }
  report_.take(routers);
  const nlohmann::json text{
      {"term", context_.term},
      {"number", ++number_},
      {"routers", report_.routers()},
      {"at_ms",
       std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count()},
      {"sums", report_.sums()}};
  context_.put(kFleetReportKey, text.dump());
  context_.checkpoint_at(report_.checkpoint(), false);
}

}  // namespace trailcourse::tasks
