#include "scale/simulated_router.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace trailcourse::scale {

using coordination::LeaseId;

namespace {

constexpr double kMaxClockDrift = 0.00095;  // relative, in either direction

}  // namespace

SimulatedRouter::SimulatedRouter(Simulation& simulation, std::string name, int region,
                                 const std::string& zone, std::vector<StoreServer*> servers,
                                 const Options& options, PolicyCallback on_policy)
    : SimulatedStoreClient(simulation, std::move(name), region, std::move(servers)),
      options_(options),
      on_policy_(std::move(on_policy)),
      zone_(zone) {}

void SimulatedRouter::on_started() {
  std::uniform_real_distribution<double> drift(-kMaxClockDrift, kMaxClockDrift);
  set_clock({1.0 + drift(simulation().random),
             Micros(1'000'000) + simulation().random_duration(Micros(50'000'000))});
  participant_.emplace(name() + "-" + std::to_string(incarnation()), zone_, options_.participant,
                       [](std::uint64_t) { return policy::PreparationResult(); });
  last_document_ = 0;
  position_ = {};
  if (discovery_server_ != nullptr) {
    discovery_server_->resend_position(*this);
  }
  start_client();
}

void SimulatedRouter::subscribe(SimulatedDiscoveryServer& server) {
  discovery_server_ = &server;
  server.add_subscriber(*this, [this](const policy::DiscoveryPosition& position) {
    // Pages may arrive out of order.
    if (position.sequence > position_.sequence) {
      position_ = position;
      participant_->on_events_applied(clock(), position);
    }
  });
}

void SimulatedRouter::on_resumed() { on_policy_(*this); }

void SimulatedRouter::step() {
  for (const policy::ParticipantAction& action : participant_->step(clock())) {
    std::visit([this](const auto& alternative) { execute(alternative); }, action);
  }
  on_policy_(*this);
  if (const auto next = participant_->next_step_at(clock())) {
    step_at(*next);
  }
}

// ---- Watch ----

void SimulatedRouter::on_watch_update(const WatchUpdate& update) {
  const Micros now = clock();
  const std::uint64_t newest = std::max(
      update.observed.version, update.observed.rollout ? update.observed.rollout->target_version : 0);
  for (; last_document_ < newest; ++last_document_) {
    participant_->on_document(now, last_document_ + 1);
  }
  participant_->on_observed_state(now, update.observed);
  participant_->set_connected(now, true);
}

void SimulatedRouter::on_watch_closed() { participant_->set_connected(clock(), false); }

// ---- Actions ----

void SimulatedRouter::execute(const policy::PersistDocumentAction& action) {
  simulation().events.add_after(
      simulation().random_duration(options_.max_persist_time),
      [this, incarnation = incarnation(), version = action.version] {
        deliver(incarnation, [this, version] { participant_->on_persist_result(clock(), version, {}); });
      });
}

void SimulatedRouter::execute(const policy::ReportAction& action) {
  const std::uint64_t call_id = action.call_id;
  coordination::Transaction write;
  write.then = {
      coordination::Put{policy::report_key(name(), lease_), policy::write_report(action.report), lease_}};
  request_commit(
      std::move(write),
      [this, call_id](const Reply& reply) { participant_->on_report_result(clock(), call_id, reply.ok); },
      [this, call_id] { participant_->on_report_result(clock(), call_id, false); });
}

void SimulatedRouter::execute(const policy::LeaseAction& action) {
  const std::uint64_t call_id = action.call.call_id;
  const auto no_response = [this, call_id] { participant_->on_no_response(clock(), call_id); };
  switch (action.call.kind) {
    case ownership::LeaseCallKind::kAcquire:
      request_grant(
          options_.participant.lease.ttl,
          [this, action, no_response](const Reply& reply) {
            reply.ok ? join(action, reply.lease) : no_response();
          },
          no_response);
      return;
    case ownership::LeaseCallKind::kRenew:
      request_keep_alive(
          lease_,
          [this, call_id, no_response](const Reply& reply) {
            reply.ok ? participant_->on_renew_result(clock(), call_id, reply.succeeded) : no_response();
          },
          no_response);
      return;
    case ownership::LeaseCallKind::kRelease:
      request_revoke(
          lease_,
          [this, call_id, no_response](const Reply& reply) {
            reply.ok ? participant_->on_release_result(clock(), call_id) : no_response();
          },
          no_response);
      return;
  }
}

void SimulatedRouter::join(const policy::LeaseAction& action, LeaseId lease) {
  lease_ = lease;
  const std::uint64_t call_id = action.call.call_id;
  coordination::Transaction write;
  write.when = policy::join_conditions("", action.observed, zone_);
  write.then = {
      coordination::Put{policy::report_key(name(), lease), policy::write_report(action.report), lease}};
  const auto revoke_lease = [this, lease] { request_revoke(lease, [](const Reply&) {}, [] {}); };
  request_commit(
      std::move(write),
      [this, call_id, revoke_lease](const Reply& reply) {
        if (!reply.ok) {
          participant_->on_no_response(clock(), call_id);
        } else {
          participant_->on_join_result(clock(), call_id, reply.succeeded);
        }
        if (!reply.ok || !reply.succeeded) {
          revoke_lease();
        }
      },
      [this, call_id, revoke_lease] {
        participant_->on_no_response(clock(), call_id);
        revoke_lease();
      });
}

std::string SimulatedRouter::describe() const {
  if (!participant_) {
    return name() + " was never started";
  }
  const policy::ObservedState& observed = participant_->observed();
  return name() +
         (running() ? ""
          : alive() ? " (paused)"
                    : " (killed)") +
         " is " + policy::to_string(participant_->state(clock())) + ", version " +
         std::to_string(observed.version) + ", rollout " +
         (observed.rollout ? policy::to_string(observed.rollout->state) : "none") +
         (watching() ? "" : ", without an open watch");
}

}  // namespace trailcourse::scale
