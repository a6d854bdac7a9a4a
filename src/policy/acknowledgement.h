// Which events of the discovery service every router has applied, in rounds: a record in the store requests
// all events up to a position; each router that has applied them acknowledges the round in its report; once
// all reports acknowledge it, the record names that position as completed, and the next round may start.
//
// A completed position stays completed: a router joins only if the record is as it has observed it and it has
// applied what the record requests, so none joins behind it. A router without a lease decides nothing and is
// not awaited. docs/aggregation.md, "Acknowledged events".
//
// Package `policy`: knows JSON; no I/O, no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coordination/types.h"
#include "policy/participant_report.h"

namespace trailcourse::policy {

// All events of one source up to a sequence number. A source that started anew has another name, and its
// sequence numbers start again.
struct DiscoveryPosition {
  std::string source;
  std::uint64_t sequence = 0;  // 0: none

  // Returns whether whoever is at this position has applied all events of `requested`.
  bool covers(const DiscoveryPosition& requested) const {
    return requested.sequence == 0 || (source == requested.source && sequence >= requested.sequence);
  }
  friend bool operator==(const DiscoveryPosition&, const DiscoveryPosition&) = default;
};

// The record in the store.
struct Acknowledgement {
  std::uint64_t round = 0;  // only grows; 0: no round has been started
  DiscoveryPosition requested;
  DiscoveryPosition completed;  // sequence 0: nothing yet of this source

  friend bool operator==(const Acknowledgement&, const Acknowledgement&) = default;
};
std::string write_acknowledgement(const Acknowledgement& record);
// Returns nothing if the text is not a valid record.
std::optional<Acknowledgement> read_acknowledgement(const std::string& text);

// All that the coordinator of the rounds decides by, as it stands in the store at one revision.
struct AcknowledgementSnapshot {
  Acknowledgement record;
  coordination::Revision modified = 0;  // of the record's last write; 0: there is none
  ParticipantReports reports;

  // Returns whether every participant has acknowledged the record's round.
  bool is_acknowledged_by_all() const;
};
// Reads all parts of a snapshot at one revision.
coordination::Transaction acknowledgement_snapshot_transaction(const std::string& prefix);
// Returns the snapshot of such a transaction's outcome.
AcknowledgementSnapshot read_acknowledgement_snapshot(const std::string& prefix,
                                                      const coordination::Outcome& outcome);

// Writes the record if it still is as in the snapshot.
coordination::Transaction write_acknowledgement_transaction(const std::string& prefix,
                                                            const AcknowledgementSnapshot& snapshot,
                                                            const Acknowledgement& record);

// Returns a record that requests nothing, so that a router without the discovery service may join. Staff
// write it once no coordinator starts rounds any more.
Acknowledgement reset_acknowledgement(const Acknowledgement& record);

// Describes for operators which participants the current round is waiting for, one line each.
std::vector<std::string> describe_unacknowledged(const AcknowledgementSnapshot& snapshot);

}  // namespace trailcourse::policy
