// The start of a router among many, put together: the gate before the decision module, the snapshot on disk,
// the relay for peers, and what the notice board's watcher is told to do with what it hears. Each part is
// there only where the operator's file has its section; without any the router is a plain one.
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

class StartSupport {
 public:
  StartSupport(transport::Scheduler& scheduler, const Configuration& configuration);
  ~StartSupport();
  StartSupport(const StartSupport&) = delete;
  StartSupport& operator=(const StartSupport&) = delete;

  // What the module is to be told before an event at `now`.
  void before(Micros now, std::vector<Event>& out);
  // Takes in what is known at the start: of the configuration, and of a snapshot that can be believed.
  void begin(routing::Router& router, routing::DiscoveryUpdateHandler& taker);
  // Throws std::system_error where the relay's address cannot be listened on.
  void listen();

  routing::DiscoveryClient::Options watcher_bounds() const;
  routing::DiscoveryClient::Hooks hooks();
  routing::DiscoveryClient::Relays relays();
  void use(routing::DiscoveryClient& watcher);

  bool ready() const;
  // Connections to one cache or parent.
  int connections(int per_peer) const;
  // One line of JSON, for `/healthz` and `trailcourse fleet`; empty without any of the sections.
  std::string status() const;

 private:
  Micros known_from_config() const;
  void load_snapshot(routing::DiscoveryUpdateHandler& taker);
  void poke();
  void set_timer();
  void note_size();
  transport::Task<void> keep_snapshot();
  transport::Task<void> look_after_relay();
  void write_snapshot();

  transport::Scheduler& scheduler_;
  const Configuration& configuration_;
  startup::FleetSize size_;
  std::optional<startup::EndpointView> gate_;
  discovery::EventLog log_;
  std::optional<startup::RelaySelector> upstream_;
  std::optional<routing::Relay> relay_;
  std::unique_ptr<transport::Mailbox> mailbox_;
  std::unique_ptr<store::IoPool> pool_;
  std::optional<snapshot::SnapshotDirectory> folder_;
  std::optional<snapshot::WriteScheduler> writer_;
  std::string snapshot_board_id_;
  Micros confirmed_steady_{-1};
  routing::Router* router_ = nullptr;
  const routing::DiscoveryUpdateHandler* taker_ = nullptr;
  routing::DiscoveryClient* watcher_ = nullptr;
  transport::Alarm timer_;
  bool snapshot_used_ = false;
  bool root_ = false;  // of its relay tree
  int tree_size_ = 1;
  int depth_ = 1;
};

}  // namespace trailcourse::program
