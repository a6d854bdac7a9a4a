#include "scale/hollow_node.h"

#include <algorithm>
#include <utility>

namespace trailcourse::scale {

namespace {

constexpr Micros kLeastTurn{1'000};
constexpr Micros kWaitingTurn{100'000};

}  // namespace

NetworkRules loopback() {
  NetworkRules out;
  out.within = {Micros(60), Micros(40), 0.0, Micros(0)};
  out.between = out.within;
  return out;
}

NetworkRules wide_area() {
  NetworkRules out;
  out.within = {Micros(300), Micros(500), 0.001, Micros(200'000)};
  out.between = {Micros(2'000), Micros(3'000), 0.001, Micros(200'000)};
  out.most_distance = Micros(100'000);
  return out;
}

Traffic operator-(Traffic one, const Traffic& other) {
  one.calls -= other.calls;
  one.lines -= other.lines;
  one.bytes_in -= other.bytes_in;
  one.bytes_out -= other.bytes_out;
  one.busy -= other.busy;
  return one;
}

// ---- The network ----

Micros Simulation::drawn(Micros most) {
  return Micros(static_cast<Micros::rep>(random() % static_cast<std::uint64_t>(most.count() + 1)));
}

bool Simulation::chance(double share) {
  return share > 0.0 && std::uniform_real_distribution<double>(0.0, 1.0)(random) < share;
}

Micros Simulation::delay(const Node& from, const Node& to) {
  const bool far = from.region() != to.region();
  const DelayRules& rules = far ? network.between : network.within;
  Micros out = rules.least;
  if (rules.mean_beyond > Micros(0)) {
    std::exponential_distribution<double> beyond(1.0 / static_cast<double>(rules.mean_beyond.count()));
    out += Micros(static_cast<Micros::rep>(beyond(random)));
  }
  out += chance(rules.late_share) ? rules.late_by : Micros(0);
  const int region = from.region() == kNoRegion ? to.region() : from.region();
  return far && region != kNoRegion ? out + distances.at(static_cast<std::size_t>(region)) : out;
}

bool Simulation::passes(const Node& from, const Node& to) const {
  if (from.region() == to.region()) {
    return !from.cut_below && !to.cut_below;
  }
  return !from.cut_above && !to.cut_above && !cut_regions.contains(from.region()) &&
         !cut_regions.contains(to.region());
}

// ---- Processes ----

Node::Node(Simulation& simulation, std::string name, int region)
    : simulation_(simulation), name_(std::move(name)), serial_(++simulation.processes), region_(region) {}

void Node::begin() {
  kill();
  alive_ = true;
  started();
  turn();
}

void Node::kill() {
  ++incarnation_;
  alive_ = false;
  paused_ = false;
  serving_ = false;
  timer_at_ = Micros(-1);
  held_.clear();
  for (const auto& pending : std::exchange(queue_, {})) {
    give_up(pending, simulation_.events.now());
  }
}

void Node::pause() { paused_ = alive_; }

void Node::wake() {
  if (!std::exchange(paused_, false)) {
    return;
  }
  woken();
  for (Job& job : std::exchange(held_, {})) {
    job();
  }
  turn();
  if (!serving_) {
    serve_next();
  }
}

void Node::deliver(int incarnation, Job job) {
  if (!alive_ || incarnation != incarnation_) {
    return;
  }
  if (paused_) {
    held_.push_back([this, incarnation, job = std::move(job)] { deliver(incarnation, job); });
    return;
  }
  job();
  turn();
}

void Node::turn_at(Micros reading) {
  const Micros now = simulation_.events.now();
  const bool waits = reading <= clock();  // for news: nothing is due by time alone
  const Micros when = std::max(clock_.truth_at(reading), now + (waits ? kWaitingTurn : kLeastTurn));
  if (timer_at_ >= Micros(0) && timer_at_ <= when) {
    return;  // it comes by earlier, and will ask again
  }
  timer_at_ = when;
  simulation_.events.at(when, [this, incarnation = incarnation_, when] {
    if (incarnation == incarnation_ && timer_at_ == when) {
      timer_at_ = Micros(-1);
      deliver(incarnation, [] {});
    }
  });
}

// ---- Calls ----

struct Node::Pending {
  Node* client = nullptr;
  Node* server = nullptr;
  int client_incarnation = 0;
  Micros due{0};
  Micros arrived{0};
  bool over = false;
  Call call;
};

void Node::call(Node& server, Call call) {
  auto pending = std::make_shared<Pending>();
  pending->client = this;
  pending->server = &server;
  pending->client_incarnation = incarnation_;
  pending->due = simulation_.events.now() + simulation_.network.call_timeout;
  pending->call = std::move(call);
  traffic_.bytes_out += pending->call.bytes_asked;
  if (!simulation_.passes(*this, server)) {
    give_up(pending, pending->due);
    return;
  }
  simulation_.events.after(simulation_.delay(*this, server),
                           [pending, target = &server] { target->arrive(pending); });
}

void Node::arrive(const std::shared_ptr<Pending>& pending) {
  if (!alive_) {
    give_up(pending, simulation_.events.now() + simulation_.delay(*this, *pending->client));
    return;
  }
  pending->arrived = simulation_.events.now();
  if (paused_) {
    give_up(pending, pending->due);
  }
  queue_.push_back(pending);
  if (!serving_) {
    serve_next();
  }
}

void Node::serve_next() {
  if (paused_ || queue_.empty()) {
    return;
  }
  const std::shared_ptr<Pending> pending = queue_.front();
  queue_.pop_front();
  serving_ = true;
  const Micros now = simulation_.events.now();
  traffic_.longest_wait = std::max(traffic_.longest_wait, now - pending->arrived);
  ++traffic_.calls;
  traffic_.bytes_in += pending->call.bytes_asked;
  const Reply reply = pending->call.work();
  traffic_.busy += reply.spent;
  simulation_.events.after(reply.spent, [this, incarnation = incarnation_, pending, reply] {
    if (incarnation != incarnation_) {
      give_up(pending, simulation_.events.now());
      return;
    }
    deliver(incarnation, [this, pending, reply] {
      finish(pending, reply);
      serving_ = false;
      serve_next();
    });
  });
}

void Node::finish(const std::shared_ptr<Pending>& pending, const Reply& reply) {
  Node& client = *pending->client;
  traffic_.bytes_out += pending->call.bytes_answered;
  if (pending->over) {
    return;
  }
  const Micros here = simulation_.events.now() + simulation_.delay(*this, client);
  if (here > pending->due || !simulation_.passes(*this, client)) {
    give_up(pending, pending->due);
    return;
  }
  simulation_.events.at(here, [pending, reply] {
    Node& receiver = *pending->client;
    receiver.traffic_.bytes_in += pending->call.bytes_answered;
    receiver.deliver(pending->client_incarnation, [pending, reply] {
      if (!std::exchange(pending->over, true)) {
        pending->call.answered(reply);
      }
    });
  });
}

void Node::give_up(const std::shared_ptr<Pending>& pending, Micros when) {
  pending->client->simulation_.events.at(when, [pending] {
    pending->client->deliver(pending->client_incarnation, [pending] {
      if (!std::exchange(pending->over, true)) {
        pending->call.lost();
      }
    });
  });
}

}  // namespace trailcourse::scale
