// The endpoint view filters what the decision module sees of the discovery service while this router starts,
// reconnects to the service or has a stale list. It stores the list as the service sent it and derives the
// list for the module: an endpoint whose admission is pending appears as draining, a list that may not be
// used appears as empty, and a limit on the age of cached copies appears as purges. The module makes its
// usual decisions on the derived list.
//
// Where the operator's file has no section `startup`, there is no endpoint view, and the module gets the
// events of the service unchanged.
//
// Library `startup`.
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

  // Records that a list is known at startup; see Readiness::restore().
  void restore(Micros now, Micros current_at, bool start_times_known);

  // Records that the service confirmed the list; see Readiness::on_confirmed().
  void on_confirmed(Micros now, Micros current_at);

  // Discards the list after a sequence reset of the service, which then sends a full list.
  void reset(Micros now);

  // Records a full list, or changes to it, as the service sent them.
  void on_list(Micros now, const EndpointListReceived& list);

  // Appends to `events`, in order, the events that the module has to process before any other event at `now`.
  void step(Micros now, std::vector<Event>& events);

  // Returns when step() may next append events because time has passed; nothing where no such time is set.
  std::optional<Micros> next_step_at(Micros now) const;

  ServingPermissions permissions(Micros now) const { return readiness_.permissions(now); }
  Staleness staleness(Micros now) const { return readiness_.staleness(now); }

  // Returns whether requests can be served: the list may be used, and at least one cache, parent or origin in
  // it is admitted.
  bool is_ready(Micros now) const;

  // Returns the number of listed endpoints that are not admitted yet.
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
  Entries published_;  // as last passed to the module
  std::optional<ServingPermissions> published_permissions_;
  Micros default_start_{0};  // start time of endpoints whose start time is unknown
  Micros next_age_limit_{-1};
  bool changed_ = false;
  bool has_list_ = false;
};

}  // namespace trailcourse::startup
