// A cache node: its listener, its sources, its store and the notice board, put together around NodeCore.
//
// Package `cache_node`. One thread; the store's disk work runs elsewhere.
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

class Node : public Service, public routing::DiscoveryListener {
 public:
  // Addresses in the options must have been checked. `seed` is for pauses between calls of the notice board.
  Node(transport::Scheduler& scheduler, const NodeOptions& options, const ClassMap& classes,
       std::int64_t lookup_ms, store::Store& store, std::uint64_t seed);

  // What remembers the terms of fenced commands; without one they are refused. Outlives the node.
  void use(fencing::TokenStore& terms) { terms_ = &terms; }
  // Listens at once: while the store recovers, what it holds counts as missing. Throws std::system_error.
  void start();
  // Takes nothing new; what is open goes on.
  void stop();
  std::size_t open() const { return core_.open(); }

  void serve(Ticket ticket, protocol::ServeFields fields, std::string body) override;
  void cancel(Ticket ticket) override;
  bool up() const override { return !stopping_; }
  std::string meter() const override;

  void apply(const protocol::DiscoveryPage& page) override;
  std::uint64_t last_sequence() const override { return heard_; }
  void reset_sequence() override { heard_ = 0; }

  // One line of figures.
  std::string report() const;

 private:
  void take(const protocol::EndpointsChanged& pool);
  Moment now() const;
  void on_admitted(Ticket ticket, fencing::AdmitResult result);
  void carry_out(std::vector<Action>& actions);
  void perform(const Answer& answer);
  void perform(const LookUp& look_up);
  void perform(const GiveUpLookUp& give_up);
  void perform(const Fetch& fetch);
  void perform(const StopFetch& stop) { sources_.stop(stop.fill); }
  void perform(const Keep& keep) { store_.insert(keep.name, keep.copy, keep.rank); }
  void perform(const TooLarge& object);
  void perform(const Complete& complete);
  void perform(const Drop& drop) { store_.drop(drop.name); }
  void fetched(FillNumber fill, const FetchResult& result);
  void set_timer();
  void opened();
  transport::Task<void> report_now_and_then();

  transport::Scheduler& scheduler_;
  NodeOptions options_;
  store::Store& store_;
  routing::EndpointDirectory directory_;
  std::map<std::string, transport::Address> fixed_;
  NodeCore core_;
  CommandServer server_;
  SourceClient sources_;
  protocol::Profile profile_;  // of the notice board's list: a node needs no kinds
  std::optional<routing::DiscoveryClient> board_;
  std::uint64_t heard_ = 0;
  bool board_heard_ = false;
  bool stopping_ = false;
  transport::Alarm timer_;
  std::unordered_map<RequestNumber, std::uint64_t> readings_;
  std::vector<Action> actions_;
  bool carrying_out_ = false;
  fencing::TokenStore* terms_ = nullptr;
  std::string last_fence_;  // in the log
  std::unordered_map<Ticket, std::pair<protocol::ServeFields, std::string>>
      fenced_;  // whose term is being kept
};

}  // namespace trailcourse::cache_node
