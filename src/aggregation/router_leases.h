// The leases that an aggregator has granted to its routers, and the latest report of each router. A router's
// lease ends before the aggregator's own lease, so that no router decides for longer than the store allows.
//
// The summary includes a router from its first report until its lease expires or is revoked, even if the
// router has moved to another aggregator meanwhile, since it may still decide under the lease granted here.
//
// Library `aggregation`: no I/O, no clock; time is Micros of the aggregator's steady clock. Not thread-safe.
#pragma once

#include <trailcourse/decider.h>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "aggregation/report_summary.h"
#include "aggregation/request_rejected.h"

namespace trailcourse::aggregation {

struct RouterLeaseOptions {
  std::size_t max_routers = 2'000;  // with a valid lease
  Micros min_ttl{100'000};          // shorter leases are rejected
};

// Requests at all routers of a zone since the aggregator started. The counts do not decrease when routers
// leave.
struct RequestCounts {
  std::uint64_t requests = 0;
  std::uint64_t failed = 0;  // rejected or failed
};

class RouterLeases {
 public:
  // `seed` determines the lease ids. It has to be different for each aggregator and each start, so that no id
  // is granted twice.
  RouterLeases(const RouterLeaseOptions& options, std::uint64_t seed) : options_(options), random_(seed) {}

  // Grants a lease of `ttl`. Throws RequestRejected if the lease would end after `upstream_end`, the end of
  // the aggregator's own lease, if there is no `upstream_end`, if `ttl` is too short, or if there are too
  // many routers.
  coordination::LeaseId grant(Micros now, Micros ttl, std::optional<Micros> upstream_end);
  // Renews a lease for its full duration and returns that duration, or nothing if there is no such lease.
  // Throws RequestRejected if the renewed lease would end after `upstream_end`.
  std::optional<Micros> keep_alive(Micros now, coordination::LeaseId id, std::optional<Micros> upstream_end);
  // Ends a lease now. Throws RequestRejected if there is no such lease.
  void revoke(coordination::LeaseId id);
  // Stores the report of a router under its lease. Throws RequestRejected if there is no such lease, or if
  // the report is out of order or contradicts an earlier one.
  void record_report(coordination::LeaseId id, const RouterReport& report);
  // Records that the summary of `zone` has acknowledged the rounds up to `round`. From now on routers that
  // join with an earlier round are rejected.
  void set_min_acknowledged(const std::string& zone, std::uint64_t round);
  // Ends the leases that have expired.
  void expire(Micros now);
  // Returns the time at which the next lease expires, or nothing if there is no lease.
  std::optional<Micros> next_expiry() const;

  // Returns the latest reports of the routers of a zone. The reference is valid until the next change.
  const RouterReports& reports(const std::string& zone) const;
  RequestCounts request_counts(const std::string& zone) const;
  // Returns the number of leases.
  std::size_t size() const { return leases_.size(); }

 private:
  struct Expiry {
    Micros ends_at{0};
    coordination::LeaseId id = 0;

    friend auto operator<=>(const Expiry&, const Expiry&) = default;
  };
  struct RouterLease {
    Micros ttl{0};
    Micros ends_at{0};
    std::string zone;  // of its reports; empty before the first one
  };

  void end(coordination::LeaseId id);
  coordination::LeaseId unused_id();
  void record_first_report(coordination::LeaseId id, const RouterReport& report);
  void record_next_report(RouterReport& stored, const RouterReport& report);
  void count_requests(const std::string& zone, const policy::ParticipantReport& before,
                      const policy::ParticipantReport& after);

  RouterLeaseOptions options_;
  std::mt19937_64 random_;
  std::map<coordination::LeaseId, RouterLease> leases_;
  std::set<Expiry> expiries_;                              // of all leases, the earliest first
  std::map<std::string, RouterReports> reports_;           // by zone
  std::map<std::string, RequestCounts> request_counts_;    // by zone
  std::map<std::string, std::uint64_t> min_acknowledged_;  // round, by zone
};

}  // namespace trailcourse::aggregation
