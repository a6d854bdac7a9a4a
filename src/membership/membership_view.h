// The membership of the fleet as one member sees it: the sessions in the store, without members that flap,
// drain, or cannot be reached by their peers although their session exists. The views of members may differ
// for some time. Correctness does not depend on their agreement, since leases and fencing tokens ensure it;
// the view only determines which member tries first to acquire work.
//
// | status     | as text  | meaning                                      | may be given work |
// | ---------- | -------- | -------------------------------------------- | ----------------- |
// | active     | in       | has a session in the store                   | yes               |
// | damped     | damped   | has joined and left too often recently       | no                |
// | suspected  | doubted  | has a session, but peers cannot reach it     | no                |
// | draining   | draining | is shutting down gracefully                  | no                |
// | superseded | shadowed | a process that started later has its name    | no                |
//
// Library `membership`: no I/O and no clock; times are Micros of the caller's steady clock. Not thread-safe.
#pragma once

#include <trailcourse/decider.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "membership/member_records.h"

namespace trailcourse::membership {

// Flap damping as in RFC 2439: each return of a member adds 1 to its penalty, which decays exponentially. A
// member is damped from the time when the penalty reaches `suppress` until it falls below `reuse`.
struct MembershipOptions {
  double suppress = 3.0;
  double reuse = 1.0;
  Micros half_life{60'000'000};
  int min_suspecting_peers = 2;  // needed to suspect a member; all other members if there are fewer
};

// The table above describes each status.
enum class MemberStatus { kActive, kDamped, kSuspected, kDraining, kSuperseded };

// Returns the name that is shown to operators.
const char* to_string(MemberStatus status);

// A running router process and its status.
struct MemberEntry {
  Member member;
  std::uint64_t joined_revision = 0;  // revision of the store at which the session was created
  MemberStatus status = MemberStatus::kActive;
  double flap_penalty = 0.0;
  int suspecting_peers = 0;
};

// Derives the status of each member from the records in the store.
class MembershipView {
 public:
  explicit MembershipView(const MembershipOptions& options) : options_(options) {}

  // Between these calls apply() is called for every record of a snapshot, which is at `revision`: at the
  // start, and when the watch has missed changes. Records that are missing from the snapshot are removed.
  void begin_snapshot();
  void end_snapshot(Micros now, std::uint64_t revision);

  // Applies a member or suspicion record. An empty value means that the record was deleted. Other keys are
  // ignored. `created` and `revision` are the revisions of the record's creation and last write.
  void apply(Micros now, const std::string& key, const std::string& value, std::uint64_t created,
             std::uint64_t revision);

  // Returns the highest revision that was applied.
  std::uint64_t revision() const { return revision_; }

  // Returns all running processes, by name and incarnation.
  std::vector<MemberEntry> members(Micros now) const;

  // Returns the sorted names of the active members of a zone, or of all zones if `zone` is empty.
  std::vector<std::string> eligible(Micros now, const std::string& zone) const;

  // Returns whether a process that started later has the same name.
  bool superseded(const std::string& name, const std::string& incarnation) const;

  // Returns when the next damped member becomes active, which changes eligible() without a new record.
  std::optional<Micros> next_change_at(Micros now) const;

 private:
  struct Session {
    Member member;
    std::uint64_t created = 0;
  };
  struct FlapState {
    double penalty = 0.0;
    Micros updated_at{0};
    bool has_left = false;  // it had a session and has none now
    bool damped = false;
  };

  void add_session(Micros now, const Member& member, std::uint64_t created);
  void remove_session(const std::string& name, const std::string& incarnation);
  void remove_missing_sessions();
  void remove_missing_suspicions();
  const Session* latest_session(const std::string& name) const;
  double flap_penalty(const FlapState& flap, Micros now) const;
  bool is_damped(const FlapState& flap, Micros now) const;
  bool is_credible(const Suspicion& suspicion) const;
  int suspecting_peers(const std::string& name) const;
  MemberStatus status(const Session& session, Micros now) const;

  MembershipOptions options_;
  std::uint64_t revision_ = 0;
  std::map<std::string, std::map<std::string, Session>> sessions_;  // by name, by incarnation
  std::map<std::string, FlapState> flaps_;
  std::map<std::string, std::map<std::string, Suspicion>> suspicions_;  // by member, by reporter
  bool in_snapshot_ = false;
  std::set<std::string> snapshot_keys_;  // applied since begin_snapshot()
};

}  // namespace trailcourse::membership
