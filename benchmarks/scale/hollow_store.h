// The store of shared truth of a simulated fleet, on the real coordination::Ledger.
#pragma once

#include <string>
#include <vector>

#include "coordination/ledger.h"
#include "policy/rollout_snapshot.h"
#include "scale/hollow_client.h"

namespace trailcourse::scale {

class HollowStoreDriver;

class HollowStore : public Node, public PermitServer {
 public:
  explicit HollowStore(Simulation& simulation);

  Node& node() override { return *this; }
  Reply grant(Micros ttl) override;
  Reply keep_alive(coordination::LeaseId lease) override;
  Reply revoke(coordination::LeaseId lease) override;
  Reply commit(const coordination::Transaction& transaction) override;
  Reply begin_watch(StoreClient& client, std::uint64_t watch) override;
  void end_watch(StoreClient& client) override { watches_.remove(client); }
  void tell_again(StoreClient& client) override;

  void tell_changes_to(HollowStoreDriver& driver) { drivers_.push_back(&driver); }
  std::size_t leases() const { return ledger_.leases().size(); }
  std::size_t watches() const { return watches_.size(); }
  policy::RolloutSnapshot seen() const;
  std::uint64_t version_in_force() const;
  // Bytes of an answer beyond what its call says.
  void counted_answer(std::size_t bytes) { counted().bytes_out += bytes; }

 protected:
  void started() override;
  void turn() override {}

 private:
  void expire();
  std::int64_t clock_ms() const { return clock().count() / 1'000; }
  // The time that telling of the last changes takes, after `before`.
  Micros tell(Micros before);
  Micros call_cost() const;

  coordination::Ledger ledger_;
  WatchList watches_;
  std::vector<HollowStoreDriver*> drivers_;
};

}  // namespace trailcourse::scale
