// A blocking client of the coordination store, for commands.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "coordination/coordination_store.h"
#include "coordination/options.h"
#include "transport/scheduler.h"

namespace trailcourse::program {

// Makes blocking calls to a coordination store. Runs its own scheduler while it waits.
class StoreClient {
 public:
  explicit StoreClient(const coordination::CoordinationOptions& options);

  // Executes a transaction. Throws std::runtime_error if it fails or no response arrives within 5 s.
  coordination::TransactionResult commit(const coordination::Transaction& transaction);
  // Returns the entry of the key `name`, or with `prefix` all entries whose keys begin with `name`. The
  // returned keys lack the prefix of the store. Throws as commit() does.
  std::vector<coordination::Entry> get(const std::string& name, bool prefix = true);
  // Returns the full key in the store.
  std::string key(const std::string& rest) const { return options_.prefix + rest; }
  const std::string& prefix() const { return options_.prefix; }
  // Returns the id of the store; 0 before its first response.
  std::uint64_t id() const { return store_->id(); }
  // Waits, and keeps the connections to the store alive meanwhile.
  void pause(transport::Clock::duration time);

 private:
  transport::Scheduler scheduler_;
  coordination::CoordinationOptions options_;
  std::unique_ptr<coordination::CoordinationStore> store_;
};

}  // namespace trailcourse::program
