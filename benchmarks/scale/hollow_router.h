// A hollow router: the policy's part of a router's control, on the real policy::Holder, without requests.
// Every moment counts as one at which a request may arrive.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "policy/holder.h"
#include "scale/hollow_board.h"
#include "scale/hollow_client.h"

namespace trailcourse::scale {

class HollowRouter : public StoreClient {
 public:
  struct Rules {
    policy::HolderRules holder;
    Micros disk{2'000};  // at most, to keep a document
  };
  // Told whenever its ruling may have changed.
  using Ruled = std::function<void(HollowRouter&)>;

  HollowRouter(Simulation& simulation, std::string name, int region, const std::string& zone,
               std::vector<PermitServer*> servers, const Rules& rules, Ruled ruled);

  // Takes in what this board tells, from its next start on.
  void follow(HollowBoard& board);
  // The number of the last event that it has taken in.
  std::uint64_t event() const { return position_.event; }
  policy::Ruling ruling() const { return holder_ ? holder_->ruling(clock()) : policy::Ruling{}; }
  bool ready() const { return holder_ && holder_->ready(clock()); }
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
  void carry_out(const policy::AskPermission& ask);
  void carry_out(const policy::SayPermit& say);
  void carry_out(const policy::KeepDocument& keep);
  void join(const policy::AskPermission& ask, coordination::LeaseId lease);

  Rules rules_;
  Ruled ruled_;
  std::string zone_;
  std::optional<policy::Holder> holder_;
  coordination::LeaseId lease_ = 0;
  std::uint64_t last_document_ = 0;
  HollowBoard* board_ = nullptr;
  policy::BoardPosition position_;
};

}  // namespace trailcourse::scale
