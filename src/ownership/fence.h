// Whoever is acted upon refuses what comes under a lower term than it has seen: a late effect of an owner
// that was stopped, or that lies in a socket's buffer, does no harm whatever its sender believes.
//
// The highest term has to be kept before the effect of its first command: the caller writes and syncs what
// admit() says is new, and only then carries the command out. A receiver that starts again begins with what
// was kept.
//
// Package `ownership`: no I/O, no clock.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "ownership/lease.h"

namespace trailcourse::ownership {

enum class Verdict {
  kCarryOut,   // the term is the highest known, and kept
  kKeepFirst,  // it is higher: keep it durably, tell kept(), then carry the command out
  kRefuse      // a higher one was seen: the sender is an owner of the past
};

class Fence {
 public:
  Verdict admit(const std::string& work, Term term) const {
    const Term highest = kept_term(work);
    return term == 0 || term < highest ? Verdict::kRefuse
           : term == highest           ? Verdict::kCarryOut
                                       : Verdict::kKeepFirst;
  }
  // The term is durable now.
  void kept(const std::string& work, Term term) {
    Term& highest = kept_[work];
    highest = term > highest ? term : highest;
  }
  Term kept_term(const std::string& work) const {
    const auto found = kept_.find(work);
    return found == kept_.end() ? 0 : found->second;
  }
  const std::map<std::string, Term>& all() const { return kept_; }

 private:
  std::map<std::string, Term> kept_;
};

}  // namespace trailcourse::ownership
