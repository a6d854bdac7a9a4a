// A hollow router: the control of a router by the real policy::Participant, without requests.
// Every moment counts as one at which a request may arrive.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "policy/participant.h"
#include "scale/hollow_board.h"
#include "scale/hollow_client.h"

namespace trailcourse::scale {

class HollowRouter : public StoreClient {
 public:
  struct Rules {
    policy::ParticipantOptions participant;
    Micros disk{2'000};  // at most, to keep a document
  };
  // Told whenever its effective policy may have changed.
  using Ruled = std::function<void(HollowRouter&)>;

  HollowRouter(Simulation& simulation, std::string name, int region, const std::string& zone,
               std::vector<PermitServer*> servers, const Rules& rules, Ruled ruled);

  // Takes in what this board tells, from its next start on.
  void follow(HollowBoard& board);
  // The number of the last event that it has taken in.
  std::uint64_t event() const { return position_.sequence; }
  policy::EffectivePolicy effective_policy() const {
    return participant_ ? participant_->effective_policy(clock()) : policy::EffectivePolicy{};
  }
  bool ready() const { return participant_ && participant_->ready(clock()); }
  std::string describe() const;
  // At most this one: used by whoever is told of rulings.
  std::uint64_t last_version = 0;

 protected:
  void started() override;
  void woken() override;
  void turn() override;
  void heard(const News& news) override;
  void silent() override;

 private:
  void carry_out(const policy::LeaseAction& ask);
  void carry_out(const policy::ReportAction& say);
  void carry_out(const policy::PersistDocumentAction& keep);
  void join(const policy::LeaseAction& ask, coordination::LeaseId lease);

  Rules rules_;
  Ruled ruled_;
  std::string zone_;
  std::optional<policy::Participant> participant_;
  coordination::LeaseId lease_ = 0;
  std::uint64_t last_document_ = 0;
  HollowBoard* board_ = nullptr;
  policy::DiscoveryPosition position_;
};

}  // namespace trailcourse::scale
