// The calls of an aggregator to the store: what it requests under its own lease, and how the answers are
// read.
//
// In the store an aggregator looks like one router for each zone that it serves. It writes one summary for
// each zone, all under one lease. A summary is written only over the aggregator's previous one, by
// compare-and-set, so that a write that arrives late changes nothing.
//
// Package `aggregation`: no I/O, no clock.
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

// A zone's summary that is to be written to the store.
struct ZoneSummary {
  std::string zone;
  policy::ParticipantReport report;
  coordination::Revision expected_revision = 0;  // of the last write of its key; 0: there is no such key
};

// A call for the aggregator's own lease. An acquisition also writes `summaries`, provided that the rollout
// and the versions in the store are as in `observed`. A renewal and a release have neither.
struct LeaseAction {
  ownership::LeaseCall call;
  std::vector<ZoneSummary> summaries;
  ObservedByZone observed;
};

// A write of the summaries that have changed.
struct ReportSummariesAction {
  std::uint64_t call_id = 0;
  std::vector<ZoneSummary> summaries;
};

using UpstreamAction = std::variant<LeaseAction, ReportSummariesAction>;

// The answer to an attempt to join: the write of all summaries under a new lease.
struct JoinResult {
  enum class Status {
    kJoined,
    kConflict  // not written: the store's records were not as observed
  };
  Status status = Status::kConflict;
  coordination::Revision written_revision = 0;          // of the summaries
  coordination::Revision acknowledgement_revision = 0;  // of the record of acknowledged events as of the join
};

// The answer to a renewal.
enum class RenewResult { kRenewed, kLeaseNotFound };

// The answer to a write of summaries.
struct SummaryWriteResult {
  enum class Status {
    kWritten,
    kConflict,  // not written: a key was not at the expected revision
    kUnknown    // no answer: the write may have been done or not
  };
  Status status = Status::kUnknown;
  // By zone, as of the answer; 0: there is no such key.
  std::map<std::string, coordination::Revision> revisions;
};

// Returns the key of a zone's summary. `name` is the aggregator's.
std::string summary_key(const std::string& prefix, const std::string& name, const std::string& zone,
                        coordination::LeaseId lease);

coordination::Transaction join_transaction(const std::string& prefix, const std::string& name,
                                           coordination::LeaseId lease, const LeaseAction& action);
JoinResult read_join_result(const coordination::TransactionResult& outcome);

coordination::Transaction summary_transaction(const std::string& prefix, const std::string& name,
                                              coordination::LeaseId lease,
                                              const ReportSummariesAction& action);
SummaryWriteResult read_write_result(const coordination::TransactionResult& outcome,
                                     const ReportSummariesAction& action);

}  // namespace trailcourse::aggregation
