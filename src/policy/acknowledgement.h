// Which events of the notice board every router has taken in. In rounds: a record in the store asks for all
// events up to a position of the board; each router that has taken them in says so in its permit; once all
// permits that stand say so, the record tells that position as done, and the next round may begin.
//
// What is done stays done: a router joins only where the record is as it knows it and it has taken in what
// the record asks for, so nobody comes in behind it. Whoever has no permission decides nothing and is not
// awaited. docs/aggregation.md, "Acknowledged events".
//
// Package `policy`: knows JSON; no I/O, no clock; time is Micros of the caller's steady clock.
#pragma once

#include <trailcourse/decider.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/types.h"
#include "policy/change.h"

namespace trailcourse::policy {

constexpr const char* kAcknowledgedKey = "policy/acknowledged";

// All events of one board up to a number. A board that began anew has another name, and numbers of its own.
struct BoardPosition {
  std::string board;
  std::uint64_t event = 0;

  // Whether whoever is here has taken in what `asked` names; event 0 names nothing.
  bool covers(const BoardPosition& asked) const {
    return asked.event == 0 || (board == asked.board && event >= asked.event);
  }
  friend bool operator==(const BoardPosition&, const BoardPosition&) = default;
};

// The record as it stands in the store.
struct Acknowledgement {
  std::uint64_t round = 0;  // grows; 0: nobody has been asked
  BoardPosition asked;      // in this round
  BoardPosition done;       // event 0: nothing yet of this board

  friend bool operator==(const Acknowledgement&, const Acknowledgement&) = default;
};
std::string write_acknowledgement(const Acknowledgement& record);
// Nothing where it cannot be used.
std::optional<Acknowledgement> read_acknowledgement(const std::string& text);

// All that the driver goes by, as it stands in the store at one revision.
struct AcknowledgementsSeen {
  Acknowledgement record;
  Revision modified = 0;                  // of the record; 0: there is none
  std::map<std::string, Permit> permits;  // by "ROUTER/LEASE"
};
coordination::Transaction look_at_acknowledgements(const std::string& prefix);
AcknowledgementsSeen read_acknowledgements_seen(const std::string& prefix,
                                                const coordination::TransactionResult& outcome);
// Writes the record where it is as it was seen.
coordination::Transaction write_record(const std::string& prefix, const AcknowledgementsSeen& seen,
                                       const Acknowledgement& record);

// A record that asks for nothing, so that whoever has not heard the board may join. Staff write it once
// nobody drives rounds any more.
Acknowledgement forgotten(const Acknowledgement& record);

// Decides on the record's next state. A late one is refused by the store, for the record has moved on.
class AcknowledgementDriver {
 public:
  // `least_round`: between the beginnings of two rounds.
  explicit AcknowledgementDriver(Micros least_round) : least_round_(least_round) {}

  // `position`: of whoever drives it. Nothing where the record is to stay as it is.
  std::optional<Acknowledgement> next(Micros now, const AcknowledgementsSeen& seen,
                                      const BoardPosition& position);
  // When next() may say something else, by time alone.
  std::optional<Micros> due() const { return due_; }

 private:
  bool may_ask(Micros now);

  Micros least_round_;
  std::optional<Micros> asked_at_;
  std::optional<Micros> due_;
};

// Who is awaited in this round, in words for staff.
std::vector<std::string> unacknowledged(const AcknowledgementsSeen& seen);

}  // namespace trailcourse::policy
