// Durable fencing terms of a receiver. A term is synced to the disk before the first effect under it, so that
// a receiver rejects former owners even after a restart. Terms of two stores cannot be compared: the receiver
// accepts only terms of the first store that it sees, until an operator removes the file.
//
// Library `fencing`, on top of `ownership` (the fence) and `store` (files and the executor). Not thread-safe;
// only the file is written in a thread of the executor.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "ownership/fence.h"
#include "ownership/fencing_token.h"
#include "store/executor.h"
#include "store/files.h"

namespace trailcourse::fencing {

using ownership::FencingToken;

// The decision about a command: admitted, or the reason why it is rejected.
enum class AdmitResult {
  kAdmitted,
  kMalformedToken,  // the text is not a fencing token
  kNoStorage,       // the receiver has no folder for terms
  kOtherStore,      // the token is from another store than earlier ones
  kStaleTerm,       // a higher term was received
  kStorageFull,     // the maximum number of terms is stored
  kNotPersisted     // the term could not be written to the disk
};

// Returns the error code that is sent to the sender; empty for kAdmitted.
const char* error_code(AdmitResult result);

// Counters since the start of the process.
struct FenceCounts {
  std::uint64_t admitted = 0;
  std::uint64_t rejected = 0;
  std::uint64_t other_store = 0;
  std::uint64_t persisted = 0;
  std::uint64_t malformed = 0;
};

// Decides which fenced commands a receiver executes.
class TokenStore {
 public:
  // Reads the persisted terms. If `directory` is null, nothing can be persisted and no command is admitted.
  // Throws store::FileError, and std::runtime_error if the file is damaged, because a receiver without its
  // terms would admit former owners.
  TokenStore(std::shared_ptr<store::Directory> directory, store::Executor& executor);
  ~TokenStore();
  TokenStore(const TokenStore&) = delete;
  TokenStore& operator=(const TokenStore&) = delete;

  // Decides whether a command with this token may be executed. `done` is called within this function if
  // nothing has to be written, and otherwise when the term is durable. It is not called after the destruction
  // of this object.
  using Callback = std::function<void(AdmitResult result)>;
  void admit(const std::string& token, Callback done);

  const FenceCounts& counts() const { return counts_; }

  // Returns the identity of the coordination store whose terms are accepted; 0: none yet.
  std::uint64_t store() const { return store_; }
  // Returns the highest durable term of each work.
  const std::map<std::string, ownership::Term>& terms() const { return fence_.terms(); }

 private:
  struct PendingCommand {
    ownership::Term term = 0;
    Callback done;
  };
  // Commands of one work that wait until its term is durable.
  struct PendingWork {
    ownership::Term term = 0;  // highest term that is being written
    std::vector<PendingCommand> commands;
  };

  void load();
  AdmitResult reject(AdmitResult reason);
  // Returns the decision, or nothing if the term has to be persisted first.
  std::optional<AdmitResult> decide(const std::optional<FencingToken>& token);
  std::string file_content(const FencingToken& next) const;
  void persist(const FencingToken& token);
  void on_persisted(const FencingToken& token, bool succeeded);

  std::shared_ptr<store::Directory> directory_;
  store::Executor& executor_;
  ownership::Fence fence_;
  std::uint64_t store_ = 0;
  std::map<std::string, PendingWork> pending_;  // by work
  FenceCounts counts_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace trailcourse::fencing
