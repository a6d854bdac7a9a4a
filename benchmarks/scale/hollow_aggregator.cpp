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
policy::Known known_of(const coordination::KeyValueState& records) {
  const auto entry = [&records](const std::string& key) {
    const auto found = records.entries().find(key);
    return found == records.entries().end() ? coordination::Entry{} : found->second;
  };
  return policy::read_known(entry);
}

}  // namespace

SharedNews whole_news(const coordination::KeyValueState& records) {
  auto out = std::make_shared<News>();
  out->known = known_of(records);
  out->whole = true;
  out->entries = records.get(coordination::Range{policy::kRecords, true});
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
                                   const aggregation::AggregatorRules& rules)
    : StoreClient(simulation, std::move(name), region, {&store}),
      rules_(rules),
      zones_(std::move(zones)),
      watches_(simulation) {}

void HollowAggregator::started() {
  std::uniform_real_distribution<double> drift(-kMostDrift, kMostDrift);
  set_clock({1.0 + drift(simulation().random), Micros(1'000'000) + simulation().drawn(Micros(50'000'000))});
  watches_.clear();
  core_.emplace(
      rules_,
      aggregation::AggregatorIdentity{name(), name() + "-" + std::to_string(incarnation()), zones_, ""},
      simulation().random());
  changed_ = true;
  begin_client();
}

void HollowAggregator::turn() {
  const Micros now = clock();
  const auto next = core_->next(now);
  const bool timed = next && *next <= now;
  if (std::exchange(changed_, false) || timed) {
    for (const aggregation::UplinkOrder& order : core_->due(now)) {
      std::visit([this](const auto& one) { carry_out(one); }, order);
    }
  }
  if (const auto later = core_->next(now)) {
    turn_at(*later);
  }
}

// ---- From the store ----

void HollowAggregator::heard(const News& news) {
  core_->heard(true);
  changed_ = true;
  if (news.whole) {
    core_->mirror(news.entries);
  } else {
    core_->follow(news.changes);
  }
  const SharedNews told =
      news.whole ? whole_news(core_->records()) : changed_news(core_->records(), news.changes);
  counted().lines += watches_.size();
  counted().bytes_out += watches_.size() * told->bytes;
  counted().busy += watches_.tell(*this, told, Micros(0));
}

void HollowAggregator::silent() {
  core_->heard(false);
  changed_ = true;
}

// ---- From routers ----

template <typename Work>
Reply HollowAggregator::carry_out_call(Work work) {
  Reply out;
  out.spent = micros(simulation().costs.call);
  try {
    work(out);
    out.done = true;
  } catch (const aggregation::Refused& error) {
    out.unavailable = error.why() == aggregation::Refused::Why::kNoPermission ||
                      error.why() == aggregation::Refused::Why::kFull;
  }
  return out;
}

Reply HollowAggregator::grant(Micros ttl) {
  return carry_out_call([&](Reply& reply) { reply.lease = core_->grant(clock(), ttl); });
}

Reply HollowAggregator::keep_alive(LeaseId lease) {
  return carry_out_call(
      [&](Reply& reply) { reply.succeeded = core_->keep_alive(clock(), lease) > Micros(0); });
}

Reply HollowAggregator::revoke(LeaseId lease) {
  changed_ = true;
  return carry_out_call([&](Reply&) { core_->revoke(clock(), lease); });
}

Reply HollowAggregator::commit(const coordination::Transaction& transaction) {
  changed_ = true;
  return carry_out_call([&](Reply& reply) {
    reply.outcome = core_->commit(clock(), transaction);
    reply.succeeded = reply.outcome.succeeded;
  });
}

Reply HollowAggregator::begin_watch(StoreClient& client, std::uint64_t watch) {
  Reply out;
  out.spent = micros(simulation().costs.call);
  out.unavailable = !core_->mirrored();
  if (!out.unavailable) {
    watches_.add(client, watch);
    out.news = whole_news(core_->records());
    out.done = true;
    counted().bytes_out += out.news->bytes;
  }
  return out;
}

void HollowAggregator::tell_again(StoreClient& client) {
  if (core_->mirrored()) {
    watches_.tell_one(*this, client, whole_news(core_->records()), Micros(0));
  }
}

// ---- Upward ----

void HollowAggregator::carry_out(const aggregation::SaySummaries& say) {
  ask_commit(
      aggregation::say_transaction("", name(), lease_, say),
      [this, say](const Reply& reply) {
        changed_ = true;
        core_->uplink().said(
            clock(), say.number,
            reply.done ? aggregation::read_said(reply.outcome, say) : aggregation::SaidReply{});
      },
      [this, number = say.number] {
        changed_ = true;
        core_->uplink().said(clock(), number, aggregation::SaidReply{});
      });
}

void HollowAggregator::carry_out(const aggregation::AskPermission& ask) {
  const std::uint64_t number = ask.order.number;
  const auto lost = [this, number] {
    changed_ = true;
    core_->uplink().lost(clock(), number);
  };
  switch (ask.order.ask) {
    case ownership::Ask::kAcquire:
      ask_grant(
          rules_.lease.ttl,
          [this, ask, lost](const Reply& reply) { reply.done ? join(ask, reply.lease) : lost(); }, lost);
      return;
    case ownership::Ask::kRenew:
      ask_keep_alive(
          lease_,
          [this, number, lost](const Reply& reply) {
            changed_ = true;
            reply.done ? core_->uplink().renewed(clock(), number, reply.succeeded) : lost();
          },
          lost);
      return;
    case ownership::Ask::kRelease:
      ask_revoke(
          lease_,
          [this, number, lost](const Reply& reply) {
            changed_ = true;
            reply.done ? core_->uplink().released(clock(), number) : lost();
          },
          lost);
      return;
  }
}

void HollowAggregator::join(const aggregation::AskPermission& ask, LeaseId lease) {
  lease_ = lease;
  const std::uint64_t number = ask.order.number;
  const auto give_back = [this, lease] { ask_revoke(lease, [](const Reply&) {}, [] {}); };
  ask_commit(
      aggregation::join_transaction("", name(), lease, ask),
      [this, number, give_back](const Reply& reply) {
        changed_ = true;
        if (!reply.done) {
          core_->uplink().lost(clock(), number);
        } else {
          core_->uplink().joined(clock(), number, aggregation::read_joined(reply.outcome));
        }
        if (!reply.done || !reply.succeeded) {
          give_back();
        }
      },
      [this, number, give_back] {
        changed_ = true;
        core_->uplink().lost(clock(), number);
        give_back();
      });
}

std::string HollowAggregator::describe() const {
  return name() +
         (runs()    ? ""
          : alive() ? " (stopped)"
                    : " (dead)") +
         (permitted() ? " permitted" : "") + " " + std::to_string(routers()) + " routers";
}

}  // namespace trailcourse::scale
