#include "scale/simulated_discovery_server.h"

namespace trailcourse::scale {

namespace {

constexpr Micros kMaxRelayDelay{20'000};  // of a page through the relays of a zone

}  // namespace

void SimulatedDiscoveryServer::publish(std::uint64_t events) {
  position_.sequence += events;
  for (const auto& [serial, subscriber] : subscribers_) {
    send_position(subscriber);
  }
}

void SimulatedDiscoveryServer::resend_position(SimulatedProcess& process) {
  const auto found = subscribers_.find(process.serial());
  if (found != subscribers_.end() && position_.sequence > 0) {
    send_position(found->second);
  }
}

void SimulatedDiscoveryServer::send_position(const Subscriber& subscriber) {
  SimulatedProcess& process = *subscriber.process;
  const Micros delay =
      simulation().random_delay(*this, process) + simulation().random_duration(kMaxRelayDelay);
  simulation().events.add_after(
      delay, [this, &subscriber, &process, position = position_, incarnation = process.incarnation()] {
        if (simulation().is_reachable(*this, process)) {
          process.deliver(incarnation, [&subscriber, position] { subscriber.on_position(position); });
        }
      });
}

}  // namespace trailcourse::scale
