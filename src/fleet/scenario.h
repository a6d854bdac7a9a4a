// A running fleet: its members, fault proxies on links, a fault script that is replayed against them, and the
// status of its routers.
//
// Library `fleet`. Single-threaded.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fleet/fault_proxy.h"
#include "fleet/fault_script.h"
#include "fleet/layout.h"
#include "fleet/load_generator.h"
#include "fleet/supervisor.h"

namespace trailcourse::fleet {

class Scenario {
 public:
  // Places a fault proxy on each link whose name matches a pattern of `proxied`, and writes the configuration
  // of all members. Links are "MEMBER>board", "ROUTER>registry", "ROUTER>AGGREGATOR", "AGGREGATOR>registry",
  // and "*>NODE" for the listed address of a cache, parent or origin. `scheduler` and `layout` have to
  // outlive this object.
  Scenario(transport::Scheduler& scheduler, Layout& layout, PortAllocator& ports, std::string program,
           const std::vector<std::string>& proxied);
  ~Scenario();
  Scenario(const Scenario&) = delete;
  Scenario& operator=(const Scenario&) = delete;

  // Returns the supervisor, which starts and stops the processes of the fleet.
  Supervisor& supervisor() { return supervisor_; }
  Layout& layout() { return layout_; }
  // Returns the proxy of a link; null if the link has none.
  FaultProxy* link(const std::string& name);
  std::vector<FaultProxy*> links();

  // Applies a fault now to all members or links that match its target.
  void apply(const Fault& fault);
  // Starts the clock of a script. apply_due_faults() has to be called repeatedly, and applies the faults
  // that are due.
  void start_script(std::vector<Fault> script);
  void apply_due_faults();
  bool script_finished() const { return next_ >= script_.size(); }

 private:
  transport::Scheduler& scheduler_;
  Layout& layout_;
  std::vector<std::unique_ptr<FaultProxy>> proxies_;
  Supervisor supervisor_;
  std::vector<Fault> script_;
  std::size_t next_ = 0;
  transport::Clock::time_point started_at_;
};

// Polls the health check of each router over one connection.
class StatusPoller {
 public:
  // The status of one router, from the last answer to a health check.
  struct RouterStatus {
    std::string router;
    bool up = false;          // the connection is open and a check was answered
    bool ready = false;       // the answer was 200
    std::string state = "-";  // "-": down; "plain": the answer has no state
    std::uint64_t event = 0;  // the last one applied
    std::uint64_t polls = 0;  // of the discovery service, since the start of the router
    std::uint64_t failed_polls = 0;
    std::int64_t age_ms = -1;  // since the endpoint list was last confirmed; -1: unknown
  };

  StatusPoller(transport::Scheduler& scheduler, const Layout& layout);
  ~StatusPoller();

  // Sends a health check to each router; the answers are processed when the scheduler runs.
  void refresh(const std::vector<std::string>& routers);
  const std::map<std::string, RouterStatus>& statuses() const { return statuses_; }

 private:
  class Link;

  transport::Scheduler& scheduler_;
  const Layout& layout_;
  std::map<std::string, RouterStatus> statuses_;
  std::map<std::string, std::shared_ptr<Link>> links_;
};

}  // namespace trailcourse::fleet
