#include "aggregation/router_leases.h"

#include <algorithm>

namespace trailcourse::aggregation {

using coordination::LeaseId;
using policy::ParticipantReport;
using Reason = RequestRejected::Reason;

namespace {

// In the protocol a lease id is a signed 64-bit number. This mask keeps it positive.
constexpr std::uint64_t kLeaseIdMask = (1ULL << 62U) - 1;

void check_within_upstream_lease(Micros now, Micros ttl, std::optional<Micros> upstream_end) {
  // Compares with a difference, since the sum now + ttl may overflow: a caller may request any duration.
  if (!upstream_end || ttl > *upstream_end - now) {
    throw RequestRejected(Reason::kNoUpstreamLease, "the aggregator's own permission ends sooner");
  }
}

void check_acknowledged(const ParticipantReport& report, std::uint64_t min_round) {
  if (report.acknowledged_round < min_round) {
    throw RequestRejected(Reason::kOutOfOrder, "acknowledged: round " +
                                                   std::to_string(report.acknowledged_round) + " where " +
                                                   std::to_string(min_round) + " was said");
  }
}

std::uint64_t increase(std::uint64_t before, std::uint64_t after) {
  return after > before ? after - before : 0;
}

}  // namespace

LeaseId RouterLeases::grant(Micros now, Micros ttl, std::optional<Micros> upstream_end) {
  if (ttl < options_.min_ttl) {
    throw RequestRejected(Reason::kMalformed, "a lease of " + std::to_string(ttl.count()) + " us");
  }
  check_within_upstream_lease(now, ttl, upstream_end);
  if (leases_.size() >= options_.max_routers) {
    throw RequestRejected(Reason::kTooManyRouters, "as many routers as this aggregator may have");
  }
  const LeaseId id = unused_id();
  leases_[id] = RouterLease{ttl, now + ttl, {}};
  expiries_.insert({now + ttl, id});
  return id;
}

LeaseId RouterLeases::unused_id() {
  LeaseId id = 0;
  while (id == 0 || leases_.contains(id)) {
    id = random_() & kLeaseIdMask;
  }
  return id;
}

std::optional<Micros> RouterLeases::keep_alive(Micros now, LeaseId id, std::optional<Micros> upstream_end) {
  const auto found = leases_.find(id);
  if (found == leases_.end() || found->second.ends_at <= now) {
    return std::nullopt;
  }
  RouterLease& lease = found->second;
  check_within_upstream_lease(now, lease.ttl, upstream_end);
  expiries_.erase({lease.ends_at, id});
  lease.ends_at = now + lease.ttl;
  expiries_.insert({lease.ends_at, id});
  return lease.ttl;
}

void RouterLeases::revoke(LeaseId id) {
  if (!leases_.contains(id)) {
    throw RequestRejected(Reason::kLeaseNotFound, "requested lease not found");
  }
  end(id);
}

void RouterLeases::end(LeaseId id) {
  const RouterLease& lease = leases_.at(id);
  expiries_.erase({lease.ends_at, id});
  if (!lease.zone.empty()) {
    reports_[lease.zone].erase(id);
  }
  leases_.erase(id);
}

void RouterLeases::record_report(LeaseId id, const RouterReport& report) {
  const auto found = leases_.find(id);
  if (found == leases_.end()) {
    throw RequestRejected(Reason::kLeaseNotFound, "requested lease not found");
  }
  const std::string& zone = found->second.zone;
  if (zone.empty()) {
    record_first_report(id, report);
    return;
  }
  if (zone != report.report.zone) {
    throw RequestRejected(Reason::kMalformed, "zone: another than before under this lease");
  }
  record_next_report(reports_.at(zone).at(id), report);
}

void RouterLeases::record_first_report(LeaseId id, const RouterReport& report) {
  const std::string& zone = report.report.zone;
  check_acknowledged(report.report, min_acknowledged_[zone]);
  reports_[zone].emplace(id, report);
  leases_.at(id).zone = zone;
}

void RouterLeases::record_next_report(RouterReport& stored, const RouterReport& report) {
  if (stored.router != report.router) {
    throw RequestRejected(Reason::kMalformed, "key: of another router than before under this lease");
  }
  const ParticipantReport& before = stored.report;
  const ParticipantReport& after = report.report;
  if (before.sequence > 0 && after.sequence <= before.sequence) {
    throw RequestRejected(Reason::kOutOfOrder, "number: " + std::to_string(after.sequence) + " after " +
                                                   std::to_string(before.sequence));
  }
  check_acknowledged(after, before.acknowledged_round);
  count_requests(after.zone, before, after);
  stored.report = after;
}

void RouterLeases::set_min_acknowledged(const std::string& zone, std::uint64_t round) {
  std::uint64_t& min_round = min_acknowledged_[zone];
  min_round = std::max(min_round, round);
}

void RouterLeases::count_requests(const std::string& zone, const ParticipantReport& before,
                                  const ParticipantReport& after) {
  RequestCounts& counts = request_counts_[zone];
  counts.requests += increase(before.requests, after.requests);
  counts.failed += increase(before.failed_requests, after.failed_requests);
}

void RouterLeases::expire(Micros now) {
  while (!expiries_.empty() && expiries_.begin()->ends_at <= now) {
    end(expiries_.begin()->id);
  }
}

std::optional<Micros> RouterLeases::next_expiry() const {
  return expiries_.empty() ? std::nullopt : std::optional<Micros>(expiries_.begin()->ends_at);
}

const RouterReports& RouterLeases::reports(const std::string& zone) const {
  static const RouterReports kNone;
  const auto found = reports_.find(zone);
  return found == reports_.end() ? kNone : found->second;
}

RequestCounts RouterLeases::request_counts(const std::string& zone) const {
  const auto found = request_counts_.find(zone);
  return found == request_counts_.end() ? RequestCounts{} : found->second;
}

}  // namespace trailcourse::aggregation
