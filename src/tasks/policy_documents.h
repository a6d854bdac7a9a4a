// The policy documents that this process has read from the store, by version, and their copies on disk.
//
// Package `tasks`, over `policy` and `store`. One thread; the disk is written on another.
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

// The scheduler outlives it.
class PolicyDocuments {
 public:
  // Documents are persisted in `folder`; nowhere if it is empty.
  PolicyDocuments(transport::Scheduler& scheduler, std::string folder);

  // Takes in the text of a version. A text that cannot be used is logged.
  void add(std::uint64_t version, const std::string& text);

  // Returns nullptr if the version has no text here that can be used. Valid until the next add().
  const policy::PolicyDocument* find(std::uint64_t version) const;

  // Returns whether a router can decide under the version, or the error. Version 0 stands for the settings
  // without any document.
  policy::PreparationResult check(std::uint64_t version,
                                  const policy::RouterCapabilities& capabilities) const;

  // Writes the document to disk, and then calls `on_done` on the scheduler's thread. Called at once if there
  // is no folder or no document.
  void persist(std::uint64_t version, std::function<void(const policy::PreparationResult&)> on_done);

 private:
  std::string folder_;
  transport::Mailbox mailbox_;
  std::unique_ptr<store::IoPool> pool_;  // null if nothing is persisted
  std::map<std::uint64_t, policy::PolicyDocument> documents_;
  std::map<std::uint64_t, std::string> invalid_;  // why they cannot be used
};

}  // namespace trailcourse::tasks
