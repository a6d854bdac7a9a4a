// Selects which process this router polls for the pages of the discovery service: its parent in the relay
// tree, a more distant ancestor, or the service itself. Also checks whether the answer of a relay is valid.
//
// A relay may be dead, stalled, out of date or faulty. The delay that each fault causes is bounded: a call to
// a relay ends after its long-poll timeout and a grace period; a relay that failed is quarantined for a time
// that doubles with each failure; after two failures in a row the service itself is polled; a relay whose
// page is too old is quarantined at once. Audits detect a relay that withholds events: routers request the
// last sequence number from the service itself, at a rate that is set for the whole fleet.
//
// Library `startup`.
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
  Micros max_age{1'000'000};           // longest age of a page from a relay
  Micros initial_quarantine{500'000};  // upper bound after the first failure; each further one doubles it
  Micros max_quarantine{30'000'000};   // the upper bound does not grow beyond this
  Micros withholding_quarantine{300'000'000};  // of a relay that withheld events
  int failures_before_fallback = 2;            // consecutive, of any relays; then the service is polled
  double audits_per_s = 1.0;                   // of all routers together; 0: no audits
};

// What the page of a relay states about itself.
struct RelayStatus {
  Micros age{0};                  // time since the page was last known to contain all events of the service
  std::vector<std::string> path;  // routers that the page passed through, the relay first
};

// Whether the page of a relay may be used.
enum class RelayValidity {
  kValid,
  kStale,  // the page is older than `max_age` or does not state its age
  kLoop    // the page has already passed through this router
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

  // Checks the page that a relay returned. Quarantines the relay if the page is not valid.
  RelayValidity on_response(Micros now, const std::string& relay, const std::string& self,
                            const RelayStatus& status);

  // Records that a call to a relay failed.
  void on_failure(Micros now, const std::string& relay);

  // Returns when to send the next audit to the service, or nothing where there are no relays or no audits.
  std::optional<Micros> next_audit_at(Micros now);

  // Records the result of an audit: `service_sequence` is the last sequence number of the service,
  // `own_sequence` that of this router. Where the service's is higher, the relay has `max_age` to deliver it.
  void on_audit(Micros now, std::uint64_t service_sequence, std::uint64_t own_sequence);

  // Returns whether the relay has withheld events that an audit has found, and quarantines it in that case.
  // Has to be called periodically.
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
  void quarantine(Micros now, const std::string& relay, Micros min_upper_bound);

  RelaySelectorOptions options_;
  std::vector<std::string> ancestors_;
  std::mt19937_64 random_;
  int routers_ = 1;
  std::map<std::string, Relay> relays_;
  int failures_in_a_row_ = 0;
  Micros fallback_until_{-1};  // until then the service itself is polled
  std::optional<Micros> audit_at_;
  std::optional<OpenAudit> open_audit_;
};

}  // namespace trailcourse::startup
