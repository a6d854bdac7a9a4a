// The calls of an aggregator to the store: their transactions, and the parsing of the results.
//
// In the store an aggregator appears as one router for each zone that it serves. It writes one summary for
// each zone, all under one lease. A compare-and-set replaces only the aggregator's previous summary, so that
// a late write changes nothing.
//
// Library `aggregation`: no I/O, no clock.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "coordination/types.h"
#include "ownership/lease.h"
#include "policy/participant.h"
#include "policy/rollout.h"

namespace trailcourse::aggregation {

using ObservedByZone = std::map<std::string, policy::ObservedState>;
using SummariesByZone = std::map<std::string, policy::ParticipantReport>;

// A zone's summary to write to the store.
struct ZoneSummary {
  std::string zone;
  policy::ParticipantReport report;
  coordination::Revision expected_revision = 0;  // of the last write of its key; 0: the key does not exist
};

// A call for the aggregator's own lease. An acquisition also writes `summaries`, if the rollout and the
// versions in the store are as in `observed`. For a renewal or a release both are empty.
struct LeaseAction {
  ownership::LeaseCall call;
  std::vector<ZoneSummary> summaries;
  ObservedByZone observed;
};

// A write of the changed summaries.
struct ReportSummariesAction {
  std::uint64_t call_id = 0;
  std::vector<ZoneSummary> summaries;
};

using UpstreamAction = std::variant<LeaseAction, ReportSummariesAction>;

// The result of a join, which writes all summaries under a new lease.
struct JoinResult {
  enum class Status {
    kJoined,
    kConflict  // not written, since the store's records were not as observed
  };
  Status status = Status::kConflict;
  coordination::Revision written_revision = 0;          // of the summaries
  coordination::Revision acknowledgement_revision = 0;  // of the acknowledgement record at the join
};

// The result of a renewal.
enum class RenewResult { kRenewed, kLeaseNotFound };

// The result of a write of summaries.
struct SummaryWriteResult {
  enum class Status {
    kWritten,
    kConflict,  // not written, since a key was not at the expected revision
    kUnknown    // not answered; the write may or may not have been executed
  };
  Status status = Status::kUnknown;
  // Revisions of the summaries' keys after the call, by zone; 0: the key does not exist.
  std::map<std::string, coordination::Revision> revisions;
};

// Returns the key of a zone's summary. `name` is the aggregator's.
std::string summary_key(const std::string& prefix, const std::string& name, const std::string& zone,
                        coordination::LeaseId lease);

// The transaction of an acquisition, and the parser of its outcome.
coordination::Transaction join_transaction(const std::string& prefix, const std::string& name,
                                           coordination::LeaseId lease, const LeaseAction& action);
JoinResult read_join_result(const coordination::TransactionResult& outcome);

// The transaction that writes changed summaries, and the parser of its outcome.
coordination::Transaction summary_transaction(const std::string& prefix, const std::string& name,
                                              coordination::LeaseId lease,
                                              const ReportSummariesAction& action);
SummaryWriteResult read_write_result(const coordination::TransactionResult& outcome,
                                     const ReportSummariesAction& action);

}  // namespace trailcourse::aggregation
