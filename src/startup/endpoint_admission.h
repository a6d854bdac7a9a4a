// Slow start of connections: decides when this router begins to use a cache or parent that is new, back, or
// known from the start, and how many connections it opens there, so that all routers together never exceed
// what the endpoint accepts.
//
// An endpoint that gets listed is admitted after a time drawn evenly from a window of 2N/A, for N routers and
// A connections a second that it accepts from all of them. By the argument of poll_scheduler.h the sum over
// the fleet stays within A a second, whatever made the routers begin. The window of a flapping endpoint
// doubles each time. A time that was drawn before still counts after the endpoint has gone, so that flapping
// never makes an admission sooner. Draining and removal take effect at once.
//
// Package `startup`. The decision module chooses among the admitted endpoints; nothing is chosen here.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "startup/options.h"

namespace trailcourse::startup {

// Admits the endpoints of one router's list.
class EndpointAdmission {
 public:
  EndpointAdmission(const AdmissionOptions& options, std::uint64_t seed) : options_(options), random_(seed) {}

  // Sets the number of routers that share each endpoint.
  void set_fleet_size(int routers) { routers_ = routers > 0 ? routers : 1; }

  // Records that the endpoint is listed as ready. `incarnation` is any number that changes when its process
  // restarts. Returns whether the endpoint may receive traffic now. If not, it may from the time given by
  // `next_admission()`.
  bool on_listed(Micros now, const std::string& endpoint, std::int64_t incarnation);

  // Records that the endpoint drains, is gone or is not listed any more.
  void on_unlisted(Micros now, const std::string& endpoint);

  // Returns when the next endpoint is admitted, or nothing where none is pending.
  std::optional<Micros> next_admission() const;

  // Admits the endpoints whose time has come and returns them in the order of their times.
  std::vector<std::string> admit_due(Micros now);

  // Returns whether the endpoint is listed and admitted.
  bool is_admitted(const std::string& endpoint) const;

  // Returns the number of endpoints that are listed and not yet admitted.
  std::size_t pending() const;

  // Returns how many connections this router may hold to one endpoint: its share of what the endpoint holds,
  // 1 at least.
  int max_connections() const;

 private:
  struct Endpoint {
    bool listed = false;
    bool admitted = false;
    std::int64_t incarnation = 0;
    Micros admit_at{0};
    Micros listed_at{0};
    int flaps = 0;
  };

  Micros window(int flaps) const;
  void forget_removed(Micros now);

  AdmissionOptions options_;
  std::mt19937_64 random_;
  int routers_ = 1;
  std::map<std::string, Endpoint> endpoints_;
};

}  // namespace trailcourse::startup
