#include "tasks/store_driver_task.h"

#include <algorithm>
#include <utility>

#include "transport/log.h"

namespace trailcourse::tasks {

using coordination::StoreResponse;
using coordination::Transaction;
using coordination::TransactionResult;
using std::chrono::milliseconds;
using transport::Clock;

namespace {

constexpr milliseconds kIdleLook{5'000};  // also without news
constexpr milliseconds kLostLook{200};
constexpr Micros kLeastPause{1'000};
// A look reads all permits, and in a large fleet news of them come without pause.
constexpr milliseconds kBetweenLooks{20};

Micros now() { return std::chrono::duration_cast<Micros>(Clock::now().time_since_epoch()); }

}  // namespace

StoreDriverTask::StoreDriverTask(transport::Scheduler& scheduler, coordination::CoordinationStore& store,
                                 std::string prefix, TaskContext context)
    : store_(store),
      prefix_(std::move(prefix)),
      context_(std::move(context)),
      timer_(scheduler, [this] { look(); }) {}

StoreDriverTask::~StoreDriverTask() {
  *alive_ = false;
  for (const auto watch : watches_) {
    store_.unwatch(watch);
  }
}

void StoreDriverTask::begin() {
  context_.checkpoint_at("driving", false);
  for (const coordination::Range& range : follows()) {
    watches_.push_back(store_.watch(range, *this));
  }
}

void StoreDriverTask::finish() {
  finishing_ = true;
  timer_.set(std::nullopt);
  context_.finished();
}

void StoreDriverTask::on_changes(coordination::Revision,
                                 const std::vector<coordination::KeyChange>& changes) {
  const bool may_matter = std::any_of(changes.begin(), changes.end(), [this](const auto& change) {
    return concerns(change.entry.key.substr(prefix_.size()));
  });
  if (may_matter) {
    look_soon();
  }
}

void StoreDriverTask::look_after(Micros time) {
  timer_.set(Clock::now() + std::chrono::duration_cast<Clock::duration>(std::max(time, kLeastPause)));
}

void StoreDriverTask::look_soon() {
  const Clock::time_point earliest = looked_at_ + kBetweenLooks;
  const Clock::time_point at = Clock::now();
  if (looking_) {
    again_ = true;
  } else if (at < earliest && !finishing_) {
    look_after(std::chrono::duration_cast<Micros>(earliest - at));
  } else {
    look();
  }
}

void StoreDriverTask::look() {
  if (finishing_) {
    return;
  }
  if (std::exchange(looking_, true)) {
    again_ = true;
    return;
  }
  looked_at_ = Clock::now();
  look_after(kIdleLook);
  store_.commit(looks_at(), [this, alive = alive_](const StoreResponse<TransactionResult>& reply) {
    if (!*alive) {
      return;
    }
    looking_ = false;
    if (!reply.ok()) {
      look_after(kLostLook);
      return;
    }
    looked(reply.value);
    if (std::exchange(again_, false)) {
      look_soon();
    }
  });
}

void StoreDriverTask::looked(const TransactionResult& seen) {
  const Micros at = now();
  Decision decision = decide(at, seen);
  if (decision.look_at) {
    look_after(std::min<Micros>(*decision.look_at - at, kIdleLook));
  }
  if (!decision.write) {
    return;
  }
  if (!context_.may_act()) {
    look_after(kLostLook);
    return;
  }
  if (!decision.step.empty()) {
    transport::log_line(transport::Level::kInfo) << decision.step;
  }
  write(std::move(*decision.write));
}

// The driver of the past is refused by the store, whatever it believes.
void StoreDriverTask::write(Transaction transaction) {
  transaction.when.push_back(
      coordination::created_at(prefix_ + ownership::kOwnerPrefix + to_string(context_.id), context_.term));
  store_.commit(std::move(transaction),
                [this, alive = alive_](const StoreResponse<TransactionResult>& reply) {
                  if (!*alive) {
                    return;
                  }
                  // Refused, or nobody knows: what stands is looked at again.
                  if (!reply.ok() || !reply.value.succeeded) {
                    look_after(kLostLook);
                  } else {
                    look();
                  }
                });
}

}  // namespace trailcourse::tasks
