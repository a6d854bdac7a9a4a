// The permissions that an aggregator has given to the routers below it, and what each router said last. A
// permission ends before the aggregator's own does, so that nobody below decides for longer than the store
// above allows.
//
// A router counts from its first permit until its lease ends or is given back, also where it has moved to
// another aggregator meanwhile: it may still decide by what it was given here.
//
// Package `aggregation`: no I/O, no clock; time is Micros of the aggregator's steady clock. Not thread-safe.
#pragma once

#include <trailcourse/decider.h>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>

#include "aggregation/permit_summary.h"

namespace trailcourse::aggregation {

// A call of a router that is not carried out and changed nothing; its text is one line.
class Refused : public std::runtime_error {
 public:
  enum class Why {
    kNoPermission,  // the aggregator's own would not last as long: ask another one
    kFull,          // as many routers as it may have
    kUnknownLease,
    kBackwards,  // numbered no higher than what was said before, or acknowledging less
    kMalformed,
    kTooLarge,
    kUnknownZone,
    kNotServed  // a call that an aggregator does not take
  };
  Refused(Why why, const std::string& text) : std::runtime_error(text), why_(why) {}
  Why why() const { return why_; }

 private:
  Why why_;
};

struct RouterLeaseRules {
  std::size_t most_routers = 2'000;
  Micros least_ttl{100'000};
};

// Requests of all routers of a zone since the aggregator's start. They only grow, whoever comes and goes.
struct RequestCounts {
  std::uint64_t requests = 0;
  std::uint64_t refused = 0;
};

class RouterLeases {
 public:
  // `seed`: of lease numbers, which must not be those of another aggregator or of an earlier start.
  RouterLeases(const RouterLeaseRules& rules, std::uint64_t seed) : rules_(rules), random_(seed) {}

  // `until`: when the aggregator's own permission ends. Throws Refused.
  coordination::LeaseId grant(Micros now, Micros ttl, Micros until);
  // The time it has from now; 0 where there is none of that number. Throws Refused.
  Micros keep_alive(Micros now, coordination::LeaseId id, Micros until);
  void revoke(coordination::LeaseId id);
  // What a router says under its lease. Throws Refused.
  void say(const std::string& router, coordination::LeaseId id, const policy::ParticipantReport& permit);
  // The rounds up to this one were acknowledged in the name of the zone's routers: none joins behind it.
  void claim(const std::string& zone, std::uint64_t acknowledged);
  void expire(Micros now);
  std::optional<Micros> next_expiry() const;

  bool holds(coordination::LeaseId id) const { return leases_.contains(id); }
  const RouterPermits& permits(const std::string& zone) const;
  RequestCounts requests(const std::string& zone) const;
  std::size_t size() const { return leases_.size(); }

 private:
  struct RouterLease {
    Micros ttl{0};
    Micros ends{0};
    std::string zone;  // of its permit; empty before it has one
  };

  void end(coordination::LeaseId id);
  static void check_acknowledged(const policy::ParticipantReport& permit, std::uint64_t least);
  void count(const std::string& zone, const policy::ParticipantReport& before,
             const policy::ParticipantReport& after);

  RouterLeaseRules rules_;
  std::mt19937_64 random_;
  std::map<coordination::LeaseId, RouterLease> leases_;
  std::set<std::pair<Micros, coordination::LeaseId>> ends_;
  std::map<std::string, RouterPermits> permits_;  // by zone
  std::map<std::string, RequestCounts> requests_;
  std::map<std::string, std::uint64_t> claimed_;  // rounds, by zone
};

}  // namespace trailcourse::aggregation
