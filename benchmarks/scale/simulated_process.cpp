#include "scale/simulated_process.h"

#include <algorithm>
#include <utility>

namespace trailcourse::scale {

namespace {

constexpr Micros kMinStepDelay{1'000};
constexpr Micros kOverdueStepDelay{100'000};  // minimum delay of a step that is already due

}  // namespace

NetworkOptions loopback_network() {
  NetworkOptions out;
  out.within_region = {Micros(60), Micros(40), 0.0, Micros(0)};
  out.between_regions = out.within_region;
  return out;
}

NetworkOptions wide_area_network() {
  NetworkOptions out;
  out.within_region = {Micros(300), Micros(500), 0.001, Micros(200'000)};
  out.between_regions = {Micros(2'000), Micros(3'000), 0.001, Micros(200'000)};
  out.max_region_distance = Micros(100'000);
  return out;
}

Traffic operator-(Traffic after, const Traffic& before) {
  after.calls -= before.calls;
  after.watch_events -= before.watch_events;
  after.bytes_in -= before.bytes_in;
  after.bytes_out -= before.bytes_out;
  after.cpu_time -= before.cpu_time;
  return after;
}

// ---- The network ----

Micros Simulation::random_duration(Micros max) {
  return Micros(static_cast<Micros::rep>(random() % static_cast<std::uint64_t>(max.count() + 1)));
}

bool Simulation::random_chance(double probability) {
  return probability > 0.0 && std::uniform_real_distribution<double>(0.0, 1.0)(random) < probability;
}

Micros Simulation::random_delay(const SimulatedProcess& from, const SimulatedProcess& to) {
  const bool different_regions = from.region() != to.region();
  const DelayOptions& options = different_regions ? network.between_regions : network.within_region;
  Micros out = options.min;
  if (options.mean_extra > Micros(0)) {
    std::exponential_distribution<double> extra(1.0 / static_cast<double>(options.mean_extra.count()));
    out += Micros(static_cast<Micros::rep>(extra(random)));
  }
  out += random_chance(options.retransmission_share) ? options.retransmission_delay : Micros(0);
  const int region = from.region() == kNoRegion ? to.region() : from.region();
  return different_regions && region != kNoRegion
             ? out + region_distances.at(static_cast<std::size_t>(region))
             : out;
}

bool Simulation::is_reachable(const SimulatedProcess& from, const SimulatedProcess& to) const {
  if (from.region() == to.region()) {
    return !from.cut_within_region && !to.cut_within_region;
  }
  return !from.cut_from_other_regions && !to.cut_from_other_regions && !cut_regions.contains(from.region()) &&
         !cut_regions.contains(to.region());
}

// ---- Processes ----

SimulatedProcess::SimulatedProcess(Simulation& simulation, std::string name, int region)
    : simulation_(simulation), name_(std::move(name)), serial_(++simulation.process_count), region_(region) {}

void SimulatedProcess::start() {
  kill();
  alive_ = true;
  on_started();
  step();
}

void SimulatedProcess::kill() {
  ++incarnation_;
  alive_ = false;
  paused_ = false;
  serving_ = false;
  timer_at_ = Micros(-1);
  held_messages_.clear();
  for (const auto& pending : std::exchange(queue_, {})) {
    lose_call_at(pending, simulation_.events.now());
  }
}

void SimulatedProcess::pause() { paused_ = alive_; }

void SimulatedProcess::resume() {
  if (!std::exchange(paused_, false)) {
    return;
  }
  on_resumed();
  for (Job& job : std::exchange(held_messages_, {})) {
    job();
  }
  step();
  if (!serving_) {
    serve_next();
  }
}

void SimulatedProcess::deliver(int incarnation, Job job) {
  if (!alive_ || incarnation != incarnation_) {
    return;
  }
  if (paused_) {
    held_messages_.push_back([this, incarnation, job = std::move(job)] { deliver(incarnation, job); });
    return;
  }
  job();
  step();
}

void SimulatedProcess::step_at(Micros reading) {
  const Micros now = simulation_.events.now();
  // A step that is already due can proceed only after a message arrives, so it is retried less often.
  const bool overdue = reading <= clock();
  const Micros when =
      std::max(clock_.true_time_at(reading), now + (overdue ? kOverdueStepDelay : kMinStepDelay));
  if (timer_at_ >= Micros(0) && timer_at_ <= when) {
    return;  // the earlier step schedules the next one
  }
  timer_at_ = when;
  simulation_.events.add_at(when, [this, incarnation = incarnation_, when] {
    if (incarnation == incarnation_ && timer_at_ == when) {
      timer_at_ = Micros(-1);
      deliver(incarnation, [] {});
    }
  });
}

// ---- Calls ----

struct SimulatedProcess::PendingCall {
  SimulatedProcess* client = nullptr;
  SimulatedProcess* server = nullptr;
  int client_incarnation = 0;
  Micros timeout_at{0};
  Micros arrived_at{0};
  bool completed = false;
  Call call;
};

void SimulatedProcess::call(SimulatedProcess& server, Call call) {
  auto pending = std::make_shared<PendingCall>();
  pending->client = this;
  pending->server = &server;
  pending->client_incarnation = incarnation_;
  pending->timeout_at = simulation_.events.now() + simulation_.network.call_timeout;
  pending->call = std::move(call);
  traffic_.bytes_out += pending->call.request_bytes;
  if (!simulation_.is_reachable(*this, server)) {
    lose_call_at(pending, pending->timeout_at);
    return;
  }
  simulation_.events.add_after(simulation_.random_delay(*this, server),
                               [pending, target = &server] { target->receive_call(pending); });
}

void SimulatedProcess::receive_call(const std::shared_ptr<PendingCall>& pending) {
  if (!alive_) {
    lose_call_at(pending, simulation_.events.now() + simulation_.random_delay(*this, *pending->client));
    return;
  }
  pending->arrived_at = simulation_.events.now();
  if (paused_) {
    lose_call_at(pending, pending->timeout_at);
  }
  queue_.push_back(pending);
  if (!serving_) {
    serve_next();
  }
}

void SimulatedProcess::serve_next() {
  if (paused_ || queue_.empty()) {
    return;
  }
  const std::shared_ptr<PendingCall> pending = queue_.front();
  queue_.pop_front();
  serving_ = true;
  const Micros now = simulation_.events.now();
  traffic_.max_queue_time = std::max(traffic_.max_queue_time, now - pending->arrived_at);
  ++traffic_.calls;
  traffic_.bytes_in += pending->call.request_bytes;
  const Reply reply = pending->call.execute();
  traffic_.cpu_time += reply.cpu_time;
  simulation_.events.add_after(reply.cpu_time, [this, incarnation = incarnation_, pending, reply] {
    if (incarnation != incarnation_) {
      lose_call_at(pending, simulation_.events.now());
      return;
    }
    deliver(incarnation, [this, pending, reply] {
      send_reply(pending, reply);
      serving_ = false;
      serve_next();
    });
  });
}

void SimulatedProcess::send_reply(const std::shared_ptr<PendingCall>& pending, const Reply& reply) {
  SimulatedProcess& client = *pending->client;
  traffic_.bytes_out += pending->call.response_bytes;
  if (pending->completed) {
    return;
  }
  const Micros arrives_at = simulation_.events.now() + simulation_.random_delay(*this, client);
  if (arrives_at > pending->timeout_at || !simulation_.is_reachable(*this, client)) {
    lose_call_at(pending, pending->timeout_at);
    return;
  }
  simulation_.events.add_at(arrives_at, [pending, reply] {
    SimulatedProcess& receiver = *pending->client;
    receiver.traffic_.bytes_in += pending->call.response_bytes;
    receiver.deliver(pending->client_incarnation, [pending, reply] {
      if (!std::exchange(pending->completed, true)) {
        pending->call.on_reply(reply);
      }
    });
  });
}

void SimulatedProcess::lose_call_at(const std::shared_ptr<PendingCall>& pending, Micros when) {
  pending->client->simulation_.events.add_at(when, [pending] {
    pending->client->deliver(pending->client_incarnation, [pending] {
      if (!std::exchange(pending->completed, true)) {
        pending->call.on_lost();
      }
    });
  });
}

}  // namespace trailcourse::scale
