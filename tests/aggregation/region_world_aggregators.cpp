// The aggregators of the simulated region: their watches and their calls to the store.
#include <utility>
#include <variant>

#include "aggregation/region_world.h"
#include "aggregation/region_world_constants.h"

namespace trailcourse::aggregation {

using coordination::LeaseId;
using coordination::Put;
using coordination::Range;
using coordination::Transaction;
using coordination::TransactionResult;
using ownership::LeaseCallKind;
using std::chrono::milliseconds;

namespace {

AggregatorSettings aggregator_settings() {
  AggregatorSettings out;
  out.lease.ttl = kAggregatorTtl;
  out.lease.margin = kLeaseMargin;
  out.lease.renew_after = milliseconds(500);
  out.lease.retry_backoff = kRetryBackoff;
  return out;
}

}  // namespace

void RegionWorld::start(AggregatorProcess& aggregator) {
  begin_incarnation(aggregator, kMaxDriftPartsPerMillion, kMaxClockOffset);
  aggregator.run_step = [this, &aggregator] { run_step(aggregator); };
  const std::uint64_t start = defect_ == Defect::kLeaseIdsRepeated ? 0 : aggregator.incarnation;
  const std::uint64_t lease_seed = 1'000'000 + 1'000 * aggregator.index + start;
  const AggregatorIdentity identity{
      aggregator.name, std::to_string(aggregator.incarnation), {kZoneNames.begin(), kZoneNames.end()}, ""};
  aggregator.core.emplace(aggregator_settings(), identity, lease_seed);
  aggregator.lease = 0;
  aggregator.min_revision = 0;
  aggregator.watching = false;
  aggregator.cut = false;
  aggregator.cut_below = false;
  start_watch(aggregator);
  tick(aggregator, kStepPeriod);
}

// ---- The watch ----

// Reads the policy's records, and watches them from the read on.
void RegionWorld::start_watch(AggregatorProcess& aggregator) {
  const int watch_id = ++aggregator.watch_id;
  aggregator.watching = false;
  aggregator.has_snapshot = false;
  aggregator.early_changes.clear();
  const auto read = [this, &aggregator, watch_id,
                     same = same_incarnation(aggregator)]() -> std::optional<PolicyRecords> {
    if (!same() || watch_id != aggregator.watch_id) {
      return std::nullopt;  // the connection was closed
    }
    aggregator.watching = true;
    aggregator.last_delivery = std::max(aggregator.last_delivery, now_);
    return PolicyRecords{store_.get(Range{policy::kPolicyPrefix, true}), store_.revision()};
  };
  call_store<PolicyRecords>(
      aggregator, read,
      [this, &aggregator, watch_id](const PolicyRecords& records) {
        on_records(aggregator, watch_id, records);
      },
      [this, &aggregator, watch_id] { retry_watch(aggregator, watch_id); });
}

void RegionWorld::retry_watch(AggregatorProcess& aggregator, int watch_id) {
  if (watch_id != aggregator.watch_id) {
    return;
  }
  aggregator.watching = false;
  aggregator.core->set_connected(false);
  at(now_ + kRetryBackoff, [this, &aggregator, watch_id, same = same_incarnation(aggregator)] {
    if (same() && watch_id == aggregator.watch_id) {
      start_watch(aggregator);
    }
  });
}

void RegionWorld::on_records(AggregatorProcess& aggregator, int watch_id, const PolicyRecords& records) {
  if (watch_id != aggregator.watch_id) {
    return;
  }
  aggregator.has_snapshot = true;
  aggregator.core->on_snapshot(records.entries);
  for (const Changes& changes : std::exchange(aggregator.early_changes, {})) {
    aggregator.core->on_changes(changes);
  }
  aggregator.core->set_connected(true);
  publish_to_routers(aggregator);
}

void RegionWorld::on_changes(AggregatorProcess& aggregator, int watch_id, const Changes& changes) {
  if (watch_id != aggregator.watch_id || !aggregator.watching) {
    return;
  }
  if (!aggregator.has_snapshot) {
    // The snapshot has not arrived yet. On one real connection it would arrive first.
    aggregator.early_changes.push_back(changes);
    return;
  }
  aggregator.core->on_changes(changes);
  aggregator.core->set_connected(true);
  publish_to_routers(aggregator);
}

// ---- Calls to the store ----

void RegionWorld::run_step(AggregatorProcess& aggregator) {
  if (aggregator.core->drained()) {
    aggregator.watching = false;
    restart(aggregator, Micros(0));
    return;
  }
  for (const UpstreamAction& action : aggregator.core->step(clock(aggregator))) {
    std::visit([this, &aggregator](const auto& call) { execute(aggregator, call); }, action);
  }
}

void RegionWorld::execute(AggregatorProcess& aggregator, const LeaseAction& action) {
  switch (action.call.kind) {
    case LeaseCallKind::kAcquire:
      acquire(aggregator, action);
      return;
    case LeaseCallKind::kRenew:
      renew(aggregator, action.call.call_id);
      return;
    case LeaseCallKind::kRelease:
      release(aggregator, action.call.call_id);
      return;
  }
}

RegionWorld::Job RegionWorld::no_response_to(AggregatorProcess& aggregator, std::uint64_t call_id) {
  return [this, &aggregator, call_id] {
    aggregator.core->upstream().on_no_response(clock(aggregator), call_id);
  };
}

void RegionWorld::acquire(AggregatorProcess& aggregator, const LeaseAction& action) {
  call_store<LeaseId>(
      aggregator,
      [this] {
        return store_.grant(store_clock(),
                            std::chrono::duration_cast<std::chrono::milliseconds>(kAggregatorTtl), 0);
      },
      [this, &aggregator, action](const LeaseId& lease) {
        aggregator.lease = lease;
        join(aggregator, action);
      },
      no_response_to(aggregator, action.call.call_id));
}

void RegionWorld::join(AggregatorProcess& aggregator, const LeaseAction& action) {
  const LeaseId lease = aggregator.lease;
  Transaction transaction = join_transaction("", aggregator.name, lease, action);
  if (defect_ == Defect::kUnfencedSummary) {
    remove_fence(aggregator, transaction);
  }
  call_store<TransactionResult>(
      aggregator, [this, transaction] { return commit_at_store(transaction); },
      [this, &aggregator, lease, call_id = action.call.call_id](const TransactionResult& outcome) {
        result_.joins += outcome.succeeded ? 1 : 0;
        aggregator.core->upstream().on_join_result(clock(aggregator), call_id, read_join_result(outcome));
        if (!outcome.succeeded) {
          call_store<bool>(
              aggregator, [this, lease] { return revoke_at_store(lease); }, [](const bool&) {}, [] {});
        }
      },
      no_response_to(aggregator, action.call.call_id));
}

void RegionWorld::renew(AggregatorProcess& aggregator, std::uint64_t call_id) {
  call_store<bool>(
      aggregator,
      [this, lease = aggregator.lease] {
        return store_.keep_alive(store_clock(), lease) > std::chrono::milliseconds(0);
      },
      [this, &aggregator, call_id](const bool& renewed) {
        aggregator.core->upstream().on_renew_result(
            clock(aggregator), call_id, renewed ? RenewResult::kRenewed : RenewResult::kLeaseNotFound);
      },
      no_response_to(aggregator, call_id));
}

void RegionWorld::release(AggregatorProcess& aggregator, std::uint64_t call_id) {
  call_store<bool>(
      aggregator, [this, lease = aggregator.lease] { return revoke_at_store(lease); },
      [this, &aggregator, call_id](const bool&) {
        aggregator.core->upstream().on_release_result(clock(aggregator), call_id);
      },
      no_response_to(aggregator, call_id));
}

void RegionWorld::execute(AggregatorProcess& aggregator, const ReportSummariesAction& action) {
  Transaction transaction = summary_transaction("", aggregator.name, aggregator.lease, action);
  if (defect_ == Defect::kUnfencedSummary) {
    remove_fence(aggregator, transaction);
    transaction.when.clear();
    transaction.otherwise.clear();
  }
  const auto on_result = [this, &aggregator, call_id = action.call_id](const SummaryWriteResult& result) {
    aggregator.core->upstream().on_write_result(clock(aggregator), call_id, result);
  };
  call_store<TransactionResult>(
      aggregator, [this, transaction] { return commit_at_store(transaction); },
      [this, action, on_result](const TransactionResult& outcome) {
        ++result_.summaries;
        on_result(read_write_result(outcome, action));
      },
      [on_result] { on_result(SummaryWriteResult{}); });
}

// Replaces the keys of summaries by keys that do not contain the lease.
void RegionWorld::remove_fence(const AggregatorProcess& aggregator, Transaction& transaction) const {
  constexpr LeaseId kAnyLease = 1;
  for (coordination::Operation& operation : transaction.then) {
    if (Put* const put = std::get_if<Put>(&operation)) {
      put->key = summary_key("", aggregator.name, policy::read_report(put->value)->zone, kAnyLease);
    }
  }
}

}  // namespace trailcourse::aggregation
