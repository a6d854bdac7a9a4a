#include "scale/hollow_router.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace trailcourse::scale {

using coordination::LeaseId;

namespace {

constexpr double kMostDrift = 0.00095;  // either way

}  // namespace

HollowRouter::HollowRouter(Simulation& simulation, std::string name, int region, const std::string& zone,
                           std::vector<PermitServer*> servers, const Rules& rules, Ruled ruled)
    : StoreClient(simulation, std::move(name), region, std::move(servers)),
      rules_(rules),
      ruled_(std::move(ruled)),
      zone_(zone) {}

void HollowRouter::started() {
  std::uniform_real_distribution<double> drift(-kMostDrift, kMostDrift);
  set_clock({1.0 + drift(simulation().random), Micros(1'000'000) + simulation().drawn(Micros(50'000'000))});
  participant_.emplace(name() + "-" + std::to_string(incarnation()), zone_, rules_.participant,
                       [](std::uint64_t) { return policy::PreparationResult(); });
  last_document_ = 0;
  position_ = {};
  if (board_ != nullptr) {
    board_->catch_up(*this);
  }
  begin_client();
}

// Pages may overtake each other.
void HollowRouter::follow(HollowBoard& board) {
  board_ = &board;
  board.add(*this, [this](const policy::DiscoveryPosition& position) {
    if (position.sequence > position_.sequence) {
      position_ = position;
      participant_->on_events_applied(clock(), position);
    }
  });
}

void HollowRouter::woken() { ruled_(*this); }

void HollowRouter::turn() {
  for (const policy::ParticipantAction& order : participant_->step(clock())) {
    std::visit([this](const auto& one) { carry_out(one); }, order);
  }
  ruled_(*this);
  if (const auto next = participant_->next_step_at(clock())) {
    turn_at(*next);
  }
}

// ---- What its server tells ----

void HollowRouter::heard(const News& news) {
  const Micros now = clock();
  const std::uint64_t newest =
      std::max(news.known.version, news.known.rollout ? news.known.rollout->target_version : 0);
  for (; last_document_ < newest; ++last_document_) {
    participant_->on_document(now, last_document_ + 1);
  }
  participant_->on_observed_state(now, news.known);
  participant_->set_connected(now, true);
}

void HollowRouter::silent() { participant_->set_connected(clock(), false); }

// ---- Orders ----

void HollowRouter::carry_out(const policy::PersistDocumentAction& keep) {
  simulation().events.after(
      simulation().drawn(rules_.disk), [this, incarnation = incarnation(), version = keep.version] {
        deliver(incarnation, [this, version] { participant_->on_persist_result(clock(), version, {}); });
      });
}

void HollowRouter::carry_out(const policy::ReportAction& say) {
  const std::uint64_t number = say.call_id;
  coordination::Transaction write;
  write.then = {
      coordination::Put{policy::report_key(name(), lease_), policy::write_report(say.report), lease_}};
  ask_commit(
      std::move(write),
      [this, number](const Reply& reply) { participant_->on_report_result(clock(), number, reply.done); },
      [this, number] { participant_->on_report_result(clock(), number, false); });
}

void HollowRouter::carry_out(const policy::LeaseAction& ask) {
  const std::uint64_t number = ask.order.call_id;
  const auto lost = [this, number] { participant_->on_no_response(clock(), number); };
  switch (ask.order.kind) {
    case ownership::LeaseCallKind::kAcquire:
      ask_grant(
          rules_.participant.lease.ttl,
          [this, ask, lost](const Reply& reply) { reply.done ? join(ask, reply.lease) : lost(); }, lost);
      return;
    case ownership::LeaseCallKind::kRenew:
      ask_keep_alive(
          lease_,
          [this, number, lost](const Reply& reply) {
            reply.done ? participant_->on_renew_result(clock(), number, reply.succeeded) : lost();
          },
          lost);
      return;
    case ownership::LeaseCallKind::kRelease:
      ask_revoke(
          lease_,
          [this, number, lost](const Reply& reply) {
            reply.done ? participant_->on_release_result(clock(), number) : lost();
          },
          lost);
      return;
  }
}

void HollowRouter::join(const policy::LeaseAction& ask, LeaseId lease) {
  lease_ = lease;
  const std::uint64_t number = ask.order.call_id;
  coordination::Transaction write;
  write.when = policy::join_conditions("", ask.observed, zone_);
  write.then = {
      coordination::Put{policy::report_key(name(), lease), policy::write_report(ask.report), lease}};
  const auto release = [this, lease] { ask_revoke(lease, [](const Reply&) {}, [] {}); };
  ask_commit(
      std::move(write),
      [this, number, release](const Reply& reply) {
        if (!reply.done) {
          participant_->on_no_response(clock(), number);
        } else {
          participant_->on_join_result(clock(), number, reply.succeeded);
        }
        if (!reply.done || !reply.succeeded) {
          release();
        }
      },
      [this, number, release] {
        participant_->on_no_response(clock(), number);
        release();
      });
}

std::string HollowRouter::describe() const {
  if (!participant_) {
    return name() + " was never started";
  }
  const policy::ObservedState& known = participant_->observed();
  return name() +
         (runs()    ? ""
          : alive() ? " (stopped)"
                    : " (dead)") +
         " is " + policy::to_string(participant_->state(clock())) + ", version " +
         std::to_string(known.version) + ", change " +
         (known.rollout ? policy::to_string(known.rollout->state) : "none") +
         (watching() ? "" : ", without a watch");
}

}  // namespace trailcourse::scale
