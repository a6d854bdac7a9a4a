// The routers of the simulated region: their watches, their calls to aggregators, and the requests that they
// decide.
#include <utility>
#include <variant>

#include "aggregation/region_world.h"
#include "aggregation/region_world_constants.h"

namespace trailcourse::aggregation {

using coordination::Entry;
using coordination::LeaseId;
using coordination::Put;
using coordination::Transaction;
using coordination::TransactionResult;
using ownership::LeaseCallKind;
using policy::EffectivePolicy;
using policy::ObservedState;
using policy::ParticipantReport;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kLaterThanAnyRound = 1'000'000;
constexpr std::uint64_t kFaultyVersions = 4;  // requests fail under one version of this number

policy::ParticipantOptions participant_options() {
  policy::ParticipantOptions out;
  out.lease.ttl = kRouterTtl;
  out.lease.margin = kLeaseMargin;
  out.lease.renew_after = seconds(1);
  out.lease.retry_backoff = kRetryBackoff;
  return out;
}

bool is_faulty(std::uint64_t version) { return version % kFaultyVersions == 0; }

}  // namespace

void RegionWorld::start(RouterProcess& router) {
  begin_incarnation(router, kMaxDriftPartsPerMillion, kMaxClockOffset);
  router.run_step = [this, &router] { run_step(router); };
  router.participant.emplace(std::to_string(router.incarnation), router.zone, participant_options(),
                             [](std::uint64_t) { return policy::PreparationResult(); });
  router.lease = 0;
  router.min_revision = 0;
  router.endpoint = router.index % kAggregators;
  router.watched = kNotWatching;
  router.cut = false;
  router.disk_fails = false;
  router.position = {};
  router.requests = 0;
  router.failed_requests = 0;
  start_watch(router);
  send_heartbeats(router);
  tick(router, kStepPeriod);
}

// ---- The watch ----

// Calls go to the next aggregator at once. The watch follows at once or later.
void RegionWorld::on_endpoint_failure(RouterProcess& router, int endpoint) {
  if (endpoint != router.endpoint) {
    return;
  }
  ++result_.moves;
  router.endpoint = (router.endpoint + 1) % kAggregators;
  const Micros delay = chance(70) ? Micros(0) : drawn(milliseconds(1'500));
  at(now_ + delay, [this, &router, same = same_incarnation(router)] {
    if (same() && !router.paused) {
      start_watch(router);
    }
  });
}

ObservedState RegionWorld::observed_by(const AggregatorProcess& aggregator, const std::string& zone) const {
  const auto& entries = aggregator.core->records().entries();
  const auto entry_of = [&](const std::string& key) {
    const auto found = entries.find(key);
    return found == entries.end() ? Entry{} : found->second;
  };
  return policy::observed_in_zone(policy::read_observed_state(entry_of), entry_of, zone);
}

void RegionWorld::start_watch(RouterProcess& router) {
  const int endpoint = router.endpoint;
  const int watch_id = ++router.watch_id;
  router.watched = kNotWatching;
  const auto open = [this, &router, endpoint, watch_id, same = same_incarnation(router)](Aggregator& core) {
    if (!same() || watch_id != router.watch_id) {
      return ObservedState{};  // the connection was closed
    }
    if (!core.has_snapshot()) {
      throw RequestRejected(RequestRejected::Reason::kNoUpstreamLease, "no snapshot");
    }
    const AggregatorProcess& aggregator = aggregator_at(endpoint);
    router.watched = endpoint;
    router.watched_incarnation = aggregator.incarnation;
    router.last_delivery = std::max(router.last_delivery, now_);
    return observed_by(aggregator, router.zone);
  };
  call_aggregator<ObservedState>(
      router, open,
      [this, &router, watch_id](const ObservedState& observed) {
        if (watch_id == router.watch_id) {
          on_observed(router, observed);
        }
      },
      [this, &router, watch_id] { retry_watch(router, watch_id); });
}

void RegionWorld::retry_watch(RouterProcess& router, int watch_id) {
  at(now_ + milliseconds(100), [this, &router, watch_id, same = same_incarnation(router)] {
    if (same() && watch_id == router.watch_id) {
      start_watch(router);
    }
  });
}

void RegionWorld::on_observed(RouterProcess& router, const ObservedState& observed) {
  const Micros now = clock(router);
  for (std::uint64_t version = 1; version <= last_version_; ++version) {
    router.participant->on_document(now, version);
  }
  router.participant->on_observed_state(now, observed);
  router.participant->set_connected(now, true);
  router.last_heartbeat = now_;
}

void RegionWorld::publish_to_routers(const AggregatorProcess& aggregator) {
  for (RouterProcess& router : routers_) {
    if (router.running && is_watching(router, aggregator)) {
      publish_to(router, aggregator);
    }
  }
}

void RegionWorld::publish_to(RouterProcess& router, const AggregatorProcess& aggregator) {
  const auto receive = [this, &router, observed = observed_by(aggregator, router.zone),
                        revision = aggregator.core->records().revision(), watch_id = router.watch_id] {
    if (watch_id == router.watch_id) {
      router.min_revision = std::max(router.min_revision, revision);
      on_observed(router, observed);
    }
  };
  at(delivery_time(router.last_delivery, seconds(1)),
     [this, &router, receive, same = same_incarnation(router)] {
       if (same()) {
         deliver(router, receive);
       }
     });
}

bool RegionWorld::is_watching(const RouterProcess& router, const AggregatorProcess& aggregator) const {
  return router.watched == aggregator.index && router.watched_incarnation == aggregator.incarnation &&
         aggregator.running && !aggregator.cut_below && !router.cut;
}

void RegionWorld::send_heartbeats(RouterProcess& router) {
  at(now_ + milliseconds(200), [this, &router, same = same_incarnation(router)] {
    if (!same()) {
      return;
    }
    if (router.position.sequence < published_.sequence) {
      deliver_event(router);
    }
    if (!router.paused && router.watched != kNotWatching) {
      check_watch(router);
    }
    send_heartbeats(router);
  });
}

// Restarts a closed watch at once, and one without heartbeats after a timeout.
void RegionWorld::check_watch(RouterProcess& router) {
  const AggregatorProcess& aggregator = aggregator_at(router.watched);
  if (is_watching(router, aggregator) && !aggregator.paused) {
    router.last_heartbeat = now_;
    return;
  }
  const bool is_closed = router.watched_incarnation != aggregator.incarnation && !router.cut;
  if (!is_closed && now_ - router.last_heartbeat <= kWatchTimeout) {
    return;
  }
  router.participant->set_connected(clock(router), false);
  if (router.endpoint == router.watched) {
    on_endpoint_failure(router, router.endpoint);
  }
  start_watch(router);
}

// ---- Calls to aggregators ----

void RegionWorld::run_step(RouterProcess& router) {
  router.participant->set_request_counts(router.requests, router.failed_requests);
  for (const policy::ParticipantAction& action : router.participant->step(clock(router))) {
    std::visit([this, &router](const auto& call) { execute(router, call); }, action);
  }
}

void RegionWorld::execute(RouterProcess& router, const policy::PersistDocumentAction& action) {
  const auto persisted = [this, &router, version = action.version] {
    router.participant->on_persist_result(
        clock(router), version,
        router.disk_fails
            ? policy::preparation_failed(policy::PreparationError::Kind::kNotStored, "full disk")
            : policy::PreparationResult());
  };
  at(now_ + drawn(milliseconds(30)), [this, &router, persisted, same = same_incarnation(router)] {
    if (same()) {
      deliver(router, persisted);
    }
  });
}

void RegionWorld::execute(RouterProcess& router, const policy::ReportAction& action) {
  const auto on_result = [this, &router, call_id = action.call_id](bool written) {
    router.participant->on_report_result(clock(router), call_id, written);
  };
  const Transaction write = report_transaction(router, action.report, router.lease);
  call_aggregator<TransactionResult>(
      router,
      [this, &router, write, endpoint = router.endpoint](Aggregator& core) {
        return commit_report(router, core, clock_of(endpoint), write);
      },
      [on_result](const TransactionResult&) { on_result(true); }, [on_result] { on_result(false); });
}

void RegionWorld::execute(RouterProcess& router, const policy::LeaseAction& action) {
  if (action.call.kind == LeaseCallKind::kAcquire) {
    acquire(router, action);
    return;
  }
  const std::uint64_t call_id = action.call.call_id;
  call_aggregator<bool>(
      router,
      [this, endpoint = router.endpoint, lease = router.lease](Aggregator& core) {
        return renew(core, endpoint, lease);
      },
      [this, &router, call_id](const bool& renewed) {
        router.participant->on_renew_result(clock(router), call_id, renewed);
      },
      no_response_to(router, call_id));
}

RegionWorld::Job RegionWorld::no_response_to(RouterProcess& router, std::uint64_t call_id) {
  return [this, &router, call_id] { router.participant->on_no_response(clock(router), call_id); };
}

void RegionWorld::acquire(RouterProcess& router, const policy::LeaseAction& action) {
  call_aggregator<LeaseId>(
      router,
      [this, endpoint = router.endpoint](Aggregator& core) {
        return core.grant(clock_of(endpoint), kRouterTtl);
      },
      [this, &router, action](const LeaseId& lease) {
        router.lease = lease;
        join(router, action);
      },
      no_response_to(router, action.call.call_id));
}

void RegionWorld::join(RouterProcess& router, const policy::LeaseAction& action) {
  Transaction write = report_transaction(router, action.report, router.lease);
  write.when = policy::join_conditions("", action.observed, router.zone);
  call_aggregator<TransactionResult>(
      router,
      [this, &router, write, endpoint = router.endpoint](Aggregator& core) {
        return commit_report(router, core, clock_of(endpoint), write);
      },
      [this, &router, call_id = action.call.call_id](const TransactionResult& outcome) {
        router.participant->on_join_result(clock(router), call_id, outcome.succeeded);
      },
      no_response_to(router, action.call.call_id));
}

Transaction RegionWorld::report_transaction(const RouterProcess& router, ParticipantReport report,
                                            LeaseId lease) const {
  if (defect_ == Defect::kAcknowledgesUnseenEvents) {
    report.acknowledged_round = kLaterThanAnyRound;
  }
  const std::string key = policy::report_key("r" + std::to_string(router.index), lease);
  return {{}, {Put{key, policy::write_report(report), lease}}, {}};
}

// Executed at the aggregator.
TransactionResult RegionWorld::commit_report(const RouterProcess& router, Aggregator& aggregator, Micros now,
                                             Transaction transaction) {
  if (defect_ == Defect::kRouterMissingFromSummary && router.index % 4 == 0) {
    transaction.then.clear();
  }
  if (defect_ == Defect::kJoinsWithEarlierRound && !transaction.when.empty()) {
    acknowledge_latest_round(aggregator, std::get<Put>(transaction.then.front()));
    std::erase_if(transaction.when,
                  [](const auto& condition) { return condition.key == policy::kAcknowledgedKey; });
  }
  return aggregator.commit(now, transaction);
}

// Makes the report of a joining router acknowledge the round that the aggregator has observed.
void RegionWorld::acknowledge_latest_round(const Aggregator& aggregator, Put& put) {
  const auto record = aggregator.records().entries().find(policy::kAcknowledgedKey);
  if (record == aggregator.records().entries().end()) {
    return;
  }
  ParticipantReport report = *policy::read_report(put.value);
  report.acknowledged_round = policy::read_acknowledgement(record->second.value)->round;
  put.value = policy::write_report(report);
}

// Executed at the aggregator. Returns whether the lease was renewed.
bool RegionWorld::renew(Aggregator& aggregator, int endpoint, LeaseId lease) {
  bool renewed = false;
  try {
    renewed = aggregator.keep_alive(clock_of(endpoint), lease).has_value();
  } catch (const RequestRejected&) {
    if (defect_ == Defect::kRenewedBeyondUpstreamLease) {
      return true;
    }
    throw;
  }
  if (defect_ == Defect::kLeaseOfMovedRouterDropped && !renewed) {
    for (AggregatorProcess& other : aggregators_) {
      if (other.running) {
        drop_lease(other, lease);
      }
    }
  }
  return renewed;
}

void RegionWorld::drop_lease(AggregatorProcess& aggregator, LeaseId lease) {
  try {
    aggregator.core->revoke(clock(aggregator), lease);
  } catch (const RequestRejected& error) {
    if (error.reason() != RequestRejected::Reason::kLeaseNotFound) {
      throw;
    }
  }
}

// ---- Requests ----

void RegionWorld::generate_requests() {
  at(now_ + milliseconds(10), [this] {
    for (RouterProcess& router : routers_) {
      if (router.running && !router.paused) {
        handle_request(router);
      }
    }
    generate_requests();
  });
}

void RegionWorld::handle_request(RouterProcess& router) {
  const EffectivePolicy effective_policy = router.participant->effective_policy(clock(router));
  if (effective_policy.kind == EffectivePolicy::Kind::kReject) {
    ++result_.rejected;
    return;
  }
  check_events(router);
  if (effective_policy.kind == EffectivePolicy::Kind::kIntersection) {
    ++result_.decided_by_intersection;
    return;
  }
  ++result_.decided;
  ++router.requests;
  router.failed_requests += is_faulty(effective_policy.version) ? 1 : 0;
  if (const auto violation = version_order_.on_decision(router.zone, effective_policy.version)) {
    fail("router " + std::to_string(router.index) + " of " + router.zone + " decides under version " +
         std::to_string(effective_policy.version) + ", " + *violation);
  }
}

void RegionWorld::check_events(const RouterProcess& router) {
  if (router.position.sequence < completed_event_) {
    fail("router " + std::to_string(router.index) + " decides at event " +
         std::to_string(router.position.sequence) + " although " + std::to_string(completed_event_) +
         " was reported as completed");
  }
}

}  // namespace trailcourse::aggregation
