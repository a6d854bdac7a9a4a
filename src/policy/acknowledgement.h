// Acknowledgement rounds, which determine the events of the discovery service that every router has applied.
// A record in the store requests all events up to a position. Each router that has applied them acknowledges
// the round in its report. Once all reports acknowledge the round, the record names that position as
// completed, and the next round may start.
//
// A completed position stays completed: a router can join only if the record is unchanged since the router
// observed it, and if the router has applied the requested events. A router without a lease decides no
// requests, so a round does not wait for it. See "Acknowledged events" in docs/aggregation.md.
//
// Library `policy`: knows JSON; no I/O, no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coordination/types.h"
#include "policy/participant_report.h"

namespace trailcourse::policy {

// Identifies all events of one source up to a sequence number. A source that was restarted has another name,
// and its sequence numbers start again.
struct DiscoveryPosition {
  std::string source;
  std::uint64_t sequence = 0;  // 0: no events

  // Returns whether a process at this position has applied all events of `requested`.
  bool covers(const DiscoveryPosition& requested) const {
    return requested.sequence == 0 || (source == requested.source && sequence >= requested.sequence);
  }
  friend bool operator==(const DiscoveryPosition&, const DiscoveryPosition&) = default;
};

// The record of the acknowledgement rounds in the store.
struct Acknowledgement {
  std::uint64_t round = 0;  // never decreases; 0: no round has been started
  DiscoveryPosition requested;
  DiscoveryPosition completed;  // sequence 0: no events of this source yet

  friend bool operator==(const Acknowledgement&, const Acknowledgement&) = default;
};

// Writes the record as JSON.
std::string write_acknowledgement(const Acknowledgement& record);
// Reads the record. Returns nothing if the text is not a valid record.
std::optional<Acknowledgement> read_acknowledgement(const std::string& text);

// The input of the coordinator of the rounds: the state of the store at one revision.
struct AcknowledgementSnapshot {
  Acknowledgement record;
  coordination::Revision modified = 0;  // of the record's last write; 0: there is no record
  ParticipantReports reports;

  // Returns whether every participant has acknowledged the record's round.
  bool is_acknowledged_by_all() const;
};
// Returns the transaction that reads all parts of a snapshot at one revision.
coordination::Transaction acknowledgement_snapshot_transaction(const std::string& prefix);
// Returns the snapshot from the outcome of acknowledgement_snapshot_transaction().
AcknowledgementSnapshot read_acknowledgement_snapshot(const std::string& prefix,
                                                      const coordination::TransactionResult& outcome);

// Returns the transaction that writes `record` if the stored record is unchanged since the snapshot.
coordination::Transaction write_acknowledgement_transaction(const std::string& prefix,
                                                            const AcknowledgementSnapshot& snapshot,
                                                            const Acknowledgement& record);

// Returns a record that requests no events, so that a router without the discovery service can join.
// Operators write it once no coordinator starts rounds any more.
Acknowledgement reset_acknowledgement(const Acknowledgement& record);

// Describes for operators the participants that the current round is waiting for, one line each.
std::vector<std::string> describe_unacknowledged(const AcknowledgementSnapshot& snapshot);

}  // namespace trailcourse::policy
