// A cache node: connects NodeCore with the command server, the sources, the store and the discovery service.
//
// Library `cache_node`. Not thread-safe: it belongs to its scheduler's thread. The store does its disk work
// on other threads.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cache_node/command_server.h"
#include "cache_node/node_core.h"
#include "cache_node/node_options.h"
#include "cache_node/source_client.h"
#include "fencing/token_store.h"
#include "protocol/settings.h"
#include "routing/discovery_client.h"
#include "routing/endpoint_directory.h"
#include "store/store.h"
#include "transport/timer.h"

namespace trailcourse::cache_node {

// Serves the commands of routers and other nodes, and applies the events of the discovery service.
class Node : public CommandHandler, public routing::DiscoveryListener {
 public:
  // The addresses in the options must be valid. `lookup_timeout_ms` limits a disk read of a request; `seed`
  // seeds the jitter of polls of the discovery service. The scheduler and the store have to outlive the node.
  Node(transport::Scheduler& scheduler, const NodeOptions& options, const ClassMap& classes,
       std::int64_t lookup_timeout_ms, store::Store& store, std::uint64_t seed);

  // Sets the store of the fencing tokens, which has to outlive the node. Without one, commands with a fencing
  // token are rejected.
  void set_token_store(fencing::TokenStore& token_store) { token_store_ = &token_store; }
  // Listens at once; while the store recovers, its copies count as missing. Throws std::system_error if the
  // address cannot be listened on.
  void start();
  // Accepts no more connections; each open connection closes once its answers are written.
  void stop();
  // Returns the number of open requests.
  std::size_t open_requests() const { return core_.open_requests(); }

  void serve(Ticket ticket, protocol::ServeFields fields, std::string body) override;
  void cancel(Ticket ticket) override;
  bool accepting() const override { return !stopping_; }
  std::string load_report() const override;

  void apply(const protocol::DiscoveryPage& page) override;
  std::uint64_t last_sequence() const override { return last_sequence_; }
  void reset_sequence() override { last_sequence_ = 0; }

  // Returns the counters as one line, "name=value name=value".
  std::string report() const;

 private:
  void apply_endpoints(const protocol::EndpointsChanged& change);
  EventContext now() const;
  void on_admitted(Ticket ticket, fencing::AdmitResult result);
  void run_actions(std::vector<Action>& actions);
  void perform(const Answer& answer);
  void perform(const Lookup& lookup);
  void perform(const AbandonLookup& abandoned);
  void perform(const Fetch& fetch);
  void perform(const StopFetch& stop) { sources_.stop(stop.fill); }
  void perform(const StoreCopy& insert) { store_.insert(insert.name, insert.copy, insert.rank); }
  void perform(const ObjectTooLarge& object);
  void perform(const CompletePartialCopy& complete);
  void perform(const DropCopy& drop) { store_.drop(drop.name); }
  void on_fetch_result(FillNumber fill, const FetchResult& result);
  void set_timer();
  void on_store_opened();
  void on_board_wait_over();
  transport::Task<void> report_periodically();

  transport::Scheduler& scheduler_;
  NodeOptions options_;
  store::Store& store_;
  routing::EndpointDirectory directory_;
  std::map<std::string, transport::Address> configured_sources_;
  NodeCore core_;
  CommandServer server_;
  SourceClient sources_;
  protocol::DeploymentSettings deployment_;  // default values: a node does not distinguish kinds of endpoints
  std::optional<routing::DiscoveryClient> discovery_;
  std::uint64_t last_sequence_ = 0;
  // The latest steady time at which this node is known to have had all events of the discovery service.
  std::optional<Micros> events_known_at_;
  bool discovery_received_ = false;
  bool stopping_ = false;
  transport::Timer timer_;
  std::unordered_map<RequestNumber, std::uint64_t> disk_reads_;
  std::vector<Action> actions_;
  bool running_actions_ = false;
  fencing::TokenStore* token_store_ = nullptr;
  std::string last_logged_token_;
  // Commands whose fencing token is not durable yet.
  std::unordered_map<Ticket, std::pair<protocol::ServeFields, std::string>> awaiting_admission_;
};

}  // namespace trailcourse::cache_node
