// The task of finding out which events of the notice board every router has taken in, by
// policy::AcknowledgementCoordinator. It asks for what its own process has taken in.
//
// Package `tasks`, over `policy`. One thread.
#pragma once

#include <string>
#include <vector>

#include "policy/acknowledgement_coordinator.h"
#include "tasks/board_follower.h"
#include "tasks/store_driver_task.h"

namespace trailcourse::tasks {

constexpr const char* kAcknowledgeWork = "acknowledge";  // kind of the work

class AcknowledgementTask : public StoreDriverTask {
 public:
  // `board` outlives it. `least_round`: between the beginnings of two rounds.
  AcknowledgementTask(transport::Scheduler& scheduler, coordination::CoordinationStore& store,
                      std::string prefix, BoardFollower& board, Micros least_round, TaskContext context);
  ~AcknowledgementTask() override;

 protected:
  coordination::Transaction looks_at() const override;
  std::vector<coordination::Range> follows() const override;
  Decision decide(Micros now, const coordination::TransactionResult& seen) override;
  bool concerns(const std::string& key) const override;

 private:
  void took_in(const policy::DiscoveryPosition& position);

  BoardFollower& board_;
  BoardFollower::ListenerId listener_;
  policy::AcknowledgementCoordinator coordinator_;
  bool round_open_ = true;           // as it was seen last; true before
  policy::DiscoveryPosition asked_;  // the same
};

}  // namespace trailcourse::tasks
