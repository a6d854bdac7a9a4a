#include "fleet/fleet_fixture.h"

#include <unistd.h>

#include <algorithm>
#include <csignal>
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

FleetFixture::FleetFixture(const fleet::FleetSpec& spec, const std::vector<std::string>& proxied,
                           int relay_degree) {
  static int fixtures = 0;
  folder_ = testing::TempDir() + "trailcourse-fleet-" + std::to_string(::getpid()) + "-" +
            std::to_string(++fixtures);
  std::filesystem::remove_all(folder_);
  std::filesystem::create_directories(folder_);
  layout_ = std::make_unique<fleet::Layout>(spec, folder_, ports_);
  if (relay_degree > 0) {
    for (fleet::Member& member : layout_->members()) {
      member.relay = member.kind == Kind::kRouter ? ports_.allocate_text() : "";
    }
    layout_->connect_relays(relay_degree);
  }
  scenario_ = std::make_unique<fleet::Scenario>(scheduler_, *layout_, ports_, TRAILCOURSE_PROGRAM, proxied);
  status_ = std::make_unique<fleet::StatusPoller>(scheduler_, *layout_);
  load_ = std::make_unique<fleet::LoadGenerator>(scheduler_, fleet::LoadGenerator::Options{}, 1);
}

FleetFixture::~FleetFixture() {
  load_.reset();
  status_.reset();
  scenario_.reset();
  if (!testing::Test::HasFailure()) {
    std::filesystem::remove_all(folder_);
  }
}

void FleetFixture::start(const std::string& name) {
  scenario_->supervisor().start(name);
  ASSERT_TRUE(scenario_->supervisor().await_up(name, kTestTimeout))
      << name << ": " << scenario_->supervisor().log(name);
}

void FleetFixture::start(Kind kind) {
  scenario_->supervisor().start_all(kind);
  for (const std::string& name : layout_->names(kind)) {
    ASSERT_TRUE(scenario_->supervisor().await_up(name, kTestTimeout))
        << name << ": " << scenario_->supervisor().log(name);
  }
}

void FleetFixture::start_all() {
  for (const Kind kind : fleet::kStartOrder) {
    if (kind != Kind::kRouter) {
      start(kind);
    }
  }
  for (const Kind kind : {Kind::kParent, Kind::kCache}) {
    for (const std::string& name : layout_->names(kind)) {
      ASSERT_TRUE(scenario_->supervisor().await_log(name, "received discovery events", kTestTimeout))
          << scenario_->supervisor().log(name);
    }
  }
  start(Kind::kRouter);
}

std::size_t FleetFixture::send(const std::string& router, std::uint64_t object) {
  return load_->send(router, *transport::parse_address(layout_->member(router).address),
                     fleet::object_name(object));
}

bool FleetFixture::await_answers() {
  return run_until([this] { return load_->open() == 0; });
}

std::uint64_t FleetFixture::append_event(const nlohmann::json& event) {
  return program::append_event(layout_->board_file(), event);
}

std::string FleetFixture::logs() const {
  std::string out;
  for (const fleet::Member& member : layout_->members()) {
    std::ifstream file(layout_->log_file(member.name));
    out += "== " + member.name + "\n" +
           std::string{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  }
  return out;
}

bool FleetFixture::await_ready(const std::string& router) {
  const transport::Address address = *transport::parse_address(layout_->member(router).address);
  return run_until([&] {
    try {
      Client client(address);
      const std::optional<Answer> answer = client.ask(1, {{"SCRIPT_NAME", "/healthz"}});
      return answer && answer->status == 200;
    } catch (const std::runtime_error&) {
      return false;  // the router does not listen yet
    }
  });
}

fleet::StatusPoller::RouterStatus FleetFixture::status(const std::string& router) {
  status_->refresh({router});
  run_for(milliseconds(2));
  return status_->statuses().at(router);
}

std::string FleetFixture::await_states(const std::vector<std::string>& routers,
                                       const std::vector<std::string>& states) {
  std::string unexpected;
  run_until([&] {
    unexpected.clear();
    status_->refresh(routers);
    for (const std::string& router : routers) {
      const fleet::StatusPoller::RouterStatus& status = status_->statuses().at(router);
      if (!status.up || std::find(states.begin(), states.end(), status.state) == states.end()) {
        unexpected = router + " is " + status.state + "\n" + scenario_->supervisor().log(router);
      }
    }
    return unexpected.empty();
  });
  return unexpected;
}

std::size_t FleetFixture::call_count(const std::string& links) {
  std::size_t out = 0;
  for (const fleet::FaultProxy* proxy : scenario_->links()) {
    out += fleet::matches_pattern(links, proxy->name())
               ? std::max(proxy->traffic().requests.size(), proxy->traffic().connections.size())
               : 0;
  }
  return out;
}

void FleetFixture::apply_fault(const std::string& line) {
  for (const fleet::Fault& fault : fleet::read_script("0 " + line)) {
    scenario_->apply(fault);
  }
}

std::vector<std::string> find_answer_violations(const std::vector<fleet::SentRequest>& all,
                                                milliseconds patience, std::size_t object_bytes) {
  std::vector<std::string> out;
  for (const fleet::SentRequest& one : all) {
    const std::string request = "request for " + one.object + " to " + one.router;
    if (one.answers != 1) {
      out.push_back(request + ": " + std::to_string(one.answers) + " answers" +
                    (one.connection_ended ? ", the connection ended" : ""));
    } else if (one.status == 200 && one.bytes != object_bytes) {
      out.push_back(request + ": " + std::to_string(one.bytes) + " bytes");
    } else if (one.status == 0) {
      out.push_back(request + ": an answer that cannot be parsed");
    } else if (*one.answered - one.sent > patience + milliseconds(2'000)) {
      out.push_back(request + ": answered late");
    }
  }
  return out;
}

std::size_t served(FleetFixture& fixture, std::size_t from) {
  const auto& all = fixture.load().requests();
  return static_cast<std::size_t>(
      std::count_if(all.begin() + static_cast<std::ptrdiff_t>(from), all.end(),
                    [](const fleet::SentRequest& one) { return one.status == 200; }));
}

std::uint64_t edit_and_purge(FleetFixture& fixture) {
  fixture.supervisor().signal("origin", SIGHUP);
  EXPECT_TRUE(fixture.supervisor().await_log("origin", "generated objects have a new version", kTestTimeout));
  const auto now =
      std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
  std::uint64_t sequence = 0;
  for (std::uint64_t object = 1'000; object < 1'030; ++object) {
    sequence =
        fixture.append_event({{"flush", {{"asset", fleet::object_name(object)}, {"ms", now.count()}}}});
  }
  return sequence;
}

std::size_t stale_answers(FleetFixture& fixture, Clock::time_point from, int version) {
  const auto& all = fixture.load().requests();
  return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [&](const fleet::SentRequest& one) {
    return one.sent >= from && one.status == 200 && one.version < version;
  }));
}

fleet::FleetSpec spread_spec(int routers, double calls_per_s) {
  fleet::FleetSpec spec;
  spec.routers = routers;
  spec.operator_sections["startup"] = {
      {"spread", true}, {"board_calls_per_s", calls_per_s}, {"window_most_ms", 2'000}};
  return spec;
}

std::vector<std::string> send_to_all(FleetFixture& fixture, const std::vector<std::string>& routers,
                                     int each) {
  std::mt19937_64 random(7);
  const std::size_t before = fixture.load().requests().size();
  for (int i = 0; i < each; ++i) {
    for (const std::string& router : routers) {
      fixture.send(router, 1'000 + random() % 30);
    }
    fixture.run_for(milliseconds(2));
  }
  EXPECT_TRUE(fixture.await_answers());
  const std::vector<fleet::SentRequest> requests(
      fixture.load().requests().begin() + static_cast<std::ptrdiff_t>(before),
      fixture.load().requests().end());
  return find_answer_violations(requests, milliseconds(2'000), 20U << 10U);
}

}  // namespace trailcourse::testing_support
