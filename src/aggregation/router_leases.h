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

#include "aggregation/report_summary.h"

namespace trailcourse::aggregation {

// A call of a router that is not carried out and changed nothing; its text is one line.
class RequestRejected : public std::runtime_error {
 public:
  enum class Reason {
    kNoPermission,  // the aggregator's own would not last as long: ask another one
    kFull,          // as many routers as it may have
    kUnknownLease,
    kBackwards,  // numbered no higher than what was said before, or acknowledging less
    kMalformed,
    kTooLarge,
    kUnknownZone,
    kNotServed  // a call that an aggregator does not take
  };
  RequestRejected(Reason reason, const std::string& text) : std::runtime_error(text), reason_(reason) {}
  Reason reason() const { return reason_; }

 private:
  Reason reason_;
};

struct RouterLeaseOptions {
  std::size_t max_routers = 2'000;
  Micros min_ttl{100'000};
};

// Requests of all routers of a zone since the aggregator's start. They only grow, whoever comes and goes.
struct RequestCounts {
  std::uint64_t requests = 0;
  std::uint64_t refused = 0;
};

class RouterLeases {
 public:
  // `seed`: of lease numbers, which must not be those of another aggregator or of an earlier start.
  RouterLeases(const RouterLeaseOptions& rules, std::uint64_t seed) : rules_(rules), random_(seed) {}

  // `until`: when the aggregator's own permission ends. Throws RequestRejected.
  coordination::LeaseId grant(Micros now, Micros ttl, Micros until);
  // The time it has from now; 0 where there is none of that number. Throws RequestRejected.
  Micros keep_alive(Micros now, coordination::LeaseId id, Micros until);
  void revoke(coordination::LeaseId id);
  // What a router says under its lease. Throws RequestRejected.
  void record_report(const std::string& router, coordination::LeaseId id, const policy::Permit& permit);
  // The rounds up to this one were acknowledged in the name of the zone's routers: none joins behind it.
  void set_min_acknowledged(const std::string& zone, std::uint64_t acknowledged);
  void expire(Micros now);
  std::optional<Micros> next_expiry() const;

  bool holds(coordination::LeaseId id) const { return leases_.contains(id); }
  const RouterReports& reports(const std::string& zone) const;
  RequestCounts request_counts(const std::string& zone) const;
  std::size_t size() const { return leases_.size(); }

 private:
  struct RouterLease {
    Micros ttl{0};
    Micros ends{0};
    std::string zone;  // of its permit; empty before it has one
  };

  void end(coordination::LeaseId id);
  static void check_acknowledged(const policy::Permit& permit, std::uint64_t least);
  void count(const std::string& zone, const policy::Permit& before, const policy::Permit& after);

  RouterLeaseOptions rules_;
  std::mt19937_64 random_;
  std::map<coordination::LeaseId, RouterLease> leases_;
  std::set<std::pair<Micros, coordination::LeaseId>> ends_;
  std::map<std::string, RouterReports> permits_;  // by zone
  std::map<std::string, RequestCounts> requests_;
  std::map<std::string, std::uint64_t> claimed_;  // rounds, by zone
};

}  // namespace trailcourse::aggregation
