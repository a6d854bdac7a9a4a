// The I/O of an aggregator: executes the calls to the store that aggregator.h decides on, and serves routers
// over the store's own protocol. All decisions are made by aggregator.h.
//
// Library `aggregation`, over `coordination` and `policy`. Not thread-safe: it belongs to its scheduler's
// thread.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "aggregation/aggregator.h"
#include "aggregation/options.h"
#include "coordination/coordination_store.h"
#include "coordination/etcd_server.h"
#include "transport/deferred_job.h"
#include "transport/timer.h"

namespace trailcourse::aggregation {

class AggregatorService : public coordination::EtcdService, public coordination::WatchObserver {
 public:
  // `options` must have been checked. `prefix` is that of all keys in the store. `seed` has to be different
  // for each start. `scheduler` and `store` have to outlive the service.
  AggregatorService(transport::Scheduler& scheduler, coordination::CoordinationStore& store,
                    const AggregatorOptions& options, const std::string& prefix, std::uint64_t seed);
  ~AggregatorService() override;

  // Starts to watch the store and to listen for routers. Throws std::system_error if it cannot listen.
  void start();
  // Stops granting and renewing leases. The service is drained once no router has a lease and its own lease
  // is released.
  void drain();
  bool drained() const { return aggregator_.drained(); }
  // Returns the longest duration of a router's lease that was granted so far.
  Micros longest_ttl() const { return longest_ttl_; }
  // Returns one line of counters for the log.
  std::string status_line() const;
  const Aggregator& aggregator() const { return aggregator_; }

  // ---- EtcdService: calls of routers ----
  Response handle(const std::string& path, const nlohmann::json& body) override;
  void read_state(const StateReader& reader) override;
  // Answers /healthz with 200 while the aggregator's own lease is valid, otherwise with 503. Returns nothing
  // for other paths.
  std::optional<Response> handle_get(const std::string& path) override;

  // ---- WatchObserver: the store's records ----
  void on_snapshot(coordination::Revision revision, const std::vector<coordination::Entry>& entries) override;
  void on_changes(coordination::Revision revision,
                  const std::vector<coordination::KeyChange>& changes) override;
  void on_disconnected(const std::string& reason) override;
  void on_heartbeat() override;

 private:
  static Micros now();
  coordination::etcd::ResponseHeader header() const;
  nlohmann::json handle_call(const std::string& path, const nlohmann::json& body);
  nlohmann::json handle_transaction(const nlohmann::json& body);
  nlohmann::json handle_grant(const nlohmann::json& body);
  nlohmann::json handle_keep_alive(const nlohmann::json& body);
  nlohmann::json handle_revoke(const nlohmann::json& body);

  void run_step();
  void schedule_step() { next_step_.post(); }
  void schedule_step_at(Micros when);
  void publish_records();
  void execute(const LeaseAction& action);
  void execute(const ReportSummariesAction& action);
  void acquire(const LeaseAction& action);
  void join(const LeaseAction& action, coordination::LeaseId lease);
  void renew(std::uint64_t call_id);
  void release(std::uint64_t call_id);
  // Returns a response handler that calls `handler` and schedules a step, unless the service has been
  // destroyed.
  template <typename Handler>
  auto while_alive(Handler handler);

  transport::Scheduler& scheduler_;
  coordination::CoordinationStore& store_;
  AggregatorOptions options_;
  std::string prefix_;
  Aggregator aggregator_;
  coordination::EtcdServer server_;
  transport::Timer timer_;
  transport::DeferredJob next_step_;
  coordination::CoordinationStore::WatchId watch_ = 0;
  coordination::LeaseId lease_ = 0;  // the aggregator's own
  Micros longest_ttl_{0};
  bool connected_ = false;  // to the store
  bool in_step_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace trailcourse::aggregation
