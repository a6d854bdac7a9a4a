// The store of the simulated region, its watches, and its restoration from an old backup.
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

// Sends the changes to each aggregator that watches, in order.
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

// Returns the arrival time of the next message of a watch: not before the last one, and sometimes late.
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

// Returns nothing if the store rejects the transaction, so that the aggregator gets no response.
std::optional<TransactionResult> RegionWorld::commit_at_store(const Transaction& transaction) {
  try {
    return store_.commit(transaction);
  } catch (const coordination::OperationRejected&) {
    return std::nullopt;
  }
}

// ---- Restoration from an old backup ----

void RegionWorld::back_up_store() {
  store_.expire(store_clock());
  for (const auto& [key, entry] : store_.entries()) {
    backup_.entries.push_back(entry);
  }
  backup_.leases = store_.leases();
  backup_.revision = store_.revision();
}

// All processes that have observed a higher revision reject the store's responses. As the operators' pages
// require, no process is started until the leases granted before have expired, and then all processes are
// restarted.
void RegionWorld::restore_store() {
  ++result_.store_restores;
  store_is_restored_ = true;
  store_.restore(backup_.entries, backup_.revision);
  store_.set_leases(backup_.leases);
  store_.renew_all(store_clock());
  store_.take_changes();
  for (AggregatorProcess& aggregator : aggregators_) {
    if (aggregator.min_revision == 0) {
      end_incarnation(aggregator);  // it could not detect the lower revision, so it counts as newly started
    } else if (aggregator.running) {
      start_watch(aggregator);  // its connection broke
    }
  }
  at(now_ + kAggregatorTtl + seconds(1), [this] { restart_all_after_restore(); });
}

void RegionWorld::restart_all_after_restore() {
  store_is_restored_ = false;
  completed_event_ = 0;  // recorded again by a later round
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
