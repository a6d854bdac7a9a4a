#include "tasks/fleet_report_task.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "tasks/clock.h"

namespace trailcourse::tasks {

using std::chrono::milliseconds;
using transport::Clock;

FleetReportTask::FleetReportTask(transport::Scheduler& scheduler, coordination::CoordinationStore& store,
                                 std::string prefix, const OwnershipOptions& options, TaskContext context)
    : store_(store),
      prefix_(std::move(prefix)),
      options_(options),
      context_(std::move(context)),
      report_(context_.checkpoint),
      timer_(scheduler, [this] { run_step(); }) {}

void FleetReportTask::stop() {
  timer_.set(std::nullopt);
  context_.on_stopped();
}

void FleetReportTask::run_step() {
  timer_.set(Clock::now() + milliseconds(options_.report_ms));
  if (!context_.may_act()) {
    return;
  }
  coordination::Transaction read;
  read.then = {coordination::Get{coordination::Range{prefix_ + kCounterPrefix, true}}};
  store_.commit(
      std::move(read),
      [this, alive = alive_](const coordination::StoreResponse<coordination::TransactionResult>& reply) {
        if (*alive && reply.ok()) {
          write_report(reply.value.results.at(0).found);
        }
      });
}

void FleetReportTask::write_report(const std::vector<coordination::Entry>& counter_entries) {
  std::map<std::string, Counters> routers;
  const std::size_t prefix_size = prefix_.size() + std::string_view(kCounterPrefix).size();
  for (const coordination::Entry& entry : counter_entries) {
    if (auto counters = read_counters(entry.value)) {
      routers[entry.key.substr(prefix_size)] = std::move(*counters);
    }
  }
  report_.update(routers);
  const nlohmann::json report{{"term", context_.term},
                              {"number", ++last_sequence_},
                              {"routers", report_.router_count()},
                              {"at_ms", unix_now_ms()},
                              {"sums", report_.sums()}};
  context_.write_key(kFleetReportKey, report.dump());
  context_.save_checkpoint(report_.checkpoint());
}

}  // namespace trailcourse::tasks
