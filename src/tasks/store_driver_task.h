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

#include "coordination/coordination_store.h"
#include "tasks/owned_task.h"
#include "transport/alarm.h"

namespace trailcourse::tasks {

class StoreDriverTask : public OwnedTask, public coordination::WatchObserver {
 public:
  StoreDriverTask(transport::Scheduler& scheduler, coordination::CoordinationStore& store, std::string prefix,
                  TaskContext context);
  ~StoreDriverTask() override;

  void begin() override;
  void finish() override;

  void on_snapshot(coordination::Revision, const std::vector<coordination::Entry>&) override { look_soon(); }
  void on_changes(coordination::Revision, const std::vector<coordination::KeyChange>& changes) override;
  void on_disconnected(const std::string&) override {}

 protected:
  struct Decision {
    std::optional<coordination::Transaction> write;
    std::string step;               // what is written, for the log; empty: it is not worth a line
    std::optional<Micros> look_at;  // steady time at which it may decide otherwise, by time alone
  };

  // What is read at each look, and what is followed: any news there is a reason to look.
  virtual coordination::Transaction looks_at() const = 0;
  virtual std::vector<coordination::Range> follows() const = 0;
  virtual Decision decide(Micros now, const coordination::TransactionResult& seen) = 0;
  // Whether news of one key may change what is decided.
  virtual bool concerns(const std::string& key) const = 0;

  // Looks now, or once as much time as lies between two looks at least has passed.
  void look_soon();
  const std::string& prefix() const { return prefix_; }

 private:
  void look();
  void looked(const coordination::TransactionResult& seen);
  void write(coordination::Transaction transaction);
  void look_after(Micros time);

  coordination::CoordinationStore& store_;
  std::string prefix_;
  TaskContext context_;
  transport::Alarm timer_;
  std::vector<coordination::CoordinationStore::WatchId> watches_;
  transport::Clock::time_point looked_at_;
  bool looking_ = false;
  bool again_ = false;
  bool finishing_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace trailcourse::tasks
