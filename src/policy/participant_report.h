// The report of a participant of a rollout, which it writes to the store under its lease. A participant is a
// router, or an aggregator on behalf of its routers. The report disappears with the lease, and a router
// without a lease decides no requests.
//
// Library `policy`: knows JSON; no I/O, no clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/types.h"
#include "policy/rollout.h"
#include "policy/store_keys.h"

namespace trailcourse::policy {

// The report. A stage of 0 means no stage.
struct ParticipantReport {
  std::string incarnation;                // of the process
  std::string zone;                       // of the participant
  std::uint64_t version = 0;              // under which the participant decides
  StageId ready_stage = 0;                // for which it has prepared the target version
  StageId suspended_stage = 0;            // during which it decides under neither version alone
  StageId rejected_stage = 0;             // whose target version it cannot apply
  std::string rejection_reason;           // for operators
  std::uint64_t requests = 0;             // since the start of the process
  std::uint64_t failed_requests = 0;      // those of them that were rejected or failed
  std::uint64_t sequence = 0;             // increases with each report under one lease; 0: not numbered
  std::uint64_t represented_routers = 0;  // by an aggregator's summary; 0: the report is that of one router
  std::string waiting_for;                // of a summary: a router that is not complete yet, for operators
  std::uint64_t acknowledged_round = 0;   // the last round that it has acknowledged; never decreases

  friend bool operator==(const ParticipantReport&, const ParticipantReport&) = default;
};

// Reports by the part of their keys after the prefix, "ROUTER/LEASE".
using ParticipantReports = std::map<std::string, ParticipantReport>;

// Writes the report as JSON.
std::string write_report(const ParticipantReport& report);
// Reads a report; a missing field has its default. Returns nothing if the text is not a JSON object.
std::optional<ParticipantReport> read_report(const std::string& text);
// Reads the entries below `kReportPrefix`. A malformed entry becomes an empty report, since its participant
// exists and has to be waited for until its lease expires.
ParticipantReports read_reports(const std::string& prefix, const std::vector<coordination::Entry>& entries);

// Returns the router's name in a report name "ROUTER/LEASE".
std::string router_of(const std::string& report_name);
// Describes the writer of a report for operators: a router, or an aggregator with the routers that it
// represents.
std::string describe_reporter(const std::string& report_name, const ParticipantReport& report);

}  // namespace trailcourse::policy
