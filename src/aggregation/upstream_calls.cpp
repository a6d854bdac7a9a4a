#include "aggregation/upstream_calls.h"

namespace trailcourse::aggregation {

using coordination::Entry;
using coordination::Get;
using coordination::LeaseId;
using coordination::Put;
using coordination::Range;
using coordination::Revision;
using coordination::Transaction;
using coordination::TransactionResult;
using policy::ObservedState;

namespace {

Revision modified_revision(const std::vector<Entry>& found) {
  return found.empty() ? 0 : found.front().modified;
}

}  // namespace

std::string summary_key(const std::string& prefix, const std::string& name, const std::string& zone,
                        LeaseId lease) {
  return prefix + policy::report_key(name + "." + zone, lease);
}

// The acknowledgement record is read and not compared. It changes with every round, so an aggregator with a
// slow connection to the store could hardly ever join while rounds follow each other without a pause.
Transaction join_transaction(const std::string& prefix, const std::string& name, LeaseId lease,
                             const LeaseAction& action) {
  Transaction out;
  if (!action.observed.empty()) {
    const ObservedState& any_zone = action.observed.begin()->second;
    out.when = {coordination::unchanged(prefix + policy::kRolloutKey, any_zone.rollout_revision),
                coordination::unchanged(prefix + policy::kCurrentKey, any_zone.current_revision)};
  }
  for (const auto& [zone, observed] : action.observed) {
    out.when.push_back(coordination::unchanged(prefix + policy::kZonePrefix + zone, observed.zone_revision));
  }
  for (const ZoneSummary& summary : action.summaries) {
    const std::string key = summary_key(prefix, name, summary.zone, lease);
    out.then.push_back(Put{key, policy::write_report(summary.report), lease});
  }
  out.then.push_back(Get{Range{prefix + policy::kAcknowledgedKey, false}});
  return out;
}

JoinResult read_join_result(const TransactionResult& outcome) {
  JoinResult out;
  if (!outcome.succeeded) {
    return out;
  }
  out.status = JoinResult::Status::kJoined;
  out.written_revision = outcome.revision;
  if (!outcome.results.empty()) {
    out.acknowledgement_revision = modified_revision(outcome.results.back().found);
  }
  return out;
}

Transaction summary_transaction(const std::string& prefix, const std::string& name, LeaseId lease,
                                const ReportSummariesAction& action) {
  Transaction out;
  for (const ZoneSummary& summary : action.summaries) {
    const std::string key = summary_key(prefix, name, summary.zone, lease);
    out.when.push_back(coordination::unchanged(key, summary.expected_revision));
    out.then.push_back(Put{key, policy::write_report(summary.report), lease});
    out.otherwise.push_back(Get{Range{key, false}});
  }
  return out;
}

SummaryWriteResult read_write_result(const TransactionResult& outcome, const ReportSummariesAction& action) {
  using Status = SummaryWriteResult::Status;
  SummaryWriteResult out;
  out.status = outcome.succeeded ? Status::kWritten : Status::kConflict;
  for (std::size_t i = 0; i < action.summaries.size(); ++i) {
    out.revisions[action.summaries[i].zone] =
        outcome.succeeded ? outcome.revision : modified_revision(outcome.results.at(i).found);
  }
  return out;
}

}  // namespace trailcourse::aggregation
