#include "policy/rollout_transactions.h"

namespace trailcourse::policy {

using coordination::Delete;
using coordination::Put;
using coordination::Range;
using coordination::Transaction;

namespace {

std::vector<coordination::Compare> unchanged_since(const std::string& prefix,
                                                   const RolloutSnapshot& snapshot) {
  return {coordination::unchanged(prefix + kRolloutKey, snapshot.rollout_revision),
          coordination::unchanged(prefix + kCurrentKey, snapshot.current_revision)};
}

bool has_committed(const Rollout& rollout) {
  const bool before_commit =
      rollout.state == RolloutState::kPreparing || rollout.state == RolloutState::kSuspending;
  return rollout.stage > 0 || !before_commit;
}

std::string audit_key(const std::string& prefix, const Rollout& rollout, const std::string& step) {
  return prefix + kAuditPrefix + std::to_string(rollout.id) + "/" + step;
}

}  // namespace

std::string describe(const RolloutInProgress& in_progress) {
  return "change " + std::to_string(in_progress.id) + " to version " +
         std::to_string(in_progress.target_version) + " is " + to_string(in_progress.state) +
         (in_progress.urgent_requested ? " and can no longer be superseded"
                                       : "; wait, abort it, or use --urgent");
}

tl::expected<RolloutStart, RolloutInProgress> check_can_begin(const RolloutSnapshot& snapshot, bool urgent) {
  if (!snapshot.rollout || !snapshot.rollout->is_open()) {
    return RolloutStart::kIdle;
  }
  const Rollout& open = *snapshot.rollout;
  if (urgent && !has_committed(open)) {
    return RolloutStart::kSupersedes;
  }
  return tl::unexpected(RolloutInProgress{open.id, open.target_version, open.state, urgent});
}

Transaction begin_transaction(const std::string& prefix, const RolloutSnapshot& snapshot,
                              const Rollout& rollout, const std::string& document, const std::string& audit) {
  Transaction out;
  out.when = unchanged_since(prefix, snapshot);
  if (!document.empty()) {
    const std::string key = prefix + kDocumentPrefix + std::to_string(rollout.target_version);
    out.when.push_back(coordination::absent(key));
    out.then.emplace_back(Put{key, document, 0});
  }
  out.then.emplace_back(Put{prefix + kRolloutKey, write_rollout(rollout), 0});
  out.then.emplace_back(Put{audit_key(prefix, rollout, "begun"), audit, 0});
  return out;
}

Transaction execute_transaction(const std::string& prefix, const RolloutSnapshot& snapshot,
                                const RolloutStep& step) {
  const Rollout& rollout = step.rollout;
  const std::string audit_step = std::to_string(rollout.stage) + "-" + to_string(rollout.state);
  Transaction out;
  out.when = unchanged_since(prefix, snapshot);
  out.then = {Put{prefix + kRolloutKey, write_rollout(rollout), 0},
              Put{audit_key(prefix, rollout, audit_step), step.audit, 0}};
  if (!step.commit) {
    return out;
  }
  const std::string version = std::to_string(rollout.target_version);
  if (rollout.is_last_stage()) {
    out.then.emplace_back(Put{prefix + kCurrentKey, version, 0});
    out.then.emplace_back(Delete{Range{prefix + kZonePrefix, true}});
  } else {
    out.then.emplace_back(Put{prefix + kZonePrefix + rollout.stages[rollout.stage], version, 0});
  }
  return out;
}

}  // namespace trailcourse::policy
