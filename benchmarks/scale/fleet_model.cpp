#include "scale/fleet_model.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "policy/options.h"

namespace trailcourse::scale {

namespace {

// The fleet ahead.
constexpr double kRoutersAhead = 19'000.0;
constexpr double kRegionsAhead = 53.0;
constexpr double kZonesAhead = 203.0;

constexpr Micros kLooks{1'000};  // between two looks whether a condition holds
constexpr Micros kSettleLooks{50'000};
constexpr int kMostDescribed = 5;

}  // namespace

int regions_of(int routers) {
  return std::max(2, static_cast<int>(std::lround(routers * kRegionsAhead / kRoutersAhead)));
}

FleetShape shape_of(int routers, bool flat, std::uint64_t seed) {
  FleetShape out;
  out.routers = routers;
  out.flat = flat;
  out.seed = seed;
  out.router.participant = policy::participant_options(policy::PolicyOptions{});
  out.aggregator.lease = out.router.participant.lease;
  out.aggregator.lease.ttl = Micros(4'000'000);
  out.aggregator.lease.renew_after = Micros(500'000);
  return out;
}

// ---- The rule ----

void RulingCheck::fail(Micros now, const HollowRouter& router, const std::string& what) {
  if (broken_.empty()) {
    broken_ = "at " + std::to_string(now.count() / 1'000) + " ms: " + what + ": " + router.describe();
  }
}

void RulingCheck::check_event(const HollowRouter& router, const policy::EffectivePolicy& effective_policy,
                              Micros now) {
  const bool decides = router.runs() && effective_policy.kind != policy::EffectivePolicy::Kind::kReject;
  if (decides && router.event() < done_event_) {
    fail(now, router,
         "decides at event " + std::to_string(router.event()) + " though " + std::to_string(done_event_) +
             " was told to be done everywhere");
  }
}

void RulingCheck::done(std::uint64_t event, Micros now) {
  if (event <= done_event_) {
    return;
  }
  done_event_ = event;
  for (const auto& router : *routers_) {
    check_event(*router, router->effective_policy(), now);
  }
}

void RulingCheck::ruled(HollowRouter& router, Micros now) {
  if (!router.runs()) {
    return;
  }
  const policy::EffectivePolicy effective_policy = router.effective_policy();
  ++rulings_;
  check_event(router, effective_policy, now);
  if (effective_policy.kind != policy::EffectivePolicy::Kind::kSingle ||
      effective_policy.version == newest_) {
    return;
  }
  if (effective_policy.version < newest_) {
    fail(now, router,
         "decides under version " + std::to_string(effective_policy.version) + " after " +
             std::to_string(newest_) + " was decided under");
    return;
  }
  if (effective_policy.version > store_.version_in_force()) {
    fail(now, router, "decides under a version that is not in force");
  }
  if (aborted_.contains(effective_policy.version)) {
    fail(now, router, "decides under a version whose change was aborted");
  }
  newest_ = effective_policy.version;
  for (const auto& other : *routers_) {
    if (!other->runs()) {
      continue;
    }
    const policy::EffectivePolicy theirs = other->effective_policy();
    if (theirs.kind == policy::EffectivePolicy::Kind::kSingle && theirs.version < newest_) {
      fail(now, *other, "may decide under the version before " + std::to_string(newest_) + " still");
    }
  }
}

// ---- The fleet ----

FleetModel::FleetModel(const FleetShape& shape) : shape_(shape) {
  shape_.regions = shape_.regions > 0 ? shape_.regions : regions_of(shape_.routers);
  const auto zones = static_cast<int>(std::lround(shape_.regions * kZonesAhead / kRegionsAhead));
  shape_.zones = shape_.zones > 0 ? shape_.zones : zones;
  simulation_ = std::make_unique<Simulation>(shape_.seed, shape_.network, shape_.costs);
  for (int i = 0; i < shape_.regions; ++i) {
    simulation_->distances.push_back(simulation_->drawn(shape_.network.most_distance));
  }
  build();
}

void FleetModel::build() {
  store_ = std::make_unique<HollowStore>(*simulation_);
  driver_ =
      std::make_unique<HollowDriver>(*simulation_, *store_, policy::rollout_timeouts(policy::PolicyOptions{}),
                                     [this](const policy::RolloutStep& step) { stepped(step); });
  board_ = std::make_unique<HollowBoard>(*simulation_);
  acknowledgements_ = std::make_unique<HollowAcknowledgementDriver>(
      *simulation_, *store_, shape_.least_round,
      [this](const policy::Acknowledgement& record) { recorded(record); });
  board_->add(*acknowledgements_,
              [this](const policy::DiscoveryPosition& position) { acknowledgements_->took_in(position); });
  check_ = std::make_unique<RulingCheck>(*store_);
  std::vector<std::vector<std::string>> zones(static_cast<std::size_t>(shape_.regions));
  for (int i = 0; i < shape_.zones; ++i) {
    zones[static_cast<std::size_t>(i % shape_.regions)].push_back("zone" + std::to_string(i));
  }
  std::vector<std::vector<PermitServer*>> servers(static_cast<std::size_t>(shape_.regions));
  for (int region = 0; region < shape_.regions; ++region) {
    const auto at = static_cast<std::size_t>(region);
    for (int i = 0; i < shape_.aggregators && !shape_.flat; ++i) {
      aggregators_.push_back(std::make_unique<HollowAggregator>(
          *simulation_, "aggregator" + std::to_string(region) + "-" + std::to_string(i), region, zones[at],
          *store_, shape_.aggregator));
      servers[at].push_back(aggregators_.back().get());
    }
    if (shape_.flat) {
      servers[at].push_back(store_.get());
    }
  }
  const auto ruled = [this](HollowRouter& router) { check_->ruled(router, now()); };
  for (int i = 0; i < shape_.routers; ++i) {
    const int region = i % shape_.regions;
    const std::vector<std::string>& theirs = zones[static_cast<std::size_t>(region)];
    const std::string& zone = theirs[static_cast<std::size_t>(i / shape_.regions) % theirs.size()];
    routers_.push_back(std::make_unique<HollowRouter>(*simulation_, "router" + std::to_string(i), region,
                                                      zone, servers[static_cast<std::size_t>(region)],
                                                      shape_.router, ruled));
    routers_.back()->follow(*board_);
  }
  check_->watch(routers_);
}

void FleetModel::start(Micros spread) {
  store_->begin();
  board_->begin();
  driver_->begin();
  acknowledgements_->begin();
  for (const auto& aggregator : aggregators_) {
    simulation_->events.after(simulation_->drawn(spread), [one = aggregator.get()] { one->begin(); });
  }
  for (const auto& router : routers_) {
    simulation_->events.after(simulation_->drawn(spread), [one = router.get()] { one->begin(); });
  }
}

bool FleetModel::run_until(const std::function<bool()>& over, Micros limit) {
  const Micros end = now() + limit;
  Micros look = now();
  while (now() < end && check_->broken().empty()) {
    if (now() >= look) {
      if (over()) {
        return true;
      }
      look = now() + kLooks;
    }
    simulation_->events.step(std::min(end, std::max(look, now())));
  }
  return over();
}

bool FleetModel::settled() const {
  const std::uint64_t version = store_->version_in_force();
  return std::all_of(routers_.begin(), routers_.end(), [version](const auto& router) {
    const policy::EffectivePolicy effective_policy = router->effective_policy();
    return !router->runs() || (effective_policy.kind == policy::EffectivePolicy::Kind::kSingle &&
                               effective_policy.version == version);
  });
}

bool FleetModel::settle(Micros limit) {
  Micros look{0};
  return run_until(
      [this, &look] {
        if (now() < look) {
          return false;
        }
        look = now() + kSettleLooks;
        return settled();
      },
      limit);
}

// ---- Changes ----

void FleetModel::stepped(const policy::RolloutStep& step) {
  const policy::Rollout& change = step.rollout;
  switch (change.state) {
    case policy::RolloutState::kCommitted:
      committed_at_ = now();
      return;
    case policy::RolloutState::kDone:
      finished_at_ = now();
      ++finished_;
      open_version_ = 0;
      return;
    case policy::RolloutState::kAborted:
      ++aborted_;
      check_->aborted(change.target_version);
      open_version_ = 0;
      return;
    default:
      return;
  }
}

void FleetModel::recorded(const policy::Acknowledgement& record) {
  ++rounds_;
  done_event_ = std::max(done_event_, record.completed.sequence);
  check_->done(done_event_, now());
}

void FleetModel::publish(std::uint64_t events) { board_->publish(events); }

void FleetModel::propose(bool urgent) {
  driver_->propose(
      urgent,
      [this](std::uint64_t version) {
        if (open_version_ != 0) {
          check_->aborted(open_version_);  // superseded
          ++aborted_;
        }
        open_version_ = version;
        ++begun_;
      },
      [this] { ++refused_; });
}

ChangeFigures FleetModel::change(Micros limit) {
  ChangeFigures out;
  const Micros from = now();
  const Traffic before = store_->traffic();
  const std::uint64_t finished = finished_;
  propose(false);
  out.done = run_until([this, finished] { return finished_ > finished; }, limit);
  out.to_commit = committed_at_ - from;
  out.to_done = finished_at_ - from;
  out.store = store_->traffic() - before;
  return out;
}

// ---- Faults ----

void FleetModel::check_watches(int region) {
  for (const auto& router : routers_) {
    if (router->region() == region) {
      router->check_watch();
      board_->catch_up(*router);
    }
  }
  for (const auto& aggregator : aggregators_) {
    if (aggregator->region() == region) {
      aggregator->check_watch();
    }
  }
}

void FleetModel::cut_region(int region, bool cut) {
  if (cut) {
    simulation_->cut_regions.insert(region);
  } else {
    simulation_->cut_regions.erase(region);
  }
  check_watches(region);
}

void FleetModel::cut_above(HollowAggregator& aggregator, bool cut) {
  aggregator.cut_above = cut;
  check_watches(aggregator.region());
}

void FleetModel::cut_below(HollowAggregator& aggregator, bool cut) {
  aggregator.cut_below = cut;
  check_watches(aggregator.region());
}

void FleetModel::kill(HollowAggregator& aggregator) {
  aggregator.kill();
  check_watches(aggregator.region());
}

void FleetModel::pause(HollowAggregator& aggregator) {
  aggregator.pause();
  check_watches(aggregator.region());
}

void FleetModel::wake(HollowAggregator& aggregator) {
  aggregator.wake();
  check_watches(aggregator.region());
}

void FleetModel::begin(HollowAggregator& aggregator) {
  aggregator.begin();
  check_watches(aggregator.region());
}

std::string FleetModel::describe() {
  std::string out = "version in force " + std::to_string(store_->version_in_force()) + ", event " +
                    std::to_string(done_event_) + " of " + std::to_string(published()) + " done";
  const policy::RolloutSnapshot seen = store_->seen();
  if (seen.rollout) {
    out += "\n  " + policy::write_rollout(*seen.rollout);
  }
  for (const std::string& one : policy::describe_pending(seen)) {
    out += "\n  " + one;
  }
  int described = 0;
  for (const auto& router : routers_) {
    const policy::EffectivePolicy effective_policy = router->effective_policy();
    const bool well = effective_policy.kind == policy::EffectivePolicy::Kind::kSingle &&
                      effective_policy.version == store_->version_in_force();
    if (!well && described++ < kMostDescribed) {
      out += "\n  " + router->describe();
    }
  }
  for (const auto& aggregator : aggregators_) {
    if (!aggregator->permitted() && described++ < 2 * kMostDescribed) {
      out += "\n  " + aggregator->describe();
    }
  }
  return out;
}

}  // namespace trailcourse::scale
