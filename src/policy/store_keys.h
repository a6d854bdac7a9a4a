// Keys of the policy's records in the coordination store, without the prefix of all keys.
//
// Library `policy`: no I/O, no clock.
#pragma once

#include <string>

#include "coordination/types.h"

namespace trailcourse::policy {

// Prefix of all records of the policy except reports and the audit log.
constexpr const char* kPolicyPrefix = "policy/";
// The latest rollout.
constexpr const char* kRolloutKey = "policy/change";
// The version in force in all zones that have no entry of their own.
constexpr const char* kCurrentKey = "policy/current";
// Followed by ZONE: the version in force in that zone, if it differs from that of `kCurrentKey`.
constexpr const char* kZonePrefix = "policy/zones/";
// Followed by VERSION: the document.
constexpr const char* kDocumentPrefix = "policy/documents/";
// The record of the acknowledgement rounds.
constexpr const char* kAcknowledgedKey = "policy/acknowledged";
// Followed by ROLLOUT/STEP: one line of the audit log.
constexpr const char* kAuditPrefix = "audit/";
// Followed by ROUTER/LEASE: the report of one participant.
constexpr const char* kReportPrefix = "permits/";

// Returns the key of a participant's report under one lease. Each lease has its own key, so that a late write
// under an earlier lease cannot replace the current report, and the expiry of that lease cannot delete it.
std::string report_key(const std::string& router, coordination::LeaseId lease);

}  // namespace trailcourse::policy
