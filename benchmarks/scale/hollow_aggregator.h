// An aggregator of a simulated fleet: the real aggregation::Aggregator between hollow routers and the store.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "aggregation/aggregator.h"
#include "scale/hollow_client.h"

namespace trailcourse::scale {

class HollowAggregator : public StoreClient, public PermitServer {
 public:
  HollowAggregator(Simulation& simulation, std::string name, int region, std::vector<std::string> zones,
                   PermitServer& store, const aggregation::AggregatorSettings& settings);

  Node& node() override { return *this; }
  Reply grant(Micros ttl) override;
  Reply keep_alive(coordination::LeaseId lease) override;
  Reply revoke(coordination::LeaseId lease) override;
  Reply commit(const coordination::Transaction& transaction) override;
  Reply begin_watch(StoreClient& client, std::uint64_t watch) override;
  void end_watch(StoreClient& client) override { watches_.remove(client); }
  void tell_again(StoreClient& client) override;

  bool permitted() const { return aggregator_ && aggregator_->upstream().is_active(clock()); }
  std::size_t routers() const { return aggregator_ ? aggregator_->router_count() : 0; }
  std::size_t watches() const { return watches_.size(); }
  std::string describe() const;

 protected:
  void started() override;
  void woken() override { changed_ = true; }
  void turn() override;
  void heard(const News& news) override;
  void silent() override;

 private:
  template <typename Work>
  Reply execute_call(Work work);
  void execute(const aggregation::LeaseAction& action);
  void execute(const aggregation::ReportSummariesAction& action);
  void on_no_response(std::uint64_t call_id);
  void acquire(const aggregation::LeaseAction& action);
  void renew(std::uint64_t call_id);
  void release(std::uint64_t call_id);
  void join(const aggregation::LeaseAction& action, coordination::LeaseId lease);

  aggregation::AggregatorSettings settings_;
  std::vector<std::string> zones_;
  std::optional<aggregation::Aggregator> aggregator_;
  coordination::LeaseId lease_ = 0;
  WatchList watches_;
  bool changed_ = false;  // since the last step
};

// What stands under policy/, for those who watch it.
SharedNews whole_news(const coordination::Ledger& records);
SharedNews changed_news(const coordination::Ledger& records, std::vector<coordination::Change> changes);

}  // namespace trailcourse::scale
