// The state of the policy in the store as a participant has observed it, by a read or by a watch.
//
// Library `policy`: no I/O, no clock.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "coordination/types.h"
#include "policy/acknowledgement.h"
#include "policy/rollout.h"

namespace trailcourse::policy {

// The records of the policy that a participant decides by.
struct ObservedState {
  std::optional<Rollout> rollout;
  coordination::Revision rollout_revision = 0;
  std::uint64_t version = 0;  // in force in the participant's zone
  coordination::Revision current_revision = 0;
  coordination::Revision zone_revision = 0;  // of the zone's own version; 0: the zone has none
  Acknowledgement acknowledgement;
  coordination::Revision acknowledgement_revision = 0;

  // Returns the highest revision of the records.
  coordination::Revision newest_revision() const;
};

// Returns the entry of a key without the store's prefix, or an empty entry if there is none.
using EntryLookup = std::function<coordination::Entry(const std::string& key)>;
// Returns the state for zones without a version record.
ObservedState read_observed_state(const EntryLookup& entry_of);
// Returns `observed` with the version of `zone`, which may differ from the version of the other zones.
ObservedState observed_in_zone(ObservedState observed, const EntryLookup& entry_of, const std::string& zone);
// Returns the conditions under which a participant may join: no record has changed since it was observed.
// Otherwise the participant could join under a version that is no longer in force.
std::vector<coordination::Compare> join_conditions(const std::string& prefix, const ObservedState& observed,
                                                   const std::string& zone);

}  // namespace trailcourse::policy
