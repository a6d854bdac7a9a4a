// The records of the fleet's membership in the coordination store: one for each running router process, which
// is deleted with its session, and one for each suspicion that a member reports about another.
//
// Library `membership`: depends on JSON; no I/O and no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace trailcourse::membership {

// A running process of a router.
struct Member {
  std::string name;
  std::string incarnation;  // identifies this process: 16 hex digits
  std::string zone;
  std::string address;          // address that peers probe
  std::int64_t started_ms = 0;  // Unix time, only shown to operators
  bool draining = false;
  std::string version;

  friend bool operator==(const Member&, const Member&) = default;
};

// A member's report that it cannot reach another member.
struct Suspicion {
  std::string member;
  std::string reporter;
  int probed = 0;  // number of peers that the reporter probes
  int failed = 0;  // number of these peers that it cannot reach

  friend bool operator==(const Suspicion&, const Suspicion&) = default;
};

constexpr const char* kMemberPrefix = "fleet/members/";
constexpr const char* kSuspicionPrefix = "fleet/doubts/";

// Returns "fleet/members/NAME/INCARNATION".
std::string member_key(const std::string& name, const std::string& incarnation);

// Returns "fleet/doubts/MEMBER/REPORTER".
std::string suspicion_key(const std::string& member, const std::string& reporter);

// Serialize and parse the stored values. The read functions return nothing if key and value are not a record.
std::string write_member(const Member& member);
std::optional<Member> read_member(const std::string& key, const std::string& value);
std::string write_suspicion(const Suspicion& suspicion);
std::optional<Suspicion> read_suspicion(const std::string& key, const std::string& value);

}  // namespace trailcourse::membership
