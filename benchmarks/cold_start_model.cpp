// Simulates the startup of whole fleets in virtual time with the poll scheduler and the endpoint admission of
// src/startup, and prints how the number of calls at one discovery service grows with the number of routers.
//   cold_start_model [ROUTERS...]
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <queue>
#include <vector>

#include "fleet/max_count_within.h"
#include "startup/endpoint_admission.h"
#include "startup/poll_scheduler.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using trailcourse::Micros;
using trailcourse::fleet::max_count_within;
using trailcourse::startup::AdmissionOptions;
using trailcourse::startup::EndpointAdmission;
using trailcourse::startup::PollOptions;
using trailcourse::startup::PollResult;
using trailcourse::startup::PollScheduler;

constexpr Micros kRejectionDelay{500};  // from a poll to its rejection

// The number of polls of a fleet until each router has received its first list, in total and at most within
// any interval of the given length.
struct PollCounts {
  std::size_t calls = 0;
  std::size_t max_in_100_ms = 0;
  std::size_t max_in_second = 0;
  double last_list_s = 0.0;  // when the last router received its first list
};

// Counts the polls of routers that all start within 3 ms. The discovery service rejects polls that arrive
// earlier than `available_from` after the start.
PollCounts simulate_startup(const PollOptions& options, int routers, Micros available_from) {
  struct PendingPoll {
    Micros at;
    int router;
    bool operator>(const PendingPoll& other) const { return at > other.at; }
  };
  std::vector<PollScheduler> schedulers;
  std::priority_queue<PendingPoll, std::vector<PendingPoll>, std::greater<>> queue;
  for (int i = 0; i < routers; ++i) {
    schedulers.emplace_back(options, static_cast<std::uint64_t>(i) * 7'919 + 17);
    schedulers.back().set_fleet_size(routers);
    queue.push({schedulers.back().first_poll(Micros(i % 3'000)).at, i});
  }
  std::vector<Micros> calls;
  PollCounts counts;
  while (!queue.empty()) {
    const PendingPoll poll = queue.top();
    queue.pop();
    calls.push_back(poll.at);
    if (poll.at >= available_from) {
      counts.last_list_s = std::max(counts.last_list_s, static_cast<double>(poll.at.count()) * 1e-6);
      continue;
    }
    auto& scheduler = schedulers[static_cast<std::size_t>(poll.router)];
    queue.push({scheduler.next_poll(poll.at, poll.at + kRejectionDelay, PollResult::kRejected, Micros(0)).at,
                poll.router});
  }
  counts.calls = calls.size();
  counts.max_in_100_ms = max_count_within(calls, milliseconds(100));
  counts.max_in_second = max_count_within(calls, seconds(1));
  return counts;
}

// Returns the highest number of routers that begin to use one node within a second, if all of them receive a
// list with this node at the same time.
std::size_t max_admissions_per_second(int routers) {
  AdmissionOptions options;
  options.admissions_per_s = 400.0;
  options.max_window = std::chrono::hours(1);
  std::vector<Micros> admission_times;
  for (int i = 0; i < routers; ++i) {
    EndpointAdmission admission(options, static_cast<std::uint64_t>(i) * 104'729 + 5);
    admission.set_fleet_size(routers);
    admission_times.push_back(admission.on_listed(seconds(1), "node", 0) ? seconds(1)
                                                                         : *admission.next_admission());
  }
  return max_count_within(admission_times, seconds(1));
}

}  // namespace

int main(int argc, char** argv) {
  std::vector<int> sizes;
  for (int i = 1; i < argc; ++i) {
    sizes.push_back(std::max(1, std::atoi(argv[i])));
  }
  if (sizes.empty()) {
    sizes = {10, 100, 300, 1'000, 10'000};
  }
  std::printf(
      "| rules | routers | board | calls | in 100 ms | in a second | last list, s | opened at a node in a "
      "second |\n");
  std::printf("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const int routers : sizes) {
    for (const bool spread : {false, true}) {
      PollOptions options;
      options.spread = spread;
      options.max_window = std::chrono::hours(1);
      for (const Micros available_from : {Micros(0), Micros(seconds(4))}) {
        const PollCounts counts = simulate_startup(options, routers, available_from);
        std::printf("| %s | %d | %s | %zu | %zu | %zu | %.1f | %zu |\n",
                    spread ? "spread, 100 calls/s" : "plain", routers,
                    available_from.count() == 0 ? "sound" : "refuses for 4 s", counts.calls,
                    counts.max_in_100_ms, counts.max_in_second, counts.last_list_s,
                    spread ? max_admissions_per_second(routers) : static_cast<std::size_t>(routers));
      }
    }
  }
  return 0;
}
