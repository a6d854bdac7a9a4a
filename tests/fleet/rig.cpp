#include "fleet/rig.h"

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>

#include "program/discovery_file_server.h"
#include "protocol/fastcgi_peer.h"
#include "stand_ins.h"

namespace trailcourse::testing_support {

using fleet::Kind;
using std::chrono::milliseconds;
using transport::Clock;

Rig::Rig(const fleet::FleetSpec& shape, const std::vector<std::string>& proxied, int relay_degree) {
  static int made = 0;
  folder_ =
      testing::TempDir() + "trailcourse-fleet-" + std::to_string(::getpid()) + "-" + std::to_string(++made);
  std::filesystem::remove_all(folder_);
  std::filesystem::create_directories(folder_);
  layout_ = std::make_unique<fleet::Layout>(shape, folder_, ports_);
  if (relay_degree > 0) {
    for (fleet::Member& member : layout_->members()) {
      member.relay = member.kind == Kind::kRouter ? ports_.take_text() : "";
    }
    layout_->connect_relays(relay_degree);
  }
  scenario_ = std::make_unique<fleet::Scenario>(scheduler_, *layout_, ports_, TRAILCOURSE_PROGRAM, proxied);
  status_ = std::make_unique<fleet::StatusPoller>(scheduler_, *layout_);
  load_ = std::make_unique<fleet::Load>(scheduler_, fleet::Load::Options{}, 1);
}

Rig::~Rig() {
  load_.reset();
  status_.reset();
  scenario_.reset();
  if (!testing::Test::HasFailure()) {
    std::filesystem::remove_all(folder_);
  }
}

void Rig::start(const std::string& name) {
  scenario_->fleet().start(name);
  ASSERT_TRUE(scenario_->fleet().await_up(name, kAwaited)) << name << ": " << scenario_->fleet().log(name);
}

void Rig::start(Kind kind) {
  scenario_->fleet().start_all(kind);
  for (const std::string& name : layout_->names(kind)) {
    ASSERT_TRUE(scenario_->fleet().await_up(name, kAwaited)) << name << ": " << scenario_->fleet().log(name);
  }
}

void Rig::start_all() {
  for (const Kind kind : fleet::kStartOrder) {
    if (kind != Kind::kRouter) {
      start(kind);
    }
  }
  for (const Kind kind : {Kind::kParent, Kind::kCache}) {
    for (const std::string& name : layout_->names(kind)) {
      ASSERT_TRUE(scenario_->fleet().await_log(name, "received discovery events", kAwaited))
          << scenario_->fleet().log(name);
    }
  }
  start(Kind::kRouter);
}

std::size_t Rig::ask(const std::string& router, std::uint64_t object) {
  return load_->ask(router, *transport::parse_address(layout_->member(router).address),
                    fleet::object_name(object));
}

bool Rig::await_answers() {
  return until([this] { return load_->open() == 0; });
}

std::uint64_t Rig::post(const nlohmann::json& event) {
  return program::append_event(layout_->board_file(), event);
}

std::string Rig::logs() const {
  std::string out;
  for (const fleet::Member& member : layout_->members()) {
    std::ifstream file(layout_->log_file(member.name));
    out += "== " + member.name + "\n" +
           std::string{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  }
  return out;
}

bool Rig::await_ready(const std::string& router) {
  const transport::Address address = *transport::parse_address(layout_->member(router).address);
  return until([&] {
    try {
      Client client(address);
      const std::optional<Answer> answer = client.ask(1, {{"SCRIPT_NAME", "/healthz"}});
      return answer && answer->status == 200;
    } catch (const std::runtime_error&) {
      return false;  // it does not listen yet
    }
  });
}

fleet::StatusPoller::Row Rig::status(const std::string& router) {
  status_->refresh({router});
  run_for(milliseconds(2));
  return status_->rows().at(router);
}

std::string Rig::await_states(const std::vector<std::string>& routers,
                              const std::vector<std::string>& states) {
  std::string missing;
  until([&] {
    missing.clear();
    status_->refresh(routers);
    for (const std::string& router : routers) {
      const fleet::StatusPoller::Row& row = status_->rows().at(router);
      if (!row.up || std::find(states.begin(), states.end(), row.state) == states.end()) {
        missing = router + " is " + row.state + "\n" + scenario_->fleet().log(router);
      }
    }
    return missing.empty();
  });
  return missing;
}

std::size_t Rig::calls(const std::string& links) {
  std::size_t out = 0;
  for (const fleet::FaultProxy* proxy : scenario_->links()) {
    out += fleet::fits(links, proxy->name())
               ? std::max(proxy->seen().requests.size(), proxy->seen().connections.size())
               : 0;
  }
  return out;
}

void Rig::fault(const std::string& line) {
  for (const fleet::Fault& fault : fleet::read_script("0 " + line)) {
    scenario_->apply(fault);
  }
}

std::vector<std::string> broken_answers(const std::vector<fleet::Asked>& all, milliseconds patience,
                                        std::size_t object_bytes) {
  std::vector<std::string> out;
  for (const fleet::Asked& one : all) {
    const std::string what = "request for " + one.object + " to " + one.router;
    if (one.answers != 1) {
      out.push_back(what + ": " + std::to_string(one.answers) + " answers" +
                    (one.connection_ended ? ", the connection ended" : ""));
    } else if (one.status == 200 && one.bytes != object_bytes) {
      out.push_back(what + ": " + std::to_string(one.bytes) + " bytes");
    } else if (one.status == 0) {
      out.push_back(what + ": an answer that cannot be read");
    } else if (*one.answered - one.sent > patience + milliseconds(2'000)) {
      out.push_back(what + ": answered late");
    }
  }
  return out;
}

fleet::FleetSpec spread_shape(int routers, double calls_per_s) {
  fleet::FleetSpec shape;
  shape.routers = routers;
  shape.operators["startup"] = {
      {"spread", true}, {"board_calls_per_s", calls_per_s}, {"window_most_ms", 2'000}};
  return shape;
}

std::vector<std::string> ask_all(Rig& rig, const std::vector<std::string>& routers, int each) {
  std::mt19937_64 random(7);
  const std::size_t before = rig.load().all().size();
  for (int i = 0; i < each; ++i) {
    for (const std::string& router : routers) {
      rig.ask(router, 1'000 + random() % 30);
    }
    rig.run_for(milliseconds(2));
  }
  EXPECT_TRUE(rig.await_answers());
  const std::vector<fleet::Asked> asked(rig.load().all().begin() + static_cast<std::ptrdiff_t>(before),
                                        rig.load().all().end());
  return broken_answers(asked, milliseconds(2'000), 20U << 10U);
}

}  // namespace trailcourse::testing_support
