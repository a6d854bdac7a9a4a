// Who is in the fleet, as it stands in the store: a key for each start of a router, which ends with its
// session, and a key for each doubt of one member about another.
//
// Package `membership`: knows JSON; no I/O, no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace trailcourse::membership {

struct Member {
  std::string name;
  std::string incarnation;  // of this start: 16 hex digits
  std::string zone;
  std::string address;          // where its neighbours try whether it is there
  std::int64_t started_ms = 0;  // Unix time, for staff alone
  bool draining = false;
  std::string version;

  friend bool operator==(const Member&, const Member&) = default;
};

struct Doubt {
  std::string name;  // of whom
  std::string by;
  int checks = 0;  // that the doubter makes
  int fails = 0;   // of those that fail

  friend bool operator==(const Doubt&, const Doubt&) = default;
};

// "fleet/members/NAME/INCARNATION", "fleet/doubts/NAME/BY".
std::string member_key(const std::string& name, const std::string& incarnation);
std::string doubt_key(const std::string& name, const std::string& by);
constexpr const char* kMembers = "fleet/members/";
constexpr const char* kDoubts = "fleet/doubts/";

std::string write_member(const Member& member);
std::string write_doubt(const Doubt& doubt);
// Nothing where key and value make no record.
std::optional<Member> read_member(const std::string& key, const std::string& value);
std::optional<Doubt> read_doubt(const std::string& key, const std::string& value);

}  // namespace trailcourse::membership
