// The policy documents that this process has read from the store, by version, and their copies on disk.
//
// Library `tasks`, over `policy` and `store`. Not thread-safe: it belongs to its scheduler's thread. The
// disk is written on another thread.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "policy/document.h"
#include "policy/document_preparation.h"
#include "store/executor.h"
#include "transport/mailbox.h"
#include "transport/scheduler.h"

namespace trailcourse::tasks {

// The scheduler has to outlive this object.
class PolicyDocuments {
 public:
  // Documents are stored in `folder`. If it is empty, they are not stored.
  PolicyDocuments(transport::Scheduler& scheduler, std::string folder);

  // Parses and adds the document of a version. Logs an error if the document is invalid.
  void add(std::uint64_t version, const std::string& text);

  // Returns the document, or null if there is no valid one. The pointer is valid until the next add().
  const policy::PolicyDocument* find(std::uint64_t version) const;

  // Checks whether a router with these capabilities can decide under the version. Version 0 is the settings
  // without a document.
  policy::PreparationResult check(std::uint64_t version,
                                  const policy::RouterCapabilities& capabilities) const;

  // Writes the document to disk, and then calls `on_done` on the scheduler's thread. Calls it at once if
  // there is no folder or no document.
  void persist(std::uint64_t version, std::function<void(const policy::PreparationResult&)> on_done);

 private:
  std::string folder_;
  transport::Mailbox mailbox_;
  std::unique_ptr<store::IoPool> pool_;  // null if documents are not stored
  std::map<std::uint64_t, policy::PolicyDocument> documents_;
  std::map<std::uint64_t, std::string> invalid_;  // errors, by version
};

}  // namespace trailcourse::tasks
