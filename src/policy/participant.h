// A router's side of a policy rollout, as a participant of the two-phase commit: under which version of the
// policy it decides, what it reports to the store, and its lease, without which it decides under no version.
//
// | state     | meaning                                              | decides under                        |
// | --------- | ---------------------------------------------------- | ------------------------------------ |
// | no lease  | the lease was not granted yet, or has run out        | none: rejects requests               |
// | current   | has a lease, and is not suspended                    | the version in force                 |
// | prepared  | the same, and has reported that it is ready          | the version in force                 |
// | in doubt  | is suspended, and does not know the outcome          | none: rejects requests, or serves    |
// |           |                                                      | what both versions allow             |
// | switching | knows the outcome, and has not yet reported it       | the version in force                 |
//
// The lease is timed as in ownership/lease.h: the store does not end it before this router has stopped. A
// report that is gone from the store is that of a router that does not decide, so the coordinator does not
// wait for routers that are dead.
//
// A version is decided under only once this router has read in the store that it is in force, has received
// its document, and has stored that on disk if there is one. A prepared version has no effect by itself:
// after a restart the router asks the store.
//
// Package `policy`: no I/O, no clock; time is Micros of the caller's steady clock. Not thread-safe.
#pragma once

#include <trailcourse/decider.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "ownership/lease.h"
#include "policy/acknowledgement.h"
#include "policy/document_preparation.h"
#include "policy/observed_state.h"
#include "policy/participant_report.h"

namespace trailcourse::policy {

enum class ParticipantState { kNoLease, kCurrent, kPrepared, kInDoubt, kSwitching };
// Returns the name that /healthz and the log have.
const char* to_string(ParticipantState state);

// What a request that arrives now is decided under.
struct EffectivePolicy {
  enum class Kind {
    kSingle,        // `version` alone
    kIntersection,  // what `version` and `other_version` both allow
    kReject         // none: the request is rejected at once
  };
  Kind kind = Kind::kReject;
  std::uint64_t version = 0;
  std::uint64_t other_version = 0;

  friend bool operator==(const EffectivePolicy&, const EffectivePolicy&) = default;
};

struct ParticipantOptions {
  ownership::LeaseOptions lease;
  bool serve_intersection = true;  // while in doubt; false: reject requests
};

// A call for the lease that is to be made now.
struct LeaseAction {
  ownership::LeaseCall order;
  ParticipantReport report;  // of an acquisition: to be written if the store still is as in `observed`
  ObservedState observed;
};
// A report that is to be written now, under the lease.
struct ReportAction {
  std::uint64_t call_id = 0;
  ParticipantReport report;
};
// A document that is to be stored on disk.
struct PersistDocumentAction {
  std::uint64_t version = 0;
};
using ParticipantAction = std::variant<LeaseAction, ReportAction, PersistDocumentAction>;

class Participant {
 public:
  // Checks whether this router can apply a version whose document was received.
  using DocumentCheck = std::function<PreparationResult(std::uint64_t version)>;

  Participant(std::string incarnation, std::string zone, const ParticipantOptions& options,
              DocumentCheck check_document);

  // ---- Events ----
  // The state of the store was read. A state older than the one observed last is ignored, since answers and
  // watches may overtake each other.
  void on_observed_state(Micros now, const ObservedState& observed);
  // Whether the watch of the store is connected. The lease is renewed only then, so that it runs out if
  // changes no longer arrive.
  void set_connected(Micros now, bool connected);
  // The document of a version was received. Version 0, what routers do without a document, always is.
  void on_document(Micros now, std::uint64_t version);
  // All events of the discovery service up to `position` have been applied to what is decided from now on.
  void on_events_applied(Micros now, const DiscoveryPosition& position);
  // Requests and failures since the start of the process, for the watching of a stage.
  void set_request_counts(std::uint64_t requests, std::uint64_t failed);

  // ---- Results of actions ----
  // `joined`: the store was as observed, and the report is written. If not, the state is to be read again.
  void on_join_result(Micros now, std::uint64_t call_id, bool joined);
  void on_renew_result(Micros now, std::uint64_t call_id, bool alive);
  void on_release_result(Micros now, std::uint64_t call_id);
  // A call for the lease had no response: it may have been executed or not.
  void on_no_response(Micros now, std::uint64_t call_id);
  void on_report_result(Micros now, std::uint64_t call_id, bool written);
  void on_persist_result(Micros now, std::uint64_t version, PreparationResult result);

  // ---- State ----
  EffectivePolicy effective_policy(Micros now) const;
  ParticipantState state(Micros now) const;
  // Returns what is to be done now; each action counts as begun.
  std::vector<ParticipantAction> step(Micros now);
  // Returns when step() may return something by time alone, or the state may change.
  std::optional<Micros> next_step_at(Micros now) const;
  Micros lease_end() const { return lease_.valid_until(); }
  // Returns whether the router should receive requests: it has a lease, suspended or not.
  bool ready(Micros now) const;
  // Releases the lease; step() gives the call.
  void stop(Micros now);
  bool stopped() const { return lease_.released(); }
  const ObservedState& observed() const { return observed_; }

 private:
  ParticipantReport desired_report() const;
  void add_rollout_stages(ParticipantReport& report) const;
  bool is_suspended() const;
  bool is_watched() const;
  bool may_call_for_lease(Micros now) const;
  void update();
  void update_acknowledgement();
  void forget_unused_documents();

  void add_persist_actions(std::vector<ParticipantAction>& actions);
  void add_lease_action(Micros now, std::vector<ParticipantAction>& actions);
  void add_report_action(Micros now, std::vector<ParticipantAction>& actions);

  std::string incarnation_;
  std::string zone_;
  ParticipantOptions options_;
  DocumentCheck check_document_;
  DocumentPreparation documents_;
  ownership::Lease lease_;

  ObservedState observed_;
  bool has_observed_ = false;
  bool connected_ = false;

  bool joined_ = false;                       // the report of this lease is in the store
  ParticipantReport reported_;                // as last observed in the store
  std::optional<ParticipantReport> pending_;  // the report of the call in flight: a join or a report
  bool report_in_flight_ = false;
  std::uint64_t last_report_id_ = 0;
  Micros report_not_before_{0};

  std::uint64_t requests_ = 0;
  std::uint64_t failed_requests_ = 0;
  std::uint64_t last_version_ = 0;  // that was reported as decided under
  DiscoveryPosition position_;
  std::uint64_t acknowledged_round_ = 0;  // the last one whose events have been applied
};

}  // namespace trailcourse::policy
