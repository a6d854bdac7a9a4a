// Whom this router asks for the board's pages: its parent in the tree, an ancestor beyond it, or the board
// itself; and whether what a relay answered may be believed.
//
// A relay may be dead, stalled, behind or lying. Each costs a stated time at most: a call to a relay ends
// after its linger and grace, a relay that failed is passed over for a time that doubles, after two failures
// in a row the board itself is asked, and a relay whose page is older than allowed is passed over at once.
// One that withholds events is found out by audits: now and then, at a rate that is stated for the whole
// fleet, a router asks the board itself whether there is anything that its relay should have told.
//
// Package `startup`.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "startup/poll_scheduler.h"

namespace trailcourse::startup {

struct UpstreamRules {
  Micros most_age{1'000'000};       // of a page that a relay passes on
  Micros first_pass_over{500'000};  // a relay that failed; doubles
  Micros most_pass_over{30'000'000};
  Micros distrust{300'000'000};  // one that withheld events
  int failures_to_board = 2;     // in a row, of whatever relays, until the board itself is asked
  double audits_per_s = 1.0;     // of all routers together; 0: none
};

class Upstream {
 public:
  Upstream(const UpstreamRules& rules, std::vector<std::string> ancestors, std::uint64_t seed);

  void fleet_size(int routers) { routers_ = routers > 0 ? routers : 1; }

  // The relay to ask next; nothing: the board itself.
  std::optional<std::string> choose(Micros now) const;

  // What a relay's page says of itself.
  struct Said {
    Micros age{0};                  // how long ago all that the board had was surely in it
    std::vector<std::string> path;  // the routers that it went through, the relay first
  };
  enum class Belief { kGood, kTooOld, kCircle };
  // A page that a relay answered. A page that is not good counts against it.
  Belief answered(Micros now, const std::string& relay, const std::string& self, const Said& said);
  // A call to a relay that brought no page.
  void failed(Micros now, const std::string& relay);

  // When the board is to be asked behind the relay's back; nothing while no relay is asked.
  std::optional<Micros> audit_due(Micros now);
  // The board's last number, and ours, at the audit. Where the board is ahead the relay has `most_age` to
  // catch up.
  void audited(Micros now, std::uint64_t board_last, std::uint64_t own_last);
  // To be called once that time is over, or on any page: whether the relay has been found to withhold.
  bool withholds(Micros now, const std::string& relay, std::uint64_t own_last);

  bool passed_over(Micros now, const std::string& relay) const;

 private:
  struct Relay {
    int failures = 0;
    Micros until{-1};  // passed over
  };
  struct Audit {
    std::uint64_t number = 0;
    Micros at{0};
  };

  void pass_over(Micros now, const std::string& relay, Micros least);

  UpstreamRules rules_;
  std::vector<std::string> ancestors_;
  std::mt19937_64 random_;
  int routers_ = 1;
  std::map<std::string, Relay> relays_;
  int in_a_row_ = 0;
  Micros board_until_{-1};
  std::optional<Micros> audit_at_;
  std::optional<Audit> open_audit_;
};

}  // namespace trailcourse::startup
