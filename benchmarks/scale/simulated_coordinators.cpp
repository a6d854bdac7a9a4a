#include "scale/simulated_coordinators.h"

#include <algorithm>
#include <utility>

#include "policy/rollout_transactions.h"
#include "scale/store_call_sizes.h"

namespace trailcourse::scale {

using coordination::Transaction;

namespace {

// The intervals of tasks::ReconcileTask.
constexpr Micros kIdleReadInterval{5'000'000};
constexpr Micros kRetryDelay{200'000};
constexpr Micros kMinReadInterval{20'000};

constexpr const char* kDocument =
    R"({"schema":1,"author":"ops","content":{"classes":{"media":{"objective_ms":2000,"give_up_ms":6000}}}})";

// Estimates the size of a response with these reports, from the first one: all have about the same size.
std::size_t reports_size(const std::vector<coordination::Entry>& reports) {
  if (reports.empty()) {
    return 0;
  }
  const coordination::Entry& sample = reports.front();
  const std::size_t size_of_one = response_size(coordination::etcd::write_range_response({}, {sample}));
  const std::size_t size_of_two =
      response_size(coordination::etcd::write_range_response({}, {sample, sample}));
  return size_of_one + (size_of_two - size_of_one) * (reports.size() - 1);
}

}  // namespace

// ---- All coordinators ----

SimulatedCoordinator::SimulatedCoordinator(Simulation& simulation, SimulatedStore& store, std::string name)
    : SimulatedProcess(simulation, std::move(name), kNoRegion), store_(store) {
  store.add_coordinator(*this);
}

void SimulatedCoordinator::on_started() {
  reading_ = false;
  read_again_ = false;
  reconcile();
}

void SimulatedCoordinator::read_after(Micros delay) {
  const std::uint64_t timer = ++timer_;
  simulation().events.add_after(delay, [this, incarnation = incarnation(), timer] {
    deliver(incarnation, [this, timer] {
      if (timer == timer_) {
        reconcile();
      }
    });
  });
}

void SimulatedCoordinator::read(std::function<void(const Reply&)> on_reply, std::function<void()> on_lost) {
  const Transaction transaction = snapshot_transaction();
  Call call;
  call.request_bytes = transaction_size(transaction);
  call.execute = [this, transaction] {
    const Reply out = store_.commit(transaction);
    const auto& reports = out.transaction_result.results.back().found;
    const std::size_t bytes = reports_size(reports);
    mutable_traffic().bytes_in += bytes;
    store_.add_response_bytes(bytes);
    return out;
  };
  call.on_reply = std::move(on_reply);
  call.on_lost = std::move(on_lost);
  SimulatedProcess::call(store_, std::move(call));
}

void SimulatedCoordinator::write(Transaction transaction, std::function<void(const Reply&)> on_reply,
                                 std::function<void()> on_lost) {
  Call call;
  call.request_bytes = transaction_size(transaction);
  call.response_bytes = call_sizes().write_response;
  call.execute = [this, transaction = std::move(transaction)] { return store_.commit(transaction); };
  call.on_reply = std::move(on_reply);
  call.on_lost = std::move(on_lost);
  SimulatedProcess::call(store_, std::move(call));
}

void SimulatedCoordinator::read_soon() {
  const Micros earliest = last_read_at_ + kMinReadInterval;
  if (reading_) {
    read_again_ = true;
  } else if (clock() < earliest) {
    read_after(earliest - clock());
  } else {
    reconcile();
  }
}

void SimulatedCoordinator::reconcile() {
  if (std::exchange(reading_, true)) {
    read_again_ = true;
    return;
  }
  last_read_at_ = clock();
  read_after(kIdleReadInterval);
  read(
      [this](const Reply& reply) {
        // Parsing the response delays the decision.
        const auto entries = static_cast<double>(reply.transaction_result.results.back().found.size());
        simulation().events.add_after(to_micros(simulation().costs.entry_parsed * entries),
                                      [this, incarnation = incarnation(), reply] {
                                        deliver(incarnation, [this, reply] { on_snapshot(reply); });
                                      });
      },
      [this] {
        reading_ = false;
        read_after(kRetryDelay);
      });
}

void SimulatedCoordinator::on_snapshot(const Reply& reply) {
  reading_ = false;
  const Micros now = clock();
  Decision decision = decide(now, reply.transaction_result);
  if (decision.read_at) {
    read_after(std::min<Micros>(*decision.read_at - now, kIdleReadInterval));
  }
  if (decision.write) {
    write(
        std::move(*decision.write),
        [this, on_written = std::move(decision.on_written)](const Reply& written) {
          if (!written.ok || !written.succeeded) {
            read_after(kRetryDelay);
            return;
          }
          on_written();
          reconcile();
        },
        [this] { read_after(kRetryDelay); });
  }
  if (std::exchange(read_again_, false)) {
    read_soon();
  }
}

// ---- Policy rollouts ----

SimulatedRolloutCoordinator::SimulatedRolloutCoordinator(Simulation& simulation, SimulatedStore& store,
                                                         const policy::RolloutTimeouts& timeouts,
                                                         StepCallback on_step)
    : SimulatedCoordinator(simulation, store, "rollout-coordinator"),
      timeouts_(timeouts),
      coordinator_(timeouts),
      on_step_(std::move(on_step)) {}

void SimulatedRolloutCoordinator::on_started() {
  replace();
  SimulatedCoordinator::on_started();
}

void SimulatedRolloutCoordinator::replace() {
  coordinator_ = policy::RolloutCoordinator(timeouts_);
  rollout_open_ = true;
}

bool SimulatedRolloutCoordinator::is_relevant(const std::string& key) const {
  return key == policy::kRolloutKey || (rollout_open_ && key.starts_with(policy::kReportPrefix));
}

SimulatedCoordinator::Decision SimulatedRolloutCoordinator::decide(
    Micros now, const coordination::TransactionResult& snapshot) {
  const policy::RolloutSnapshot current = policy::read_snapshot("", snapshot);
  rollout_open_ = current.rollout && current.rollout->is_open();
  Decision out;
  if (const std::optional<policy::RolloutStep> step = coordinator_.step(now, current)) {
    out.write = policy::execute_transaction("", current, *step);
    out.on_written = [this, step = *step] { on_step_(step); };
  } else {
    out.read_at = coordinator_.next_step_at();
  }
  return out;
}

void SimulatedRolloutCoordinator::propose(bool urgent, const std::function<void(std::uint64_t)>& on_begun,
                                          const std::function<void()>& on_refused) {
  const std::uint64_t version = ++last_version_;
  read(
      [this, urgent, on_begun, on_refused, version](const Reply& reply) {
        const policy::RolloutSnapshot current = policy::read_snapshot("", reply.transaction_result);
        if (!policy::check_can_begin(current, urgent)) {
          on_refused();
          return;
        }
        policy::Rollout rollout;
        rollout.id = current.rollout ? current.rollout->id + 1 : 1;
        rollout.target_version = version;
        rollout.previous_version = current.current_version;
        rollout.urgent = urgent;
        write(
            policy::begin_transaction("", current, rollout, kDocument, "begun"),
            [on_begun, on_refused, version](const Reply& written) {
              if (written.ok && written.succeeded) {
                on_begun(version);
              } else {
                on_refused();
              }
            },
            on_refused);
      },
      on_refused);
}

// ---- Acknowledged events ----

SimulatedAcknowledgementCoordinator::SimulatedAcknowledgementCoordinator(Simulation& simulation,
                                                                         SimulatedStore& store,
                                                                         Micros min_round_interval,
                                                                         RecordCallback on_record)
    : SimulatedCoordinator(simulation, store, "acknowledgement-coordinator"),
      coordinator_(min_round_interval),
      on_record_(std::move(on_record)) {}

void SimulatedAcknowledgementCoordinator::on_events_applied(const policy::DiscoveryPosition& position) {
  position_ = position;
  if (!round_open_) {
    read_soon();
  }
}

bool SimulatedAcknowledgementCoordinator::is_relevant(const std::string& key) const {
  return key == policy::kAcknowledgedKey || (round_open_ && key.starts_with(policy::kReportPrefix));
}

SimulatedCoordinator::Decision SimulatedAcknowledgementCoordinator::decide(
    Micros now, const coordination::TransactionResult& snapshot) {
  const policy::AcknowledgementSnapshot current = policy::read_acknowledgement_snapshot("", snapshot);
  round_open_ = current.record.round > 0 && current.record.completed != current.record.requested;
  Decision out;
  if (const auto next = coordinator_.step(now, current, position_)) {
    out.write = policy::write_acknowledgement_transaction("", current, *next);
    out.on_written = [this, record = *next] { on_record_(record); };
  }
  out.read_at = coordinator_.next_step_at();
  return out;
}

}  // namespace trailcourse::scale
