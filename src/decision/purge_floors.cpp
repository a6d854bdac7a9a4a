#include "purge_floors.h"

#include <algorithm>
#include <cstddef>

#include "hashing.h"

namespace trailcourse {
namespace {

constexpr std::size_t kMaxPurges = 20'000;  // beyond this, a single floor for all objects replaces them
// A purge floor stays in effect this much longer than `Settings::purge_done`, to allow for clocks that lag.
constexpr Micros kPurgeMargin = std::chrono::seconds(1);
constexpr Micros kNoPurge{-1};

std::uint64_t group_key(std::uint64_t group) { return mix(group); }
std::uint64_t object_key(ObjectId object) { return mix(mix(object) + 1); }

}  // namespace

PurgeFloors::PurgeFloors(const DecisionContext& context)
    : context_(context), purges_(kMaxPurges, context.settings.purge_done + kPurgeMargin) {}

void PurgeFloors::on_purged(const Purged& purged) {
  const Micros purged_at = context_.now - std::max(Micros(0), purged.age);
  const std::uint64_t key = purged.whole_group ? group_key(purged.group) : object_key(purged.object);
  purges_.add(key, purged_at, context_.now);
}

// Returns the time of the latest purge that applies to the request's object, or a negative time.
Micros PurgeFloors::last_purge(const Request& request) const {
  return std::max(purges_.latest(group_key(request.arrival.purge_group), context_.now),
                  purges_.latest(object_key(request.arrival.object), context_.now));
}

Micros PurgeFloors::max_age(const Request& request, bool allow_stale) const {
  const ClassSettings& rules = context_.class_of(request);
  const bool expires = rules.lifetime.count() > 0;
  Micros age = expires && allow_stale ? rules.lifetime + rules.grace : rules.lifetime;
  const Micros purge = last_purge(request);
  if (purge >= Micros(0)) {
    const Micros since = std::max(Micros(1), context_.now - purge - Micros(1));
    age = age.count() > 0 ? std::min(age, since) : since;
  }
  return age;
}

bool PurgeFloors::invalidates(const Request& request, const Attempt& attempt) const {
  const Micros purge = context_.cacheable(request) ? last_purge(request) : kNoPurge;
  return purge >= Micros(0) && (attempt.max_age == Micros(0) || attempt.sent - attempt.max_age < purge);
}

}  // namespace trailcourse
