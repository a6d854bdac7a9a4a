// The store of shared truth of a simulated fleet, on the real coordination::Ledger, and whoever drives
// changes of policy by the real policy::Driver, as tasks::PolicyChangeTask does.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "coordination/ledger.h"
#include "policy/change.h"
#include "scale/hollow_client.h"

namespace trailcourse::scale {

class HollowDriver;

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

  void tell_changes_to(HollowDriver& driver) { driver_ = &driver; }
  std::size_t leases() const { return ledger_.leases().size(); }
  std::size_t watches() const { return watches_.size(); }
  policy::Seen seen() const;
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
  HollowDriver* driver_ = nullptr;
};

class HollowDriver : public Node {
 public:
  // Told of each step that the store has taken.
  using Stepped = std::function<void(const policy::Step&)>;

  HollowDriver(Simulation& simulation, HollowStore& store, const policy::DriverRules& rules, Stepped stepped);

  // The store tells of permits or of the change.
  void news() { look(); }
  // Staff propose a change; `refused` where one is open and this one is not urgent.
  void propose(bool urgent, std::function<void(std::uint64_t version)> begun, std::function<void()> refused);
  // Another one takes over: it knows what stands in the store.
  void replace();
  std::uint64_t last_version() const { return last_version_; }

 protected:
  void started() override;
  void turn() override {}

 private:
  void look();
  void looked(const Reply& reply);
  void read(std::function<void(const Reply&)> answered, std::function<void()> lost);
  void write(coordination::Transaction transaction, std::function<void(const Reply&)> answered,
             std::function<void()> lost);
  void look_after(Micros time);

  HollowStore& store_;
  policy::DriverRules rules_;
  policy::Driver driver_;
  Stepped stepped_;
  bool looking_ = false;
  bool again_ = false;
  std::uint64_t timer_ = 0;
  std::uint64_t last_version_ = 0;
};

}  // namespace trailcourse::scale
