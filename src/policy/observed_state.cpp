#include "policy/observed_state.h"

#include <algorithm>
#include <cstdlib>

#include "policy/store_keys.h"

namespace trailcourse::policy {

namespace {

std::uint64_t version_of(const coordination::Entry& entry) {
  return std::strtoull(entry.value.c_str(), nullptr, 10);
}

}  // namespace

coordination::Revision ObservedState::newest_revision() const {
  return std::max({rollout_revision, current_revision, zone_revision, acknowledgement_revision});
}

ObservedState read_observed_state(const EntryLookup& entry_of) {
  const coordination::Entry rollout = entry_of(kRolloutKey);
  const coordination::Entry current = entry_of(kCurrentKey);
  const coordination::Entry acknowledgement = entry_of(kAcknowledgedKey);
  ObservedState out;
  out.rollout = read_rollout(rollout.value);
  out.rollout_revision = rollout.modified;
  out.version = version_of(current);
  out.current_revision = current.modified;
  out.acknowledgement = read_acknowledgement(acknowledgement.value).value_or(Acknowledgement{});
  out.acknowledgement_revision = acknowledgement.modified;
  return out;
}

ObservedState observed_in_zone(ObservedState observed, const EntryLookup& entry_of, const std::string& zone) {
  const coordination::Entry own = entry_of(kZonePrefix + zone);
  observed.zone_revision = own.modified;
  observed.version = own.modified > 0 ? version_of(own) : observed.version;
  return observed;
}

std::vector<coordination::Compare> join_conditions(const std::string& prefix, const ObservedState& observed,
                                                   const std::string& zone) {
  return {coordination::unchanged(prefix + kRolloutKey, observed.rollout_revision),
          coordination::unchanged(prefix + kCurrentKey, observed.current_revision),
          coordination::unchanged(prefix + kAcknowledgedKey, observed.acknowledgement_revision),
          coordination::unchanged(prefix + kZonePrefix + zone, observed.zone_revision)};
}

}  // namespace trailcourse::policy
