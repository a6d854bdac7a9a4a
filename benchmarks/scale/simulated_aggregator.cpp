#include "scale/simulated_aggregator.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "scale/store_call_sizes.h"

namespace trailcourse::scale {

using coordination::LeaseId;

namespace {

constexpr double kMaxClockDrift = 0.00095;  // relative, in either direction

// Returns the state for any zone. It is the same for all zones, because the model has no rollout stages.
policy::ObservedState observed_state(const coordination::KeyValueState& records) {
  const auto entry = [&records](const std::string& key) {
    const auto found = records.entries().find(key);
    return found == records.entries().end() ? coordination::Entry{} : found->second;
  };
  return policy::read_observed_state(entry);
}

}  // namespace

SharedWatchUpdate snapshot_update(const coordination::KeyValueState& records) {
  auto out = std::make_shared<WatchUpdate>();
  out->observed = observed_state(records);
  out->is_snapshot = true;
  out->entries = records.get(coordination::Range{policy::kPolicyPrefix, true});
  const coordination::etcd::ResponseHeader header{1, records.revision()};
  out->bytes = response_size(coordination::etcd::write_range_response(header, out->entries));
  return out;
}

SharedWatchUpdate changes_update(const coordination::KeyValueState& records,
                                 std::vector<coordination::KeyChange> changes) {
  auto out = std::make_shared<WatchUpdate>();
  out->observed = observed_state(records);
  out->changes = std::move(changes);
  coordination::etcd::WatchResponse response;
  response.header = {1, records.revision()};
  response.changes = out->changes;
  out->bytes = watch_event_size(response);
  return out;
}

SimulatedAggregator::SimulatedAggregator(Simulation& simulation, std::string name, int region,
                                         std::vector<std::string> zones, StoreServer& store,
                                         const aggregation::AggregatorSettings& settings)
    : SimulatedStoreClient(simulation, std::move(name), region, {&store}),
      settings_(settings),
      zones_(std::move(zones)),
      watches_(simulation) {}

void SimulatedAggregator::on_started() {
  std::uniform_real_distribution<double> drift(-kMaxClockDrift, kMaxClockDrift);
  set_clock({1.0 + drift(simulation().random),
             Micros(1'000'000) + simulation().random_duration(Micros(50'000'000))});
  watches_.clear();
  aggregator_.emplace(
      settings_,
      aggregation::AggregatorIdentity{name(), name() + "-" + std::to_string(incarnation()), zones_, ""},
      simulation().random());
  changed_ = true;
  start_client();
}

void SimulatedAggregator::step() {
  const Micros now = clock();
  const auto next = aggregator_->next_step_at(now);
  const bool due = next && *next <= now;
  if (std::exchange(changed_, false) || due) {
    for (const aggregation::UpstreamAction& action : aggregator_->step(now)) {
      std::visit([this](const auto& alternative) { execute(alternative); }, action);
    }
  }
  if (const auto later = aggregator_->next_step_at(now)) {
    step_at(*later);
  }
}

// ---- The watch at the store ----

void SimulatedAggregator::on_watch_update(const WatchUpdate& update) {
  aggregator_->set_connected(true);
  changed_ = true;
  if (update.is_snapshot) {
    aggregator_->on_snapshot(update.entries);
  } else {
    aggregator_->on_changes(update.changes);
  }
  const SharedWatchUpdate forwarded = update.is_snapshot
                                          ? snapshot_update(aggregator_->records())
                                          : changes_update(aggregator_->records(), update.changes);
  mutable_traffic().watch_events += watches_.size();
  mutable_traffic().bytes_out += watches_.size() * forwarded->bytes;
  mutable_traffic().cpu_time += watches_.send_to_all(*this, forwarded, Micros(0));
}

void SimulatedAggregator::on_watch_closed() {
  aggregator_->set_connected(false);
  changed_ = true;
}

// ---- Calls of routers ----

template <typename Function>
Reply SimulatedAggregator::execute_call(Function function) {
  Reply out;
  out.cpu_time = to_micros(simulation().costs.call);
  try {
    function(out);
    out.ok = true;
  } catch (const aggregation::RequestRejected& error) {
    out.unavailable = aggregation::is_retryable_elsewhere(error.reason());
  }
  return out;
}

Reply SimulatedAggregator::grant(Micros ttl) {
  return execute_call([&](Reply& reply) { reply.lease = aggregator_->grant(clock(), ttl); });
}

Reply SimulatedAggregator::keep_alive(LeaseId lease) {
  return execute_call(
      [&](Reply& reply) { reply.succeeded = aggregator_->keep_alive(clock(), lease).has_value(); });
}

Reply SimulatedAggregator::revoke(LeaseId lease) {
  changed_ = true;
  return execute_call([&](Reply&) { aggregator_->revoke(clock(), lease); });
}

Reply SimulatedAggregator::commit(const coordination::Transaction& transaction) {
  changed_ = true;
  return execute_call([&](Reply& reply) {
    reply.transaction_result = aggregator_->commit(clock(), transaction);
    reply.succeeded = reply.transaction_result.succeeded;
  });
}

Reply SimulatedAggregator::begin_watch(SimulatedStoreClient& client, std::uint64_t watch) {
  Reply out;
  out.cpu_time = to_micros(simulation().costs.call);
  out.unavailable = !aggregator_->has_snapshot();
  if (!out.unavailable) {
    watches_.add(client, watch);
    out.snapshot = snapshot_update(aggregator_->records());
    out.ok = true;
    mutable_traffic().bytes_out += out.snapshot->bytes;
  }
  return out;
}

void SimulatedAggregator::resend_snapshot(SimulatedStoreClient& client) {
  if (aggregator_->has_snapshot()) {
    watches_.send_to(*this, client, snapshot_update(aggregator_->records()), Micros(0));
  }
}

// ---- Calls to the store ----

void SimulatedAggregator::execute(const aggregation::ReportSummariesAction& action) {
  const auto on_result = [this, call_id = action.call_id](const aggregation::SummaryWriteResult& result) {
    changed_ = true;
    aggregator_->upstream().on_write_result(clock(), call_id, result);
  };
  request_commit(
      aggregation::summary_transaction("", name(), lease_, action),
      [on_result, action](const Reply& reply) {
        on_result(reply.ok ? aggregation::read_write_result(reply.transaction_result, action)
                           : aggregation::SummaryWriteResult{});
      },
      [on_result] { on_result(aggregation::SummaryWriteResult{}); });
}

void SimulatedAggregator::execute(const aggregation::LeaseAction& action) {
  switch (action.call.kind) {
    case ownership::LeaseCallKind::kAcquire:
      acquire(action);
      return;
    case ownership::LeaseCallKind::kRenew:
      renew(action.call.call_id);
      return;
    case ownership::LeaseCallKind::kRelease:
      release(action.call.call_id);
      return;
  }
}

void SimulatedAggregator::on_no_response(std::uint64_t call_id) {
  changed_ = true;
  aggregator_->upstream().on_no_response(clock(), call_id);
}

void SimulatedAggregator::acquire(const aggregation::LeaseAction& action) {
  const auto no_response = [this, call_id = action.call.call_id] { on_no_response(call_id); };
  request_grant(
      settings_.lease.ttl,
      [this, action, no_response](const Reply& reply) {
        reply.ok ? join(action, reply.lease) : no_response();
      },
      no_response);
}

void SimulatedAggregator::renew(std::uint64_t call_id) {
  const auto no_response = [this, call_id] { on_no_response(call_id); };
  request_keep_alive(
      lease_,
      [this, call_id, no_response](const Reply& reply) {
        if (!reply.ok) {
          no_response();
          return;
        }
        changed_ = true;
        aggregator_->upstream().on_renew_result(
            clock(), call_id,
            reply.succeeded ? aggregation::RenewResult::kRenewed : aggregation::RenewResult::kLeaseNotFound);
      },
      no_response);
}

void SimulatedAggregator::release(std::uint64_t call_id) {
  const auto no_response = [this, call_id] { on_no_response(call_id); };
  request_revoke(
      lease_,
      [this, call_id, no_response](const Reply& reply) {
        if (!reply.ok) {
          no_response();
          return;
        }
        changed_ = true;
        aggregator_->upstream().on_release_result(clock(), call_id);
      },
      no_response);
}

void SimulatedAggregator::join(const aggregation::LeaseAction& action, LeaseId lease) {
  lease_ = lease;
  const auto revoke_lease = [this, lease] { request_revoke(lease, [](const Reply&) {}, [] {}); };
  const auto no_response = [this, call_id = action.call.call_id, revoke_lease] {
    on_no_response(call_id);
    revoke_lease();
  };
  request_commit(
      aggregation::join_transaction("", name(), lease, action),
      [this, call_id = action.call.call_id, no_response, revoke_lease](const Reply& reply) {
        if (!reply.ok) {
          no_response();
          return;
        }
        changed_ = true;
        aggregator_->upstream().on_join_result(clock(), call_id,
                                               aggregation::read_join_result(reply.transaction_result));
        if (!reply.succeeded) {
          revoke_lease();
        }
      },
      no_response);
}

std::string SimulatedAggregator::describe() const {
  return name() +
         (running() ? ""
          : alive() ? " (paused)"
                    : " (killed)") +
         (has_lease() ? " with a lease" : "") + " " + std::to_string(router_count()) + " routers";
}

}  // namespace trailcourse::scale
