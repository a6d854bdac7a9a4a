// Slow start of connections: decides when this router begins to use a cache or parent that is new, has
// returned, or was listed at startup, and how many connections it opens there, so that all routers together
// stay within what the endpoint accepts.
//
// A newly listed endpoint is admitted after a delay drawn uniformly from a window of 2N/A, for N routers and
// A connections per second that the endpoint accepts from all of them. By the argument in poll_scheduler.h,
// the sum over the fleet stays within A per second, for any event that the routers react to. The window
// doubles each time the endpoint flaps. The admission time drawn before remains a lower bound after the
// endpoint is gone, so that flapping never makes an admission earlier. Draining and removal take effect
// at once.
//
// Library `startup`. The decision module selects an endpoint for each request from the admitted ones.
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

// Admits the endpoints in the endpoint list of one router.
class EndpointAdmission {
 public:
  EndpointAdmission(const AdmissionOptions& options, std::uint64_t seed) : options_(options), random_(seed) {}

  // Sets the number of routers that share each endpoint.
  void set_fleet_size(int routers) { routers_ = routers > 0 ? routers : 1; }

  // Records that the endpoint is listed as ready. `incarnation` is any number that changes when its process
  // restarts. Returns whether the endpoint is admitted now; otherwise admit_due() admits it later.
  bool on_listed(Micros now, const std::string& endpoint, std::int64_t incarnation);

  // Records that the endpoint is draining, gone or no longer listed.
  void on_unlisted(Micros now, const std::string& endpoint);

  // Returns when the next endpoint is due for admission, or nothing where none is pending.
  std::optional<Micros> next_admission() const;

  // Admits the endpoints whose admission time has come and returns them in the order of those times.
  std::vector<std::string> admit_due(Micros now);

  // Returns whether the endpoint is listed and admitted.
  bool is_admitted(const std::string& endpoint) const;

  // Returns the number of endpoints that are listed and not yet admitted.
  std::size_t pending() const;

  // Returns how many connections this router may hold to one endpoint: its share of the connections that the
  // endpoint holds, at least 1.
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
  void erase_removed(Micros now);

  AdmissionOptions options_;
  std::mt19937_64 random_;
  int routers_ = 1;
  std::map<std::string, Endpoint> endpoints_;
};

}  // namespace trailcourse::startup
