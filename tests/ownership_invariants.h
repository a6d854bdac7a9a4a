// Checks of the invariants on effects and progress in the ownership simulation (ownership_simulation.cpp).
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "ownership/fence.h"
#include "ownership/work_records.h"

namespace trailcourse::ownership {

// The receiver of all effects, with its fence. It checks that no effect of a lower term follows one of a
// higher term.
class EffectReceiver {
 public:
  explicit EffectReceiver(bool has_fence) : has_fence_(has_fence) {}

  // Receives an effect. Returns the violated invariant, if any.
  std::optional<std::string> receive(const ShardId& id, Term term) {
    const std::string work = to_string(id);
    const FenceDecision decision = has_fence_ ? fence_.admit(work, term) : FenceDecision::kAccept;
    if (decision == FenceDecision::kReject) {
      ++rejected_;
      return std::nullopt;
    }
    if (decision == FenceDecision::kPersistFirst) {
      fence_.on_persisted(work, term);
    }
    ++effects_;
    Term& highest = highest_[work];
    const Term before = highest;
    highest = std::max(highest, term);
    if (term < before) {
      return "an effect of term " + std::to_string(term) + " after one of " + std::to_string(before);
    }
    return std::nullopt;
  }

  // Restarts the receiver without the terms that it should have persisted.
  void lose_terms() { fence_ = Fence(); }

  std::uint64_t effects() const { return effects_; }
  std::uint64_t rejected() const { return rejected_; }

 private:
  bool has_fence_;
  Fence fence_;
  std::map<std::string, Term> highest_;  // term of an executed effect, by shard
  std::uint64_t effects_ = 0;
  std::uint64_t rejected_ = 0;
};

// Checks that neither the checkpoint of a shard nor the term of its progress decreases.
class ProgressMonitor {
 public:
  // Checks a progress record that was written. Returns the violated invariant, if any.
  std::optional<std::string> observe(const ShardId& id, const Progress& progress) {
    const std::uint64_t count = progress.checkpoint.empty() ? 0 : std::stoull(progress.checkpoint);
    const std::uint64_t count_before = counts_[id];
    const Term term_before = terms_[id];
    counts_[id] = std::max(count_before, count);
    terms_[id] = std::max(term_before, progress.term);
    if (count < count_before) {
      return "progress went back from " + std::to_string(count_before) + " to " + std::to_string(count);
    }
    if (progress.term < term_before) {
      return "progress under a lower term";
    }
    return std::nullopt;
  }

 private:
  std::map<ShardId, std::uint64_t> counts_;
  std::map<ShardId, Term> terms_;
};

}  // namespace trailcourse::ownership
