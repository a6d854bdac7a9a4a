// The store of the simulated region, its watches, and its restoration from an old copy.
#include "aggregation/region_world.h"
#include "aggregation/region_world_constants.h"

namespace trailcourse::aggregation {

using coordination::LeaseId;
using coordination::Transaction;
using coordination::TransactionResult;
using std::chrono::milliseconds;
using std::chrono::seconds;

policy::RolloutSnapshot RegionWorld::rollout_snapshot() {
  return policy::read_snapshot("", store_.commit(policy::snapshot_transaction("")));
}

void RegionWorld::record_versions_in_force() {
  const policy::RolloutSnapshot snapshot = rollout_snapshot();
  ++commit_count_;
  for (const char* zone : kZoneNames) {
    const auto own_version = snapshot.zone_versions.find(zone);
    version_order_.on_version_in_force(
        zone, own_version == snapshot.zone_versions.end() ? snapshot.current_version : own_version->second,
        commit_count_);
  }
}

void RegionWorld::expire_leases_periodically() {
  at(now_ + milliseconds(50), [this] {
    store_.expire(store_clock());
    publish_changes();
    expire_leases_periodically();
  });
}

// Sends what has changed to each aggregator that watches, in order.
void RegionWorld::publish_changes() {
  Changes changes;
  for (const coordination::KeyChange& change : store_.take_changes()) {
    if (change.entry.key.starts_with(policy::kPolicyPrefix)) {
      changes.push_back(change);
    }
  }
  for (AggregatorProcess& aggregator : aggregators_) {
    if (changes.empty() || !aggregator.running || !aggregator.watching) {
      continue;
    }
    at(delivery_time(aggregator.last_delivery, seconds(2)),
       [this, &aggregator, watch_id = aggregator.watch_id, changes] {
         deliver(aggregator,
                 [this, &aggregator, watch_id, changes] { on_changes(aggregator, watch_id, changes); });
       });
  }
}

// Returns when the next message of a watch arrives: after the last one, and sometimes late.
Micros RegionWorld::delivery_time(Micros& last_delivery, Micros max_lag) {
  last_delivery = std::max(last_delivery, now_ + drawn(calm_ || chance(92) ? milliseconds(15) : max_lag));
  return last_delivery;
}

bool RegionWorld::revoke_at_store(LeaseId lease) {
  if (store_.leases().contains(lease)) {
    store_.revoke(lease);
  }
  return true;
}

// A rejection is no outcome, and so no answer to the aggregator.
std::optional<TransactionResult> RegionWorld::commit_at_store(const Transaction& transaction) {
  try {
    return store_.commit(transaction);
  } catch (const coordination::OperationRejected&) {
    return std::nullopt;
  }
}

// ---- Restoration from an old copy ----

void RegionWorld::back_up_store() {
  store_.expire(store_clock());
  for (const auto& [key, entry] : store_.entries()) {
    backup_.entries.push_back(entry);
  }
  backup_.leases = store_.leases();
  backup_.revision = store_.revision();
}

// All processes that have seen a higher revision reject the store's answers. As the operators' pages say,
// nobody new is started until the leases granted before have expired, and then everybody is restarted.
void RegionWorld::restore_store() {
  ++result_.store_restores;
  store_is_restored_ = true;
  store_.restore(backup_.entries, backup_.revision);
  store_.set_leases(backup_.leases);
  store_.renew_all(store_clock());
  store_.take_changes();
  for (AggregatorProcess& aggregator : aggregators_) {
    if (aggregator.min_revision == 0) {
      end_incarnation(aggregator);  // it has seen no revision by which it could notice: it counts as new
    } else if (aggregator.running) {
      start_watch(aggregator);  // its connection broke
    }
  }
  at(now_ + kAggregatorTtl + seconds(1), [this] { restart_all_after_restore(); });
}

void RegionWorld::restart_all_after_restore() {
  store_is_restored_ = false;
  completed_event_ = 0;  // it is reported again
  coordinator_min_revision_ = 0;
  rollout_coordinator_.reset();
  record_versions_in_force();
  for (AggregatorProcess& aggregator : aggregators_) {
    end_incarnation(aggregator);
    start(aggregator);
  }
  for (RouterProcess& router : routers_) {
    end_incarnation(router);
    start(router);
  }
}

}  // namespace trailcourse::aggregation
