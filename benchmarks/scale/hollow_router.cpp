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
  holder_.emplace(name() + "-" + std::to_string(incarnation()), zone_, rules_.holder,
                  [](std::uint64_t) { return std::string(); });
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
  board.add(*this, [this](const policy::BoardPosition& position) {
    if (position.event > position_.event) {
      position_ = position;
      holder_->took_in(clock(), position);
    }
  });
}

void HollowRouter::woken() { ruled_(*this); }

void HollowRouter::turn() {
  for (const policy::HolderOrder& order : holder_->due(clock())) {
    std::visit([this](const auto& one) { carry_out(one); }, order);
  }
  ruled_(*this);
  if (const auto next = holder_->next(clock())) {
    turn_at(*next);
  }
}

// ---- What its server tells ----

void HollowRouter::heard(const News& news) {
  const Micros now = clock();
  const std::uint64_t newest =
      std::max(news.known.version, news.known.change ? news.known.change->version : 0);
  for (; last_document_ < newest; ++last_document_) {
    holder_->document(now, last_document_ + 1);
  }
  holder_->told(now, news.known);
  holder_->heard(now, true);
}

void HollowRouter::silent() { holder_->heard(clock(), false); }

// ---- Orders ----

void HollowRouter::carry_out(const policy::KeepDocument& keep) {
  simulation().events.after(simulation().drawn(rules_.disk),
                            [this, incarnation = incarnation(), version = keep.version] {
                              deliver(incarnation, [this, version] { holder_->kept(clock(), version, ""); });
                            });
}

void HollowRouter::carry_out(const policy::SayPermit& say) {
  const std::uint64_t number = say.number;
  coordination::Transaction write;
  write.then = {
      coordination::Put{policy::permit_key(name(), lease_), policy::write_permit(say.permit), lease_}};
  ask_commit(
      std::move(write), [this, number](const Reply& reply) { holder_->said(clock(), number, reply.done); },
      [this, number] { holder_->said(clock(), number, false); });
}

void HollowRouter::carry_out(const policy::AskPermission& ask) {
  const std::uint64_t number = ask.order.call_id;
  const auto lost = [this, number] { holder_->lost(clock(), number); };
  switch (ask.order.kind) {
    case ownership::LeaseCallKind::kAcquire:
      ask_grant(
          rules_.holder.lease.ttl,
          [this, ask, lost](const Reply& reply) { reply.done ? join(ask, reply.lease) : lost(); }, lost);
      return;
    case ownership::LeaseCallKind::kRenew:
      ask_keep_alive(
          lease_,
          [this, number, lost](const Reply& reply) {
            reply.done ? holder_->renewed(clock(), number, reply.succeeded) : lost();
          },
          lost);
      return;
    case ownership::LeaseCallKind::kRelease:
      ask_revoke(
          lease_,
          [this, number, lost](const Reply& reply) {
            reply.done ? holder_->released(clock(), number) : lost();
          },
          lost);
      return;
  }
}

void HollowRouter::join(const policy::AskPermission& ask, LeaseId lease) {
  lease_ = lease;
  const std::uint64_t number = ask.order.call_id;
  coordination::Transaction write;
  write.when = policy::join_conditions("", ask.known, zone_);
  write.then = {
      coordination::Put{policy::permit_key(name(), lease), policy::write_permit(ask.permit), lease}};
  const auto give_back = [this, lease] { ask_revoke(lease, [](const Reply&) {}, [] {}); };
  ask_commit(
      std::move(write),
      [this, number, give_back](const Reply& reply) {
        if (!reply.done) {
          holder_->lost(clock(), number);
        } else {
          holder_->joined(clock(), number, reply.succeeded);
        }
        if (!reply.done || !reply.succeeded) {
          give_back();
        }
      },
      [this, number, give_back] {
        holder_->lost(clock(), number);
        give_back();
      });
}

std::string HollowRouter::describe() const {
  if (!holder_) {
    return name() + " was never started";
  }
  const policy::Known& known = holder_->known();
  return name() +
         (runs()    ? ""
          : alive() ? " (stopped)"
                    : " (dead)") +
         " is " + policy::to_string(holder_->standing(clock())) + ", version " +
         std::to_string(known.version) + ", change " +
         (known.change ? policy::to_string(known.change->state) : "none") +
         (watching() ? "" : ", without a watch");
}

}  // namespace trailcourse::scale
