#include "scale/simulated_store.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "scale/simulated_aggregator.h"
#include "scale/simulated_coordinators.h"
#include "scale/store_call_sizes.h"

namespace trailcourse::scale {

using coordination::KeyChange;
using coordination::LeaseId;
using coordination::Transaction;

namespace {

// The clock of the store runs 0.9% faster than true time, which is within the drift that leases tolerate.
constexpr double kClockRate = 1.009;
constexpr Micros kExpiryInterval{10'000};

// Limits that no simulated fleet reaches. Those of the coordination server are lower (10,000 leases).
coordination::KeyValueLimits large_limits() {
  coordination::KeyValueLimits out;
  out.leases = 1'000'000;
  out.entries = 1'000'000;
  return out;
}

bool is_policy_change(const KeyChange& change) { return change.entry.key.starts_with("policy/"); }

}  // namespace

// ---- The store ----

SimulatedStore::SimulatedStore(Simulation& simulation)
    : SimulatedProcess(simulation, "store", kNoRegion), state_(large_limits()), watches_(simulation) {
  set_clock({kClockRate, Micros(0)});
  state_.commit(Transaction{{}, {coordination::Put{policy::kCurrentKey, "0", 0}}, {}});
  state_.take_changes();
}

void SimulatedStore::on_started() {
  watches_.clear();
  expire_leases();
}

void SimulatedStore::expire_leases() {
  simulation().events.add_after(kExpiryInterval, [this, incarnation = incarnation()] {
    if (incarnation == this->incarnation()) {
      expire_leases();
    }
  });
  if (!running()) {
    return;
  }
  state_.expire(store_clock());
  mutable_traffic().cpu_time += send_changes(Micros(0));
}

Micros SimulatedStore::call_cost() const {
  const CostOptions& costs = simulation().costs;
  const double sessions = static_cast<double>(state_.leases().size() + watches_.size());
  return to_micros(costs.call + costs.per_session * sessions);
}

Micros SimulatedStore::send_changes(Micros delay) {
  std::vector<KeyChange> changes = state_.take_changes();
  Micros cpu_time{0};
  for (SimulatedCoordinator* coordinator : coordinators_) {
    const bool relevant = std::any_of(changes.begin(), changes.end(), [coordinator](const KeyChange& change) {
      return coordinator->is_relevant(change.entry.key);
    });
    if (!relevant) {
      continue;
    }
    cpu_time += to_micros(simulation().costs.watch_event);
    ++mutable_traffic().watch_events;
    simulation().events.add_after(delay + cpu_time + simulation().random_delay(*this, *coordinator),
                                  [coordinator, incarnation = coordinator->incarnation()] {
                                    coordinator->deliver(incarnation,
                                                         [coordinator] { coordinator->on_change(); });
                                  });
  }
  std::erase_if(changes, [](const KeyChange& change) { return !is_policy_change(change); });
  if (changes.empty()) {
    return cpu_time;
  }
  const SharedWatchUpdate update = changes_update(state_, std::move(changes));
  mutable_traffic().watch_events += watches_.size();
  mutable_traffic().bytes_out += watches_.size() * update->bytes;
  return cpu_time + watches_.send_to_all(*this, update, delay + cpu_time);
}

Reply SimulatedStore::grant(Micros ttl) {
  Reply out;
  out.cpu_time = call_cost();
  out.lease = state_.grant(store_clock(), std::chrono::duration_cast<std::chrono::milliseconds>(ttl), 0);
  out.ok = true;
  return out;
}

Reply SimulatedStore::keep_alive(LeaseId lease) {
  Reply out;
  out.cpu_time = call_cost();
  state_.expire(store_clock());
  out.succeeded = state_.keep_alive(store_clock(), lease) > std::chrono::milliseconds(0);
  out.ok = true;
  out.cpu_time += send_changes(out.cpu_time);
  return out;
}

Reply SimulatedStore::revoke(LeaseId lease) {
  Reply out;
  out.cpu_time = call_cost();
  try {
    state_.revoke(lease);
  } catch (const coordination::OperationRejected&) {
    // The lease has already ended, so there is nothing to revoke.
  }
  out.ok = true;
  out.cpu_time += send_changes(out.cpu_time);
  return out;
}

Reply SimulatedStore::commit(const Transaction& transaction) {
  Reply out;
  out.cpu_time = call_cost();
  try {
    out.transaction_result = state_.commit(transaction);
    out.succeeded = out.transaction_result.succeeded;
    out.ok = true;
  } catch (const coordination::OperationRejected&) {
    return out;
  }
  std::size_t entries_read = 0;
  for (const coordination::OperationResult& operation : out.transaction_result.results) {
    entries_read += operation.found.size();
  }
  out.cpu_time += to_micros(simulation().costs.entry_read * static_cast<double>(entries_read));
  out.cpu_time += send_changes(out.cpu_time);
  return out;
}

Reply SimulatedStore::begin_watch(SimulatedStoreClient& client, std::uint64_t watch) {
  Reply out;
  out.cpu_time = call_cost();
  watches_.add(client, watch);
  out.snapshot = snapshot_update(state_);
  out.ok = true;
  mutable_traffic().bytes_out += out.snapshot->bytes;
  return out;
}

void SimulatedStore::resend_snapshot(SimulatedStoreClient& client) {
  watches_.send_to(*this, client, snapshot_update(state_), Micros(0));
}

policy::RolloutSnapshot SimulatedStore::rollout_snapshot() const {
  coordination::TransactionResult result;
  for (const coordination::Operation& operation : policy::snapshot_transaction("").then) {
    result.results.push_back({state_.get(std::get<coordination::Get>(operation).range), 0});
  }
  return policy::read_snapshot("", result);
}

std::uint64_t SimulatedStore::version_in_force() const {
  const auto found = state_.entries().find(policy::kCurrentKey);
  return found == state_.entries().end() ? 0 : std::strtoull(found->second.value.c_str(), nullptr, 10);
}

}  // namespace trailcourse::scale
