// A router's side of a change of policy: under which version it decides now, or why under none; what it has
// to say to the store; and its permission, without which it decides under no version alone.
//
// | standing  | is                                                              | decides under | | ---------
// | --------------------------------------------------------------- | ----------------------------- | |
// outside   | no permission yet, or none any more                             | none: refuses, or what both
// allow | | current   | permission, nothing is being held                               | the version in
// force          | | prepared  | the same, and it has said that it can live by the next          | the
// version in force          | | in doubt  | it has said that it holds; the outcome is not known             |
// none: refuses, or what both allow | | switching | the outcome is known, its own permit not yet written |
// the version in force          |
//
// The permission is a lease, timed as in ownership/lease.h: the store has not ended it before this router
// stops. A permit that is gone from the store is that of a router that does not decide; so the driver need
// not wait for the dead.
//
// A version is decided under only once this router has read in the store that it is in force, holds its text,
// and has kept it on disk where there is one. What was prepared is a text and no more: after a restart the
// store is asked.
//
// Package `policy`: no I/O, no clock; time is Micros of the caller's steady clock. Not thread-safe.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "ownership/lease.h"
#include "policy/acknowledgement.h"
#include "policy/document.h"
#include "policy/rollout.h"

namespace trailcourse::policy {

enum class ParticipantState { kNoLease, kCurrent, kPrepared, kInDoubt, kSwitching };
const char* to_string(ParticipantState standing);

// What a request that arrives now is decided under.
struct EffectivePolicy {
  enum class Kind {
    kSingle,        // `version` alone
    kIntersection,  // what `version` and `other_version` both allow
    kReject         // none: 503 at once
  };
  Kind kind = Kind::kReject;
  std::uint64_t version = 0;
  std::uint64_t other_version = 0;

  friend bool operator==(const EffectivePolicy&, const EffectivePolicy&) = default;
};

struct ParticipantOptions {
  ownership::LeaseRules lease;
  bool serve_intersection = true;  // without a version alone: serve what both allow; false: refuse
};

// What is in the store, as this router has read or been told of it, at one revision.
struct ObservedState {
  std::optional<Rollout> rollout;
  Revision rollout_revision = 0;
  std::uint64_t version = 0;  // in force in this router's zone
  Revision current_revision = 0;
  Revision zone_revision = 0;  // of the zone's own version; 0: it has none
  Acknowledgement acknowledgement;
  Revision acknowledgement_revision = 0;
};

// An entry of the store; an empty one where there is none of that key.
using EntryLookup = std::function<coordination::Entry(const std::string& key)>;
// As it stands for zones that have no version of their own.
ObservedState read_observed_state(const EntryLookup& entry_of);
// The same for a zone that may have one.
ObservedState observed_in_zone(ObservedState known, const EntryLookup& entry_of, const std::string& zone);
// What must still stand for whoever joins: all that is known, so that nobody joins behind what was decided.
std::vector<coordination::Compare> join_conditions(const std::string& prefix, const ObservedState& known,
                                                   const std::string& zone);

// What is to be done.
struct LeaseAction {  // acquire: join, with this permit where all is as `known` says; renew; release
  ownership::Order order;
  ParticipantReport report;
  ObservedState observed;
};
struct ReportAction {  // the permit as it is to stand, under the lease
  std::uint64_t call_id = 0;
  ParticipantReport report;
};
struct PersistDocumentAction {  // on disk, before it is said to be ready or decided under
  std::uint64_t version = 0;
};
using ParticipantAction = std::variant<LeaseAction, ReportAction, PersistDocumentAction>;

class Participant {
 public:
  // Whether this router can live by a version: empty, or why not. Asked once its text is here.
  using Judge = std::function<std::string(std::uint64_t version)>;

  Participant(std::string incarnation, std::string zone, const ParticipantOptions& rules, Judge judge);

  // ---- What the store tells ----
  void on_observed_state(Micros now, const ObservedState& observed);
  // Whether the store is heard: permission is not renewed where it is not, so that news that does not arrive
  // ends it.
  void set_connected(Micros now, bool connected);
  // The text of a version is here. Version 0, what routers do without a document, always is.
  void on_document(Micros now, std::uint64_t version);

  // ---- Answers ----
  // `joined`: the store had all as it was known; else what is to be known is told first.
  void on_join_result(Micros now, std::uint64_t call_id, bool joined);
  void on_renew_result(Micros now, std::uint64_t call_id, bool alive);
  void on_release_result(Micros now, std::uint64_t call_id);
  void on_no_response(Micros now, std::uint64_t call_id);
  void on_report_result(Micros now, std::uint64_t call_id, bool done);
  // The disk's: empty, or why it could not be kept.
  void on_persist_result(Micros now, std::uint64_t version, const std::string& why);

  // Requests and refusals since the start, for whoever watches a stage.
  void set_request_counts(std::uint64_t requests, std::uint64_t refused);
  // All events of the notice board up to here are taken in: what is decided from now on goes by them.
  void on_events_applied(Micros now, const DiscoveryPosition& position);

  // ---- What it decides ----
  EffectivePolicy effective_policy(Micros now) const;
  ParticipantState state(Micros now) const;
  std::vector<ParticipantAction> step(Micros now);
  std::optional<Micros> next_step_at(Micros now) const;
  Micros lease_end() const { return lease_.until(); }
  // Whether requests are to be taken: it has permission, whatever is being held. /healthz says so.
  bool ready(Micros now) const;
  void stop(Micros now);
  bool stopped() const { return lease_.over(); }
  const ObservedState& observed() const { return observed_; }

 private:
  // What the permit should say.
  ParticipantReport wanted() const;
  bool has(std::uint64_t version) const;
  bool holds() const;
  // Whether permission may be asked for, renewed or given back now, as far as the store and the board go.
  bool may_ask(Micros now) const;
  void consider(Micros now);

  std::string incarnation_;
  std::string zone_;
  ParticipantOptions rules_;
  Judge judge_;
  ownership::Lease lease_;
  ObservedState observed_;
  bool is_told_ = false;
  bool connected_ = false;
  bool joined_ = false;     // the permit of this lease stands in the store
  ParticipantReport said_;  // as it stands there, as far as is known
  std::optional<ParticipantReport> saying_;
  bool say_out_ = false;
  std::uint64_t say_number_ = 0;
  Micros say_after_{0};
  std::map<std::uint64_t, std::string> documents_;  // here; with why it cannot be lived by
  std::map<std::uint64_t, bool> kept_;              // false: being kept
  std::map<std::uint64_t, std::string> unkept_;     // why
  std::uint64_t requests_ = 0, refused_ = 0;
  std::uint64_t last_version_ = 0;  // that was decided under
  DiscoveryPosition position_;      // of the notice board
  std::uint64_t acknowledged_ = 0;  // the last round whose events are taken in
};

}  // namespace trailcourse::policy
