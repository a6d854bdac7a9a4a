// The coordination store of a simulated fleet, which keeps its records in coordination::KeyValueState.
#pragma once

#include <string>
#include <vector>

#include "coordination/key_value_state.h"
#include "policy/rollout_snapshot.h"
#include "scale/simulated_store_client.h"

namespace trailcourse::scale {

class SimulatedCoordinator;

class SimulatedStore : public SimulatedProcess, public StoreServer {
 public:
  explicit SimulatedStore(Simulation& simulation);

  SimulatedProcess& process() override { return *this; }
  Reply grant(Micros ttl) override;
  Reply keep_alive(coordination::LeaseId lease) override;
  Reply revoke(coordination::LeaseId lease) override;
  Reply commit(const coordination::Transaction& transaction) override;
  Reply begin_watch(SimulatedStoreClient& client, std::uint64_t watch) override;
  void end_watch(SimulatedStoreClient& client) override { watches_.remove(client); }
  void resend_snapshot(SimulatedStoreClient& client) override;

  // Registers a coordinator. The store notifies it when one of its relevant keys changes.
  void add_coordinator(SimulatedCoordinator& coordinator) { coordinators_.push_back(&coordinator); }
  std::size_t lease_count() const { return state_.leases().size(); }
  std::size_t watch_count() const { return watches_.size(); }
  // Returns the records of the policy rollout, without the cost of a call.
  policy::RolloutSnapshot rollout_snapshot() const;
  // Returns the policy version in force, 0 before the first policy change.
  std::uint64_t version_in_force() const;
  // Adds to the count of bytes sent, for a response whose size is not known when the call is made.
  void add_response_bytes(std::size_t bytes) { mutable_traffic().bytes_out += bytes; }

 protected:
  void on_started() override;
  void step() override {}

 private:
  // Expires leases now and then periodically.
  void expire_leases();
  std::chrono::milliseconds store_clock() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock());
  }
  // Sends the changes that have not been sent yet to the coordinators and watches, one message after the
  // other, the first after `delay`. Returns the processor time of the store for sending them.
  Micros send_changes(Micros delay);
  // Returns the processor time of a call, which grows with the number of leases and watches.
  Micros call_cost() const;

  coordination::KeyValueState state_;
  WatchList watches_;
  std::vector<SimulatedCoordinator*> coordinators_;
};

}  // namespace trailcourse::scale
