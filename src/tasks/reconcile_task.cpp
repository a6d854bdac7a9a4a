#include "tasks/reconcile_task.h"

#include <algorithm>
#include <utility>

#include "tasks/clock.h"
#include "transport/log.h"

namespace trailcourse::tasks {

using coordination::StoreResponse;
using coordination::Transaction;
using coordination::TransactionResult;
using std::chrono::milliseconds;
using transport::Clock;

namespace {

constexpr milliseconds kMaxInterval{5'000};  // between two snapshots, even if nothing has changed
constexpr milliseconds kRetryInterval{200};  // after a call that failed, or a write that was rejected
constexpr Micros kMinDelay{1'000};
// A snapshot reads the reports of all routers, which change all the time in a large fleet.
constexpr milliseconds kMinInterval{20};

}  // namespace

ReconcileTask::ReconcileTask(transport::Scheduler& scheduler, coordination::CoordinationStore& store,
                             std::string prefix, TaskContext context)
    : store_(store),
      prefix_(std::move(prefix)),
      context_(std::move(context)),
      timer_(scheduler, [this] { reconcile(); }) {}

ReconcileTask::~ReconcileTask() {
  *alive_ = false;
  for (const auto watch : watches_) {
    store_.unwatch(watch);
  }
}

void ReconcileTask::start() {
  context_.save_checkpoint("driving");
  for (const coordination::Range& range : watched_ranges()) {
    watches_.push_back(store_.watch(range, *this));
  }
}

void ReconcileTask::stop() {
  stopping_ = true;
  timer_.set(std::nullopt);
  context_.on_stopped();
}

void ReconcileTask::on_changes(coordination::Revision, const std::vector<coordination::KeyChange>& changes) {
  const bool relevant = std::any_of(changes.begin(), changes.end(), [this](const auto& change) {
    return is_relevant(change.entry.key.substr(prefix_.size()));
  });
  if (relevant) {
    schedule_reconcile();
  }
}

void ReconcileTask::reconcile_in(Micros time) { timer_.set(Clock::now() + std::max(time, kMinDelay)); }

void ReconcileTask::schedule_reconcile() {
  const Clock::time_point earliest = last_snapshot_at_ + kMinInterval;
  const Clock::time_point now = Clock::now();
  if (snapshot_in_flight_) {
    reconcile_again_ = true;
  } else if (now < earliest && !stopping_) {
    reconcile_in(std::chrono::duration_cast<Micros>(earliest - now));
  } else {
    reconcile();
  }
}

void ReconcileTask::reconcile() {
  if (stopping_) {
    return;
  }
  if (std::exchange(snapshot_in_flight_, true)) {
    reconcile_again_ = true;
    return;
  }
  last_snapshot_at_ = Clock::now();
  reconcile_in(kMaxInterval);
  store_.commit(snapshot_transaction(),
                [this, alive = alive_](const StoreResponse<TransactionResult>& reply) {
                  if (!*alive) {
                    return;
                  }
                  snapshot_in_flight_ = false;
                  if (!reply.ok()) {
                    reconcile_in(kRetryInterval);
                    return;
                  }
                  handle_snapshot(reply.value);
                  if (std::exchange(reconcile_again_, false)) {
                    schedule_reconcile();
                  }
                });
}

void ReconcileTask::handle_snapshot(const TransactionResult& snapshot) {
  const Micros now = steady_now();
  Decision decision = decide(now, snapshot);
  if (decision.next_step_at) {
    reconcile_in(std::min<Micros>(*decision.next_step_at - now, kMaxInterval));
  }
  if (!decision.write) {
    return;
  }
  if (!context_.may_act()) {
    reconcile_in(kRetryInterval);
    return;
  }
  if (!decision.log_text.empty()) {
    transport::log_line(transport::Level::kInfo) << decision.log_text;
  }
  write(std::move(*decision.write));
}

// The condition on the owner's term makes the store reject the write of a former owner.
void ReconcileTask::write(Transaction transaction) {
  transaction.when.push_back(
      coordination::created_at(prefix_ + ownership::kOwnerPrefix + to_string(context_.id), context_.term));
  store_.commit(std::move(transaction),
                [this, alive = alive_](const StoreResponse<TransactionResult>& reply) {
                  if (!*alive) {
                    return;
                  }
                  // If the write was rejected, or its outcome is unknown, the next snapshot shows the
                  // state of the record.
                  if (!reply.ok() || !reply.value.succeeded) {
                    reconcile_in(kRetryInterval);
                  } else {
                    reconcile();
                  }
                });
}

}  // namespace trailcourse::tasks
