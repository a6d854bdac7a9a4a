// A fleet that runs: its members, a proxy on each link that is to be faulty, load, and a script of faults
// played against them; and what is to be seen of it while it does.
//
// Package `fleet`. One thread.
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
  // Proxies are put on the links whose names fit one of these patterns: "ROUTER>board", "ROUTER>registry",
  // "ROUTER>AGGREGATOR", "AGGREGATOR>registry", and "*>NODE" for a cache or parent as the board lists it.
  Scenario(transport::Scheduler& scheduler, Layout& layout, PortAllocator& ports, std::string program,
           const std::vector<std::string>& proxied);
  ~Scenario();
  Scenario(const Scenario&) = delete;
  Scenario& operator=(const Scenario&) = delete;

  Supervisor& fleet() { return supervisor_; }
  Layout& layout() { return layout_; }
  FaultProxy* link(const std::string& name);
  std::vector<FaultProxy*> links();

  // One fault, now.
  void apply(const Fault& fault);
  // The script, from now on; play() carries out what is due.
  void begin(std::vector<Fault> script);
  void play();
  bool played() const { return next_ >= script_.size(); }

 private:
  transport::Scheduler& scheduler_;
  Layout& layout_;
  std::vector<std::unique_ptr<FaultProxy>> proxies_;
  Supervisor supervisor_;
  std::vector<Fault> script_;
  std::size_t next_ = 0;
  transport::Clock::time_point begun_;
};

// What a health check of a router says of it; asked over one connection for each router, now and then.
class StatusPoller {
 public:
  struct Row {
    std::string router;
    bool up = false;
    bool ready = false;
    std::string state = "-";
    std::uint64_t event = 0;  // the last one taken in
    std::uint64_t calls = 0;
    std::uint64_t failed = 0;
    std::int64_t age_ms = -1;
  };

  StatusPoller(transport::Scheduler& scheduler, const Layout& layout);
  ~StatusPoller();

  // Asks all routers; answers come in as the scheduler turns.
  void refresh(const std::vector<std::string>& routers);
  const std::map<std::string, Row>& rows() const { return rows_; }

 private:
  class Link;

  transport::Scheduler& scheduler_;
  const Layout& layout_;
  std::map<std::string, Row> rows_;
  std::map<std::string, std::shared_ptr<Link>> links_;
};

}  // namespace trailcourse::fleet
