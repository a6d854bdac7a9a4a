// The position up to which this process has applied the events of the discovery service.
//
// Library `tasks`. Not thread-safe.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "policy/acknowledgement.h"

namespace trailcourse::tasks {

// Holds the position up to which all events are applied, and notifies subscribers when it changes.
class DiscoveryProgress {
 public:
  using Subscriber = std::function<void(const policy::DiscoveryPosition&)>;
  using SubscriptionId = std::uint64_t;

  // Sets the position, and calls the subscribers if the position changes.
  void set_position(const policy::DiscoveryPosition& position) {
    if (position == position_) {
      return;
    }
    position_ = position;
    const auto subscribers = subscribers_;  // copied, since a subscriber may unsubscribe in its call
    for (const auto& [id, subscriber] : subscribers) {
      subscriber(position_);
    }
  }

  const policy::DiscoveryPosition& position() const { return position_; }

  // Registers a subscriber, which is called until unsubscribe(). All that it refers to has to live until
  // then.
  SubscriptionId subscribe(Subscriber subscriber) {
    subscribers_[++last_id_] = std::move(subscriber);
    return last_id_;
  }
  void unsubscribe(SubscriptionId id) { subscribers_.erase(id); }

 private:
  policy::DiscoveryPosition position_;
  std::map<SubscriptionId, Subscriber> subscribers_;
  SubscriptionId last_id_ = 0;
};

}  // namespace trailcourse::tasks
