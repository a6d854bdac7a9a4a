// The store as a command asks it: one thing after the other, each answer awaited.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "coordination/coordination_store.h"
#include "coordination/options.h"
#include "transport/scheduler.h"

namespace trailcourse::program {

class StoreClient {
 public:
  explicit StoreClient(const coordination::CoordinationOptions& options);

  // Throws std::runtime_error where there is no answer within 5 s.
  coordination::TransactionResult commit(const coordination::Transaction& transaction);
  // Entries under a stem, their keys without the prefix.
  std::vector<coordination::Entry> get(const std::string& stem, bool prefix = true);
  std::string key(const std::string& rest) const { return options_.prefix + rest; }
  const std::string& prefix() const { return options_.prefix; }
  std::uint64_t id() const { return store_->id(); }
  void pause(transport::Clock::duration time);

 private:
  transport::Scheduler scheduler_;
  coordination::CoordinationOptions options_;
  std::unique_ptr<coordination::CoordinationStore> store_;
};

}  // namespace trailcourse::program
