#include "scale/hollow_store.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "scale/hollow_aggregator.h"
#include "scale/hollow_wire.h"

namespace trailcourse::scale {

using coordination::Change;
using coordination::LeaseId;
using coordination::Transaction;

namespace {

constexpr double kFastestClock = 1.009;  // within the drift that leases allow for
constexpr Micros kExpiryLook{10'000};

// Of tasks::PolicyChangeTask.
constexpr Micros kIdleLook{5'000'000};
constexpr Micros kLostLook{200'000};

constexpr const char* kDocument =
    R"({"schema":1,"author":"ops","content":{"classes":{"media":{"objective_ms":2000,"give_up_ms":6000}}}})";

// The stand-in's own bounds are lower (10,000 leases); here only time and bytes are to bind.
coordination::Limits wide_limits() {
  coordination::Limits out;
  out.leases = 1'000'000;
  out.entries = 1'000'000;
  return out;
}

bool is_policy(const Change& change) { return change.entry.key.starts_with("policy/"); }
bool concerns_driver(const Change& change) {
  return change.entry.key.starts_with(policy::kPermits) || change.entry.key == policy::kChangeKey;
}

}  // namespace

// ---- The store ----

HollowStore::HollowStore(Simulation& simulation)
    : Node(simulation, "store", kNoRegion), ledger_(wide_limits()), watches_(simulation) {
  set_clock({kFastestClock, Micros(0)});
  ledger_.commit(Transaction{{}, {coordination::Put{policy::kCurrentKey, "0", 0}}, {}});
  ledger_.changes();
}

void HollowStore::started() {
  watches_.clear();
  expire();
}

void HollowStore::expire() {
  simulation().events.after(kExpiryLook, [this, incarnation = incarnation()] {
    if (incarnation == this->incarnation()) {
      expire();
    }
  });
  if (!runs()) {
    return;
  }
  ledger_.expire(clock_ms());
  counted().busy += tell(Micros(0));
}

Micros HollowStore::call_cost() const {
  const CostRules& costs = simulation().costs;
  const double sessions = static_cast<double>(ledger_.leases().size() + watches_.size());
  return micros(costs.call + costs.per_session * sessions);
}

Micros HollowStore::tell(Micros before) {
  std::vector<Change> changes = ledger_.changes();
  Micros spent{0};
  if (driver_ != nullptr && std::any_of(changes.begin(), changes.end(), concerns_driver)) {
    spent += micros(simulation().costs.line);
    ++counted().lines;
    simulation().events.after(before + spent + simulation().delay(*this, *driver_),
                              [driver = driver_, incarnation = driver_->incarnation()] {
                                driver->deliver(incarnation, [driver] { driver->news(); });
                              });
  }
  std::erase_if(changes, [](const Change& change) { return !is_policy(change); });
  if (changes.empty()) {
    return spent;
  }
  const SharedNews news = changed_news(ledger_, std::move(changes));
  counted().lines += watches_.size();
  counted().bytes_out += watches_.size() * news->bytes;
  return spent + watches_.tell(*this, news, before + spent);
}

Reply HollowStore::grant(Micros ttl) {
  Reply out;
  out.spent = call_cost();
  out.lease = ledger_.grant(clock_ms(), ttl.count() / 1'000, 0);
  out.done = true;
  return out;
}

Reply HollowStore::keep_alive(LeaseId lease) {
  Reply out;
  out.spent = call_cost();
  ledger_.expire(clock_ms());
  out.succeeded = ledger_.keep_alive(clock_ms(), lease) > 0;
  out.done = true;
  out.spent += tell(out.spent);
  return out;
}

Reply HollowStore::revoke(LeaseId lease) {
  Reply out;
  out.spent = call_cost();
  try {
    ledger_.revoke(lease);
  } catch (const coordination::Rejected&) {
    // There is none: that is what was asked for.
  }
  out.done = true;
  out.spent += tell(out.spent);
  return out;
}

Reply HollowStore::commit(const Transaction& transaction) {
  Reply out;
  out.spent = call_cost();
  try {
    out.outcome = ledger_.commit(transaction);
    out.succeeded = out.outcome.succeeded;
    out.done = true;
  } catch (const coordination::Rejected&) {
    return out;
  }
  std::size_t read = 0;
  for (const coordination::StepResult& step : out.outcome.steps) {
    read += step.found.size();
  }
  out.spent += micros(simulation().costs.entry_read * static_cast<double>(read));
  out.spent += tell(out.spent);
  return out;
}

Reply HollowStore::begin_watch(StoreClient& client, std::uint64_t watch) {
  Reply out;
  out.spent = call_cost();
  watches_.add(client, watch);
  out.news = whole_news(ledger_);
  out.done = true;
  counted().bytes_out += out.news->bytes;
  return out;
}

void HollowStore::tell_again(StoreClient& client) {
  watches_.tell_one(*this, client, whole_news(ledger_), Micros(0));
}

policy::Seen HollowStore::seen() const {
  coordination::Outcome outcome;
  for (const coordination::Step& step : policy::look("").then) {
    outcome.steps.push_back({ledger_.get(std::get<coordination::Get>(step).range), 0});
  }
  return policy::read_seen("", outcome);
}

std::uint64_t HollowStore::version_in_force() const {
  const auto found = ledger_.entries().find(policy::kCurrentKey);
  return found == ledger_.entries().end() ? 0 : std::strtoull(found->second.value.c_str(), nullptr, 10);
}

// ---- The driver ----

HollowDriver::HollowDriver(Simulation& simulation, HollowStore& store, const policy::DriverRules& rules,
                           Stepped stepped)
    : Node(simulation, "driver", kNoRegion),
      store_(store),
      rules_(rules),
      driver_(rules),
      stepped_(std::move(stepped)) {
  store.tell_changes_to(*this);
}

void HollowDriver::started() {
  looking_ = false;
  again_ = false;
  replace();
  look();
}

void HollowDriver::replace() { driver_ = policy::Driver(rules_); }

void HollowDriver::look_after(Micros time) {
  const std::uint64_t timer = ++timer_;
  simulation().events.after(time, [this, incarnation = incarnation(), timer] {
    deliver(incarnation, [this, timer] {
      if (timer == timer_) {
        look();
      }
    });
  });
}

void HollowDriver::read(std::function<void(const Reply&)> answered, std::function<void()> lost) {
  const Transaction look = policy::look("");
  Call call;
  call.bytes_asked = transaction_bytes(look);
  call.work = [this, look] {
    const Reply out = store_.commit(look);
    const auto& permits = out.outcome.steps.at(3).found;
    // All permits are of about one size.
    const std::size_t one =
        permits.empty() ? 0 : answer_bytes(coordination::etcd::write_entries({}, {permits.front()}));
    counted().bytes_in += one * permits.size();
    store_.counted_answer(one * permits.size());
    return out;
  };
  call.answered = std::move(answered);
  call.lost = std::move(lost);
  Node::call(store_, std::move(call));
}

void HollowDriver::write(Transaction transaction, std::function<void(const Reply&)> answered,
                         std::function<void()> lost) {
  Call call;
  call.bytes_asked = transaction_bytes(transaction);
  call.bytes_answered = call_sizes().written;
  call.work = [this, transaction = std::move(transaction)] { return store_.commit(transaction); };
  call.answered = std::move(answered);
  call.lost = std::move(lost);
  Node::call(store_, std::move(call));
}

void HollowDriver::look() {
  if (std::exchange(looking_, true)) {
    again_ = true;
    return;
  }
  look_after(kIdleLook);
  read(
      [this](const Reply& reply) {
        // What it read is parsed first.
        const auto entries = static_cast<double>(reply.outcome.steps.at(3).found.size());
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

void HollowDriver::looked(const Reply& reply) {
  looking_ = false;
  const policy::Seen seen = policy::read_seen("", reply.outcome);
  const Micros now = clock();
  const std::optional<policy::Step> step = driver_.next(now, seen);
  if (!step) {
    if (const auto due = driver_.due()) {
      look_after(std::min<Micros>(*due - now, kIdleLook));
    }
  } else {
    write(
        policy::carry_out("", seen, *step),
        [this, step = *step](const Reply& written) {
          if (!written.done || !written.succeeded) {
            look_after(kLostLook);
            return;
          }
          stepped_(step);
          look();
        },
        [this] { look_after(kLostLook); });
  }
  if (std::exchange(again_, false)) {
    look();
  }
}

void HollowDriver::propose(bool urgent, std::function<void(std::uint64_t)> begun,
                           std::function<void()> refused) {
  const std::uint64_t version = ++last_version_;
  read(
      [this, urgent, begun, refused, version](const Reply& reply) {
        const policy::Seen seen = policy::read_seen("", reply.outcome);
        bool superseded = false;
        if (!policy::may_begin(seen, urgent, superseded).empty()) {
          refused();
          return;
        }
        policy::Change change;
        change.id = seen.change ? seen.change->id + 1 : 1;
        change.version = version;
        change.before = seen.current;
        change.urgent = urgent;
        write(
            policy::begin("", seen, change, kDocument, "begun"),
            [begun, refused, version](const Reply& written) {
              written.done&& written.succeeded ? begun(version) : refused();
            },
            refused);
      },
      refused);
}

}  // namespace trailcourse::scale
