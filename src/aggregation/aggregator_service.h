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
#include "coordination/etcd_server.h"
#include "coordination/shared_store.h"
#include "transport/alarm.h"
#include "transport/deferred.h"

namespace trailcourse::aggregation {

class AggregatorService : public coordination::EtcdService, public coordination::Watcher {
 public:
  // `options` must have been checked. `prefix`: of all keys in the store. `seed`: differs from start to
  // start. The store outlives it.
  AggregatorService(transport::Scheduler& scheduler, coordination::SharedStore& store,
                    const AggregatorOptions& options, const std::string& prefix, std::uint64_t seed);
  ~AggregatorService() override;

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
  Answer answer(const std::string& path, const nlohmann::json& body) override;
  void read(const Look& look) override;
  // /healthz: 200 while routers may be given permission.
  std::optional<Answer> page(const std::string& path) override;

  // ---- From the store above ----
  void current(coordination::Revision revision, const std::vector<coordination::Entry>& entries) override;
  void changed(coordination::Revision revision, const std::vector<coordination::Change>& changes) override;
  void silent(const std::string& why) override;
  void heard() override;

 private:
  static Micros now();
  coordination::etcd::Header header() const;
  nlohmann::json carry_out(const std::string& path, const nlohmann::json& body);
  nlohmann::json grant(const nlohmann::json& body);

  void turn();
  void turn_soon() { next_turn_.post(); }
  void records_changed();
  void carry_out(const LeaseAction& ask);
  void carry_out(const ReportSummariesAction& say);
  void acquire(const LeaseAction& ask);
  void join(const LeaseAction& ask, coordination::LeaseId lease);

  transport::Scheduler& scheduler_;
  coordination::SharedStore& store_;
  AggregatorOptions options_;
  std::string prefix_;
  Aggregator core_;
  coordination::EtcdServer server_;
  transport::Alarm timer_;
  transport::Deferred next_turn_;
  coordination::SharedStore::WatchId watch_ = 0;
  coordination::LeaseId lease_ = 0;  // of its own permission
  Micros longest_ttl_{0};
  bool heard_ = false;
  bool turning_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace trailcourse::aggregation
