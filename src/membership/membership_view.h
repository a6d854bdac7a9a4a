// Membership of the fleet as one member sees it: the sessions in the store, without those that flap, drain,
// or cannot be reached by their peers although the store hears them. Members may see different memberships
// for a while. Nothing that has to be correct depends on their agreement (leases and fencing terms serve
// for that); the view decides only who tries first to acquire work.
//
// | status     | as text  | meaning                                       | may be given work |
// | ---------- | -------- | --------------------------------------------- | ----------------- |
// | active     | in       | has a session in the store                    | yes               |
// | damped     | damped   | joined and left too often lately              | no                |
// | suspected  | doubted  | the store hears it, its peers cannot reach it | no                |
// | draining   | draining | is shutting down gracefully                   | no                |
// | superseded | shadowed | a later process has its name                  | no                |
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

// Flap damping after RFC 2439: each return adds 1 to a penalty that halves with time. A member is damped once
// the penalty reaches `suppress`, until it is below `reuse`.
struct MembershipOptions {
  double suppress = 3.0;
  double reuse = 1.0;
  Micros half_life{60'000'000};
  int min_suspecting_peers = 2;  // that make a member suspected; fewer where there are fewer others
};

enum class MemberStatus { kActive, kDamped, kSuspected, kDraining, kSuperseded };

// Returns the word that staff read in outputs.
const char* to_string(MemberStatus status);

// A running process of a router, as the view sees it.
struct MemberEntry {
  Member member;
  std::uint64_t joined_revision = 0;  // of the store, when its session was created
  MemberStatus status = MemberStatus::kActive;
  double flap_penalty = 0.0;
  int suspecting_peers = 0;
};

class MembershipView {
 public:
  explicit MembershipView(const MembershipOptions& options) : options_(options) {}

  // Between these calls apply() is called for every record that stands at `revision`: at the start, and
  // after a gap of the watch. What was not among them is gone.
  void begin_snapshot();
  void end_snapshot(Micros now, std::uint64_t revision);

  // Applies a record of a member or a suspicion; an empty value: it was deleted. Other keys are ignored.
  void apply(Micros now, const std::string& key, const std::string& value, std::uint64_t created,
             std::uint64_t revision);

  // Returns the store's revision of the last change that was applied.
  std::uint64_t revision() const { return revision_; }

  // Returns all running processes, by name and incarnation.
  std::vector<MemberEntry> members(Micros now) const;

  // Returns the names of the active members of a zone, or of all zones where it is empty. Sorted.
  std::vector<std::string> eligible(Micros now, const std::string& zone) const;

  // Returns whether a later process has the name of this one.
  bool superseded(const std::string& name, const std::string& incarnation) const;

  // Returns when a damped member becomes active again: eligible() changes then by time alone.
  std::optional<Micros> next_change_at(Micros now) const;

 private:
  struct Session {
    Member member;
    std::uint64_t created = 0;
  };
  struct FlapState {
    double penalty = 0.0;
    Micros updated_at{0};
    bool has_left = false;  // it was here, and has no session now
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
