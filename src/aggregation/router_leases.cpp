#include "aggregation/router_leases.h"

#include <algorithm>

namespace trailcourse::aggregation {

using coordination::LeaseId;
using policy::Permit;

namespace {

// Numbers are told as signed 64-bit ones.
constexpr std::uint64_t kLeaseBits = (1ULL << 62U) - 1;

void check_covered(Micros now, Micros ttl, Micros until) {
  if (ttl > until - now) {  // never a sum: a caller may ask for any time
    throw RequestRejected(RequestRejected::Reason::kNoPermission,
                          "the aggregator's own permission ends sooner");
  }
}

}  // namespace

LeaseId RouterLeases::grant(Micros now, Micros ttl, Micros until) {
  if (ttl < rules_.min_ttl) {
    throw RequestRejected(RequestRejected::Reason::kMalformed,
                          "a lease of " + std::to_string(ttl.count()) + " us");
  }
  check_covered(now, ttl, until);
  if (leases_.size() >= rules_.max_routers) {
    throw RequestRejected(RequestRejected::Reason::kFull, "as many routers as this aggregator may have");
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
    throw RequestRejected(RequestRejected::Reason::kUnknownLease, "requested lease not found");
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

void RouterLeases::record_report(const std::string& router, LeaseId id, const Permit& permit) {
  const auto found = leases_.find(id);
  if (found == leases_.end()) {
    throw RequestRejected(RequestRejected::Reason::kUnknownLease, "requested lease not found");
  }
  RouterLease& lease = found->second;
  if (!lease.zone.empty() && lease.zone != permit.zone) {
    throw RequestRejected(RequestRejected::Reason::kMalformed, "zone: another than before under this lease");
  }
  RouterReports& zone = permits_[permit.zone];
  const auto place = zone.find(id);
  if (place == zone.end()) {
    check_acknowledged(permit, claimed_[permit.zone]);
    zone.emplace(id, RouterReport{router, permit});
    lease.zone = permit.zone;
    return;
  }
  if (place->second.router != router) {
    throw RequestRejected(RequestRejected::Reason::kMalformed,
                          "key: of another router than before under this lease");
  }
  Permit& before = place->second.permit;
  if (before.number > 0 && permit.number <= before.number) {
    throw RequestRejected(RequestRejected::Reason::kBackwards, "number: " + std::to_string(permit.number) +
                                                                   " after " + std::to_string(before.number));
  }
  check_acknowledged(permit, before.acknowledged);
  count(permit.zone, before, permit);
  before = permit;
}

void RouterLeases::check_acknowledged(const Permit& permit, std::uint64_t least) {
  if (permit.acknowledged < least) {
    throw RequestRejected(RequestRejected::Reason::kBackwards,
                          "acknowledged: round " + std::to_string(permit.acknowledged) + " where " +
                              std::to_string(least) + " was said");
  }
}

void RouterLeases::set_min_acknowledged(const std::string& zone, std::uint64_t acknowledged) {
  std::uint64_t& claimed = claimed_[zone];
  claimed = std::max(claimed, acknowledged);
}

void RouterLeases::count(const std::string& zone, const Permit& before, const Permit& after) {
  RequestCounts& counts = requests_[zone];
  counts.requests += after.requests > before.requests ? after.requests - before.requests : 0;
  counts.refused += after.refused > before.refused ? after.refused - before.refused : 0;
}

void RouterLeases::expire(Micros now) {
  while (!ends_.empty() && ends_.begin()->first <= now) {
    end(ends_.begin()->second);
  }
}

std::optional<Micros> RouterLeases::next_expiry() const {
  return ends_.empty() ? std::nullopt : std::optional<Micros>(ends_.begin()->first);
}

const RouterReports& RouterLeases::reports(const std::string& zone) const {
  static const RouterReports kNone;
  const auto found = permits_.find(zone);
  return found == permits_.end() ? kNone : found->second;
}

RequestCounts RouterLeases::request_counts(const std::string& zone) const {
  const auto found = requests_.find(zone);
  return found == requests_.end() ? RequestCounts{} : found->second;
}

}  // namespace trailcourse::aggregation
