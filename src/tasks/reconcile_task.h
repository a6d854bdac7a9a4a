// Owned work that drives a record of the store from state to state: looks at what stands there, decides on
// the next state, and writes it where all is as it was seen and this process still owns the work. Nothing is
// known beside what stands in the store, so that a successor goes on from there.
//
// Package `tasks`. One thread.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/shared_store.h"
#include "tasks/owned_task.h"
#include "transport/alarm.h"

namespace trailcourse::tasks {

class ReconcileTask : public OwnedTask, public coordination::Watcher {
 public:
  ReconcileTask(transport::Scheduler& scheduler, coordination::SharedStore& store, std::string prefix,
                TaskContext context);
  ~ReconcileTask() override;

  void begin() override;
  void finish() override;

  void current(coordination::Revision, const std::vector<coordination::Entry>&) override { look_soon(); }
  void changed(coordination::Revision, const std::vector<coordination::Change>& changes) override;
  void silent(const std::string&) override {}

 protected:
  struct Decision {
    std::optional<coordination::Transaction> write;
    std::string step;               // what is written, for the log; empty: it is not worth a line
    std::optional<Micros> look_at;  // steady time at which it may decide otherwise, by time alone
  };

  // What is read at each look, and what is followed: any news there is a reason to look.
  virtual coordination::Transaction looks_at() const = 0;
  virtual std::vector<coordination::Range> follows() const = 0;
  virtual Decision decide(Micros now, const coordination::Outcome& seen) = 0;
  // Whether news of one key may change what is decided.
  virtual bool concerns(const std::string& key) const = 0;

  // Looks now, or once as much time as lies between two looks at least has passed.
  void look_soon();
  const std::string& prefix() const { return prefix_; }

 private:
  void look();
  void looked(const coordination::Outcome& seen);
  void write(coordination::Transaction transaction);
  void look_after(Micros time);

  coordination::SharedStore& store_;
  std::string prefix_;
  TaskContext context_;
  transport::Alarm timer_;
  std::vector<coordination::SharedStore::WatchId> watches_;
  transport::Clock::time_point looked_at_;
  bool looking_ = false;
  bool again_ = false;
  bool finishing_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace trailcourse::tasks
