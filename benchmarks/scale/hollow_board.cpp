#include "scale/hollow_board.h"

namespace trailcourse::scale {

namespace {

constexpr Micros kMostRelayHops{20'000};  // a page through the relays of a zone

}  // namespace

void HollowBoard::publish(std::uint64_t events) {
  position_.sequence += events;
  for (const auto& [serial, follower] : followers_) {
    tell(follower);
  }
}

void HollowBoard::catch_up(Node& node) {
  const auto found = followers_.find(node.serial());
  if (found != followers_.end() && position_.sequence > 0) {
    tell(found->second);
  }
}

void HollowBoard::tell(const Follower& follower) {
  Node& node = *follower.node;
  const Micros way = simulation().delay(*this, node) + simulation().drawn(kMostRelayHops);
  simulation().events.after(way,
                            [this, &follower, &node, position = position_, incarnation = node.incarnation()] {
                              if (simulation().passes(*this, node)) {
                                node.deliver(incarnation, [&follower, position] { follower.take(position); });
                              }
                            });
}

}  // namespace trailcourse::scale
