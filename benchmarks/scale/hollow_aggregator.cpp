#include "scale/hollow_aggregator.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "scale/hollow_wire.h"

namespace trailcourse::scale {

using coordination::LeaseId;

namespace {

constexpr double kMostDrift = 0.00095;

// The model has no stages, so no zone has a version of its own.
policy::ObservedState known_of(const coordination::KeyValueState& records) {
  const auto entry = [&records](const std::string& key) {
    const auto found = records.entries().find(key);
    return found == records.entries().end() ? coordination::Entry{} : found->second;
  };
  return policy::read_observed_state(entry);
}

}  // namespace

SharedNews whole_news(const coordination::KeyValueState& records) {
  auto out = std::make_shared<News>();
  out->known = known_of(records);
  out->whole = true;
  out->entries = records.get(coordination::Range{policy::kPolicyPrefix, true});
  const coordination::etcd::ResponseHeader header{1, records.revision()};
  out->bytes = answer_bytes(coordination::etcd::write_range_response(header, out->entries));
  return out;
}

SharedNews changed_news(const coordination::KeyValueState& records,
                        std::vector<coordination::KeyChange> changes) {
  auto out = std::make_shared<News>();
  out->known = known_of(records);
  out->changes = std::move(changes);
  coordination::etcd::WatchResponse line;
  line.header = {1, records.revision()};
  line.changes = out->changes;
  out->bytes = line_bytes(line);
  return out;
}

HollowAggregator::HollowAggregator(Simulation& simulation, std::string name, int region,
                                   std::vector<std::string> zones, PermitServer& store,
                                   const aggregation::AggregatorSettings& settings)
    : StoreClient(simulation, std::move(name), region, {&store}),
      settings_(settings),
      zones_(std::move(zones)),
      watches_(simulation) {}

void HollowAggregator::started() {
  std::uniform_real_distribution<double> drift(-kMostDrift, kMostDrift);
  set_clock({1.0 + drift(simulation().random), Micros(1'000'000) + simulation().drawn(Micros(50'000'000))});
  watches_.clear();
  aggregator_.emplace(
      settings_,
      aggregation::AggregatorIdentity{name(), name() + "-" + std::to_string(incarnation()), zones_, ""},
      simulation().random());
  changed_ = true;
  begin_client();
}

void HollowAggregator::turn() {
  const Micros now = clock();
  const auto next = aggregator_->next_step_at(now);
  const bool timed = next && *next <= now;
  if (std::exchange(changed_, false) || timed) {
    for (const aggregation::UpstreamAction& action : aggregator_->step(now)) {
      std::visit([this](const auto& call) { execute(call); }, action);
    }
  }
  if (const auto later = aggregator_->next_step_at(now)) {
    turn_at(*later);
  }
}

// ---- From the store ----

void HollowAggregator::heard(const News& news) {
  aggregator_->set_connected(true);
  changed_ = true;
  if (news.whole) {
    aggregator_->on_snapshot(news.entries);
  } else {
    aggregator_->on_changes(news.changes);
  }
  const SharedNews told =
      news.whole ? whole_news(aggregator_->records()) : changed_news(aggregator_->records(), news.changes);
  counted().lines += watches_.size();
  counted().bytes_out += watches_.size() * told->bytes;
  counted().busy += watches_.tell(*this, told, Micros(0));
}

void HollowAggregator::silent() {
  aggregator_->set_connected(false);
  changed_ = true;
}

// ---- From routers ----

template <typename Work>
Reply HollowAggregator::execute_call(Work work) {
  Reply out;
  out.spent = micros(simulation().costs.call);
  try {
    work(out);
    out.done = true;
  } catch (const aggregation::RequestRejected& error) {
    out.unavailable = aggregation::is_retryable_elsewhere(error.reason());
  }
  return out;
}

Reply HollowAggregator::grant(Micros ttl) {
  return execute_call([&](Reply& reply) { reply.lease = aggregator_->grant(clock(), ttl); });
}

Reply HollowAggregator::keep_alive(LeaseId lease) {
  return execute_call(
      [&](Reply& reply) { reply.succeeded = aggregator_->keep_alive(clock(), lease).has_value(); });
}

Reply HollowAggregator::revoke(LeaseId lease) {
  changed_ = true;
  return execute_call([&](Reply&) { aggregator_->revoke(clock(), lease); });
}

Reply HollowAggregator::commit(const coordination::Transaction& transaction) {
  changed_ = true;
  return execute_call([&](Reply& reply) {
    reply.outcome = aggregator_->commit(clock(), transaction);
    reply.succeeded = reply.outcome.succeeded;
  });
}

Reply HollowAggregator::begin_watch(StoreClient& client, std::uint64_t watch) {
  Reply out;
  out.spent = micros(simulation().costs.call);
  out.unavailable = !aggregator_->has_snapshot();
  if (!out.unavailable) {
    watches_.add(client, watch);
    out.news = whole_news(aggregator_->records());
    out.done = true;
    counted().bytes_out += out.news->bytes;
  }
  return out;
}

void HollowAggregator::tell_again(StoreClient& client) {
  if (aggregator_->has_snapshot()) {
    watches_.tell_one(*this, client, whole_news(aggregator_->records()), Micros(0));
  }
}

// ---- Calls to the store ----

void HollowAggregator::execute(const aggregation::ReportSummariesAction& action) {
  const auto on_result = [this, call_id = action.call_id](const aggregation::SummaryWriteResult& result) {
    changed_ = true;
    aggregator_->upstream().on_write_result(clock(), call_id, result);
  };
  ask_commit(
      aggregation::summary_transaction("", name(), lease_, action),
      [on_result, action](const Reply& reply) {
        on_result(reply.done ? aggregation::read_write_result(reply.outcome, action)
                             : aggregation::SummaryWriteResult{});
      },
      [on_result] { on_result(aggregation::SummaryWriteResult{}); });
}

void HollowAggregator::execute(const aggregation::LeaseAction& action) {
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

void HollowAggregator::on_no_response(std::uint64_t call_id) {
  changed_ = true;
  aggregator_->upstream().on_no_response(clock(), call_id);
}

void HollowAggregator::acquire(const aggregation::LeaseAction& action) {
  const auto no_response = [this, call_id = action.call.call_id] { on_no_response(call_id); };
  ask_grant(
      settings_.lease.ttl,
      [this, action, no_response](const Reply& reply) {
        reply.done ? join(action, reply.lease) : no_response();
      },
      no_response);
}

void HollowAggregator::renew(std::uint64_t call_id) {
  const auto no_response = [this, call_id] { on_no_response(call_id); };
  ask_keep_alive(
      lease_,
      [this, call_id, no_response](const Reply& reply) {
        if (!reply.done) {
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

void HollowAggregator::release(std::uint64_t call_id) {
  const auto no_response = [this, call_id] { on_no_response(call_id); };
  ask_revoke(
      lease_,
      [this, call_id, no_response](const Reply& reply) {
        if (!reply.done) {
          no_response();
          return;
        }
        changed_ = true;
        aggregator_->upstream().on_release_result(clock(), call_id);
      },
      no_response);
}

void HollowAggregator::join(const aggregation::LeaseAction& action, LeaseId lease) {
  lease_ = lease;
  const auto revoke_lease = [this, lease] { ask_revoke(lease, [](const Reply&) {}, [] {}); };
  const auto no_response = [this, call_id = action.call.call_id, revoke_lease] {
    on_no_response(call_id);
    revoke_lease();
  };
  ask_commit(
      aggregation::join_transaction("", name(), lease, action),
      [this, call_id = action.call.call_id, no_response, revoke_lease](const Reply& reply) {
        if (!reply.done) {
          no_response();
          return;
        }
        changed_ = true;
        aggregator_->upstream().on_join_result(clock(), call_id,
                                               aggregation::read_join_result(reply.outcome));
        if (!reply.succeeded) {
          revoke_lease();
        }
      },
      no_response);
}

std::string HollowAggregator::describe() const {
  return name() +
         (runs()    ? ""
          : alive() ? " (stopped)"
                    : " (dead)") +
         (permitted() ? " permitted" : "") + " " + std::to_string(routers()) + " routers";
}

}  // namespace trailcourse::scale
