// The state of the policy in the store as a participant has observed it: by reading it or by a watch.
//
// Package `policy`: no I/O, no clock.
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

struct ObservedState {
  std::optional<Rollout> rollout;
  coordination::Revision rollout_revision = 0;
  std::uint64_t version = 0;  // in force in the participant's zone
  coordination::Revision current_revision = 0;
  coordination::Revision zone_revision = 0;  // of the zone's own version; 0: it has none
  Acknowledgement acknowledgement;
  coordination::Revision acknowledgement_revision = 0;

  // Returns the revision of the record that was written last.
  coordination::Revision newest_revision() const;
};

// Returns the entry of a key without the store's prefix, or an empty entry if there is none.
using EntryLookup = std::function<coordination::Entry(const std::string& key)>;
// Reads the state for zones that have no version of their own.
ObservedState read_observed_state(const EntryLookup& entry_of);
// Completes it for a zone that may have a version of its own.
ObservedState observed_in_zone(ObservedState observed, const EntryLookup& entry_of, const std::string& zone);
// Returns the conditions of a participant's join: nothing that it has observed has changed since, so that it
// cannot join behind a decision.
std::vector<coordination::Compare> join_conditions(const std::string& prefix, const ObservedState& observed,
                                                   const std::string& zone);

}  // namespace trailcourse::policy
