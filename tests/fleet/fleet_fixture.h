// A fleet of real processes for a test: its folder, addresses, child processes, load, and checks of the
// answers. Checks depend on order and counts only, not on the speed of the machine.
#pragma once

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fleet/layout.h"
#include "fleet/load_generator.h"
#include "fleet/port_allocator.h"
#include "fleet/scenario.h"
#include "fleet/supervisor.h"
#include "transport/scheduler.h"

namespace trailcourse::testing_support {

// How long a test waits for an expected event.
constexpr std::chrono::milliseconds kTestTimeout{60'000};

class FleetFixture {
 public:
  // `proxied`: patterns "FROM>TO" of the links that get a fault proxy. `relay_degree`: degree of the relay
  // tree; 0: the routers have no relays.
  explicit FleetFixture(const fleet::FleetSpec& spec, const std::vector<std::string>& proxied = {},
                        int relay_degree = 0);
  ~FleetFixture();
  FleetFixture(const FleetFixture&) = delete;
  FleetFixture& operator=(const FleetFixture&) = delete;

  transport::Scheduler& scheduler() { return scheduler_; }
  fleet::Layout& layout() { return *layout_; }
  fleet::Supervisor& supervisor() { return scenario_->supervisor(); }
  fleet::Scenario& scenario() { return *scenario_; }
  fleet::LoadGenerator& load() { return *load_; }
  fleet::PortAllocator& ports() { return ports_; }
  const std::string& folder() const { return folder_; }

  // Starts a member, or all members of a kind, and waits until they listen. Fails the test if they do not.
  void start(const std::string& name);
  void start(fleet::Kind kind);
  // Starts all members in order. Routers start after the parents and caches have the endpoint list.
  void start_all();
  // Waits until the health check of the router answers 200; returns whether it did.
  bool await_ready(const std::string& router);
  // Polls the health check of the router and returns the last answer.
  fleet::StatusPoller::RouterStatus status(const std::string& router);
  // Waits until each router is in one of these states. Returns the name, state and log of one that is not;
  // empty if all are.
  std::string await_states(const std::vector<std::string>& routers, const std::vector<std::string>& states);
  std::vector<std::string> routers() const { return layout_->names(fleet::Kind::kRouter); }
  // Returns the number of calls over the proxied links that match `links`: for each link the larger of its
  // numbers of connections and requests.
  std::size_t call_count(const std::string& links);
  // Applies a fault now; `line` is a line of a fault script without the time.
  void apply_fault(const std::string& line);

  // Sets the options of further requests, and discards the record of earlier ones.
  void set_load_options(const fleet::LoadGenerator::Options& options) {
    load_ = std::make_unique<fleet::LoadGenerator>(scheduler_, options, 1'000'003);
  }
  // Sends a request to the router and returns its index in load().requests().
  std::size_t send(const std::string& router, std::uint64_t object);
  // Waits until no request is open; returns whether that was so in time.
  bool await_answers();
  // Appends an event to the page of the discovery service and returns its sequence number.
  std::uint64_t append_event(const nlohmann::json& event);

  bool run_until(const std::function<bool()>& done, std::chrono::milliseconds timeout = kTestTimeout) {
    return scenario_->supervisor().run_until(done, timeout);
  }
  void run_for(std::chrono::milliseconds time) {
    scenario_->supervisor().run_until([] { return false; }, time);
  }
  std::string logs() const;

 private:
  transport::Scheduler scheduler_;
  fleet::PortAllocator ports_;
  std::string folder_;
  std::unique_ptr<fleet::Layout> layout_;
  std::unique_ptr<fleet::Scenario> scenario_;
  std::unique_ptr<fleet::StatusPoller> status_;
  std::unique_ptr<fleet::LoadGenerator> load_;
};

// Returns a description of each request that did not get exactly one complete answer with a valid status
// before its `patience` had passed, with a tolerance of 2 s, or whose body does not have `object_bytes`.
std::vector<std::string> find_answer_violations(const std::vector<fleet::SentRequest>& all,
                                                std::chrono::milliseconds patience, std::size_t object_bytes);

// The expected result of checks that return violations.
inline const std::vector<std::string> kNoViolations;

// Returns the number of requests from index `from` on that were answered with status 200.
std::size_t served(FleetFixture& fixture, std::size_t from);

// Gives all objects at the origin a new version, and purges the objects that send_to_all() requests. Returns
// the sequence number of the last purge event.
std::uint64_t edit_and_purge(FleetFixture& fixture);

// Returns the number of answers with a version below `version` to requests that were sent after `from`.
std::size_t stale_answers(FleetFixture& fixture, transport::Clock::time_point from, int version);

// Returns a fleet whose routers spread their polls over windows that are short enough for a test.
fleet::FleetSpec spread_spec(int routers, double calls_per_s = 40.0);

// Sends `each` requests for the objects 1,000 to 1,029 to each of these routers, waits for the answers, and
// returns the violations.
std::vector<std::string> send_to_all(FleetFixture& fixture, const std::vector<std::string>& routers,
                                     int each);

}  // namespace trailcourse::testing_support
