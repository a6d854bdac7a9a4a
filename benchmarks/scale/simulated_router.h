// A router of a simulated fleet. It runs policy::Participant and serves no requests. EffectivePolicyCheck
// assumes that a request may arrive at any time.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "policy/participant.h"
#include "scale/simulated_discovery_server.h"
#include "scale/simulated_store_client.h"

namespace trailcourse::scale {

class SimulatedRouter : public SimulatedStoreClient {
 public:
  struct Options {
    policy::ParticipantOptions participant;
    Micros max_persist_time{2'000};  // writing a document to disk takes a random time up to this
  };
  // Called whenever the effective policy of the router may have changed.
  using PolicyCallback = std::function<void(SimulatedRouter&)>;

  SimulatedRouter(Simulation& simulation, std::string name, int region, const std::string& zone,
                  std::vector<StoreServer*> servers, const Options& options, PolicyCallback on_policy);

  // Subscribes to the events of the discovery server. Call before the router starts.
  void subscribe(SimulatedDiscoveryServer& server);
  // Returns the sequence number of the last event that the router has applied.
  std::uint64_t applied_event() const { return position_.sequence; }
  policy::EffectivePolicy effective_policy() const {
    return participant_ ? participant_->effective_policy(clock()) : policy::EffectivePolicy{};
  }
  bool ready() const { return participant_ && participant_->ready(clock()); }
  std::string describe() const;
  // A version that the policy callback can store for its next call. The router does not use it.
  std::uint64_t last_version = 0;

 protected:
  void on_started() override;
  void on_resumed() override;
  void step() override;
  void on_watch_update(const WatchUpdate& update) override;
  void on_watch_closed() override;

 private:
  void execute(const policy::LeaseAction& action);
  void execute(const policy::ReportAction& action);
  void execute(const policy::PersistDocumentAction& action);
  // Writes the first report of this router under its new lease. Revokes the lease if that fails.
  void join(const policy::LeaseAction& action, coordination::LeaseId lease);

  Options options_;
  PolicyCallback on_policy_;
  std::string zone_;
  std::optional<policy::Participant> participant_;
  coordination::LeaseId lease_ = 0;
  std::uint64_t last_document_ = 0;  // version of the last document passed to the participant
  SimulatedDiscoveryServer* discovery_server_ = nullptr;
  policy::DiscoveryPosition position_;
};

}  // namespace trailcourse::scale
