// Fence of a receiver of effects: it rejects each command that comes under a lower term than it has seen. A
// late effect of a former owner, for example one that lay in a socket's buffer, does no harm whatever its
// sender believes.
//
// The highest term has to be durable before the effect of its first command: where admit() returns
// kPersistFirst, the caller writes and syncs the term, calls on_persisted(), and only then executes the
// command. A receiver that restarts begins with the terms that it persisted.
//
// Library `ownership`: no I/O and no clock. Not thread-safe.
#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "ownership/lease.h"

namespace trailcourse::ownership {

enum class FenceDecision {
  kAccept,        // the term is the highest seen, and it is durable
  kPersistFirst,  // the term is higher: persist it, call on_persisted(), then execute the command
  kReject         // a higher term was seen: the sender is a former owner
};

// Highest durable term of each piece of work.
class Fence {
 public:
  FenceDecision admit(const std::string& work, Term term) const {
    const Term highest = persisted_term(work);
    if (term == 0 || term < highest) {
      return FenceDecision::kReject;
    }
    return term == highest ? FenceDecision::kAccept : FenceDecision::kPersistFirst;
  }

  // The term is durable now. A lower one than was persisted before changes nothing.
  void on_persisted(const std::string& work, Term term) {
    Term& highest = terms_[work];
    highest = std::max(highest, term);
  }

  // Returns the highest durable term of the work, or 0.
  Term persisted_term(const std::string& work) const {
    const auto found = terms_.find(work);
    return found == terms_.end() ? 0 : found->second;
  }

  const std::map<std::string, Term>& terms() const { return terms_; }

 private:
  std::map<std::string, Term> terms_;
};

}  // namespace trailcourse::ownership
