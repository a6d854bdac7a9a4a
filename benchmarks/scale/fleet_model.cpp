#include "scale/fleet_model.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "policy/options.h"
#include "scale/planned_fleet.h"

namespace trailcourse::scale {

namespace {

constexpr Micros kCheckInterval{1'000};         // between two checks of a condition
constexpr Micros kSettleCheckInterval{50'000};  // longer, because settled() examines all routers
constexpr int kMaxDescribed = 5;                // limit of the routers in a description

}  // namespace

int default_region_count(int routers) {
  return std::max(
      2, static_cast<int>(std::lround(static_cast<double>(routers) * kPlannedRegions / kPlannedRouters)));
}

FleetModelOptions fleet_model_options(int routers, bool flat, std::uint64_t seed) {
  FleetModelOptions out;
  out.routers = routers;
  out.flat = flat;
  out.seed = seed;
  out.router.participant = policy::participant_options(policy::PolicyOptions{});
  out.aggregator.lease = out.router.participant.lease;
  out.aggregator.lease.ttl = Micros(4'000'000);
  out.aggregator.lease.renew_after = Micros(500'000);
  return out;
}

// ---- The check of effective policies ----

void EffectivePolicyCheck::record_violation(Micros now, const SimulatedRouter& router,
                                            const std::string& description) {
  if (violation_.empty()) {
    violation_ =
        "at " + std::to_string(now.count() / 1'000) + " ms: " + description + ": " + router.describe();
  }
}

void EffectivePolicyCheck::check_events_applied(const SimulatedRouter& router,
                                                const policy::EffectivePolicy& effective_policy, Micros now) {
  const bool decides = router.running() && effective_policy.kind != policy::EffectivePolicy::Kind::kReject;
  if (decides && router.applied_event() < acknowledged_event_) {
    record_violation(now, router,
                     "decides with the events up to " + std::to_string(router.applied_event()) +
                         " although event " + std::to_string(acknowledged_event_) +
                         " was acknowledged by the whole fleet");
  }
}

void EffectivePolicyCheck::on_acknowledged(std::uint64_t event, Micros now) {
  if (event <= acknowledged_event_) {
    return;
  }
  acknowledged_event_ = event;
  for (const auto& router : *routers_) {
    check_events_applied(*router, router->effective_policy(), now);
  }
}

void EffectivePolicyCheck::on_policy(SimulatedRouter& router, Micros now) {
  if (!router.running()) {
    return;
  }
  const policy::EffectivePolicy effective_policy = router.effective_policy();
  ++checked_policies_;
  check_events_applied(router, effective_policy, now);
  if (effective_policy.kind != policy::EffectivePolicy::Kind::kSingle ||
      effective_policy.version == newest_version_) {
    return;
  }
  if (effective_policy.version < newest_version_) {
    record_violation(now, router,
                     "decides under version " + std::to_string(effective_policy.version) + " after " +
                         std::to_string(newest_version_) + " was used");
    return;
  }
  if (effective_policy.version > store_.version_in_force()) {
    record_violation(now, router, "decides under a version that is not in force");
  }
  if (aborted_.contains(effective_policy.version)) {
    record_violation(now, router, "decides under a version whose rollout was aborted");
  }
  newest_version_ = effective_policy.version;
  for (const auto& other : *routers_) {
    if (!other->running()) {
      continue;
    }
    const policy::EffectivePolicy others = other->effective_policy();
    if (others.kind == policy::EffectivePolicy::Kind::kSingle && others.version < newest_version_) {
      record_violation(now, *other,
                       "may still decide under a version before " + std::to_string(newest_version_));
    }
  }
}

// ---- The fleet ----

FleetModel::FleetModel(const FleetModelOptions& options) : options_(options) {
  options_.regions = options_.regions > 0 ? options_.regions : default_region_count(options_.routers);
  const auto zones =
      static_cast<int>(std::lround(static_cast<double>(options_.regions) * kPlannedZones / kPlannedRegions));
  options_.zones = options_.zones > 0 ? options_.zones : zones;
  simulation_ = std::make_unique<Simulation>(options_.seed, options_.network, options_.costs);
  for (int i = 0; i < options_.regions; ++i) {
    simulation_->region_distances.push_back(
        simulation_->random_duration(options_.network.max_region_distance));
  }
  build();
}

void FleetModel::build() {
  store_ = std::make_unique<SimulatedStore>(*simulation_);
  rollout_coordinator_ = std::make_unique<SimulatedRolloutCoordinator>(
      *simulation_, *store_, policy::rollout_timeouts(policy::PolicyOptions{}),
      [this](const policy::RolloutStep& step) { on_step(step); });
  discovery_server_ = std::make_unique<SimulatedDiscoveryServer>(*simulation_);
  acknowledgement_coordinator_ = std::make_unique<SimulatedAcknowledgementCoordinator>(
      *simulation_, *store_, options_.min_round_interval,
      [this](const policy::Acknowledgement& record) { on_record(record); });
  discovery_server_->add_subscriber(*acknowledgement_coordinator_,
                                    [this](const policy::DiscoveryPosition& position) {
                                      acknowledgement_coordinator_->on_events_applied(position);
                                    });
  policy_check_ = std::make_unique<EffectivePolicyCheck>(*store_);
  std::vector<std::vector<std::string>> zones(static_cast<std::size_t>(options_.regions));
  for (int i = 0; i < options_.zones; ++i) {
    zones[static_cast<std::size_t>(i % options_.regions)].push_back("zone" + std::to_string(i));
  }
  std::vector<std::vector<StoreServer*>> servers(static_cast<std::size_t>(options_.regions));
  for (int region = 0; region < options_.regions; ++region) {
    const auto index = static_cast<std::size_t>(region);
    for (int i = 0; i < options_.aggregators && !options_.flat; ++i) {
      aggregators_.push_back(std::make_unique<SimulatedAggregator>(
          *simulation_, "aggregator" + std::to_string(region) + "-" + std::to_string(i), region, zones[index],
          *store_, options_.aggregator));
      servers[index].push_back(aggregators_.back().get());
    }
    if (options_.flat) {
      servers[index].push_back(store_.get());
    }
  }
  const auto on_policy = [this](SimulatedRouter& router) { policy_check_->on_policy(router, now()); };
  for (int i = 0; i < options_.routers; ++i) {
    const int region = i % options_.regions;
    const std::vector<std::string>& region_zones = zones[static_cast<std::size_t>(region)];
    const std::string& zone =
        region_zones[static_cast<std::size_t>(i / options_.regions) % region_zones.size()];
    routers_.push_back(std::make_unique<SimulatedRouter>(*simulation_, "router" + std::to_string(i), region,
                                                         zone, servers[static_cast<std::size_t>(region)],
                                                         options_.router, on_policy));
    routers_.back()->subscribe(*discovery_server_);
  }
  policy_check_->set_routers(routers_);
}

void FleetModel::start(Micros spread) {
  store_->start();
  discovery_server_->start();
  rollout_coordinator_->start();
  acknowledgement_coordinator_->start();
  for (const auto& aggregator : aggregators_) {
    simulation_->events.add_after(simulation_->random_duration(spread),
                                  [process = aggregator.get()] { process->start(); });
  }
  for (const auto& router : routers_) {
    simulation_->events.add_after(simulation_->random_duration(spread),
                                  [process = router.get()] { process->start(); });
  }
}

bool FleetModel::run_until(const std::function<bool()>& condition, Micros limit) {
  const Micros end = now() + limit;
  Micros next_check = now();
  while (now() < end && policy_check_->violation().empty()) {
    if (now() >= next_check) {
      if (condition()) {
        return true;
      }
      next_check = now() + kCheckInterval;
    }
    simulation_->events.run_next(std::min(end, std::max(next_check, now())));
  }
  return condition();
}

bool FleetModel::settled() const {
  const std::uint64_t version = store_->version_in_force();
  return std::all_of(routers_.begin(), routers_.end(), [version](const auto& router) {
    const policy::EffectivePolicy effective_policy = router->effective_policy();
    return !router->running() || (effective_policy.kind == policy::EffectivePolicy::Kind::kSingle &&
                                  effective_policy.version == version);
  });
}

bool FleetModel::settle(Micros limit) {
  Micros next_check{0};
  return run_until(
      [this, &next_check] {
        if (now() < next_check) {
          return false;
        }
        next_check = now() + kSettleCheckInterval;
        return settled();
      },
      limit);
}

// ---- Changes ----

void FleetModel::on_step(const policy::RolloutStep& step) {
  const policy::Rollout& rollout = step.rollout;
  switch (rollout.state) {
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
      policy_check_->on_aborted(rollout.target_version);
      open_version_ = 0;
      return;
    default:
      return;
  }
}

void FleetModel::on_record(const policy::Acknowledgement& record) {
  ++rounds_;
  acknowledged_event_ = std::max(acknowledged_event_, record.completed.sequence);
  policy_check_->on_acknowledged(acknowledged_event_, now());
}

void FleetModel::publish(std::uint64_t events) { discovery_server_->publish(events); }

void FleetModel::propose(bool urgent) {
  rollout_coordinator_->propose(
      urgent,
      [this](std::uint64_t version) {
        if (open_version_ != 0) {
          policy_check_->on_aborted(open_version_);  // superseded by this one
          ++aborted_;
        }
        open_version_ = version;
        ++begun_;
      },
      [this] { ++refused_; });
}

ChangeResult FleetModel::change(Micros limit) {
  ChangeResult out;
  const Micros proposed_at = now();
  const Traffic before = store_->traffic();
  const std::uint64_t finished = finished_;
  propose(false);
  out.done = run_until([this, finished] { return finished_ > finished; }, limit);
  out.to_commit = committed_at_ - proposed_at;
  out.to_done = finished_at_ - proposed_at;
  out.store = store_->traffic() - before;
  return out;
}

// ---- Faults ----

void FleetModel::check_watches(int region) {
  for (const auto& router : routers_) {
    if (router->region() == region) {
      router->check_watch();
      discovery_server_->resend_position(*router);
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

void FleetModel::cut_from_other_regions(SimulatedAggregator& aggregator, bool cut) {
  aggregator.cut_from_other_regions = cut;
  check_watches(aggregator.region());
}

void FleetModel::cut_within_region(SimulatedAggregator& aggregator, bool cut) {
  aggregator.cut_within_region = cut;
  check_watches(aggregator.region());
}

void FleetModel::kill(SimulatedAggregator& aggregator) {
  aggregator.kill();
  check_watches(aggregator.region());
}

void FleetModel::pause(SimulatedAggregator& aggregator) {
  aggregator.pause();
  check_watches(aggregator.region());
}

void FleetModel::resume(SimulatedAggregator& aggregator) {
  aggregator.resume();
  check_watches(aggregator.region());
}

void FleetModel::start(SimulatedAggregator& aggregator) {
  aggregator.start();
  check_watches(aggregator.region());
}

std::string FleetModel::describe() {
  std::string out = "version in force " + std::to_string(store_->version_in_force()) + ", event " +
                    std::to_string(acknowledged_event_) + " of " + std::to_string(published()) +
                    " acknowledged";
  const policy::RolloutSnapshot snapshot = store_->rollout_snapshot();
  if (snapshot.rollout) {
    out += "\n  " + policy::write_rollout(*snapshot.rollout);
  }
  for (const std::string& pending : policy::describe_pending(snapshot)) {
    out += "\n  " + pending;
  }
  int described = 0;
  for (const auto& router : routers_) {
    const policy::EffectivePolicy effective_policy = router->effective_policy();
    const bool up_to_date = effective_policy.kind == policy::EffectivePolicy::Kind::kSingle &&
                            effective_policy.version == store_->version_in_force();
    if (!up_to_date && described++ < kMaxDescribed) {
      out += "\n  " + router->describe();
    }
  }
  for (const auto& aggregator : aggregators_) {
    if (!aggregator->has_lease() && described++ < 2 * kMaxDescribed) {
      out += "\n  " + aggregator->describe();
    }
  }
  return out;
}

}  // namespace trailcourse::scale
