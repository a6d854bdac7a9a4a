// A change of policy: its record in the store, what each router says of it, and what whoever drives it does
// next.
//
//     preparing ──(all are ready)──> holding ──(all hold, or have no permission any more)──> committed ──>
//     done
//         │                             │                                                        │
//         └──(a no, too long, staff)────┴──> aborted                    the next stage <── watched (staged)
//
// While it is being prepared every router decides under the old version. One that holds decides under
// neither: it refuses, or serves what both allow. So at the commit, which is one compare-and-set, nobody
// decides under the old version, and nobody can begin to: a router without permission has to join anew, which
// the commit would see. Whoever decides under the new one has read the commit. That is the whole of the rule;
// the driver is owned work, and a late one is refused because the record has moved on.
//
// Package `policy`: knows JSON; no I/O, no clock; time is Micros of the caller's steady clock.
#pragma once

#include <trailcourse/decider.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/types.h"

namespace trailcourse::policy {

using coordination::Revision;

enum class RolloutState { kPreparing, kSuspending, kCommitted, kWatching, kDone, kAborted };
const char* to_string(RolloutState state);

struct Rollout {
  std::uint64_t id = 0;                // grows with each change
  std::uint64_t target_version = 0;    // that is to be in force
  std::uint64_t previous_version = 0;  // that is to go
  RolloutState state = RolloutState::kPreparing;
  bool urgent = false;
  std::vector<std::string>
      stages;                 // zones, one after the other; then all the rest at once. None: all at once
  std::uint64_t stage = 0;    // the place of the one at hand; stages.size() is the rest
  std::int64_t watch_ms = 0;  // for which a stage is watched
  double max_rejected_share = 1.0;  // the share of a stage's requests refused or failed that turns it back
  std::string reason;               // of an abort
  std::string author;

  bool is_open() const { return state != RolloutState::kDone && state != RolloutState::kAborted; }
  // Whether the stage at hand is of this zone.
  bool applies_to(const std::string& zone) const;
  friend bool operator==(const Rollout&, const Rollout&) = default;
};

// What a router says in the store, under the lease of its permission.
struct ParticipantReport {
  std::string incarnation;
  std::string zone;
  std::uint64_t version = 0;          // that it decides under
  std::uint64_t ready_stage = 0;      // change and stage for which it is prepared, as stage_id()
  std::uint64_t suspended_stage = 0;  // for which it decides under neither
  std::uint64_t rejected_stage = 0;   // that it cannot live by, and why
  std::string rejection_reason;
  std::uint64_t requests = 0, failed_requests = 0;  // since its start; refused or failed
  std::uint64_t sequence = 0;  // grows with each statement under one lease; 0: not numbered
  std::uint64_t represented_routers =
      0;                    // that it stands for, of an aggregator's summary; 0: for its writer alone
  std::string waiting_for;  // of a summary: a router that has not done what is asked for; for staff
  std::uint64_t acknowledged_round =
      0;  // the last round of acknowledgement.h in which it said yes; only grows

  friend bool operator==(const ParticipantReport&, const ParticipantReport&) = default;
};
// One number for a stage of a change: later ones are larger.
inline std::uint64_t stage_id(const Rollout& change) { return change.id * 1'000 + change.stage; }

constexpr const char* kPolicyPrefix = "policy/";  // all records of the policy but audits and permits
constexpr const char* kRolloutKey = "policy/change";
constexpr const char* kCurrentKey = "policy/current";
constexpr const char* kZonePrefix = "policy/zones/";          // ZONE: where it differs from `current`
constexpr const char* kDocumentPrefix = "policy/documents/";  // VERSION
constexpr const char* kAuditPrefix = "audit/";                // policy/ID/STEP, for staff
constexpr const char* kReportPrefix = "permits/";             // ROUTER

// Each permission has a permit of its own: a write that comes late, of a permission before or of a start
// before, neither stands in the place of the one that holds now nor takes it away with its lease.
std::string report_key(const std::string& router, coordination::LeaseId lease);

std::string write_rollout(const Rollout& change);
std::optional<Rollout> read_rollout(const std::string& text);
std::string write_report(const ParticipantReport& permit);
std::optional<ParticipantReport> read_report(const std::string& text);
// Permits as the store has them, by "ROUTER/LEASE".
std::map<std::string, ParticipantReport> read_reports(const std::string& prefix,
                                                      const std::vector<coordination::Entry>& entries);
// Who wrote a permit, for staff: a router, or an aggregator with the routers that it stood for then.
std::string describe_reporter(const std::string& key, const ParticipantReport& permit);

// All that the driver goes by, as it stands in the store at one revision.
struct RolloutSnapshot {
  std::optional<Rollout> rollout;
  Revision rollout_revision = 0;
  std::uint64_t current_version = 0;
  Revision current_revision = 0;
  std::map<std::string, std::uint64_t> zone_versions;  // that differ from `current`
  std::map<std::string, ParticipantReport> reports;    // by "ROUTER/LEASE"
};

struct RolloutTimeouts {
  Micros prepare_timeout{30'000'000};  // then it is aborted
  Micros suspend_timeout{30'000'000};  // beyond any permission: then it is aborted
};

// The next step: the record as it is to stand, written only where record and current are as they were
// seen.
struct RolloutStep {
  Rollout rollout;
  bool commit = false;  // the version takes hold with it, in the stage's zones
  std::string audit;
};

class RolloutCoordinator {
 public:
  explicit RolloutCoordinator(const RolloutTimeouts& rules) : rules_(rules) {}

  // A successor knows no more than what stands in the store, and begins its times anew.
  std::optional<RolloutStep> step(Micros now, const RolloutSnapshot& seen);
  // When next() may say something else, by time alone.
  std::optional<Micros> next_step_at() const { return due_; }

 private:
  std::optional<RolloutStep> prepare(Micros now, const RolloutSnapshot& seen);
  std::optional<RolloutStep> hold(Micros now, const RolloutSnapshot& seen);
  std::optional<RolloutStep> settle(Micros now, const RolloutSnapshot& seen);
  std::optional<RolloutStep> watch(Micros now, const RolloutSnapshot& seen);
  Micros since(Micros now, const Rollout& change);

  RolloutTimeouts rules_;
  std::uint64_t step_ = 0;
  RolloutState state_ = RolloutState::kPreparing;
  Micros since_{0};
  std::optional<Micros> due_;
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>>
      base_;  // requests and refused as watching began
};

// Who is awaited, and for what, in words for staff; empty where nobody is.
std::vector<std::string> describe_pending(const RolloutSnapshot& seen);

// Whether a new change may begin: none is open, or this one is urgent and the open one has not committed
// anything. Empty where it may; else why not. `superseded`: the open one is to be aborted in the same step.
std::string check_can_begin(const RolloutSnapshot& seen, bool urgent, bool& superseded);

// The transactions. Each writes its line of audit with the step.
coordination::Transaction begin_transaction(const std::string& prefix, const RolloutSnapshot& seen,
                                            const Rollout& change, const std::string& document,
                                            const std::string& audit);
coordination::Transaction execute_transaction(const std::string& prefix, const RolloutSnapshot& seen,
                                              const RolloutStep& step);
// All that RolloutSnapshot is made of, and how it is read.
coordination::Transaction snapshot_transaction(const std::string& prefix);
RolloutSnapshot read_snapshot(const std::string& prefix, const coordination::Outcome& outcome);

}  // namespace trailcourse::policy
