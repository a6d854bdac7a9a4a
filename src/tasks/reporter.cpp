#include "tasks/reporter.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace trailcourse::tasks {

using std::chrono::milliseconds;
using transport::Clock;

Reporter::Reporter(transport::Scheduler& scheduler, coordination::CoordinationStore& store,
                   std::string prefix, const OwnershipOptions& options, TaskContext context)
    : scheduler_(scheduler),
      store_(store),
      prefix_(std::move(prefix)),
      options_(options),
      context_(std::move(context)),
      report_(context_.checkpoint),
      timer_(scheduler, [this] { turn(); }) {}

void Reporter::finish() {
  timer_.set(std::nullopt);
  context_.finished();
}

void Reporter::turn() {
  if (context_.may_act()) {
    coordination::Transaction read;
    read.then = {coordination::Get{coordination::Range{prefix_ + kCounters, true}}};
    store_.commit(
        std::move(read),
        [this, alive = alive_](const coordination::StoreResponse<coordination::TransactionResult>& reply) {
          if (*alive && reply.ok()) {
            this->read(reply.value.results.at(0).found);
          }
        });
  }
  timer_.set(Clock::now() + milliseconds(options_.report_ms));
}

void Reporter::read(const std::vector<coordination::Entry>& entries) {
  std::map<std::string, Counters> routers;
  const std::size_t stem = prefix_.size() + std::string(kCounters).size();
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
  context_.put(kReport, text.dump());
  context_.checkpoint_at(report_.checkpoint(), false);
}

}  // namespace trailcourse::tasks
