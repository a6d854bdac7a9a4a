// Applies the pages of the discovery service: passes endpoint updates and purges to the decision module as
// events, and stores the addresses of caches in the directory.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "protocol/discovery_page.h"
#include "routing/discovery_listener.h"
#include "routing/endpoint_directory.h"
#include "routing/router.h"

namespace trailcourse::routing {

// Applies events to the router and the directory.
class DiscoveryUpdateHandler : public DiscoveryListener {
 public:
  // Called with the name of a cache that was removed, has restarted or has another address.
  using EndpointRemoved = std::function<void(const std::string&)>;

  // `router` and `directory` have to outlive this object.
  DiscoveryUpdateHandler(Router& router, EndpointDirectory& directory, EndpointRemoved on_removed)
      : router_(router), directory_(directory), on_removed_(std::move(on_removed)) {}

  void apply(const protocol::DiscoveryPage& page) override;

  // Sets a receiver that gets the endpoint lists instead of the router, such as endpoint admission.
  using ListReceiver = std::function<void(EndpointListReceived)>;
  void set_list_receiver(ListReceiver receiver) { list_receiver_ = std::move(receiver); }

  std::uint64_t last_sequence() const override { return last_sequence_; }
  // Keeps the known caches until the next endpoint list, which counts as complete. Purges stay in force.
  void reset_sequence() override {
    last_sequence_ = 0;
    list_received_ = false;
  }

  // Returns whether any cache is up. No request can be served before that.
  bool has_ready_endpoint() const { return !ready_.empty(); }

 private:
  void apply(const protocol::EndpointsChanged& update);
  void apply(const protocol::PurgeReceived& purge);
  // Stores the state and the address of a cache. Returns false if the entry is invalid.
  bool set_endpoint(const protocol::ListedEndpoint& cache);
  void remove_endpoint(const std::string& name);
  // Returns the names whose process has gone because `cache`, which started later, has their address.
  std::vector<std::string> replaced_by(const protocol::ListedEndpoint& cache) const;
  // Returns whether a process that started later has the address of `cache`.
  bool is_replaced(const protocol::ListedEndpoint& cache) const;
  // Removes an endpoint whose address another process has, and adds that to `list`.
  void remove_replaced(const std::string& name, EndpointListReceived& list);

  Router& router_;
  EndpointDirectory& directory_;
  EndpointRemoved on_removed_;
  ListReceiver list_receiver_;
  std::uint64_t last_sequence_ = 0;
  bool list_received_ = false;
  std::map<std::string, std::pair<NodeState, std::int64_t>> listed_endpoints_;  // state, start (Unix ms)
  std::set<std::string> ready_;
};

}  // namespace trailcourse::routing
