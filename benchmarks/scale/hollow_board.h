// The notice board of a simulated fleet, for the numbers of its events alone: who follows it hears of a page
// after one way of the network and the hops of its relays.
#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "policy/acknowledgement.h"
#include "scale/hollow_node.h"

namespace trailcourse::scale {

class HollowBoard : public Node {
 public:
  using Take = std::function<void(const policy::DiscoveryPosition&)>;

  explicit HollowBoard(Simulation& simulation) : Node(simulation, "board", kNoRegion) {}

  void add(Node& node, Take take) { followers_[node.serial()] = {&node, std::move(take)}; }
  // One page with so many events more.
  void publish(std::uint64_t events);
  // A follower that was started, or can be reached again, asks for what it has missed.
  void catch_up(Node& node);
  const policy::DiscoveryPosition& position() const { return position_; }

 protected:
  void started() override {}
  void turn() override {}

 private:
  struct Follower {
    Node* node = nullptr;
    Take take;
  };
  void tell(const Follower& follower);

  std::map<std::uint64_t, Follower> followers_;  // by serial number: one order in each run
  policy::DiscoveryPosition position_{"board", 0};
};

}  // namespace trailcourse::scale
