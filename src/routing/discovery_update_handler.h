// Takes the notice board's pages in: changes of the list and purges become the module's events, addresses go
// to the directory.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "protocol/discovery_page.h"
#include "routing/discovery_listener.h"
#include "routing/endpoint_directory.h"
#include "routing/router.h"

namespace trailcourse::routing {

class DiscoveryUpdateHandler : public DiscoveryListener {
 public:
  // `unwanted` is called with the name of a cache that is gone or has moved.
  using Unwanted = std::function<void(const std::string&)>;

  DiscoveryUpdateHandler(Router& router, Directory& directory, Unwanted unwanted)
      : router_(router), directory_(directory), unwanted_(std::move(unwanted)) {}

  void take(const protocol::DiscoveryPage& page) override;

  // Lists go there instead of to the router, as where a gate stands before the decision module.
  using ListReceiver = std::function<void(EndpointListReceived)>;
  void set_list_receiver(ListReceiver to) { list_to_ = std::move(to); }

  // The number of the last event taken in.
  std::uint64_t last() const override { return last_; }
  // Caches known before stay until the new list says otherwise; purges go on binding.
  void reset_sequence() override {
    last_ = 0;
    listed_ = false;
  }
  // Whether any cache is up: before that no request can be served.
  bool ready() const { return !up_.empty(); }

 private:
  void take(const protocol::EndpointsChanged& pool);
  void take(const protocol::PurgeReceived& flush);
  bool place(const protocol::ListedEndpoint& cache);
  void leave_out(const std::string& name);

  Router& router_;
  Directory& directory_;
  Unwanted unwanted_;
  ListReceiver list_to_;
  std::uint64_t last_ = 0;
  bool listed_ = false;
  std::map<std::string, std::pair<NodeState, std::int64_t>> known_;  // state and start of those listed
  std::set<std::string> up_;
};

}  // namespace trailcourse::routing
