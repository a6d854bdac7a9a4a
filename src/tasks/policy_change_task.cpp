#include "tasks/policy_change_task.h"

#include <algorithm>
#include <utility>

#include "transport/log.h"

namespace trailcourse::tasks {

using coordination::Outcome;
using coordination::Reply;
using std::chrono::milliseconds;
using transport::Clock;
using transport::Level;
using transport::log_line;

namespace {

constexpr milliseconds kIdleLook{5'000};  // also without news
constexpr milliseconds kLostLook{200};

Micros now() { return std::chrono::duration_cast<Micros>(Clock::now().time_since_epoch()); }

}  // namespace

PolicyChangeTask::PolicyChangeTask(transport::Scheduler& scheduler, coordination::SharedStore& store,
                                   std::string prefix, const policy::PolicyOptions& options,
                                   TaskContext context)
    : scheduler_(scheduler),
      store_(store),
      prefix_(std::move(prefix)),
      context_(std::move(context)),
      driver_(policy::driver_rules(options)),
      timer_(scheduler, [this] { look(); }) {}

PolicyChangeTask::~PolicyChangeTask() {
  *alive_ = false;
  for (const auto watch : {permits_, policy_}) {
    if (watch != 0) {
      store_.unwatch(watch);
    }
  }
}

void PolicyChangeTask::begin() {
  context_.checkpoint_at("driving", false);
  permits_ = store_.watch(coordination::Range{prefix_ + policy::kPermits, true}, *this);
  policy_ = store_.watch(coordination::Range{prefix_ + policy::kChangeKey, false}, *this);
}

void PolicyChangeTask::finish() {
  finishing_ = true;
  timer_.set(std::nullopt);
  context_.finished();
}

void PolicyChangeTask::wait(Micros longest) {
  timer_.set(Clock::now() + std::chrono::duration_cast<Clock::duration>(std::max(longest, Micros(1'000))));
}

void PolicyChangeTask::look() {
  if (finishing_) {
    return;
  }
  if (std::exchange(looking_, true)) {
    again_ = true;
    return;
  }
  wait(kIdleLook);
  store_.commit(policy::look(prefix_), [this, alive = alive_](const Reply<Outcome>& reply) {
    if (!*alive) {
      return;
    }
    looking_ = false;
    if (!reply.done()) {
      wait(kLostLook);
      return;
    }
    looked(policy::read_seen(prefix_, reply.value));
    if (std::exchange(again_, false)) {
      look();
    }
  });
}

void PolicyChangeTask::looked(const policy::Seen& seen) {
  const Micros at = now();
  std::optional<policy::Step> step = driver_.next(at, seen);
  if (!step) {
    if (const auto due = driver_.due()) {
      wait(std::min<Micros>(*due - at, kIdleLook));
    }
    return;
  }
  if (!context_.may_act()) {
    wait(kLostLook);
    return;
  }
  log_line(Level::kInfo) << "change " << step->change.id << " to version " << step->change.version << ": "
                         << step->audit;
  const auto unix_now = std::chrono::system_clock::now().time_since_epoch();
  step->audit =
      std::to_string(std::chrono::duration_cast<milliseconds>(unix_now).count()) + " " + step->audit;
  coordination::Transaction write = policy::carry_out(prefix_, seen, *step);
  // The driver of the past is refused by the store, whatever it believes.
  write.when.push_back(
      coordination::created_at(prefix_ + ownership::kOwn + to_string(context_.id), context_.term));
  store_.commit(std::move(write), [this, alive = alive_](const Reply<Outcome>& reply) {
    if (*alive) {
      // Refused, or nobody knows: what stands is looked at again.
      if (!reply.done() || !reply.value.succeeded) {
        wait(kLostLook);
      } else {
        look();
      }
    }
  });
}

}  // namespace trailcourse::tasks
