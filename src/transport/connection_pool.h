// Connections to named peers: opened as needed, shared by many streams, closed before they idle out.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "transport/connection.h"

namespace trailcourse::transport {

// `Link` is the handler of one connection; the pool counts its streams and knows nothing else of it.
template <typename Link>
class ConnectionPool {
 public:
  struct Bounds {
    int streams = 32;              // on one connection at once
    int connections_per_peer = 8;  // connections
    int total_connections = 128;   // connections
    Clock::duration idle = std::chrono::seconds(10);
    Connection::Bounds connection;
  };
  struct Slot {
    std::string peer;
    std::shared_ptr<Connection> connection;
    std::shared_ptr<Link> link;
    int streams = 0;
    std::optional<ConnectionEnd> retired;  // nothing new goes over it; how it ends with its last stream
    Clock::time_point used = Clock::now();
  };
  using SlotPtr = std::shared_ptr<Slot>;
  using MakeLink = std::function<std::shared_ptr<Link>(const SlotPtr&)>;

  ConnectionPool(Scheduler& scheduler, const Bounds& bounds, MakeLink make)
      : scheduler_(scheduler), bounds_(bounds), make_(std::move(make)) {
    scheduler_.spawn(reap());
  }

  // A connection with room for a stream that `may_use` allows: a free one, else a new one, else the one with
  // the fewest streams. Null where the bounds leave none.
  template <typename MayUse>
  SlotPtr take(const std::string& peer, const Address& address, MayUse may_use) {
    std::vector<SlotPtr>& slots = peers_[peer];
    SlotPtr best = least_used(slots, address, may_use);
    // A close may have come in and wait to be heard of: what was sent there would be lost, or held back.
    while (best && best->connection->ended_by_peer()) {
      best->connection->close(ConnectionEnd::kPeerClosed);
      best = least_used(slots, address, may_use);
    }
    const bool free = best && best->streams == 0 && best->connection->up();
    const auto open = std::count_if(slots.begin(), slots.end(),
                                    [](const SlotPtr& slot) { return !slot->connection->ended(); });
    if (!free && open < bounds_.connections_per_peer && make_room()) {
      best = connect(peer, address);
    }
    if (best) {
      ++best->streams;
      best->used = Clock::now();
    }
    return best;
  }

  void release(const SlotPtr& slot) {
    --slot->streams;
    slot->used = Clock::now();
    if (slot->retired && slot->streams <= 0) {
      slot->connection->close(*slot->retired);
    }
  }

  // Nothing new goes over it; it closes with its last stream.
  void retire(const SlotPtr& slot, ConnectionEnd end) {
    slot->retired = end;
    if (slot->streams <= 0) {
      slot->connection->close(end);
    }
  }

  // When anything last came from the peer, over any connection.
  Clock::time_point last_received(const std::string& peer) const {
    Clock::time_point latest = Clock::time_point::min();
    if (const auto found = peers_.find(peer); found != peers_.end()) {
      for (const SlotPtr& slot : found->second) {
        latest = slot->connection->up() ? std::max(latest, slot->connection->last_received()) : latest;
      }
    }
    return latest;
  }

  // Retires the connections to this peer that there are now.
  void drop(const std::string& peer, ConnectionEnd end) {
    if (const auto found = peers_.find(peer); found != peers_.end()) {
      for (const SlotPtr& slot : found->second) {
        retire(slot, end);
      }
    }
  }

  // To be called when a connection's end is told.
  void forget(const SlotPtr& slot) {
    const auto found = peers_.find(slot->peer);
    if (found != peers_.end()) {
      count_ -= static_cast<int>(std::erase(found->second, slot));
      if (found->second.empty()) {
        peers_.erase(found);
      }
    }
  }

  // Gives up the connection that has been unused for longest, for its descriptor; false where all are in use.
  bool close_one_idle() {
    SlotPtr oldest;
    for (const auto& [peer, slots] : peers_) {
      for (const SlotPtr& slot : slots) {
        const bool idle = slot->streams <= 0 && !slot->connection->ended();
        if (idle && (!oldest || slot->used < oldest->used)) {
          oldest = slot;
        }
      }
    }
    if (oldest) {
      oldest->connection->close(ConnectionEnd::kIdle);
    }
    return oldest != nullptr;
  }

 private:
  // The usable connection with the fewest streams; null where there is none.
  template <typename MayUse>
  SlotPtr least_used(const std::vector<SlotPtr>& slots, const Address& address, MayUse may_use) const {
    SlotPtr best;
    for (const SlotPtr& slot : slots) {
      const bool usable = !slot->retired && !slot->connection->ended() && slot->streams < bounds_.streams &&
                          slot->connection->peer() == address && may_use(*slot);
      if (usable && (!best || rank(*slot) < rank(*best))) {
        best = slot;
      }
    }
    return best;
  }

  static std::pair<int, bool> rank(const Slot& slot) { return {slot.streams, !slot.connection->up()}; }

  bool make_room() { return count_ < bounds_.total_connections || close_one_idle(); }

  SlotPtr connect(const std::string& peer, const Address& address) {
    auto slot = std::make_shared<Slot>();
    slot->peer = peer;
    slot->connection = Connection::connect(scheduler_, address, bounds_.connection);
    slot->link = make_(slot);
    peers_[peer].push_back(slot);
    ++count_;
    slot->connection->start(slot->link);
    return slot;
  }

  Task<void> reap() {
    for (;;) {
      co_await scheduler_.sleep(bounds_.idle / 8);
      const Clock::time_point before = Clock::now() - bounds_.idle;
      for (const auto& [peer, slots] : peers_) {
        for (const SlotPtr& slot : slots) {
          if (slot->streams <= 0 && slot->used < before) {
            slot->connection->close(ConnectionEnd::kIdle);
          }
        }
      }
    }
  }

  Scheduler& scheduler_;
  Bounds bounds_;
  MakeLink make_;
  std::map<std::string, std::vector<SlotPtr>> peers_;
  int count_ = 0;
};

}  // namespace trailcourse::transport
