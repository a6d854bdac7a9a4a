// A router's side of a policy rollout, as a participant of the two-phase commit: the version of the policy
// under which the router decides requests, its reports to the store, and its lease. Without a lease the
// router decides under no version.
//
// | state     | meaning                                              | decides under                        |
// | --------- | ---------------------------------------------------- | ------------------------------------ |
// | outside   | has no valid lease, or no prepared document of the   | none: rejects requests               |
// |           | version in force, or has observed no state yet       |                                      |
// | current   | has a lease, and is not suspended                    | the version in force                 |
// | prepared  | as current, and has reported that it is ready        | the version in force                 |
// | in doubt  | is suspended, and does not know the outcome          | none: rejects requests, or serves    |
// |           |                                                      | what both versions allow             |
// | switching | knows the outcome, and has not yet reported it       | the version in force                 |
//
// The lease is timed as in ownership/lease.h: the store does not end it before this router has stopped
// deciding. A router whose report has disappeared from the store therefore decides no requests, and the
// coordinator does not wait for routers that have crashed.
//
// A router decides under a version only after it has read in the store that the version is in force, has
// received the document of the version, and has stored it on disk if documents are stored. A prepared version
// has no effect by itself: after a restart the router reads the version in force from the store.
//
// Library `policy`: no I/O, no clock; time is Micros of the caller's steady clock. Not thread-safe.
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

// The table above describes the states. kNotParticipating ("outside"): the lease is not valid, no state of
// the store has been observed, or the document of the observed version is not prepared.
enum class ParticipantState { kNotParticipating, kCurrent, kPrepared, kInDoubt, kSwitching };
// Returns the name of the state in /healthz and in the log.
const char* to_string(ParticipantState state);

// The version or versions under which a request is decided.
struct EffectivePolicy {
  enum class Kind {
    kSingle,        // `version` alone
    kIntersection,  // what `version` and `other_version` both allow
    kReject         // no version: the request is rejected at once
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

// A lease call to make now.
struct LeaseAction {
  ownership::LeaseCall call;
  ParticipantReport report;  // of an acquisition: to be written if the store is unchanged since `observed`
  ObservedState observed;    // of an acquisition
};
// A report to write now, under the lease.
struct ReportAction {
  std::uint64_t call_id = 0;
  ParticipantReport report;
};
// A document to store on disk.
struct PersistDocumentAction {
  std::uint64_t version = 0;
};
using ParticipantAction = std::variant<LeaseAction, ReportAction, PersistDocumentAction>;

// The state machine of a participant. The caller passes events in, calls step(), and executes the actions.
class Participant {
 public:
  // Checks whether this router can apply a version whose document was received.
  using DocumentCheck = std::function<PreparationResult(std::uint64_t version)>;

  // `incarnation` and `zone` are those of this router's process.
  Participant(std::string incarnation, std::string zone, const ParticipantOptions& options,
              DocumentCheck check_document);

  // ---- Events ----
  // The state of the store was observed. Ignores a state older than the last one, since responses and watch
  // events may overtake each other.
  void on_observed_state(Micros now, const ObservedState& observed);
  // Sets whether the watch of the store is connected. The lease is renewed only while it is, so that the
  // lease expires if changes no longer arrive.
  void set_connected(Micros now, bool connected);
  // The document of a version was received. Version 0 has no document and needs no call.
  void on_document(Micros now, std::uint64_t version);
  // All events of the discovery service up to `position` have been applied: later decisions take them into
  // account.
  void on_events_applied(Micros now, const DiscoveryPosition& position);
  // Sets the numbers of all requests and of the rejected or failed ones since the start of the process. The
  // coordinator compares them while it watches a stage.
  void set_request_counts(std::uint64_t requests, std::uint64_t failed);

  // ---- Results of actions ----
  // `joined` is true if the store was as observed and the report was written. If not, the caller has to read
  // the state again.
  void on_join_result(Micros now, std::uint64_t call_id, bool joined);
  // `valid` is true if the store still had the lease.
  void on_renew_result(Micros now, std::uint64_t call_id, bool valid);
  void on_release_result(Micros now, std::uint64_t call_id);
  // A lease call was not answered. It may or may not have been executed.
  void on_no_response(Micros now, std::uint64_t call_id);
  void on_report_result(Micros now, std::uint64_t call_id, bool written);
  void on_persist_result(Micros now, std::uint64_t version, PreparationResult result);

  // ---- State ----
  // Returns the policy that applies to a request that arrives now.
  EffectivePolicy effective_policy(Micros now) const;
  ParticipantState state(Micros now) const;
  // Returns the actions to execute now. Each of them counts as started.
  std::vector<ParticipantAction> step(Micros now);
  // Returns the time at which step() may return an action, or state() may change, without any further event;
  // or nothing.
  std::optional<Micros> next_step_at(Micros now) const;
  // Returns the time until which the lease is valid.
  Micros lease_end() const { return lease_.valid_until(); }
  // Returns whether the router should receive requests: it participates, whether or not it is suspended.
  bool ready(Micros now) const;
  // Starts to release the lease; step() returns the call.
  void stop(Micros now);
  // Returns whether the lease is released after stop().
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

  bool joined_ = false;                       // a report under this lease is in the store
  ParticipantReport reported_;                // the last one whose write was confirmed
  std::optional<ParticipantReport> pending_;  // the report of the call in flight: a join or a report
  bool report_in_flight_ = false;
  std::uint64_t last_report_id_ = 0;
  Micros report_not_before_{0};

  std::uint64_t requests_ = 0;
  std::uint64_t failed_requests_ = 0;
  std::uint64_t last_version_ = 0;  // the last one that was reported as decided under
  DiscoveryPosition position_;
  std::uint64_t acknowledged_round_ = 0;  // the last one whose events have been applied
};

}  // namespace trailcourse::policy
