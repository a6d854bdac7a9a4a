#include "policy/rollout_snapshot.h"

#include <cstdlib>
#include <string_view>

namespace trailcourse::policy {

using coordination::Get;
using coordination::Range;
using coordination::Transaction;

namespace {

std::uint64_t version_of(const coordination::Entry& entry) {
  return std::strtoull(entry.value.c_str(), nullptr, 10);
}

// Returns the action that a participant still has to take in the rollout's state, or an empty string.
std::string pending_action(const Rollout& rollout, const ParticipantReport& report) {
  const StageId stage = stage_id(rollout);
  switch (rollout.state) {
    case RolloutState::kPreparing:
      return report.ready_stage != stage ? " has to report that it is ready" : "";
    case RolloutState::kSuspending:
      return report.suspended_stage != stage ? " has to suspend, or its lease has to expire" : "";
    case RolloutState::kCommitted:
      return report.version != rollout.target_version || report.suspended_stage != 0
                 ? " has to switch, or its lease has to expire; it is suspended"
                 : "";
    case RolloutState::kWatching:
    case RolloutState::kDone:
    case RolloutState::kAborted:
      break;
  }
  return "";
}

}  // namespace

ParticipantReports RolloutSnapshot::reports_of_stage() const {
  ParticipantReports out;
  for (const auto& [name, report] : reports) {
    if (rollout->applies_to(report.zone)) {
      out[name] = report;
    }
  }
  return out;
}

Transaction snapshot_transaction(const std::string& prefix) {
  Transaction out;
  out.then = {Get{Range{prefix + kRolloutKey, false}}, Get{Range{prefix + kCurrentKey, false}},
              Get{Range{prefix + kZonePrefix, true}}, Get{Range{prefix + kReportPrefix, true}}};
  return out;
}

RolloutSnapshot read_snapshot(const std::string& prefix, const coordination::TransactionResult& outcome) {
  RolloutSnapshot out;
  if (const auto& found = outcome.results.at(0).found; !found.empty()) {
    out.rollout = read_rollout(found.front().value);
    out.rollout_revision = found.front().modified;
  }
  if (const auto& found = outcome.results.at(1).found; !found.empty()) {
    out.current_version = version_of(found.front());
    out.current_revision = found.front().modified;
  }
  const std::size_t prefix_size = prefix.size() + std::string_view(kZonePrefix).size();
  for (const coordination::Entry& entry : outcome.results.at(2).found) {
    out.zone_versions[entry.key.substr(prefix_size)] = version_of(entry);
  }
  out.reports = read_reports(prefix, outcome.results.at(3).found);
  return out;
}

std::vector<std::string> describe_pending(const RolloutSnapshot& snapshot) {
  std::vector<std::string> out;
  if (!snapshot.rollout || !snapshot.rollout->is_open()) {
    return out;
  }
  for (const auto& [name, report] : snapshot.reports_of_stage()) {
    const std::string action = pending_action(*snapshot.rollout, report);
    if (!action.empty()) {
      out.push_back(describe_reporter(name, report) + action);
    }
  }
  return out;
}

}  // namespace trailcourse::policy
