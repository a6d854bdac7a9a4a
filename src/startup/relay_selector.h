// Selects whom this router polls for the pages of the discovery service: its parent in the relay tree, an
// ancestor beyond it, or the service itself. Also judges whether the answer of a relay is valid.
//
// A relay may be dead, stalled, behind or faulty. Each fault costs a stated time at most: a call to a relay
// ends after its long-poll timeout and grace; a relay that failed is quarantined for a time that doubles;
// after two failures in a row the service itself is polled; a relay whose page is older than allowed is
// quarantined at once. A relay that withholds events is found by audits: now and then, at a rate that is
// stated for the whole fleet, a router asks the service itself for its last sequence number.
//
// Package `startup`.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "startup/options.h"

namespace trailcourse::startup {

// Options of RelaySelector.
struct RelaySelectorOptions {
  Micros max_age{1'000'000};                   // of a page that a relay passes on
  Micros initial_quarantine{500'000};          // of a relay that failed; doubles
  Micros max_quarantine{30'000'000};           // bound of the doubling
  Micros withholding_quarantine{300'000'000};  // of a relay that withheld events
  int failures_before_fallback = 2;            // in a row, of any relays, until the service itself is polled
  double audits_per_s = 1.0;                   // of all routers together; 0: no audits
};

// What the page of a relay says about itself.
struct RelayStatus {
  Micros age{0};                  // of the page: how long ago it certainly held all that the service had
  std::vector<std::string> path;  // routers that it passed through, the relay first
};

// Whether the page of a relay may be used.
enum class RelayValidity {
  kValid,
  kStale,  // it is older than allowed, or does not say how old it is
  kLoop    // it has passed through this router before
};

// Selects among the ancestors of one router in the relay tree.
class RelaySelector {
 public:
  // `ancestors` are the relays of this router, nearest first.
  RelaySelector(const RelaySelectorOptions& options, std::vector<std::string> ancestors, std::uint64_t seed);

  // Sets the number of routers that share the rate of audits.
  void set_fleet_size(int routers) { routers_ = routers > 0 ? routers : 1; }

  // Returns the relay to poll next, or nothing where the service itself is to be polled.
  std::optional<std::string> select(Micros now) const;

  // Judges the page that a relay returned. A page that is not valid quarantines the relay.
  RelayValidity on_response(Micros now, const std::string& relay, const std::string& self,
                            const RelayStatus& status);

  // Records that a call to a relay brought no page.
  void on_failure(Micros now, const std::string& relay);

  // Returns when the service is to be audited, or nothing where there are no relays or no audits.
  std::optional<Micros> next_audit_at(Micros now);

  // Records the last sequence number of the service at an audit. Where it is beyond `own_sequence`, that of
  // this router, the relay has `max_age` to deliver it.
  void on_audit(Micros now, std::uint64_t service_sequence, std::uint64_t own_sequence);

  // Returns whether the relay withheld events that an audit has shown, and quarantines it then. To be called
  // from time to time.
  bool detect_withholding(Micros now, const std::string& relay, std::uint64_t own_sequence);

 private:
  struct Relay {
    int failures = 0;
    Micros quarantined_until{-1};
  };
  struct OpenAudit {
    std::uint64_t service_sequence = 0;
    Micros at{0};
  };

  bool is_quarantined(Micros now, const std::string& relay) const;
  void quarantine(Micros now, const std::string& relay, Micros min_longest);

  RelaySelectorOptions options_;
  std::vector<std::string> ancestors_;
  std::mt19937_64 random_;
  int routers_ = 1;
  std::map<std::string, Relay> relays_;
  int failures_in_a_row_ = 0;
  Micros fallback_until_{-1};  // the service itself is polled
  std::optional<Micros> audit_at_;
  std::optional<OpenAudit> open_audit_;
};

}  // namespace trailcourse::startup
