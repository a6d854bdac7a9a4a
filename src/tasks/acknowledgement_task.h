// The task of finding out which events of the notice board every router has taken in, by
// policy::AcknowledgementDriver. It asks for what its own process has taken in.
//
// Package `tasks`, over `policy`. One thread.
#pragma once

#include <string>
#include <vector>

#include "policy/acknowledgement.h"
#include "tasks/discovery_progress.h"
#include "tasks/reconcile_task.h"

namespace trailcourse::tasks {

constexpr const char* kAcknowledgeWork = "acknowledge";  // kind of the work

class AcknowledgementTask : public ReconcileTask {
 public:
  // `board` outlives it. `least_round`: between the beginnings of two rounds.
  AcknowledgementTask(transport::Scheduler& scheduler, coordination::SharedStore& store, std::string prefix,
                      DiscoveryProgress& board, Micros least_round, TaskContext context);
  ~AcknowledgementTask() override;

 protected:
  coordination::Transaction looks_at() const override;
  std::vector<coordination::Range> follows() const override;
  Decision decide(Micros now, const coordination::Outcome& seen) override;
  bool concerns(const std::string& key) const override;

 private:
  void took_in(const policy::BoardPosition& position);

  DiscoveryProgress& board_;
  DiscoveryProgress::ListenerId listener_;
  policy::AcknowledgementDriver driver_;
  bool round_open_ = true;       // as it was seen last; true before
  policy::BoardPosition asked_;  // the same
};

}  // namespace trailcourse::tasks
