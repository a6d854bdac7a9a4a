// A fleet of real processes that follow a policy: commands that change the policy, load during rollouts, and
// the check of the version under which each request was decided.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fleet/fleet_fixture.h"
#include "program/policy_command.h"

namespace trailcourse::testing_support {

// Returns a fleet with a zone, a cache and a coordination server, and times short enough for a test.
fleet::FleetSpec policy_spec(int routers);

// Returns each decision under a single version that follows, by time of decision, a decision under a higher
// single version.
std::vector<std::string> find_version_order_violations(const std::vector<fleet::SentRequest>& all);

class PolicyFixture {
 public:
  // Starts all members and waits until each router is ready.
  explicit PolicyFixture(const fleet::FleetSpec& spec, const std::vector<std::string>& proxied = {});

  // Runs an operator's policy command on the coordination server. Returns its exit status; `output` has what
  // it printed.
  int policy(program::PolicyCommand command);
  int policy(const std::string& action);
  // Writes a draft with this priority weight of the class "media", and with the fields `more`, and returns
  // its path.
  std::string draft(double priority_weight, const std::string& more = "");
  // Proposes such a draft and returns the exit status of the command.
  int propose(double priority_weight, bool urgent = false, const std::string& more = "");
  // Returns the output of the command `status`; an empty object if it fails.
  nlohmann::json status();
  // Adds or removes the work whose owner collects the acknowledgements of discovery events.
  void acknowledge_events(bool acknowledge = true);
  // Waits until every router is known to have applied this event; returns whether that was so in time.
  bool await_acknowledged(std::uint64_t event, std::chrono::milliseconds timeout = kTestTimeout);
  // Returns the record of acknowledged events as the operator's command prints it.
  nlohmann::json acknowledged();
  // Returns the state of the current or last rollout; empty if there was none.
  std::string change_state();
  // Returns the version in force.
  std::uint64_t version();

  // Runs until `done` returns true, and sends requests to these routers meanwhile.
  bool run_until_under_load(const std::vector<std::string>& routers, const std::function<bool()>& done,
                            std::chrono::milliseconds timeout = kTestTimeout);
  // Waits, under load, until the rollout is in this state.
  bool await_change(const std::vector<std::string>& routers, const std::string& state);
  // Waits until each of these routers decides under this version alone.
  bool await_version(const std::vector<std::string>& routers, std::uint64_t number);
  // Sends a request to the router and returns it with its answer. Other requests may be open.
  fleet::SentRequest answer(const std::string& router);
  // Waits for all answers and returns the violations of the version order.
  std::vector<std::string> check();
  // Returns the number of requests by the version that their answer states.
  std::map<std::string, std::size_t> decided();

  FleetFixture fixture;
  std::string output;
};

}  // namespace trailcourse::testing_support
