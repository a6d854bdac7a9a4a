// Periodic checks whether this member can connect to its peers. Peers that it cannot reach are reported as
// suspected, since their sessions at the store may still be valid.
//
// Library `tasks`, over `membership` and `transport`. Not thread-safe: it belongs to its scheduler's thread.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "membership/membership_view.h"
#include "membership/peer_prober.h"
#include "tasks/fleet_session.h"
#include "tasks/options.h"
#include "transport/connection.h"
#include "transport/scheduler.h"
#include "transport/task.h"

namespace trailcourse::tasks {

// Scheduler, view and session have to outlive this object.
class PeerHealthChecks {
 public:
  PeerHealthChecks(transport::Scheduler& scheduler, const membership::MembershipView& view,
                   FleetSession& session, const OwnershipOptions& options);
  ~PeerHealthChecks() { *alive_ = false; }
  PeerHealthChecks(const PeerHealthChecks&) = delete;
  PeerHealthChecks& operator=(const PeerHealthChecks&) = delete;

  // Starts the checks, unless the options set the number of peers to 0.
  void start();

  // Starts no further round of checks.
  void stop() { stopped_ = true; }

 private:
  using Connections = std::map<std::string, std::shared_ptr<transport::Connection>>;  // by name of the peer

  transport::Task<void> run();
  Connections connect_to_peers();
  void record_results(const Connections& connections);
  void report_suspicions();

  transport::Scheduler& scheduler_;
  const membership::MembershipView& view_;
  FleetSession& session_;
  membership::PeerProber prober_;
  std::size_t peer_count_;
  Micros interval_;
  Micros timeout_;
  std::set<std::string> reported_;  // peers that are reported as suspected in the store
  bool stopped_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace trailcourse::tasks
