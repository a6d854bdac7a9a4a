#include "fleet/policy_rig.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include "program/work_command.h"
#include "tasks/acknowledgement_task.h"

namespace trailcourse::testing_support {

using nlohmann::json;
using std::chrono::milliseconds;

fleet::FleetSpec policy_shape(int routers) {
  fleet::FleetSpec shape;
  shape.routers = routers;
  shape.caches = 1;
  shape.parents = 0;
  shape.registry = true;
  shape.ownership = {{"ttl_ms", 1'000},        {"renew_ms", 250},        {"retry_ms", 100},
                     {"turn_ms", 30},          {"longest_turn_ms", 300}, {"member_ttl_ms", 1'000},
                     {"member_renew_ms", 250}, {"neighbours", 0},        {"settle_ms", 60'000},
                     {"most_starts", 100},     {"poison_pause_ms", 50},  {"flap_suppress", 1'000.0}};
  shape.coordination = {
      {"call_ms", 400}, {"rest_ms", 50}, {"longest_rest_ms", 300}, {"watch_silent_ms", 4'000}};
  shape.policy = {{"ttl_ms", 1'200},
                  {"renew_ms", 300},
                  {"retry_ms", 100},
                  {"prepare_most_ms", 4'000},
                  {"hold_most_ms", 6'000}};
  return shape;
}

std::vector<std::string> broken_order(const std::vector<fleet::Asked>& all) {
  struct Decision {
    std::int64_t at_us;
    std::uint64_t version;
    std::string router;
  };
  std::vector<Decision> decisions;
  for (const fleet::Asked& one : all) {
    const bool alone = !one.policy.empty() && one.policy != "-" && one.policy.find('+') == std::string::npos;
    if (alone) {
      decisions.push_back({one.decided_us, std::stoull(one.policy), one.router});
    }
  }
  std::sort(decisions.begin(), decisions.end(),
            [](const Decision& one, const Decision& other) { return one.at_us < other.at_us; });
  std::vector<std::string> out;
  std::uint64_t highest = 0;
  std::string by;
  for (const Decision& one : decisions) {
    if (one.version < highest) {
      out.push_back(one.router + " decided under version " + std::to_string(one.version) + " at " +
                    std::to_string(one.at_us) + ", after " + by + " under " + std::to_string(highest));
    } else {
      highest = one.version;
      by = one.router;
    }
  }
  return out;
}

PolicyRig::PolicyRig(const fleet::FleetSpec& shape, const std::vector<std::string>& proxied)
    : rig(shape, proxied) {
  rig.start_all();
  for (const std::string& router : rig.routers()) {
    EXPECT_TRUE(rig.await_ready(router)) << rig.logs();
  }
}

int PolicyRig::policy(program::PolicyCommand command) {
  command.store.store = "etcd";
  command.store.endpoints = {rig.layout().member("registry").address};
  std::ostringstream out;
  std::ostringstream errors;
  const int status = run_policy_command(command, out, errors);
  said = out.str() + errors.str();
  return status;
}

int PolicyRig::policy(const std::string& action) {
  program::PolicyCommand command;
  command.action = action;
  command.json = true;
  return policy(command);
}

std::string PolicyRig::draft(double worth, const std::string& more) {
  const std::string path = rig.folder() + "/draft.json";
  std::ofstream(path) << R"({"schema":1,"author":"ops","reason":"test","content":{"classes":{"media":)"
                      << R"({"objective_ms":2000,"give_up_ms":6000,"worth":)" << worth << "}}" << more
                      << "}}";
  return path;
}

int PolicyRig::propose(double worth, bool urgent, const std::string& more) {
  program::PolicyCommand command;
  command.action = "propose";
  command.file = draft(worth, more);
  command.urgent = urgent;
  command.json = true;
  return policy(command);
}

json PolicyRig::status() { return policy("status") == 0 ? json::parse(said) : json::object(); }

void PolicyRig::acknowledge_events(bool acknowledge) {
  program::WorkCommand command;
  command.action = acknowledge ? "add" : "remove";
  command.name = "events";
  command.kind = tasks::kAcknowledgeWork;
  command.store.store = "etcd";
  command.store.endpoints = {rig.layout().member("registry").address};
  std::ostringstream out;
  std::ostringstream errors;
  EXPECT_EQ(run_work_command(command, out, errors), 0) << errors.str();
}

json PolicyRig::acknowledged() {
  policy("acknowledged");
  const json out = json::parse(said, nullptr, false);
  return out.is_object() ? out : json::object();
}

bool PolicyRig::await_acknowledged(std::uint64_t event, milliseconds longest) {
  return rig.until(
      [&] {
        const json record = acknowledged();
        return record.contains("done") && record["done"]["event"] >= event;
      },
      longest);
}

std::string PolicyRig::change_state() {
  const json change = status().value("change", json());
  return change.is_object() ? change.value("state", std::string()) : std::string();
}

std::uint64_t PolicyRig::version() { return status().value("version", std::uint64_t{0}); }

bool PolicyRig::until_loaded(const std::vector<std::string>& routers, const std::function<bool()>& done,
                             milliseconds longest) {
  int turn = 0;
  return rig.until(
      [&] {
        if (turn++ % 3 == 0) {
          for (const std::string& router : routers) {
            rig.ask(router, 1'000 + static_cast<std::uint64_t>(turn) % 20);
          }
        }
        return turn % 12 == 0 && done();
      },
      longest);
}

bool PolicyRig::await_change(const std::vector<std::string>& routers, const std::string& state) {
  return until_loaded(routers, [&] { return change_state() == state; });
}

bool PolicyRig::await_version(const std::vector<std::string>& routers, std::uint64_t number) {
  return rig.until([&] {
    return std::all_of(routers.begin(), routers.end(), [&](const std::string& router) {
      return answer(router).policy == std::to_string(number);
    });
  });
}

fleet::Asked PolicyRig::answer(const std::string& router) {
  const std::size_t at = rig.ask(router, 5);
  rig.until([&] { return rig.load().all()[at].answers > 0 || rig.load().all()[at].connection_ended; },
            milliseconds(5'000));
  return rig.load().all()[at];
}

std::vector<std::string> PolicyRig::check() {
  EXPECT_TRUE(rig.await_answers());
  return broken_order(rig.load().all());
}

std::map<std::string, std::size_t> PolicyRig::decided() {
  std::map<std::string, std::size_t> out;
  for (const fleet::Asked& one : rig.load().all()) {
    ++out[one.policy];
  }
  return out;
}

}  // namespace trailcourse::testing_support
