// Measures a router beside bad clients: its memory and descriptors, and how long usual clients wait.
//
//     client_limits_bench PROGRAM MISUSE CONNECTIONS MEMORY_MB SOCKETS SECONDS
//
// MISUSE is one of fleet::Misuse, or `none`; `busy` is none with usual clients that do not pause between
// requests. Prints one line.
#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/bad_clients.h"
#include "fleet/layout.h"
#include "fleet/load_generator.h"
#include "fleet/process_usage.h"
#include "fleet/scenario.h"
#include "temporary_folder.h"
#include "transport/scheduler.h"

namespace trailcourse::bench {
namespace {

using fleet::Kind;
using std::chrono::milliseconds;
using transport::Clock;

constexpr milliseconds kStartTimeout{20'000};
constexpr milliseconds kRequestPause{5};  // of a usual client, between two requests
constexpr milliseconds kSamplePause{10};  // between two samples of the memory
constexpr milliseconds kPatience{2'000};
constexpr std::size_t kUsualClients = 4;
constexpr int kCaches = 8;
constexpr int kLargeObjectKb = 200;  // where answers are not read
constexpr std::uint64_t kFirstObject = 1'000;
constexpr std::uint64_t kObjects = 30;

struct Arguments {
  std::string program;
  std::optional<fleet::Misuse> misuse;
  milliseconds request_pause = kRequestPause;
  std::size_t connections = 0;
  int memory_mb = 0;
  int sockets = 0;
  int seconds = 0;
};

// A client with one request at a time.
struct UsualClient {
  std::unique_ptr<fleet::LoadGenerator> load;
  Clock::time_point next;
};

struct Waits {
  std::vector<double> ms;  // sorted
  std::size_t not_answered = 0;
  std::size_t late = 0;
  std::size_t not_served = 0;
};

fleet::FleetSpec fleet_spec(const Arguments& arguments) {
  fleet::FleetSpec spec;
  spec.caches = kCaches;
  spec.memory_mb = arguments.memory_mb;
  spec.max_sockets = arguments.sockets;
  spec.object_kb = arguments.misuse == fleet::Misuse::kUnreadAnswers ? kLargeObjectKb : spec.object_kb;
  return spec;
}

Waits waits_of(const std::vector<UsualClient>& clients) {
  Waits out;
  for (const UsualClient& client : clients) {
    for (const fleet::SentRequest& request : client.load->requests()) {
      if (!request.answered) {
        ++out.not_answered;
        continue;
      }
      const Clock::duration wait = *request.answered - request.sent;
      out.late += wait > kPatience ? 1 : 0;
      out.not_served += request.status == 200 ? 0 : 1;
      out.ms.push_back(std::chrono::duration<double, std::milli>(wait).count());
    }
  }
  std::sort(out.ms.begin(), out.ms.end());
  return out;
}

double quantile(const std::vector<double>& sorted, double share) {
  return sorted.empty() ? 0.0
                        : sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

int measure(const Arguments& arguments) {
  const TemporaryFolder folder("trailcourse-client-limits");
  transport::Scheduler scheduler;
  fleet::PortAllocator ports;
  fleet::Layout layout(fleet_spec(arguments), folder.path(), ports);
  fleet::Scenario scenario(scheduler, layout, ports, arguments.program, {});
  fleet::Supervisor& supervisor = scenario.supervisor();
  for (const Kind kind : fleet::kStartOrder) {
    supervisor.start_all(kind);
    for (const std::string& name : layout.names(kind)) {
      const bool node = kind == Kind::kCache || kind == Kind::kParent;
      if (!supervisor.await_up(name, kStartTimeout) ||
          (node && !supervisor.await_log(name, "received discovery events", kStartTimeout))) {
        std::fprintf(stderr, "%s did not start\n", name.c_str());
        return 1;
      }
    }
  }
  const std::string router = layout.names(Kind::kRouter).front();
  const transport::Address address = *transport::parse_address(layout.member(router).address);
  std::vector<UsualClient> usual;
  for (std::size_t i = 0; i < kUsualClients; ++i) {
    const fleet::LoadGenerator::Options options{"media", kPatience, 20.0, false};
    usual.push_back(
        {std::make_unique<fleet::LoadGenerator>(scheduler, options, (i + 1) << 32U), Clock::now()});
  }
  std::unique_ptr<fleet::BadClients> bad;
  if (arguments.misuse) {
    const fleet::BadClients::Options options{*arguments.misuse, arguments.connections, "media", 1};
    bad = std::make_unique<fleet::BadClients>(address, options);
  }
  fleet::ProcessUsage most;
  std::uint64_t object = 0;
  Clock::time_point sample_at = Clock::now();
  const Clock::time_point until = Clock::now() + std::chrono::seconds(arguments.seconds);
  supervisor.run_until(
      [&] {
        const Clock::time_point now = Clock::now();
        for (UsualClient& client : usual) {
          if (client.load->open() == 0 && now >= client.next) {
            client.load->send(router, address, fleet::object_name(kFirstObject + ++object % kObjects));
            client.next = now + arguments.request_pause;
          }
        }
        if (now >= sample_at) {
          const fleet::ProcessUsage usage = fleet::read_process_usage(supervisor.pid(router));
          most.anonymous_bytes = std::max(most.anonymous_bytes, usage.anonymous_bytes);
          most.peak_resident_bytes = std::max(most.peak_resident_bytes, usage.peak_resident_bytes);
          most.descriptors = std::max(most.descriptors, usage.descriptors);
          sample_at = now + kSamplePause;
        }
        return now >= until;
      },
      std::chrono::seconds(arguments.seconds + 1));
  const fleet::BadClients::Counts counts = bad ? bad->counts() : fleet::BadClients::Counts();
  bad.reset();
  supervisor.run_until(
      [&] {
        return std::all_of(usual.begin(), usual.end(), [](const auto& one) { return one.load->open() == 0; });
      },
      kPatience);
  const Waits waits = waits_of(usual);
  constexpr double kMegabyte = 1'048'576.0;
  std::printf(
      "%-16s %4zu connections %4d MB %5d descriptors: resident %6.1f MB anonymous %6.1f MB descriptors %4zu; "
      "usual %5zu p50 %6.1f p99 %6.1f most %6.1f ms, not answered %zu late %zu not served %zu; "
      "bad: %llu MB sent, %llu answers, %llu closes%s\n",
      arguments.misuse ? std::string(to_string(*arguments.misuse)).c_str() : "none", arguments.connections,
      arguments.memory_mb, arguments.sockets, static_cast<double>(most.peak_resident_bytes) / kMegabyte,
      static_cast<double>(most.anonymous_bytes) / kMegabyte, most.descriptors, waits.ms.size(),
      quantile(waits.ms, 0.5), quantile(waits.ms, 0.99), quantile(waits.ms, 1.0), waits.not_answered,
      waits.late, waits.not_served, static_cast<unsigned long long>(counts.bytes_sent >> 20U),
      static_cast<unsigned long long>(counts.answers), static_cast<unsigned long long>(counts.closes),
      supervisor.alive(router) ? "" : "; THE ROUTER ENDED");
  return 0;
}

}  // namespace
}  // namespace trailcourse::bench

int main(int count, char** values) {
  constexpr int kArguments = 7;
  if (count != kArguments) {
    std::fprintf(stderr, "usage: client_limits_bench PROGRAM MISUSE CONNECTIONS MEMORY_MB SOCKETS SECONDS\n");
    return 2;
  }
  trailcourse::bench::Arguments arguments;
  arguments.program = values[1];
  arguments.misuse = trailcourse::fleet::parse_misuse(values[2]);
  if (std::string(values[2]) == "busy") {
    arguments.request_pause = std::chrono::milliseconds(0);
  }
  arguments.connections = static_cast<std::size_t>(std::atoi(values[3]));
  arguments.memory_mb = std::atoi(values[4]);
  arguments.sockets = std::atoi(values[5]);
  arguments.seconds = std::atoi(values[6]);
  return trailcourse::bench::measure(arguments);
}
