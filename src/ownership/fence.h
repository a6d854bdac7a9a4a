// The fence of a receiver: it rejects commands under a lower term than the highest one that it has received.
// It thereby rejects late commands of a former owner, for example from a socket's buffer, even if the sender
// still considers itself the owner.
//
// A term has to be durable before the first command under it is executed: if admit() returns kPersistFirst,
// the caller writes and syncs the term, calls on_persisted(), and then executes the command. After a restart,
// the receiver begins with the persisted terms.
//
// Library `ownership`: no I/O and no clock. Not thread-safe.
#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "ownership/lease.h"

namespace trailcourse::ownership {

enum class FenceDecision {
  kAccept,        // the term is the highest one received, and it is durable
  kPersistFirst,  // the term is higher: persist it, call on_persisted(), then execute the command
  kReject         // a higher term was received: the sender is a former owner
};

// The highest durable term of each work.
class Fence {
 public:
  // Decides about a command under this term. Does not change the fence.
  FenceDecision admit(const std::string& work, Term term) const {
    const Term highest = persisted_term(work);
    if (term == 0 || term < highest) {
      return FenceDecision::kReject;
    }
    return term == highest ? FenceDecision::kAccept : FenceDecision::kPersistFirst;
  }

  // Records that the term is durable. Ignored if a higher term is durable already.
  void on_persisted(const std::string& work, Term term) {
    Term& highest = terms_[work];
    highest = std::max(highest, term);
  }

  // Returns the highest durable term of the work, or 0.
  Term persisted_term(const std::string& work) const {
    const auto found = terms_.find(work);
    return found == terms_.end() ? 0 : found->second;
  }

  // Returns all durable terms by work.
  const std::map<std::string, Term>& terms() const { return terms_; }

 private:
  std::map<std::string, Term> terms_;
};

}  // namespace trailcourse::ownership
