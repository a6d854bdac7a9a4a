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

enum class ChangeState { kPreparing, kHolding, kCommitted, kWatched, kDone, kAborted };
const char* to_string(ChangeState state);

struct Change {
  std::uint64_t id = 0;       // grows with each change
  std::uint64_t version = 0;  // that is to be in force
  std::uint64_t before = 0;   // that is to go
  ChangeState state = ChangeState::kPreparing;
  bool urgent = false;
  std::vector<std::string>
      stages;                 // zones, one after the other; then all the rest at once. None: all at once
  std::uint64_t stage = 0;    // the place of the one at hand; stages.size() is the rest
  std::int64_t watch_ms = 0;  // for which a stage is watched
  double most_refused = 1.0;  // the share of a stage's requests refused or failed that turns it back
  std::string why;            // of an abort
  std::string by;

  bool open() const { return state != ChangeState::kDone && state != ChangeState::kAborted; }
  // Whether the stage at hand is of this zone.
  bool concerns(const std::string& zone) const;
  friend bool operator==(const Change&, const Change&) = default;
};

// What a router says in the store, under the lease of its permission.
struct Permit {
  std::string incarnation;
  std::string zone;
  std::uint64_t version = 0;  // that it decides under
  std::uint64_t ready = 0;    // change and stage for which it is prepared, as step_of()
  std::uint64_t held = 0;     // for which it decides under neither
  std::uint64_t no = 0;       // that it cannot live by, and why
  std::string why;
  std::uint64_t requests = 0, refused = 0;  // since its start; refused or failed
  std::uint64_t number = 0;                 // grows with each statement under one lease; 0: not numbered
  std::uint64_t routers = 0;       // that it stands for, of an aggregator's summary; 0: for its writer alone
  std::string awaits;              // of a summary: a router that has not done what is asked for; for staff
  std::uint64_t acknowledged = 0;  // the last round of acknowledgement.h in which it said yes; only grows

  friend bool operator==(const Permit&, const Permit&) = default;
};
// One number for a stage of a change: later ones are larger.
inline std::uint64_t step_of(const Change& change) { return change.id * 1'000 + change.stage; }

constexpr const char* kRecords = "policy/";  // all records of the policy but audits and permits
constexpr const char* kChangeKey = "policy/change";
constexpr const char* kCurrentKey = "policy/current";
constexpr const char* kZones = "policy/zones/";          // ZONE: where it differs from `current`
constexpr const char* kDocuments = "policy/documents/";  // VERSION
constexpr const char* kAudit = "audit/";                 // policy/ID/STEP, for staff
constexpr const char* kPermits = "permits/";             // ROUTER

// Each permission has a permit of its own: a write that comes late, of a permission before or of a start
// before, neither stands in the place of the one that holds now nor takes it away with its lease.
std::string permit_key(const std::string& router, coordination::LeaseId lease);

std::string write_change(const Change& change);
std::optional<Change> read_change(const std::string& text);
std::string write_permit(const Permit& permit);
std::optional<Permit> read_permit(const std::string& text);
// Permits as the store has them, by "ROUTER/LEASE".
std::map<std::string, Permit> read_permits(const std::string& prefix,
                                           const std::vector<coordination::Entry>& entries);
// Who wrote a permit, for staff: a router, or an aggregator with the routers that it stood for then.
std::string described_writer(const std::string& key, const Permit& permit);

// All that the driver goes by, as it stands in the store at one revision.
struct Seen {
  std::optional<Change> change;
  Revision change_modified = 0;
  std::uint64_t current = 0;
  Revision current_modified = 0;
  std::map<std::string, std::uint64_t> zones;  // that differ from `current`
  std::map<std::string, Permit> permits;       // by "ROUTER/LEASE"
};

struct DriverRules {
  Micros prepare_most{30'000'000};  // then it is aborted
  Micros hold_most{30'000'000};     // beyond any permission: then it is aborted
};

// The next step: the record as it is to stand, written only where record and current are as they were
// seen.
struct Step {
  Change change;
  bool commit = false;  // the version takes hold with it, in the stage's zones
  std::string audit;
};

class Driver {
 public:
  explicit Driver(const DriverRules& rules) : rules_(rules) {}

  // A successor knows no more than what stands in the store, and begins its times anew.
  std::optional<Step> next(Micros now, const Seen& seen);
  // When next() may say something else, by time alone.
  std::optional<Micros> due() const { return due_; }

 private:
  std::optional<Step> prepare(Micros now, const Seen& seen);
  std::optional<Step> hold(Micros now, const Seen& seen);
  std::optional<Step> settle(Micros now, const Seen& seen);
  std::optional<Step> watch(Micros now, const Seen& seen);
  Micros since(Micros now, const Change& change);

  DriverRules rules_;
  std::uint64_t step_ = 0;
  ChangeState state_ = ChangeState::kPreparing;
  Micros since_{0};
  std::optional<Micros> due_;
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>>
      base_;  // requests and refused as watching began
};

// Who is awaited, and for what, in words for staff; empty where nobody is.
std::vector<std::string> awaited(const Seen& seen);

// Whether a new change may begin: none is open, or this one is urgent and the open one has not committed
// anything. Empty where it may; else why not. `superseded`: the open one is to be aborted in the same step.
std::string may_begin(const Seen& seen, bool urgent, bool& superseded);

// The transactions. Each writes its line of audit with the step.
coordination::Transaction begin(const std::string& prefix, const Seen& seen, const Change& change,
                                const std::string& document, const std::string& audit);
coordination::Transaction carry_out(const std::string& prefix, const Seen& seen, const Step& step);
// All that Seen is made of, and how it is read.
coordination::Transaction look(const std::string& prefix);
Seen read_seen(const std::string& prefix, const coordination::TransactionResult& outcome);

}  // namespace trailcourse::policy
