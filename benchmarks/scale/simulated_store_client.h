// A client of the coordination store, like coordination::EtcdStore: sends each call to one of several
// servers, fails over to another server after a failure, and watches the policy records at one of them.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "coordination/endpoint_selector.h"
#include "coordination/types.h"
#include "policy/participant.h"
#include "scale/simulated_process.h"

namespace trailcourse::scale {

class SimulatedStoreClient;

// A message on a watch of the policy records: a snapshot of them, or changes.
struct WatchUpdate {
  policy::ObservedState observed;                // the same for all zones: the model has no rollout stages
  bool is_snapshot = false;                      // the first update, and the first after an interruption
  std::vector<coordination::Entry> entries;      // all entries, of a snapshot
  std::vector<coordination::KeyChange> changes;  // of an update that is not a snapshot
  std::size_t bytes = 0;                         // on the wire
};
using SharedWatchUpdate = std::shared_ptr<const WatchUpdate>;

// The watches of the policy records at one server.
class WatchList {
 public:
  explicit WatchList(Simulation& simulation) : simulation_(simulation) {}

  void add(SimulatedStoreClient& client, std::uint64_t watch);
  void remove(const SimulatedStoreClient& client);
  void clear() { watches_.clear(); }
  std::size_t size() const { return watches_.size(); }
  // Sends the update to all watches, one after the other, the first after `delay`. Returns the processor time
  // that the server spends on it.
  Micros send_to_all(SimulatedProcess& server, const SharedWatchUpdate& update, Micros delay);
  // Sends the update to the watch of one client after `delay`.
  void send_to(SimulatedProcess& server, SimulatedStoreClient& client, const SharedWatchUpdate& update,
               Micros delay);

 private:
  struct Watch {
    SimulatedStoreClient* client = nullptr;
    std::uint64_t number = 0;
    Micros last_arrival{0};  // no later update arrives before this; keeps updates in order
  };
  Simulation& simulation_;
  std::map<std::uint64_t, Watch> watches_;  // by the client's serial number, so that runs are reproducible
};

// Executes the store calls of routers. The store itself and the aggregators implement it.
class StoreServer {
 public:
  StoreServer() = default;
  StoreServer(const StoreServer&) = delete;
  StoreServer& operator=(const StoreServer&) = delete;
  virtual ~StoreServer() = default;

  virtual SimulatedProcess& process() = 0;
  virtual Reply grant(Micros ttl) = 0;
  virtual Reply keep_alive(coordination::LeaseId lease) = 0;
  virtual Reply revoke(coordination::LeaseId lease) = 0;
  virtual Reply commit(const coordination::Transaction& transaction) = 0;
  // Opens a watch for the client, under the client's number for it. The reply contains a snapshot.
  virtual Reply begin_watch(SimulatedStoreClient& client, std::uint64_t watch) = 0;
  // Removes the watch of a client that has closed it.
  virtual void end_watch(SimulatedStoreClient& client) = 0;
  // Sends a snapshot to the watch of a client after a network interruption that the connection survived.
  virtual void resend_snapshot(SimulatedStoreClient& client) = 0;
};

// A process that calls the store, or the aggregators of its region, and watches the policy records there.
class SimulatedStoreClient : public SimulatedProcess {
 public:
  SimulatedStoreClient(Simulation& simulation, std::string name, int region,
                       std::vector<StoreServer*> servers);

  // Receives an update of the watch with this number. Ignores updates of closed watches.
  void receive_update(std::uint64_t watch, const SharedWatchUpdate& update);
  // Checks whether the watch still works, and reopens it otherwise, after the time that a client needs to
  // detect the end of the watch. Called when links or servers have changed.
  void check_watch();

 protected:
  struct StoreRequest {
    std::size_t request_bytes = 0;
    std::size_t response_bytes = 0;
    std::function<Reply(StoreServer&)> execute;
    std::function<void(const Reply&)> on_reply;  // the call was executed or rejected
    std::function<void()> on_lost;               // no reply came, or no server is available
  };
  void send_request(StoreRequest request);
  void request_grant(Micros ttl, std::function<void(const Reply&)> on_reply, std::function<void()> on_lost);
  void request_keep_alive(coordination::LeaseId lease, std::function<void(const Reply&)> on_reply,
                          std::function<void()> on_lost);
  void request_revoke(coordination::LeaseId lease, std::function<void(const Reply&)> on_reply,
                      std::function<void()> on_lost);
  void request_commit(coordination::Transaction transaction, std::function<void(const Reply&)> on_reply,
                      std::function<void()> on_lost);

  virtual void on_watch_update(const WatchUpdate& update) = 0;
  virtual void on_watch_closed() = 0;
  // Resets the client and opens its watch; called when the process starts.
  void start_client();
  bool watching() const { return watch_open_; }

 private:
  Micros true_now() const { return simulation().events.now(); }
  void open_watch();
  // Closes the watch and opens a new one after a backoff.
  void reopen_watch();
  bool watch_reachable() const;

  std::vector<StoreServer*> servers_;
  coordination::EndpointSelector endpoints_;
  std::uint64_t watch_number_ = 0;  // of the current watch; messages of earlier watches are ignored
  bool watch_open_ = false;
  std::size_t watched_server_ = 0;      // index in `servers_`
  int watched_server_incarnation_ = 0;  // when the watch was opened
};

}  // namespace trailcourse::scale
