// A pool of connections to named peers, which are opened on demand, shared by several streams and closed when
// idle.
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

// `Link` is the handler of a connection. A stream is one use of a connection, from its request from the pool
// to its return. The scheduler must not run after the pool is destroyed.
template <typename Link>
class ConnectionPool {
 public:
  struct Bounds {
    int streams_per_connection = 32;
    int connections_per_peer = 8;
    int total_connections = 128;
    Clock::duration idle = std::chrono::seconds(10);  // after which a connection without streams is closed
    Connection::Bounds connection;
  };

  // A connection of the pool.
  struct Slot {
    std::string peer;
    std::shared_ptr<Connection> connection;
    std::shared_ptr<Link> link;
    int streams = 0;
    std::optional<ConnectionEnd> retired;  // set: gets no new streams and ends with its last one
    Clock::time_point last_used = Clock::now();
  };

  using SlotPtr = std::shared_ptr<Slot>;
  using LinkFactory = std::function<std::shared_ptr<Link>(const SlotPtr&)>;

  ConnectionPool(Scheduler& scheduler, const Bounds& bounds, LinkFactory create_link)
      : scheduler_(scheduler), bounds_(bounds), create_link_(std::move(create_link)) {
    scheduler_.spawn(close_idle_connections());
  }

  // Returns a connection for a new stream, among those that `may_use` allows: one without streams if
  // possible, otherwise a new one, otherwise the one with the fewest streams. Null where the bounds allow
  // none.
  template <typename MayUse>
  SlotPtr acquire(const std::string& peer, const Address& address, MayUse may_use) {
    std::vector<SlotPtr>& slots = peers_[peer];
    SlotPtr best = least_used(slots, address, may_use);
    // The peer may have closed the connection without this being reported yet: bytes sent there would be
    // lost.
    while (best && best->connection->ended_by_peer()) {
      best->connection->close(ConnectionEnd::kPeerClosed);
      best = least_used(slots, address, may_use);
    }
    const bool free = best && best->streams == 0 && best->connection->connected();
    const auto open = std::count_if(slots.begin(), slots.end(),
                                    [](const SlotPtr& slot) { return !slot->connection->ended(); });
    if (!free && open < bounds_.connections_per_peer && make_room()) {
      best = connect(peer, address);
    }
    if (best) {
      ++best->streams;
      best->last_used = Clock::now();
    }
    return best;
  }

  // Ends one stream of the connection.
  void release(const SlotPtr& slot) {
    --slot->streams;
    slot->last_used = Clock::now();
    if (slot->retired && slot->streams <= 0) {
      slot->connection->close(*slot->retired);
    }
  }

  // Gives the connection no new streams and closes it after its last one.
  void retire(const SlotPtr& slot, ConnectionEnd end) {
    slot->retired = end;
    if (slot->streams <= 0) {
      slot->connection->close(end);
    }
  }

  // Returns when bytes were last received from the peer, on any connection; time_point::min() without one.
  Clock::time_point last_received(const std::string& peer) const {
    Clock::time_point latest = Clock::time_point::min();
    if (const auto found = peers_.find(peer); found != peers_.end()) {
      for (const SlotPtr& slot : found->second) {
        latest = slot->connection->connected() ? std::max(latest, slot->connection->last_received()) : latest;
      }
    }
    return latest;
  }

  // Retires all current connections to the peer.
  void retire_all(const std::string& peer, ConnectionEnd end) {
    if (const auto found = peers_.find(peer); found != peers_.end()) {
      for (const SlotPtr& slot : found->second) {
        retire(slot, end);
      }
    }
  }

  // Removes a connection from the pool. Has to be called when the connection has ended.
  void remove(const SlotPtr& slot) {
    const auto found = peers_.find(slot->peer);
    if (found != peers_.end()) {
      count_ -= static_cast<int>(std::erase(found->second, slot));
      if (found->second.empty()) {
        peers_.erase(found);
      }
    }
  }

  // Closes the connection that has been unused for longest, to free a descriptor. Returns false where all are
  // in use.
  bool close_one_idle() {
    SlotPtr oldest;
    for (const auto& [peer, slots] : peers_) {
      for (const SlotPtr& slot : slots) {
        const bool idle = slot->streams <= 0 && !slot->connection->ended();
        if (idle && (!oldest || slot->last_used < oldest->last_used)) {
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
  // Returns the usable connection with the fewest streams; null where there is none.
  template <typename MayUse>
  SlotPtr least_used(const std::vector<SlotPtr>& slots, const Address& address, MayUse may_use) const {
    SlotPtr best;
    for (const SlotPtr& slot : slots) {
      const bool usable = !slot->retired && !slot->connection->ended() &&
                          slot->streams < bounds_.streams_per_connection &&
                          slot->connection->peer() == address && may_use(*slot);
      if (usable && (!best || rank(*slot) < rank(*best))) {
        best = slot;
      }
    }
    return best;
  }

  // Orders connections by their number of streams, then connected ones before others.
  static std::pair<int, bool> rank(const Slot& slot) { return {slot.streams, !slot.connection->connected()}; }

  // Returns whether one more connection may be opened; closes an idle one for it if necessary.
  bool make_room() { return count_ < bounds_.total_connections || close_one_idle(); }

  SlotPtr connect(const std::string& peer, const Address& address) {
    auto slot = std::make_shared<Slot>();
    slot->peer = peer;
    slot->connection = Connection::connect(scheduler_, address, bounds_.connection);
    slot->link = create_link_(slot);
    peers_[peer].push_back(slot);
    ++count_;
    slot->connection->start(slot->link);
    return slot;
  }

  Task<void> close_idle_connections() {
    for (;;) {
      co_await scheduler_.sleep(bounds_.idle / 8);
      const Clock::time_point before = Clock::now() - bounds_.idle;
      for (const auto& [peer, slots] : peers_) {
        for (const SlotPtr& slot : slots) {
          if (slot->streams <= 0 && slot->last_used < before) {
            slot->connection->close(ConnectionEnd::kIdle);
          }
        }
      }
    }
  }

  Scheduler& scheduler_;
  Bounds bounds_;
  LinkFactory create_link_;
  std::map<std::string, std::vector<SlotPtr>> peers_;
  int count_ = 0;
};

}  // namespace trailcourse::transport
