// The discovery server of a simulated fleet. Its events have no content, only sequence numbers. A page
// reaches a subscriber after one network delay and a random delay of the relays.
#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "policy/acknowledgement.h"
#include "scale/simulated_process.h"

namespace trailcourse::scale {

class SimulatedDiscoveryServer : public SimulatedProcess {
 public:
  using PositionCallback = std::function<void(const policy::DiscoveryPosition&)>;

  explicit SimulatedDiscoveryServer(Simulation& simulation)
      : SimulatedProcess(simulation, "discovery-server", kNoRegion) {}

  // Calls `on_position` in the process for each page that reaches it.
  void add_subscriber(SimulatedProcess& process, PositionCallback on_position) {
    subscribers_[process.serial()] = {&process, std::move(on_position)};
  }
  // Adds this number of events and sends them to all subscribers as one page.
  void publish(std::uint64_t events);
  // Sends the current position to a subscriber that was started or has become reachable again.
  void resend_position(SimulatedProcess& process);
  const policy::DiscoveryPosition& position() const { return position_; }

 protected:
  void on_started() override {}
  void step() override {}

 private:
  struct Subscriber {
    SimulatedProcess* process = nullptr;
    PositionCallback on_position;
  };
  void send_position(const Subscriber& subscriber);

  std::map<std::uint64_t, Subscriber> subscribers_;  // by serial number, so that runs are reproducible
  policy::DiscoveryPosition position_{"board", 0};
};

}  // namespace trailcourse::scale
