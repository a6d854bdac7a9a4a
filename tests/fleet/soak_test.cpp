// Days drawn from seeds: a small fleet of real processes with usual clients beside bad ones, under faults of
// processes, links, clocks, disks and system calls. A failing day prints its seed and schedule.
//
// By default few seeds run. A long run: SOAK_FIRST_SEED and SOAK_SEEDS set the seeds of
// `trailcourse_tests --gtest_filter=Soak*`. SOAK_ROUTER_PROGRAM names another program for the routers.
#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <numeric>
#include <random>
#include <sstream>
#include <string>
#include <system_error>
#include <vector>

#include "fleet/bad_clients.h"
#include "fleet/fleet_fixture.h"
#include "fleet/process_usage.h"

namespace trailcourse::testing_support {
namespace {

using fleet::BadClients;
using fleet::Fault;
using fleet::FaultKind;
using fleet::Misuse;
using fleet::SentRequest;
using std::chrono::milliseconds;
using transport::Clock;

constexpr milliseconds kDay{8'000};
constexpr milliseconds kPatience{2'000};
constexpr milliseconds kAnswerSlack{500};  // past a client's patience: later, an answer is lost
constexpr milliseconds kRequestPause{8};
constexpr milliseconds kTermToKill{3'700};   // the longest deadline, counted as 3 s, and 0.7 s
constexpr milliseconds kLastCertain{3'000};  // after SIGTERM: later, a request may cross the router's close
constexpr std::size_t kObjectBytes = 20U << 10U;
constexpr std::uint64_t kFirstObject = 1'000;
constexpr std::uint64_t kObjects = 30;

// Router that no fault kills or stops: each of its requests gets its answer in time.
constexpr const char* kSteady = "router0";
// Router that is killed, stopped, and told to end.
constexpr const char* kRestarted = "router1";

#if defined(__SANITIZE_ADDRESS__)
constexpr bool kMeasuresMemory = false;
#else
constexpr bool kMeasuresMemory = true;
#endif

int environment_number(const char* name, int otherwise) {
  const char* const text = std::getenv(name);
  return text != nullptr ? std::atoi(text) : otherwise;
}

struct Limits {
  int memory_mb = 0;
  int sockets = 0;
};
constexpr std::array<Limits, 3> kLimits{{{32, 256}, {48, 576}, {192, 1'024}}};
constexpr std::array kMisuses{Misuse::kEmptyFields,     Misuse::kShortFields, Misuse::kStoppedBodies,
                              Misuse::kSlowWriters,     Misuse::kLongHeads,   Misuse::kManagement,
                              Misuse::kGetValues,       Misuse::kNewObjects,  Misuse::kUnreadAnswers,
                              Misuse::kAbortedRequests, Misuse::kCloseUnread, Misuse::kSilent};

// What a day consists of.
struct Day {
  Limits limits;
  std::vector<Misuse> misuses;  // at the steady router, one after the other
  std::size_t bad_connections = 0;
  int faulty_calls = 0;  // of 10,000
  bool disk = false;
  std::vector<Fault> script;
  std::vector<milliseconds> reloads;      // SIGHUP at the steady router
  std::vector<milliseconds> clock_steps;  // of all routers
  milliseconds term_at{0};                // SIGTERM at the restarted router
};

Day draw_day(std::uint64_t seed, const std::vector<std::string>& links) {
  std::mt19937_64 random(seed);
  const auto below = [&random](std::uint64_t bound) { return static_cast<std::int64_t>(random() % bound); };
  Day day;
  day.limits = kLimits.at(seed % kLimits.size());
  const bool is_crowded = below(3) == 0;
  const int third = day.limits.sockets / 3;
  day.bad_connections = static_cast<std::size_t>(is_crowded ? third : 1 + below(20));
  for (int i = 0; i < 3; ++i) {
    day.misuses.push_back(kMisuses.at(static_cast<std::size_t>(below(kMisuses.size()))));
  }
  day.faulty_calls = static_cast<int>(below(3) * 30);
  day.disk = below(2) == 0;
  fleet::RandomScriptOptions options;
  options.processes = {kRestarted, "cache0", "cache1", "parent0", "board"};
  options.links = links;
  options.faults = 8;
  options.length_ms = 3'000;
  options.max_fault_ms = 900;
  day.script = fleet::random_script(options, seed);
  for (int i = 0; i < 3; ++i) {
    day.reloads.emplace_back(1'000 + below(2'000));
    day.clock_steps.emplace_back(500 + below(7'000));
  }
  std::sort(day.reloads.begin(), day.reloads.end());
  std::sort(day.clock_steps.begin(), day.clock_steps.end());
  day.term_at = milliseconds(3'100 + below(400));
  return day;
}

std::string describe(const Day& day, std::uint64_t seed) {
  std::ostringstream out;
  out << "SOAK_FIRST_SEED=" << seed << " SOAK_SEEDS=1 trailcourse_tests --gtest_filter=Soak*\n"
      << day.limits.memory_mb << " MB, " << day.limits.sockets << " descriptors, " << day.bad_connections
      << " bad connections:";
  for (const Misuse misuse : day.misuses) {
    out << ' ' << to_string(misuse);
  }
  out << "; " << day.faulty_calls << " of 10,000 calls fail, disk " << day.disk << ", SIGTERM at "
      << day.term_at.count() << " ms\n"
      << fleet::write_script(day.script);
  return out.str();
}

class SoakTest : public testing::TestWithParam<int> {
 protected:
  // The largest use of each router over all of its lives.
  struct Usage {
    std::size_t memory = 0;
    std::size_t descriptors = 0;
  };

  std::uint64_t seed() const { return static_cast<std::uint64_t>(GetParam()); }

  void start_fleet() {
    fleet::FleetSpec spec;
    spec.routers = 2;
    spec.caches = 4;
    const Day limits_of_day = draw_day(seed(), {});
    spec.memory_mb = limits_of_day.limits.memory_mb;
    spec.max_sockets = limits_of_day.limits.sockets;
    spec.disk = limits_of_day.disk;
    const char* const router_program = std::getenv("SOAK_ROUTER_PROGRAM");
    spec.router_program = router_program != nullptr ? router_program : "";
    fixture_ = std::make_unique<FleetFixture>(spec, std::vector<std::string>{"*>*"});
    std::vector<std::string> links;
    for (const fleet::FaultProxy* proxy : fixture_->scenario().links()) {
      links.push_back(proxy->name());
    }
    day_ = draw_day(seed(), links);
    for (fleet::Member& member : fixture_->layout().members()) {
      const bool is_faulty = member.kind == fleet::Kind::kRouter || member.kind == fleet::Kind::kCache;
      member.environment = {"LD_PRELOAD=" TRAILCOURSE_CLOCK_SHIM " " TRAILCOURSE_FAULT_SHIM,
                            "CLOCK_SHIM_FILE=" + clock_file(member.name),
                            "FAULT_SHIM_SEED=" + std::to_string(seed()),
                            "FAULT_SHIM_PER_10000=" + std::to_string(is_faulty ? day_.faulty_calls : 0),
                            "ASAN_OPTIONS=verify_asan_link_order=0"};
      std::ofstream(clock_file(member.name)) << 0;
    }
    fixture_->start_all();
    fixture_->set_load_options({"media", kPatience, 20.0, false});
  }

  std::string clock_file(const std::string& member) const { return fixture_->folder() + "/clock-" + member; }
  milliseconds elapsed() const { return std::chrono::duration_cast<milliseconds>(Clock::now() - begun_); }

  // A child that has not executed its program yet still is a copy of this process.
  static bool runs_program(pid_t process) {
    std::error_code error;
    const auto program =
        std::filesystem::read_symlink("/proc/" + std::to_string(process) + "/exe", error).filename();
    return program != std::filesystem::read_symlink("/proc/self/exe").filename();
  }

  void measure_routers() {
    for (const std::string& router : fixture_->routers()) {
      if (!runs_program(fixture_->supervisor().pid(router))) {
        continue;
      }
      const fleet::ProcessUsage usage = fleet::read_process_usage(fixture_->supervisor().pid(router));
      Usage& most = usage_[router];
      most.memory = std::max(most.memory, usage.peak_resident_bytes);
      most.descriptors = std::max(most.descriptors, usage.descriptors);
    }
  }

  void apply_due_events() {
    fixture_->scenario().apply_due_faults();
    while (!day_.reloads.empty() && elapsed() >= day_.reloads.front()) {
      day_.reloads.erase(day_.reloads.begin());
      fixture_->supervisor().signal(kSteady, SIGHUP);
    }
    while (!day_.clock_steps.empty() && elapsed() >= day_.clock_steps.front()) {
      constexpr std::array kSteps{-3'600, -7, 5, 3'600};
      for (const std::string& router : fixture_->routers()) {
        std::ofstream(clock_file(router)) << kSteps.at(day_.clock_steps.size() % kSteps.size());
      }
      day_.clock_steps.erase(day_.clock_steps.begin());
    }
    end_restarted_router();
    const std::size_t part = std::min<std::size_t>(
        static_cast<std::size_t>(elapsed() * static_cast<int>(day_.misuses.size()) / kDay),
        day_.misuses.size() - 1);
    if (!bad_ || part != bad_part_) {
      bad_part_ = part;
      bad_.reset();
      const auto address = *transport::parse_address(fixture_->layout().member(kSteady).address);
      bad_ = std::make_unique<BadClients>(
          address, BadClients::Options{day_.misuses.at(part), day_.bad_connections, "media", seed()});
    }
  }

  // SIGTERM, the kill at the earliest time that the pages give, and a start at the same address.
  void end_restarted_router() {
    if (!term_sent_ && elapsed() >= day_.term_at) {
      fixture_->supervisor().start(kRestarted);
      term_sent_ = Clock::now();
      fixture_->supervisor().signal(kRestarted, SIGTERM);
    }
    if (term_sent_ && !killed_ && Clock::now() >= *term_sent_ + kTermToKill) {
      killed_ = true;
      fixture_->supervisor().kill(kRestarted);
      fixture_->supervisor().start(kRestarted);
    }
  }

  // Sends to both routers, on open connections also after SIGTERM.
  void send_usual_requests() {
    if (Clock::now() < next_request_) {
      return;
    }
    next_request_ = Clock::now() + kRequestPause;
    const std::string router = ++sent_ % 2 == 0 ? kSteady : kRestarted;
    if (fixture_->load().open_at(router) < 8) {
      fixture_->send(router, kFirstObject + sent_ % kObjects);
    }
  }

  // Returns whether a fault of its router may have cost the answer to a request.
  bool is_excused(const SentRequest& request) const {
    if (request.router == kSteady) {
      return false;
    }
    if (term_sent_ && request.sent >= *term_sent_) {
      return request.sent > *term_sent_ + kLastCertain;
    }
    return std::any_of(day_.script.begin(), day_.script.end(),
                       [](const Fault& fault) { return fault.target == kRestarted; }) ||
           request.sent < begun_ + milliseconds(3'100);
  }

  void check_requests() const {
    std::size_t served = 0;
    for (const SentRequest& one : fixture_->load().requests()) {
      const std::string request = "request " + fleet::object_name(one.id) + " for " + one.object + " to " +
                                  one.router + ", sent at " +
                                  std::to_string((one.sent - begun_) / milliseconds(1)) + " ms, status " +
                                  std::to_string(one.status) + " " + one.via;
      EXPECT_LE(one.answers, 1) << request;
      if (!is_excused(one)) {
        EXPECT_EQ(one.answers, 1) << request << (one.connection_ended ? ", the connection ended" : "");
      }
      if (one.answered && one.router == kSteady) {
        EXPECT_LE(*one.answered - one.sent, kPatience + kAnswerSlack) << request;
      }
      if (one.status == 200) {
        ++served;
        EXPECT_EQ(one.bytes, kObjectBytes) << request;
      }
    }
    EXPECT_GT(served, 0U);
  }

  std::unique_ptr<FleetFixture> fixture_;
  Day day_;
  std::unique_ptr<BadClients> bad_;
  std::size_t bad_part_ = 0;
  Clock::time_point begun_ = Clock::now();
  Clock::time_point next_request_ = Clock::now();
  std::uint64_t sent_ = 0;
  std::optional<Clock::time_point> term_sent_;
  bool killed_ = false;
  std::map<std::string, Usage> usage_;
};

TEST_P(SoakTest, KeepsLimitsAndAnswersUsualClients) {
  start_fleet();
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  SCOPED_TRACE(describe(day_, seed()));
  begun_ = Clock::now();
  fixture_->scenario().start_script(day_.script);
  while (elapsed() < kDay) {
    apply_due_events();
    send_usual_requests();
    measure_routers();
    for (const std::string& end : fixture_->supervisor().unexpected_exits()) {
      const bool is_drained = killed_ || (term_sent_ && end.starts_with(kRestarted));
      ASSERT_TRUE(is_drained) << end << "\n" << fixture_->logs();
    }
    fixture_->run_for(milliseconds(1));
  }
  bad_.reset();
  EXPECT_TRUE(
      fixture_->run_until([&] { return fixture_->load().open_at(kSteady) == 0; }, kPatience + kAnswerSlack));
  measure_routers();
  check_requests();
  for (const auto& [router, usage] : usage_) {
    EXPECT_LE(usage.descriptors, static_cast<std::size_t>(day_.limits.sockets)) << router;
    if (kMeasuresMemory) {
      EXPECT_LE(usage.memory, static_cast<std::size_t>(day_.limits.memory_mb) << 20U) << router;
    }
  }
  EXPECT_TRUE(fixture_->await_ready(kSteady));
}

std::vector<int> seeds() {
  const int first = environment_number("SOAK_FIRST_SEED", 1);
  std::vector<int> out(static_cast<std::size_t>(environment_number("SOAK_SEEDS", 6)));
  std::iota(out.begin(), out.end(), first);
  return out;
}

INSTANTIATE_TEST_SUITE_P(Soak, SoakTest, testing::ValuesIn(seeds()));

}  // namespace
}  // namespace trailcourse::testing_support
