#include "startup/readiness.h"

#include <algorithm>

namespace trailcourse::startup {

const char* to_string(Staleness staleness) {
  switch (staleness) {
    case Staleness::kUnknown:
      return "fresh";
    case Staleness::kProvisional:
      return "provisional";
    case Staleness::kCurrent:
      return "current";
    case Staleness::kStale:
      return "doubtful";
    case Staleness::kExpired:
      break;
  }
  return "lapsed";
}

void Readiness::restore(Micros now, Micros current_at, bool start_times_known) {
  current_at_ = std::min(now, current_at);
  confirmed_ = false;
  start_times_unknown_ = !start_times_known;
}

void Readiness::on_confirmed(Micros now, Micros current_at) {
  const Micros not_in_future = std::min(now, current_at);
  current_at_ = current_at_ && confirmed_ ? std::max(*current_at_, not_in_future) : not_in_future;
  confirmed_ = true;
  start_times_unknown_ = false;
}

void Readiness::reset() {
  current_at_.reset();
  confirmed_ = false;
  start_times_unknown_ = true;
}

Staleness Readiness::staleness(Micros now) const {
  if (!current_at_) {
    return Staleness::kUnknown;
  }
  const Micros list_age = age(now);
  if (options_.expiry.count() > 0 && list_age > options_.expiry) {
    return Staleness::kExpired;
  }
  if (!confirmed_) {
    return Staleness::kProvisional;
  }
  return list_age <= options_.notification_bound ? Staleness::kCurrent : Staleness::kStale;
}

// Caches have dropped all copies that were purged longer than `purge_completion` ago, and a router has to
// have applied a purge by the age of `notification_bound`. So only a purge of an age between the two can be
// one that still has to be applied and is missing here.
bool Readiness::purges_may_be_missing(Micros now) const {
  return age(now) > options_.notification_bound && options_.notification_bound < options_.purge_completion;
}

ServingPermissions Readiness::permissions(Micros now) const {
  ServingPermissions out;
  out.staleness = staleness(now);
  out.start_times_unknown = start_times_unknown_;
  if (out.staleness == Staleness::kUnknown || out.staleness == Staleness::kExpired) {
    return out;
  }
  const bool within_bound = age(now) <= options_.notification_bound;
  out.may_serve = within_bound || options_.stale_policy != StalePolicy::kReject;
  out.ready = out.may_serve;
  if (options_.stale_policy == StalePolicy::kLimitAge && purges_may_be_missing(now)) {
    out.max_copy_age = options_.notification_bound;
  }
  return out;
}

std::optional<Micros> Readiness::next_change(Micros now) const {
  if (!current_at_) {
    return std::nullopt;
  }
  // Permissions change 1 us after each bound, since the bounds themselves are inclusive.
  const Micros stale_at = *current_at_ + options_.notification_bound + Micros(1);
  const Micros expired_at = *current_at_ + options_.expiry + Micros(1);
  std::optional<Micros> next;
  if (stale_at > now) {
    next = stale_at;
  }
  if (options_.expiry.count() > 0 && expired_at > now) {
    next = next ? std::min(*next, expired_at) : expired_at;
  }
  return next;
}

}  // namespace trailcourse::startup
