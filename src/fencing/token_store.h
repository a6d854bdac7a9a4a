// The terms that a receiver has seen, remembered over its restarts: a term is on the disk before the first
// effect under it. All terms have to be of one store: those of two stores cannot be compared, so the first
// one seen is the only one, until staff remove the file.
//
// Package `fencing`, over `ownership` (the fence) and `store` (files and the executor). One thread beside the
// executor's.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "ownership/fence.h"
#include "ownership/token.h"
#include "store/executor.h"
#include "store/files.h"

namespace trailcourse::fencing {

using ownership::Token;

struct FenceCounts {
  std::uint64_t admitted = 0, refused = 0, foreign = 0, kept = 0, unreadable = 0;
};

class TokenStore {
 public:
  // Reads what was kept. No files: nothing can be remembered, and nothing fenced is admitted. Throws
  // store::FileError, or std::runtime_error where the file cannot be read: a receiver that forgot its terms
  // must not go on as if there had been none.
  TokenStore(std::shared_ptr<store::Files> files, store::Executor& executor);
  ~TokenStore();
  TokenStore(const TokenStore&) = delete;
  TokenStore& operator=(const TokenStore&) = delete;

  // Whether an effect under the token may be carried out: called back with an empty text, at once where the
  // term is the highest known, else once it is kept; or with why not, in one word of plain characters.
  using Then = std::function<void(const std::string& why)>;
  void admit(const std::string& token, Then then);

  const FenceCounts& counts() const { return counts_; }
  std::uint64_t store() const { return store_; }
  const std::map<std::string, ownership::Term>& terms() const { return fence_.all(); }

 private:
  struct Waiting {
    ownership::Term term = 0;
    std::vector<std::pair<ownership::Term, Then>> then;
  };

  std::string text(const Token& next) const;
  void keep(const Token& token);
  void kept(const Token& token, bool good);

  std::shared_ptr<store::Files> files_;
  store::Executor& executor_;
  ownership::Fence fence_;
  std::uint64_t store_ = 0;
  std::map<std::string, Waiting> waiting_;  // for a term to be kept, by work
  FenceCounts counts_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace trailcourse::fencing
