#include "scale/hollow_store.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "scale/hollow_aggregator.h"
#include "scale/hollow_driver.h"
#include "scale/hollow_wire.h"

namespace trailcourse::scale {

using coordination::Change;
using coordination::LeaseId;
using coordination::Transaction;

namespace {

constexpr double kFastestClock = 1.009;  // within the drift that leases allow for
constexpr Micros kExpiryLook{10'000};

// The stand-in's own bounds are lower (10,000 leases); here only time and bytes are to bind.
coordination::Limits wide_limits() {
  coordination::Limits out;
  out.leases = 1'000'000;
  out.entries = 1'000'000;
  return out;
}

bool is_policy(const Change& change) { return change.entry.key.starts_with("policy/"); }

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
  for (HollowStoreDriver* driver : drivers_) {
    const bool concerned = std::any_of(changes.begin(), changes.end(), [driver](const Change& change) {
      return driver->concerns(change.entry.key);
    });
    if (!concerned) {
      continue;
    }
    spent += micros(simulation().costs.line);
    ++counted().lines;
    simulation().events.after(before + spent + simulation().delay(*this, *driver),
                              [driver, incarnation = driver->incarnation()] {
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

policy::RolloutSnapshot HollowStore::seen() const {
  coordination::Outcome outcome;
  for (const coordination::Step& step : policy::snapshot_transaction("").then) {
    outcome.steps.push_back({ledger_.get(std::get<coordination::Get>(step).range), 0});
  }
  return policy::read_snapshot("", outcome);
}

std::uint64_t HollowStore::version_in_force() const {
  const auto found = ledger_.entries().find(policy::kCurrentKey);
  return found == ledger_.entries().end() ? 0 : std::strtoull(found->second.value.c_str(), nullptr, 10);
}

}  // namespace trailcourse::scale
