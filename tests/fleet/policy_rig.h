// A fleet of real processes that follow a policy: staff who change it, load meanwhile, and the checker of
// what was decided under which version.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fleet/rig.h"
#include "program/policy_command.h"

namespace trailcourse::testing_support {

// One zone, one cache and a store; times short enough for a test.
fleet::FleetSpec policy_shape(int routers);

// Checker. Versions by the time of their decision: of two decisions under versions alone the later one is
// never under a lower one.
std::vector<std::string> broken_order(const std::vector<fleet::Asked>& all);

class PolicyRig {
 public:
  // Starts all and waits until each router is ready.
  explicit PolicyRig(const fleet::FleetSpec& shape, const std::vector<std::string>& proxied = {});

  // Commands of staff at the store itself; they give the exit status, and leave in `said` what was printed.
  int policy(program::PolicyCommand command);
  int policy(const std::string& action);
  // A draft with this worth, as a file.
  std::string draft(double worth, const std::string& more = "");
  int propose(double worth, bool urgent = false, const std::string& more = "");
  nlohmann::json status();
  // Announces that events of the board are to be acknowledged, or takes that back.
  void acknowledge_events(bool acknowledge = true);
  // Whether every router is known to have taken in this event; waits for it for so long.
  bool await_acknowledged(std::uint64_t event, std::chrono::milliseconds longest = kAwaited);
  // The record of acknowledged events, as staff see it.
  nlohmann::json acknowledged();
  std::string change_state();
  std::uint64_t version();

  // Under load at these routers all the while.
  bool until_loaded(const std::vector<std::string>& routers, const std::function<bool()>& done,
                    std::chrono::milliseconds longest = kAwaited);
  bool await_change(const std::vector<std::string>& routers, const std::string& state);
  // Until each of these decides under it.
  bool await_version(const std::vector<std::string>& routers, std::uint64_t number);
  // The answer of this router to one request; others may be open meanwhile.
  fleet::Asked answer(const std::string& router);
  // All answers awaited; what breaks the order.
  std::vector<std::string> check();
  // Decisions by version.
  std::map<std::string, std::size_t> decided();

  Rig rig;
  std::string said;
};

}  // namespace trailcourse::testing_support
