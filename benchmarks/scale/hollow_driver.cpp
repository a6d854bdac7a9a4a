#include "scale/hollow_driver.h"

#include <algorithm>
#include <utility>

#include "policy/rollout_transactions.h"
#include "scale/hollow_wire.h"

namespace trailcourse::scale {

using coordination::Transaction;

namespace {

// Of tasks::StoreDriverTask.
constexpr Micros kIdleLook{5'000'000};
constexpr Micros kLostLook{200'000};
constexpr Micros kBetweenLooks{20'000};

constexpr const char* kDocument =
    R"({"schema":1,"author":"ops","content":{"classes":{"media":{"objective_ms":2000,"give_up_ms":6000}}}})";

// Of an answer with these permits, which are all of about one size.
std::size_t bytes_of(const std::vector<coordination::Entry>& permits) {
  if (permits.empty()) {
    return 0;
  }
  const coordination::Entry& any = permits.front();
  const std::size_t one = answer_bytes(coordination::etcd::write_range_response({}, {any}));
  const std::size_t two = answer_bytes(coordination::etcd::write_range_response({}, {any, any}));
  return one + (two - one) * (permits.size() - 1);
}

}  // namespace

// ---- What all drivers do ----

HollowStoreDriver::HollowStoreDriver(Simulation& simulation, HollowStore& store, std::string name)
    : Node(simulation, std::move(name), kNoRegion), store_(store) {
  store.tell_changes_to(*this);
}

void HollowStoreDriver::started() {
  looking_ = false;
  again_ = false;
  look();
}

void HollowStoreDriver::look_after(Micros time) {
  const std::uint64_t timer = ++timer_;
  simulation().events.after(time, [this, incarnation = incarnation(), timer] {
    deliver(incarnation, [this, timer] {
      if (timer == timer_) {
        look();
      }
    });
  });
}

void HollowStoreDriver::read(std::function<void(const Reply&)> answered, std::function<void()> lost) {
  const Transaction looked_at = looks_at();
  Call call;
  call.bytes_asked = transaction_bytes(looked_at);
  call.work = [this, looked_at] {
    const Reply out = store_.commit(looked_at);
    const auto& permits = out.outcome.results.back().found;
    const std::size_t bytes = bytes_of(permits);
    counted().bytes_in += bytes;
    store_.counted_answer(bytes);
    return out;
  };
  call.answered = std::move(answered);
  call.lost = std::move(lost);
  Node::call(store_, std::move(call));
}

void HollowStoreDriver::write(Transaction transaction, std::function<void(const Reply&)> answered,
                              std::function<void()> lost) {
  Call call;
  call.bytes_asked = transaction_bytes(transaction);
  call.bytes_answered = call_sizes().written;
  call.work = [this, transaction = std::move(transaction)] { return store_.commit(transaction); };
  call.answered = std::move(answered);
  call.lost = std::move(lost);
  Node::call(store_, std::move(call));
}

void HollowStoreDriver::look_soon() {
  const Micros earliest = looked_at_ + kBetweenLooks;
  if (looking_) {
    again_ = true;
  } else if (clock() < earliest) {
    look_after(earliest - clock());
  } else {
    look();
  }
}

void HollowStoreDriver::look() {
  if (std::exchange(looking_, true)) {
    again_ = true;
    return;
  }
  looked_at_ = clock();
  look_after(kIdleLook);
  read(
      [this](const Reply& reply) {
        // What it read is parsed first.
        const auto entries = static_cast<double>(reply.outcome.results.back().found.size());
        simulation().events.after(micros(simulation().costs.entry_parsed * entries),
                                  [this, incarnation = incarnation(), reply] {
                                    deliver(incarnation, [this, reply] { looked(reply); });
                                  });
      },
      [this] {
        looking_ = false;
        look_after(kLostLook);
      });
}

void HollowStoreDriver::looked(const Reply& reply) {
  looking_ = false;
  const Micros now = clock();
  Decision decision = decide(now, reply.outcome);
  if (decision.look_at) {
    look_after(std::min<Micros>(*decision.look_at - now, kIdleLook));
  }
  if (decision.write) {
    write(
        std::move(*decision.write),
        [this, told = std::move(decision.written)](const Reply& written) {
          if (!written.done || !written.succeeded) {
            look_after(kLostLook);
            return;
          }
          told();
          look();
        },
        [this] { look_after(kLostLook); });
  }
  if (std::exchange(again_, false)) {
    look_soon();
  }
}

// ---- Changes of policy ----

HollowDriver::HollowDriver(Simulation& simulation, HollowStore& store, const policy::RolloutTimeouts& rules,
                           Stepped stepped)
    : HollowStoreDriver(simulation, store, "driver"),
      rules_(rules),
      coordinator_(rules),
      stepped_(std::move(stepped)) {}

void HollowDriver::started() {
  replace();
  HollowStoreDriver::started();
}

void HollowDriver::replace() {
  coordinator_ = policy::RolloutCoordinator(rules_);
  change_open_ = true;
}

bool HollowDriver::concerns(const std::string& key) const {
  return key == policy::kRolloutKey || (change_open_ && key.starts_with(policy::kReportPrefix));
}

HollowStoreDriver::Decision HollowDriver::decide(Micros now, const coordination::TransactionResult& outcome) {
  const policy::RolloutSnapshot seen = policy::read_snapshot("", outcome);
  change_open_ = seen.rollout && seen.rollout->is_open();
  Decision out;
  if (const std::optional<policy::RolloutStep> step = coordinator_.step(now, seen)) {
    out.write = policy::execute_transaction("", seen, *step);
    out.written = [this, step = *step] { stepped_(step); };
  } else {
    out.look_at = coordinator_.next_step_at();
  }
  return out;
}

void HollowDriver::propose(bool urgent, const std::function<void(std::uint64_t)>& begun,
                           const std::function<void()>& refused) {
  const std::uint64_t version = ++last_version_;
  read(
      [this, urgent, begun, refused, version](const Reply& reply) {
        const policy::RolloutSnapshot seen = policy::read_snapshot("", reply.outcome);
        if (!policy::check_can_begin(seen, urgent)) {
          refused();
          return;
        }
        policy::Rollout change;
        change.id = seen.rollout ? seen.rollout->id + 1 : 1;
        change.target_version = version;
        change.previous_version = seen.current_version;
        change.urgent = urgent;
        write(
            policy::begin_transaction("", seen, change, kDocument, "begun"),
            [begun, refused, version](const Reply& written) {
              written.done&& written.succeeded ? begun(version) : refused();
            },
            refused);
      },
      refused);
}

// ---- Acknowledged events ----

HollowAcknowledgementDriver::HollowAcknowledgementDriver(Simulation& simulation, HollowStore& store,
                                                         Micros least_round, Written written)
    : HollowStoreDriver(simulation, store, "acknowledgements"),
      coordinator_(least_round),
      written_(std::move(written)) {}

void HollowAcknowledgementDriver::took_in(const policy::DiscoveryPosition& position) {
  position_ = position;
  if (!round_open_) {
    look_soon();
  }
}

bool HollowAcknowledgementDriver::concerns(const std::string& key) const {
  return key == policy::kAcknowledgedKey || (round_open_ && key.starts_with(policy::kReportPrefix));
}

HollowStoreDriver::Decision HollowAcknowledgementDriver::decide(
    Micros now, const coordination::TransactionResult& outcome) {
  const policy::AcknowledgementSnapshot seen = policy::read_acknowledgement_snapshot("", outcome);
  round_open_ = seen.record.round > 0 && seen.record.completed != seen.record.requested;
  Decision out;
  if (const auto next = coordinator_.step(now, seen, position_)) {
    out.write = policy::write_acknowledgement_transaction("", seen, *next);
    out.written = [this, record = *next] { written_(record); };
  }
  out.look_at = coordinator_.next_step_at();
  return out;
}

}  // namespace trailcourse::scale
