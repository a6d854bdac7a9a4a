// What a participant of a rollout reports in the store, under its lease: a router, or an aggregator for the
// routers below it. The report disappears with the lease, and a router without a lease does not decide.
//
// Package `policy`: knows JSON; no I/O, no clock.
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

struct ParticipantReport {
  std::string incarnation;                // of the process
  std::string zone;                       // of the participant
  std::uint64_t version = 0;              // under which it decides
  StageId ready_stage = 0;                // for which it has prepared the target version
  StageId suspended_stage = 0;            // for which it decides under neither version alone
  StageId rejected_stage = 0;             // whose target version it cannot apply
  std::string rejection_reason;           // for operators
  std::uint64_t requests = 0;             // since the start of the process
  std::uint64_t failed_requests = 0;      // of these, rejected or failed
  std::uint64_t sequence = 0;             // grows with each report under one lease; 0: not numbered
  std::uint64_t represented_routers = 0;  // of an aggregator's summary; 0: the report is for its writer alone
  std::string waiting_for;                // of a summary: a router that lags behind, for operators
  std::uint64_t acknowledged_round = 0;   // the last round that it has acknowledged; only grows

  friend bool operator==(const ParticipantReport&, const ParticipantReport&) = default;
};

// Reports by the rest of their keys, "ROUTER/LEASE".
using ParticipantReports = std::map<std::string, ParticipantReport>;

std::string write_report(const ParticipantReport& report);
// Returns nothing if the text is not a JSON object.
std::optional<ParticipantReport> read_report(const std::string& text);
// Reads the entries below `kReportPrefix`. An entry that cannot be read gives an empty report: its
// participant exists and is awaited until its lease expires.
ParticipantReports read_reports(const std::string& prefix, const std::vector<coordination::Entry>& entries);

// Returns the router's name of a key "ROUTER/LEASE".
std::string router_of(const std::string& report_name);
// Describes the writer of a report for operators: a router, or an aggregator with the routers that it
// represents.
std::string describe_reporter(const std::string& report_name, const ParticipantReport& report);

}  // namespace trailcourse::policy
