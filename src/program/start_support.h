// Connects the optional parts of a router that help many routers to start at the same time: the endpoint view
// before the decision module, the snapshot on disk, the relay for peers, and the options and hooks of the
// discovery client. Each part exists only if the operator's file has its section.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "discovery/event_log.h"
#include "program/configuration.h"
#include "routing/discovery_client.h"
#include "routing/discovery_update_handler.h"
#include "routing/relay.h"
#include "routing/router.h"
#include "snapshot/snapshot_directory.h"
#include "snapshot/write_scheduler.h"
#include "startup/endpoint_view.h"
#include "startup/fleet_size.h"
#include "startup/relay_selector.h"
#include "store/executor.h"
#include "transport/mailbox.h"
#include "transport/timer.h"

namespace trailcourse::program {

// Owns these parts and connects them to the router.
class StartSupport {
 public:
  // The arguments have to outlive this object.
  StartSupport(transport::Scheduler& scheduler, const Configuration& configuration);
  ~StartSupport();
  StartSupport(const StartSupport&) = delete;
  StartSupport& operator=(const StartSupport&) = delete;

  // Appends the events that the decision module has to handle before any other event at `now`.
  void collect_due_events(Micros now, std::vector<Event>& out);

  // Applies the endpoint list and purges of the configuration, and then those of the snapshot if they are
  // newer. Both objects have to exist while the scheduler runs.
  void initialize(routing::Router& router, routing::DiscoveryUpdateHandler& update_handler);

  // Starts the relay, if there is one. Throws std::system_error if its address is not available.
  void listen();

  // Return the arguments of the discovery client. Hooks and relays refer to this object.
  routing::DiscoveryClient::Options discovery_options() const;
  routing::DiscoveryClient::Hooks discovery_hooks();
  routing::DiscoveryClient::Relays discovery_relays();

  // Sets the client whose fleet size and server id this object maintains. It has to exist while the
  // scheduler runs.
  void set_discovery_client(routing::DiscoveryClient& client);

  // Returns whether the endpoint list is current enough to serve.
  bool ready() const;

  // Returns the maximum number of connections to one cache or parent; `default_max` without the section
  // startup.
  int max_connections_per_peer(int default_max) const;

  // Returns one line of JSON, for `/healthz` and `trailcourse fleet`; empty without any of the sections.
  std::string status() const;

 private:
  void load_snapshot(routing::DiscoveryUpdateHandler& update_handler);
  void step_router();
  void set_timer();
  void update_fleet_size();
  transport::Task<void> write_snapshots();
  transport::Task<void> reject_stale_polls_periodically();
  void write_snapshot();

  transport::Scheduler& scheduler_;
  const Configuration& configuration_;
  startup::FleetSize fleet_size_;
  std::optional<startup::EndpointView> endpoint_view_;
  discovery::EventLog log_;
  std::optional<startup::RelaySelector> relay_selector_;
  std::optional<routing::Relay> relay_;
  std::unique_ptr<transport::Mailbox> mailbox_;
  std::unique_ptr<store::IoPool> pool_;
  std::optional<snapshot::SnapshotDirectory> snapshot_directory_;
  std::optional<snapshot::WriteScheduler> write_scheduler_;
  std::string snapshot_source_id_;
  Micros confirmed_at_{-1};  // steady time at which the data was last current; -1: unknown
  routing::Router* router_ = nullptr;
  const routing::DiscoveryUpdateHandler* update_handler_ = nullptr;
  routing::DiscoveryClient* discovery_client_ = nullptr;
  transport::Timer timer_;
  bool snapshot_used_ = false;
  bool is_tree_root_ = false;  // of the relay tree
  int tree_size_ = 1;          // routers in the relay tree
  int tree_depth_ = 1;         // level of this router in the relay tree; the root has 1
};

}  // namespace trailcourse::program
