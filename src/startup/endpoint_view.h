// The endpoint view stands between the discovery service and the decision module while this router starts,
// returns to the service or has a stale list. It keeps the list as the service sent it and derives the one
// that the module is to see: an endpoint whose admission is pending appears as draining, a list that may not
// be served appears as empty, and a limit on the age of cached copies appears as purges. The module chooses
// among what it sees, as ever.
//
// Without the section `startup` there is no endpoint view, and the module gets the events of the service.
//
// Package `startup`.
#pragma once

#include <trailcourse/decider.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "startup/endpoint_admission.h"
#include "startup/readiness.h"

namespace trailcourse::startup {

// Derives the events that the decision module sees from the list of the discovery service.
class EndpointView {
 public:
  EndpointView(const AdmissionOptions& admission, const ReadinessOptions& readiness, std::uint64_t seed)
      : admission_(admission, seed), readiness_(readiness) {}

  void set_fleet_size(int routers) { admission_.set_fleet_size(routers); }

  // Records that a list is known at the start; see Readiness::restore().
  void restore(Micros now, Micros current_at, bool start_times_known);

  // Records a confirmation of the service; see Readiness::on_confirmed().
  void on_confirmed(Micros now, Micros current_at);

  // Forgets the list: the service has started again and sends a full one.
  void reset(Micros now);

  // Records a list, or changes of it, as the service sent them.
  void on_list(Micros now, const EndpointListReceived& list);

  // Appends to `events` what the module has to see before anything else that happens at `now`, in order.
  void step(Micros now, std::vector<Event>& events);

  // Returns when step() may have events by time alone, or nothing where it has none.
  std::optional<Micros> next_step_at(Micros now) const;

  ServingPermissions permissions(Micros now) const { return readiness_.permissions(now); }
  Staleness staleness(Micros now) const { return readiness_.staleness(now); }

  // Returns whether requests can be served: a cache, parent or origin of the list is admitted, and the list
  // may be served.
  bool is_ready(Micros now) const;

  // Returns the number of listed endpoints that may not receive traffic yet.
  std::size_t pending_admissions() const { return admission_.pending(); }

  // Returns how many connections this router may hold to one endpoint.
  int max_connections() const { return admission_.max_connections(); }

 private:
  using Entries = std::map<std::string, Endpoint>;  // by address

  void replace_listed(Micros now, const std::vector<Endpoint>& entries);
  Endpoint visible(const Endpoint& entry, const ServingPermissions& permissions) const;
  Entries visible_entries(const ServingPermissions& permissions) const;
  void append_list(const ServingPermissions& permissions, std::vector<Event>& events);
  void append_age_limit(Micros now, Micros max_copy_age, std::vector<Event>& events);

  EndpointAdmission admission_;
  Readiness readiness_;
  Entries listed_;     // as the service sent them
  Entries published_;  // as the module saw them last
  std::optional<ServingPermissions> published_permissions_;
  Micros default_start_{0};  // of endpoints whose start time is not known
  Micros next_age_limit_{-1};
  bool changed_ = false;
  bool has_list_ = false;
};

}  // namespace trailcourse::startup
