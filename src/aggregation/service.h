// An aggregator carried out: its calls to the store above, and a server for the routers below, which speaks
// to them as the store would. It decides nothing by itself; aggregator.h does.
//
// Package `aggregation`, over `coordination` and `policy`. One thread.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "aggregation/aggregator.h"
#include "aggregation/options.h"
#include "coordination/coordination_store.h"
#include "coordination/etcd_server.h"
#include "transport/alarm.h"
#include "transport/deferred.h"

namespace trailcourse::aggregation {

class Service : public coordination::EtcdService, public coordination::WatchObserver {
 public:
  // `options` must have been checked. `prefix`: of all keys in the store. `seed`: differs from start to
  // start. The store outlives it.
  Service(transport::Scheduler& scheduler, coordination::CoordinationStore& store,
          const AggregatorOptions& options, const std::string& prefix, std::uint64_t seed);
  ~Service() override;

  // Begins to follow the store and to take routers. Throws std::system_error.
  void start();
  // Takes no router any more; its own permission goes back once the routers' have run out.
  void drain();
  bool drained() const { return core_.drained(); }
  // The longest time for which a router was given permission.
  Micros longest_ttl() const { return longest_ttl_; }
  // One line of figures.
  std::string report() const;
  const Aggregator& core() const { return core_; }

  // ---- From routers ----
  Response handle(const std::string& path, const nlohmann::json& body) override;
  void read_state(const StateReader& reader) override;
  // /healthz: 200 while routers may be given permission.
  std::optional<Response> handle_get(const std::string& path) override;

  // ---- From the store above ----
  void on_snapshot(coordination::Revision revision, const std::vector<coordination::Entry>& entries) override;
  void on_changes(coordination::Revision revision,
                  const std::vector<coordination::KeyChange>& changes) override;
  void on_disconnected(const std::string& why) override;
  void on_heartbeat() override;

 private:
  static Micros now();
  coordination::etcd::ResponseHeader header() const;
  nlohmann::json carry_out(const std::string& path, const nlohmann::json& body);
  nlohmann::json grant(const nlohmann::json& body);

  void turn();
  void turn_soon() { next_turn_.post(); }
  void records_changed();
  void carry_out(const AskPermission& ask);
  void carry_out(const SaySummaries& say);
  void acquire(const AskPermission& ask);
  void join(const AskPermission& ask, coordination::LeaseId lease);

  transport::Scheduler& scheduler_;
  coordination::CoordinationStore& store_;
  AggregatorOptions options_;
  std::string prefix_;
  Aggregator core_;
  coordination::EtcdServer server_;
  transport::Alarm timer_;
  transport::Deferred next_turn_;
  coordination::CoordinationStore::WatchId watch_ = 0;
  coordination::LeaseId lease_ = 0;  // of its own permission
  Micros longest_ttl_{0};
  bool heard_ = false;
  bool turning_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace trailcourse::aggregation
