// Durable fencing terms of a receiver: a term is on the disk before the first effect under it, so a
// receiver that restarts still rejects former owners. All terms have to be of one store, because those of
// two stores cannot be compared: the first store seen is the only one until staff remove the file.
//
// Library `fencing`, on top of `ownership` (the fence) and `store` (files and the executor). Used by one
// thread beside those of the executor.
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

// Whether an effect may be executed, and if not, why.
enum class AdmitResult {
  kAdmitted,
  kMalformedToken,  // the text is not a fencing token
  kNoStorage,       // the receiver has no folder to persist terms in
  kOtherStore,      // the token is of another store than those before
  kStaleTerm,       // a higher term was seen
  kStorageFull,     // terms of too many works are known
  kNotPersisted     // the term could not be written to the disk
};

// Returns the word that the sender is answered with; empty for kAdmitted.
const char* wire_word(AdmitResult result);

// Counters since the start of the process.
struct FenceCounts {
  std::uint64_t admitted = 0;
  std::uint64_t rejected = 0;
  std::uint64_t other_store = 0;
  std::uint64_t persisted = 0;
  std::uint64_t malformed = 0;
};

class TokenStore {
 public:
  // Reads the terms that were persisted. Without `files` nothing can be persisted, and nothing is admitted.
  // Throws store::FileError, or std::runtime_error where the file is damaged: a receiver that lost its terms
  // must not go on as if there had been none.
  TokenStore(std::shared_ptr<store::Files> files, store::Executor& executor);
  ~TokenStore();
  TokenStore(const TokenStore&) = delete;
  TokenStore& operator=(const TokenStore&) = delete;

  // Decides whether an effect under the token may be executed. `done` is called at once where nothing has
  // to be written, and otherwise once the term is durable. It is not called after the destruction of this
  // object.
  using Callback = std::function<void(AdmitResult result)>;
  void admit(const std::string& token, Callback done);

  const FenceCounts& counts() const { return counts_; }

  // Returns the identity of the store whose terms are known; 0: none yet.
  std::uint64_t store() const { return store_; }
  const std::map<std::string, ownership::Term>& terms() const { return fence_.terms(); }

 private:
  struct PendingCommand {
    ownership::Term term = 0;
    Callback done;
  };
  // Commands that wait until a term of their work is durable.
  struct PendingWork {
    ownership::Term term = 0;  // the highest that is being written
    std::vector<PendingCommand> commands;
  };

  void load();
  AdmitResult reject(AdmitResult reason);
  // Returns the decision where it can be taken at once; nothing where the term has to be persisted first.
  std::optional<AdmitResult> decide(const std::optional<FencingToken>& token);
  std::string file_content(const FencingToken& next) const;
  void persist(const FencingToken& token);
  void on_persisted(const FencingToken& token, bool succeeded);

  std::shared_ptr<store::Files> files_;
  store::Executor& executor_;
  ownership::Fence fence_;
  std::uint64_t store_ = 0;
  std::map<std::string, PendingWork> pending_;  // by work
  FenceCounts counts_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace trailcourse::fencing
