// How far this process has taken in the notice board, and who is told whenever that has grown.
//
// Package `tasks`. One thread.
#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "policy/acknowledgement.h"

namespace trailcourse::tasks {

class DiscoveryProgress {
 public:
  using Listener = std::function<void(const policy::BoardPosition&)>;
  using ListenerId = std::uint64_t;

  void took_in(const policy::BoardPosition& position) {
    if (position == position_) {
      return;
    }
    position_ = position;
    const auto listeners = listeners_;  // one of them may leave meanwhile
    for (const auto& [id, listener] : listeners) {
      listener(position_);
    }
  }
  const policy::BoardPosition& position() const { return position_; }

  // The listener is called until it leaves; it must not outlive what it refers to.
  ListenerId listen(Listener listener) {
    listeners_[++last_] = std::move(listener);
    return last_;
  }
  void leave(ListenerId id) { listeners_.erase(id); }

 private:
  policy::BoardPosition position_;
  std::map<ListenerId, Listener> listeners_;
  ListenerId last_ = 0;
};

}  // namespace trailcourse::tasks
