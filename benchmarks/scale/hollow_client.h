// A client of the store's calls, as coordination::EtcdStore is one: it asks one of several servers, goes to
// another one where that fails, and watches the policy's records at one of them.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "coordination/judgement.h"
#include "coordination/types.h"
#include "policy/participant.h"
#include "scale/hollow_node.h"

namespace trailcourse::scale {

class StoreClient;

// What a watch of the policy's records tells.
struct News {
  policy::ObservedState known;                // for any zone: the model has no stages
  bool whole = false;                         // all entries, at the beginning or after a break
  std::vector<coordination::Entry> entries;   // of what is whole
  std::vector<coordination::Change> changes;  // of what is not
  std::size_t bytes = 0;
};
using SharedNews = std::shared_ptr<const News>;

// Those who watch one server's records of the policy.
class WatchList {
 public:
  explicit WatchList(Simulation& simulation) : simulation_(simulation) {}

  void add(StoreClient& client, std::uint64_t watch);
  void remove(const StoreClient& client);
  void clear() { watches_.clear(); }
  std::size_t size() const { return watches_.size(); }
  // The time that the server spends on it; lines leave one after the other, the first once `before` is over.
  Micros tell(Node& server, const SharedNews& news, Micros before);
  void tell_one(Node& server, StoreClient& client, const SharedNews& news, Micros leaves);

 private:
  struct Watch {
    StoreClient* client = nullptr;
    std::uint64_t number = 0;
    Micros told_until{0};  // lines don't overtake each other
  };
  Simulation& simulation_;
  std::map<std::uint64_t, Watch> watches_;  // by the client's serial number: one order in each run
};

// What routers call: the store itself, or an aggregator.
class PermitServer {
 public:
  PermitServer() = default;
  PermitServer(const PermitServer&) = delete;
  PermitServer& operator=(const PermitServer&) = delete;
  virtual ~PermitServer() = default;

  virtual Node& node() = 0;
  virtual Reply grant(Micros ttl) = 0;
  virtual Reply keep_alive(coordination::LeaseId lease) = 0;
  virtual Reply revoke(coordination::LeaseId lease) = 0;
  virtual Reply commit(const coordination::Transaction& transaction) = 0;
  virtual Reply begin_watch(StoreClient& client, std::uint64_t watch) = 0;
  // The client has closed it.
  virtual void end_watch(StoreClient& client) = 0;
  // After a break of the network that the connection outlived.
  virtual void tell_again(StoreClient& client) = 0;
};

class StoreClient : public Node {
 public:
  StoreClient(Simulation& simulation, std::string name, int region, std::vector<PermitServer*> servers);

  // A line of watch `watch`, of this incarnation.
  void hear(std::uint64_t watch, const SharedNews& news);
  // Links or servers may have changed: finds out, in its time, whether its watch has ended.
  void check_watch();

 protected:
  struct Asking {
    std::size_t bytes_asked = 0;
    std::size_t bytes_answered = 0;
    std::function<Reply(PermitServer&)> work;
    std::function<void(const Reply&)> answered;  // done or rejected
    std::function<void()> lost;
  };
  void ask(Asking asking);
  void ask_grant(Micros ttl, std::function<void(const Reply&)> answered, std::function<void()> lost);
  void ask_keep_alive(coordination::LeaseId lease, std::function<void(const Reply&)> answered,
                      std::function<void()> lost);
  void ask_revoke(coordination::LeaseId lease, std::function<void(const Reply&)> answered,
                  std::function<void()> lost);
  void ask_commit(coordination::Transaction transaction, std::function<void(const Reply&)> answered,
                  std::function<void()> lost);

  virtual void heard(const News& news) = 0;
  virtual void silent() = 0;
  void begin_client();
  bool watching() const { return watch_open_; }

 private:
  Micros true_now() const { return simulation().events.now(); }
  void open_watch();
  void watch_ended();
  bool watch_reachable() const;

  std::vector<PermitServer*> servers_;
  coordination::Endpoints endpoints_;
  std::uint64_t watch_ = 0;
  bool watch_open_ = false;
  std::size_t watched_ = 0;  // the server
  int watched_incarnation_ = 0;
};

}  // namespace trailcourse::scale
