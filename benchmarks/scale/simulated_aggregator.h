// An aggregator of a simulated fleet: runs aggregation::Aggregator between the simulated routers and the
// store.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "aggregation/aggregator.h"
#include "scale/simulated_store_client.h"

namespace trailcourse::scale {

class SimulatedAggregator : public SimulatedStoreClient, public StoreServer {
 public:
  SimulatedAggregator(Simulation& simulation, std::string name, int region, std::vector<std::string> zones,
                      StoreServer& store, const aggregation::AggregatorSettings& settings);

  SimulatedProcess& process() override { return *this; }
  Reply grant(Micros ttl) override;
  Reply keep_alive(coordination::LeaseId lease) override;
  Reply revoke(coordination::LeaseId lease) override;
  Reply commit(const coordination::Transaction& transaction) override;
  Reply begin_watch(SimulatedStoreClient& client, std::uint64_t watch) override;
  void end_watch(SimulatedStoreClient& client) override { watches_.remove(client); }
  void resend_snapshot(SimulatedStoreClient& client) override;

  // Whether the aggregator has an active lease at the store.
  bool has_lease() const { return aggregator_ && aggregator_->upstream().is_active(clock()); }
  std::size_t router_count() const { return aggregator_ ? aggregator_->router_count() : 0; }
  std::size_t watch_count() const { return watches_.size(); }
  std::string describe() const;

 protected:
  void on_started() override;
  void on_resumed() override { changed_ = true; }
  void step() override;
  void on_watch_update(const WatchUpdate& update) override;
  void on_watch_closed() override;

 private:
  // Executes a router's call: `function` sets the fields of the reply, or throws RequestRejected.
  template <typename Function>
  Reply execute_call(Function function);
  void execute(const aggregation::LeaseAction& action);
  void execute(const aggregation::ReportSummariesAction& action);
  void on_no_response(std::uint64_t call_id);
  void acquire(const aggregation::LeaseAction& action);
  void renew(std::uint64_t call_id);
  void release(std::uint64_t call_id);
  // Writes the first summaries of this aggregator under its new lease. Revokes the lease if that fails.
  void join(const aggregation::LeaseAction& action, coordination::LeaseId lease);

  aggregation::AggregatorSettings settings_;
  std::vector<std::string> zones_;
  std::optional<aggregation::Aggregator> aggregator_;
  coordination::LeaseId lease_ = 0;
  WatchList watches_;
  bool changed_ = false;  // whether an event or a result has arrived since the last step
};

// Returns an update with all records under policy/, such as the first update of a watch.
SharedWatchUpdate snapshot_update(const coordination::KeyValueState& records);
// Returns an update with these changes. `records` already contains them.
SharedWatchUpdate changes_update(const coordination::KeyValueState& records,
                                 std::vector<coordination::KeyChange> changes);

}  // namespace trailcourse::scale
