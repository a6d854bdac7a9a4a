// The disturbances of the simulated deployment: purges, health checks, faults, restarts, and changes of the
// load, the endpoint list and the request classes.
#include <algorithm>
#include <limits>

#include "decision_trace_simulation.h"

namespace trailcourse::decision_trace {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

void SimulatedDeployment::perform(const Disturbance&) {
  schedule(now_ + random_.exponential(profile_.mean_request_interval * 12), Disturbance{});
  if (subscribed_) {  // the decision module has requested a new endpoint list
    subscribed_ = false;
    handle(EndpointListReceived{random_.chance(0.3) ? ListKind::kLost : ListKind::kFull, endpoints_});
  }
  if (random_.chance(profile_.restart_share)) {
    restart_endpoint();
    return;
  }
  using DisturbanceFunction = void (SimulatedDeployment::*)();
  const std::vector<DisturbanceFunction> disturbances{
      &SimulatedDeployment::send_purge,        &SimulatedDeployment::send_purge,
      &SimulatedDeployment::send_purge,        &SimulatedDeployment::send_health_check,
      &SimulatedDeployment::change_fault,      &SimulatedDeployment::change_fault,
      &SimulatedDeployment::change_load,       &SimulatedDeployment::change_endpoints,
      &SimulatedDeployment::send_full_list,    &SimulatedDeployment::send_lost_or_restored_list,
      &SimulatedDeployment::send_stray_events, &SimulatedDeployment::send_health_check,
      &SimulatedDeployment::change_classes,    &SimulatedDeployment::maybe_purge_unknown_objects,
      &SimulatedDeployment::maybe_skip_time};
  (this->*random_.pick(disturbances))();
}

void SimulatedDeployment::send_purge() {
  Purged purged;
  purged.whole_group = random_.chance(0.1);
  purged.group = random_.below(16);
  purged.object = random_.below(profile_.objects);
  purged.age = random_.chance(0.5) ? Micros(0) : random_.exponential(seconds(2));
  handle(purged);
}

void SimulatedDeployment::maybe_purge_unknown_objects() {
  for (int i = 0; random_.chance(0.01) && i < 30'000; ++i) {
    handle(Purged{false, 1'000'000 + random_.below(1'000'000), 0, Micros(0)});
  }
}

void SimulatedDeployment::send_health_check() {
  HealthCheckResult result;
  result.address = random_.chance(0.05) ? "unknown" : random_.pick(endpoints_).address;
  const NodeFault fault = faults_[result.address];
  result.healthy = random_.chance(0.05) || fault == NodeFault::kNone;
  result.valid_for = random_.exponential(seconds(2));
  handle(result);
}

void SimulatedDeployment::change_fault() {
  if (random_.chance(0.5)) {
    faults_.clear();
    return;
  }
  const auto fault_count = static_cast<std::uint64_t>(NodeFault::kCount);
  faults_[random_.pick(endpoints_).address] = static_cast<NodeFault>(random_.below(fault_count));
}

void SimulatedDeployment::change_load() {
  load_factor_ = random_.chance(0.5) ? 1.0 : 1.0 + 8.0 * random_.uniform();
  failure_rate_ = random_.chance(0.6) ? 0.01 : 0.5 * random_.uniform();
  arrival_factor_ = static_cast<int>(1 + random_.below(5));
}

void SimulatedDeployment::change_endpoints() {
  EndpointListReceived list{ListKind::kChanges, {}};
  for (std::uint64_t i = random_.below(3) + 1; i > 0; --i) {
    Endpoint& endpoint = endpoints_[random_.below(endpoints_.size())];
    const std::vector<NodeState> states{NodeState::kReady, NodeState::kReady, NodeState::kDraining,
                                        NodeState::kGone};
    endpoint.state = random_.pick(states);
    const std::vector<double> weights{4.0, 8.0, 8.0, 16.0, 0.0, std::numeric_limits<double>::infinity()};
    endpoint.weight = random_.chance(0.8) ? endpoint.weight : random_.pick(weights);
    list.entries.push_back(endpoint);
  }
  if (random_.chance(0.2)) {
    endpoints_.push_back(make_endpoint(static_cast<Role>(random_.below(2))));
    list.entries.push_back(endpoints_.back());
  }
  handle(list);
}

void SimulatedDeployment::restart_endpoint() {
  Endpoint& endpoint = endpoints_[random_.below(endpoints_.size())];
  endpoint.started = now_ - random_.exponential(milliseconds(200));
  endpoint.state = NodeState::kReady;
  handle(EndpointListReceived{ListKind::kChanges, {endpoint}});
}

void SimulatedDeployment::send_full_list() {
  std::erase_if(endpoints_, [this](const Endpoint& endpoint) {
    return endpoint.state == NodeState::kGone || (endpoint.role != Role::kOrigin && random_.chance(0.05));
  });
  const std::size_t caches = static_cast<std::size_t>(std::count_if(
      endpoints_.begin(), endpoints_.end(),
      [](const Endpoint& endpoint) { return endpoint.role == Role::kCache && endpoint.zone == "here"; }));
  for (std::size_t i = caches; i < static_cast<std::size_t>(profile_.caches); ++i) {
    endpoints_.push_back(make_endpoint(Role::kCache));
  }
  for (Endpoint& endpoint : endpoints_) {
    endpoint.state = random_.chance(0.9) ? NodeState::kReady : endpoint.state;
  }
  handle(EndpointListReceived{ListKind::kFull, endpoints_});
}

void SimulatedDeployment::send_lost_or_restored_list() {
  if (random_.chance(0.5)) {
    handle(EndpointListReceived{ListKind::kLost, {}});
  } else {
    handle(EndpointListReceived{ListKind::kRestored, endpoints_});
  }
}

void SimulatedDeployment::send_stray_events() {
  handle(ended_with(1'000'000'000 + random_.below(100), 0, Status::kOk));
  handle(TimerFired{random_.below(1'000'000)});
  handle(ClientLeft{1'000'000'000});
  handle(StreamStarted{1'000'000'000, 0});
}

void SimulatedDeployment::change_classes() {
  ClassesUpdated update;
  const std::size_t last_class = random_.below(3);
  update.based_on = 0;
  update.first = class_count_ < 12 ? class_count_ : profile_.settings.classes.size();
  for (std::size_t i = 0; i <= last_class; ++i) {
    ClassSettings changed = profile_.settings.classes[i];
    changed.latency_objective = milliseconds(200 + random_.below(1'000));
    changed.lifetime = random_.chance(0.5) ? changed.lifetime : Micros(seconds(1 + random_.below(30)));
    update.classes.push_back(changed);
  }
  class_count_ = std::max(class_count_, update.first + update.classes.size());
  handle(update);
}

void SimulatedDeployment::maybe_skip_time() {
  if (random_.chance(0.05)) {
    now_ += seconds(70);
  }
}

Endpoint SimulatedDeployment::make_endpoint(Role role) {
  Endpoint endpoint;
  endpoint.address =
      "10.0." + std::to_string(++last_endpoint_) + ".1:" + std::to_string(4'000 + random_.below(9));
  endpoint.zone = role != Role::kCache ? "hub" : random_.chance(0.1) ? "elsewhere" : "here";
  endpoint.role = role;
  endpoint.cell = static_cast<int>(random_.below(3));
  endpoint.weight = 4.0 * static_cast<double>(1 + random_.below(4));
  endpoint.started = random_.chance(0.7) ? Micros(0) : now_ - random_.exponential(seconds(4));
  return endpoint;
}

}  // namespace trailcourse::decision_trace
