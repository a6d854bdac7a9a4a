#include "aggregation/router_leases.h"

#include <algorithm>

namespace trailcourse::aggregation {

using coordination::LeaseId;
using policy::ParticipantReport;

namespace {

// Numbers are told as signed 64-bit ones.
constexpr std::uint64_t kLeaseBits = (1ULL << 62U) - 1;

void check_covered(Micros now, Micros ttl, Micros until) {
  if (ttl > until - now) {  // never a sum: a caller may ask for any time
    throw Refused(Refused::Why::kNoPermission, "the aggregator's own permission ends sooner");
  }
}

}  // namespace

LeaseId RouterLeases::grant(Micros now, Micros ttl, Micros until) {
  if (ttl < rules_.least_ttl) {
    throw Refused(Refused::Why::kMalformed, "a lease of " + std::to_string(ttl.count()) + " us");
  }
  check_covered(now, ttl, until);
  if (leases_.size() >= rules_.most_routers) {
    throw Refused(Refused::Why::kFull, "as many routers as this aggregator may have");
  }
  LeaseId id = 0;
  while (id == 0 || leases_.contains(id)) {
    id = random_() & kLeaseBits;
  }
  leases_[id] = RouterLease{ttl, now + ttl, {}};
  ends_.emplace(now + ttl, id);
  return id;
}

Micros RouterLeases::keep_alive(Micros now, LeaseId id, Micros until) {
  const auto found = leases_.find(id);
  if (found == leases_.end() || found->second.ends <= now) {
    return Micros(0);
  }
  RouterLease& lease = found->second;
  check_covered(now, lease.ttl, until);
  ends_.erase({lease.ends, id});
  lease.ends = now + lease.ttl;
  ends_.emplace(lease.ends, id);
  return lease.ttl;
}

void RouterLeases::revoke(LeaseId id) {
  if (!leases_.contains(id)) {
    throw Refused(Refused::Why::kUnknownLease, "requested lease not found");
  }
  end(id);
}

void RouterLeases::end(LeaseId id) {
  const RouterLease& lease = leases_.at(id);
  ends_.erase({lease.ends, id});
  if (!lease.zone.empty()) {
    permits_[lease.zone].erase(id);
  }
  leases_.erase(id);
}

void RouterLeases::say(const std::string& router, LeaseId id, const ParticipantReport& permit) {
  const auto found = leases_.find(id);
  if (found == leases_.end()) {
    throw Refused(Refused::Why::kUnknownLease, "requested lease not found");
  }
  RouterLease& lease = found->second;
  if (!lease.zone.empty() && lease.zone != permit.zone) {
    throw Refused(Refused::Why::kMalformed, "zone: another than before under this lease");
  }
  RouterPermits& zone = permits_[permit.zone];
  const auto place = zone.find(id);
  if (place == zone.end()) {
    check_acknowledged(permit, claimed_[permit.zone]);
    zone.emplace(id, RouterPermit{router, permit});
    lease.zone = permit.zone;
    return;
  }
  if (place->second.router != router) {
    throw Refused(Refused::Why::kMalformed, "key: of another router than before under this lease");
  }
  ParticipantReport& before = place->second.permit;
  if (before.sequence > 0 && permit.sequence <= before.sequence) {
    throw Refused(Refused::Why::kBackwards,
                  "number: " + std::to_string(permit.sequence) + " after " + std::to_string(before.sequence));
  }
  check_acknowledged(permit, before.acknowledged_round);
  count(permit.zone, before, permit);
  before = permit;
}

void RouterLeases::check_acknowledged(const ParticipantReport& permit, std::uint64_t least) {
  if (permit.acknowledged_round < least) {
    throw Refused(Refused::Why::kBackwards, "acknowledged: round " +
                                                std::to_string(permit.acknowledged_round) + " where " +
                                                std::to_string(least) + " was said");
  }
}

void RouterLeases::claim(const std::string& zone, std::uint64_t acknowledged) {
  std::uint64_t& claimed = claimed_[zone];
  claimed = std::max(claimed, acknowledged);
}

void RouterLeases::count(const std::string& zone, const ParticipantReport& before,
                         const ParticipantReport& after) {
  RequestCounts& counts = requests_[zone];
  counts.requests += after.requests > before.requests ? after.requests - before.requests : 0;
  counts.refused +=
      after.failed_requests > before.failed_requests ? after.failed_requests - before.failed_requests : 0;
}

void RouterLeases::expire(Micros now) {
  while (!ends_.empty() && ends_.begin()->first <= now) {
    end(ends_.begin()->second);
  }
}

std::optional<Micros> RouterLeases::next_expiry() const {
  return ends_.empty() ? std::nullopt : std::optional<Micros>(ends_.begin()->first);
}

const RouterPermits& RouterLeases::permits(const std::string& zone) const {
  static const RouterPermits kNone;
  const auto found = permits_.find(zone);
  return found == permits_.end() ? kNone : found->second;
}

RequestCounts RouterLeases::requests(const std::string& zone) const {
  const auto found = requests_.find(zone);
  return found == requests_.end() ? RequestCounts{} : found->second;
}

}  // namespace trailcourse::aggregation
