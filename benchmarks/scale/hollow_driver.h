// Whoever drives records of the store in a simulated fleet, as tasks::StoreDriverTask does: changes of policy
// by the real policy::RolloutCoordinator, acknowledged events by the real policy::AcknowledgementCoordinator.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "policy/acknowledgement_coordinator.h"
#include "policy/rollout_coordinator.h"
#include "scale/hollow_store.h"

namespace trailcourse::scale {

class HollowStoreDriver : public Node {
 public:
  HollowStoreDriver(Simulation& simulation, HollowStore& store, std::string name);

  // The store tells of a change that concerns it.
  void news() { look_soon(); }
  virtual bool concerns(const std::string& key) const = 0;

 protected:
  struct Decision {
    std::optional<coordination::Transaction> write;
    std::function<void()> written;  // told once the store has taken it
    std::optional<Micros> look_at;  // by its own clock
  };

  void started() override;
  void turn() override {}
  // What is read at each look; permits come last.
  virtual coordination::Transaction looks_at() const = 0;
  virtual Decision decide(Micros now, const coordination::TransactionResult& seen) = 0;

  void look_soon();
  void look();
  void read(std::function<void(const Reply&)> answered, std::function<void()> lost);
  void write(coordination::Transaction transaction, std::function<void(const Reply&)> answered,
             std::function<void()> lost);

 private:
  void looked(const Reply& reply);
  void look_after(Micros time);

  HollowStore& store_;
  Micros looked_at_{-1'000'000};  // by its own clock
  bool looking_ = false;
  bool again_ = false;
  std::uint64_t timer_ = 0;
};

class HollowDriver : public HollowStoreDriver {
 public:
  // Told of each step that the store has taken.
  using Stepped = std::function<void(const policy::RolloutStep&)>;

  HollowDriver(Simulation& simulation, HollowStore& store, const policy::RolloutTimeouts& rules,
               Stepped stepped);

  // Staff propose a change; `refused` where one is open and this one is not urgent.
  void propose(bool urgent, const std::function<void(std::uint64_t version)>& begun,
               const std::function<void()>& refused);
  // Another one takes over: it knows what stands in the store.
  void replace();
  std::uint64_t last_version() const { return last_version_; }
  bool concerns(const std::string& key) const override;

 protected:
  void started() override;
  coordination::Transaction looks_at() const override { return policy::snapshot_transaction(""); }
  Decision decide(Micros now, const coordination::TransactionResult& seen) override;

 private:
  policy::RolloutTimeouts rules_;
  policy::RolloutCoordinator coordinator_;
  Stepped stepped_;
  bool change_open_ = true;  // as it was seen last; true before
  std::uint64_t last_version_ = 0;
};

class HollowAcknowledgementDriver : public HollowStoreDriver {
 public:
  // Told of each record that the store has taken.
  using Written = std::function<void(const policy::Acknowledgement&)>;

  HollowAcknowledgementDriver(Simulation& simulation, HollowStore& store, Micros least_round,
                              Written written);

  void took_in(const policy::DiscoveryPosition& position);
  bool concerns(const std::string& key) const override;

 protected:
  coordination::Transaction looks_at() const override {
    return policy::acknowledgement_snapshot_transaction("");
  }
  Decision decide(Micros now, const coordination::TransactionResult& seen) override;

 private:
  policy::AcknowledgementCoordinator coordinator_;
  Written written_;
  policy::DiscoveryPosition position_;
  bool round_open_ = true;  // as it was seen last; true before
};

}  // namespace trailcourse::scale
