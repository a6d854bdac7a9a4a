#include "purge_floors.h"

#include <algorithm>
#include <cstddef>

#include "hashing.h"

namespace trailcourse {
namespace {

constexpr std::size_t kMaxPurges = 20'000;  // beyond this, the earliest are forgotten
// Caches are expected to have dropped purged copies this much after `Settings::purge_done`, to allow for
// clocks that lag.
constexpr Micros kPurgeMargin = std::chrono::seconds(1);

std::uint64_t group_key(std::uint64_t group) { return mix(group); }
std::uint64_t object_key(ObjectId object) { return mix(mix(object) + 1); }

}  // namespace

PurgeFloors::PurgeFloors(const DecisionContext& context)
    : context_(context),
      purges_(kMaxPurges, context.settings.purge_done + kPurgeMargin),
      possible_purges_(kMaxPurges, context.settings.purge_done + kPurgeMargin) {}

void PurgeFloors::on_purged(const Purged& purged) {
  const Micros purged_at = context_.now - std::max(Micros(0), purged.age);
  const std::uint64_t key = purged.whole_group ? group_key(purged.group) : object_key(purged.object);
  (purged.reported ? purges_ : possible_purges_).add(key, purged_at, context_.now);
}

// Returns the time of the latest purge that may apply to the request's object, or PurgeHistory::kNever.
Micros PurgeFloors::last_purge(const Request& request) const {
  const std::uint64_t group = group_key(request.arrival.purge_group);
  const std::uint64_t object = object_key(request.arrival.object);
  return std::max({purges_.latest(group, context_.now), purges_.latest(object, context_.now),
                   last_possible_purge(request)});
}

// The same for purges whose copies connected caches may not have dropped yet.
Micros PurgeFloors::last_purge_in_progress(const Request& request) const {
  const std::uint64_t group = group_key(request.arrival.purge_group);
  const std::uint64_t object = object_key(request.arrival.object);
  return std::max({purges_.latest_within_retention(group, context_.now),
                   purges_.latest_within_retention(object, context_.now), last_possible_purge(request)});
}

// The same for purges that were not reported.
Micros PurgeFloors::last_possible_purge(const Request& request) const {
  const std::uint64_t group = group_key(request.arrival.purge_group);
  const std::uint64_t object = object_key(request.arrival.object);
  return std::max(possible_purges_.latest_within_retention(group, context_.now),
                  possible_purges_.latest_within_retention(object, context_.now));
}

// Returns the maximum age `age`, 0 being any, reduced so that it excludes copies from before the purge.
Micros PurgeFloors::limited_by(Micros age, Micros purge) const {
  if (purge == PurgeHistory::kNever) {
    return age;
  }
  const Micros since = std::max(Micros(1), context_.now - purge - Micros(1));
  return age.count() > 0 ? std::min(age, since) : since;
}

Micros PurgeFloors::max_age(const Request& request, bool allow_stale) const {
  const ClassSettings& rules = context_.class_of(request);
  const bool expires = rules.lifetime.count() > 0;
  const Micros age = expires && allow_stale ? rules.lifetime + rules.grace : rules.lifetime;
  return limited_by(age, last_purge(request));
}

Micros PurgeFloors::max_age_at_connected_caches(const Request& request) const {
  return limited_by(context_.class_of(request).lifetime, last_purge_in_progress(request));
}

bool PurgeFloors::invalidates(const Request& request, const Attempt& attempt) const {
  if (!context_.cacheable(request)) {
    return false;
  }
  const Micros purge = last_purge(request);
  return purge != PurgeHistory::kNever &&
         (attempt.max_age == Micros(0) || attempt.sent - attempt.max_age < purge);
}

}  // namespace trailcourse
