#include "fleet/policy_fixture.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include "program/work_command.h"
#include "tasks/acknowledgement_task.h"

namespace trailcourse::testing_support {

using nlohmann::json;
using std::chrono::milliseconds;

fleet::FleetSpec policy_spec(int routers) {
  fleet::FleetSpec spec;
  spec.routers = routers;
  spec.caches = 1;
  spec.parents = 0;
  spec.has_coordination_server = true;
  spec.ownership = {{"ttl_ms", 1'000},        {"renew_ms", 250},        {"retry_ms", 100},
                    {"turn_ms", 30},          {"longest_turn_ms", 300}, {"member_ttl_ms", 1'000},
                    {"member_renew_ms", 250}, {"neighbours", 0},        {"settle_ms", 60'000},
                    {"most_starts", 100},     {"poison_pause_ms", 50},  {"flap_suppress", 1'000.0}};
  spec.coordination = {
      {"call_ms", 400}, {"rest_ms", 50}, {"longest_rest_ms", 300}, {"watch_silent_ms", 4'000}};
  spec.policy = {{"ttl_ms", 1'200},
                 {"renew_ms", 300},
                 {"retry_ms", 100},
                 {"prepare_most_ms", 4'000},
                 {"hold_most_ms", 6'000}};
  return spec;
}

std::vector<std::string> find_version_order_violations(const std::vector<fleet::SentRequest>& all) {
  struct Decision {
    std::int64_t at_us;
    std::uint64_t version;
    std::string router;
  };
  std::vector<Decision> decisions;
  for (const fleet::SentRequest& one : all) {
    const bool alone = !one.policy.empty() && one.policy != "-" && one.policy.find('+') == std::string::npos;
    if (alone) {
      decisions.push_back({one.decided_us, std::stoull(one.policy), one.router});
    }
  }
  std::sort(decisions.begin(), decisions.end(),
            [](const Decision& one, const Decision& other) { return one.at_us < other.at_us; });
  std::vector<std::string> out;
  std::uint64_t highest = 0;
  std::string highest_router;
  for (const Decision& one : decisions) {
    if (one.version < highest) {
      out.push_back(one.router + " decided under version " + std::to_string(one.version) + " at " +
                    std::to_string(one.at_us) + ", after " + highest_router + " under " +
                    std::to_string(highest));
    } else {
      highest = one.version;
      highest_router = one.router;
    }
  }
  return out;
}

PolicyFixture::PolicyFixture(const fleet::FleetSpec& spec, const std::vector<std::string>& proxied)
    : fixture(spec, proxied) {
  fixture.start_all();
  for (const std::string& router : fixture.routers()) {
    EXPECT_TRUE(fixture.await_ready(router)) << fixture.logs();
  }
}

int PolicyFixture::policy(program::PolicyCommand command) {
  command.store.store = "etcd";
  command.store.endpoints = {fixture.layout().member("registry").address};
  std::ostringstream out;
  std::ostringstream errors;
  const int status = run_policy_command(command, out, errors);
  output = out.str() + errors.str();
  return status;
}

int PolicyFixture::policy(const std::string& action) {
  program::PolicyCommand command;
  command.action = action;
  command.json = true;
  return policy(command);
}

std::string PolicyFixture::draft(double priority_weight, const std::string& more) {
  const std::string path = fixture.folder() + "/draft.json";
  std::ofstream(path) << R"({"schema":1,"author":"ops","reason":"test","content":{"classes":{"media":)"
                      << R"({"objective_ms":2000,"give_up_ms":6000,"worth":)" << priority_weight << "}}"
                      << more << "}}";
  return path;
}

int PolicyFixture::propose(double priority_weight, bool urgent, const std::string& more) {
  program::PolicyCommand command;
  command.action = "propose";
  command.file = draft(priority_weight, more);
  command.urgent = urgent;
  command.json = true;
  return policy(command);
}

json PolicyFixture::status() { return policy("status") == 0 ? json::parse(output) : json::object(); }

void PolicyFixture::acknowledge_events(bool acknowledge) {
  program::WorkCommand command;
  command.action = acknowledge ? "add" : "remove";
  command.name = "events";
  command.kind = tasks::kAcknowledgeWork;
  command.store.store = "etcd";
  command.store.endpoints = {fixture.layout().member("registry").address};
  std::ostringstream out;
  std::ostringstream errors;
  EXPECT_EQ(run_work_command(command, out, errors), 0) << errors.str();
}

json PolicyFixture::acknowledged() {
  policy("acknowledged");
  const json out = json::parse(output, nullptr, false);
  return out.is_object() ? out : json::object();
}

bool PolicyFixture::await_acknowledged(std::uint64_t event, milliseconds timeout) {
  return fixture.run_until(
      [&] {
        const json record = acknowledged();
        return record.contains("done") && record["done"]["event"] >= event;
      },
      timeout);
}

std::string PolicyFixture::change_state() {
  const json change = status().value("change", json());
  return change.is_object() ? change.value("state", std::string()) : std::string();
}

std::uint64_t PolicyFixture::version() { return status().value("version", std::uint64_t{0}); }

bool PolicyFixture::run_until_under_load(const std::vector<std::string>& routers,
                                         const std::function<bool()>& done, milliseconds timeout) {
  int turns = 0;
  return fixture.run_until(
      [&] {
        if (turns++ % 3 == 0) {
          for (const std::string& router : routers) {
            fixture.send(router, 1'000 + static_cast<std::uint64_t>(turns) % 20);
          }
        }
        return turns % 12 == 0 && done();
      },
      timeout);
}

bool PolicyFixture::await_change(const std::vector<std::string>& routers, const std::string& state) {
  return run_until_under_load(routers, [&] { return change_state() == state; });
}

bool PolicyFixture::await_version(const std::vector<std::string>& routers, std::uint64_t number) {
  return fixture.run_until([&] {
    return std::all_of(routers.begin(), routers.end(), [&](const std::string& router) {
      return answer(router).policy == std::to_string(number);
    });
  });
}

fleet::SentRequest PolicyFixture::answer(const std::string& router) {
  const std::size_t at = fixture.send(router, 5);
  fixture.run_until(
      [&] {
        return fixture.load().requests()[at].answers > 0 || fixture.load().requests()[at].connection_ended;
      },
      milliseconds(5'000));
  return fixture.load().requests()[at];
}

std::vector<std::string> PolicyFixture::check() {
  EXPECT_TRUE(fixture.await_answers());
  return find_version_order_violations(fixture.load().requests());
}

std::map<std::string, std::size_t> PolicyFixture::decided() {
  std::map<std::string, std::size_t> out;
  for (const fleet::SentRequest& one : fixture.load().requests()) {
    ++out[one.policy];
  }
  return out;
}

}  // namespace trailcourse::testing_support
