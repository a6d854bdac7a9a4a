// A fleet of real processes for a test: a folder, addresses, children, load, and checkers over what was seen.
// Verdicts come from order and counts, never from how fast the machine was.
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

// How long a test waits for what must come; only a failing test waits so long.
constexpr std::chrono::milliseconds kAwaited{60'000};

class Rig {
 public:
  // `proxied`: on which links a fault proxy stands, as patterns of "FROM>TO".
  explicit Rig(const fleet::FleetSpec& shape, const std::vector<std::string>& proxied = {},
               int relay_degree = 0);
  ~Rig();
  Rig(const Rig&) = delete;
  Rig& operator=(const Rig&) = delete;

  transport::Scheduler& scheduler() { return scheduler_; }
  fleet::Layout& layout() { return *layout_; }
  fleet::Supervisor& fleet() { return scenario_->fleet(); }
  fleet::Scenario& scenario() { return *scenario_; }
  fleet::Load& load() { return *load_; }
  fleet::PortAllocator& ports() { return ports_; }
  const std::string& folder() const { return folder_; }

  // Starts one and waits until it listens; fails the test where it does not.
  void start(const std::string& name);
  void start(fleet::Kind kind);
  // Board, origin, parents, caches that know their sources, then routers.
  void start_all();
  // Waits until /healthz of the router answers 200.
  bool await_ready(const std::string& router);
  // What its health check says now.
  fleet::StatusPoller::Row status(const std::string& router);
  // Waits until each is in one of these states; the first that is not, else empty.
  std::string await_states(const std::vector<std::string>& routers, const std::vector<std::string>& states);
  std::vector<std::string> routers() const { return layout_->names(fleet::Kind::kRouter); }
  // Connections and calls that have come over the links that fit.
  std::size_t calls(const std::string& links);
  void fault(const std::string& line);

  // Requests from now on are made so; what was asked before is forgotten.
  void load_with(const fleet::Load::Options& options) {
    load_ = std::make_unique<fleet::Load>(scheduler_, options, 1'000'003);
  }
  // Sends a request to the router.
  std::size_t ask(const std::string& router, std::uint64_t object);
  // Turns until nothing is open at the routers.
  bool await_answers();
  // Adds an event to the board's page; its number.
  std::uint64_t post(const nlohmann::json& event);

  bool until(const std::function<bool()>& done, std::chrono::milliseconds longest = kAwaited) {
    return scenario_->fleet().until(done, longest);
  }
  void run_for(std::chrono::milliseconds time) {
    scenario_->fleet().until([] { return false; }, time);
  }
  std::string logs() const;

 private:
  transport::Scheduler scheduler_;
  fleet::PortAllocator ports_;
  std::string folder_;
  std::unique_ptr<fleet::Layout> layout_;
  std::unique_ptr<fleet::Scenario> scenario_;
  std::unique_ptr<fleet::StatusPoller> status_;
  std::unique_ptr<fleet::Load> load_;
};

// Checker: every request to a router that lived on got exactly one whole final answer, before its time was
// up, and none that is torn. `slack` covers the client's own delay and is not judged finely.
std::vector<std::string> broken_answers(const std::vector<fleet::Asked>& all,
                                        std::chrono::milliseconds patience, std::size_t object_bytes);

// Nothing broken.
inline const std::vector<std::string> kNone;

// So many routers that spread their calls, over windows short enough for a test.
fleet::FleetSpec spread_shape(int routers, double calls_per_s = 40.0);

// Each of these routers is asked so often, for objects of 1,000 to 1,029; all answers awaited, what is broken
// returned.
std::vector<std::string> ask_all(Rig& rig, const std::vector<std::string>& routers, int each);

}  // namespace trailcourse::testing_support
