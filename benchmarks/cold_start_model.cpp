// The calls of whole fleets at one board in virtual time, by the machines of src/startup themselves: how the
// sums go with the number of routers. Prints a table; nothing is real but the decisions.
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

struct Sums {
  std::size_t calls = 0;
  std::size_t in_100_ms = 0;
  std::size_t in_second = 0;
  double last_s = 0.0;
};

// All begin within 3 ms; the board refuses until `back`. Only calls until the first list count.
Sums start(const PollOptions& rules, int routers, Micros back) {
  struct At {
    Micros at;
    int router;
    bool operator>(const At& other) const { return at > other.at; }
  };
  std::vector<PollScheduler> machines;
  std::priority_queue<At, std::vector<At>, std::greater<>> queue;
  for (int i = 0; i < routers; ++i) {
    machines.emplace_back(rules, static_cast<std::uint64_t>(i) * 7'919 + 17);
    machines.back().set_fleet_size(routers);
    queue.push({machines.back().first_poll(Micros(i % 3'000)).at, i});
  }
  std::vector<Micros> calls;
  Sums out;
  while (!queue.empty()) {
    const At now = queue.top();
    queue.pop();
    calls.push_back(now.at);
    if (now.at >= back) {
      out.last_s = std::max(out.last_s, static_cast<double>(now.at.count()) * 1e-6);
      continue;
    }
    auto& machine = machines[static_cast<std::size_t>(now.router)];
    queue.push(
        {machine.next_poll(now.at, now.at + Micros(500), PollResult::kRejected, Micros(0)).at, now.router});
  }
  out.calls = calls.size();
  out.in_100_ms = max_count_within(calls, milliseconds(100));
  out.in_second = max_count_within(calls, seconds(1));
  return out;
}

std::size_t openings_in_second(int routers) {
  AdmissionOptions rules;
  rules.admissions_per_s = 400.0;
  rules.max_window = std::chrono::hours(1);
  std::vector<Micros> moments;
  for (int i = 0; i < routers; ++i) {
    EndpointAdmission opening(rules, static_cast<std::uint64_t>(i) * 104'729 + 5);
    opening.set_fleet_size(routers);
    moments.push_back(opening.on_listed(seconds(1), "node", 0) ? seconds(1) : *opening.next_admission());
  }
  return max_count_within(moments, seconds(1));
}

}  // namespace

int main(int count, char** words) {
  std::vector<int> sizes;
  for (int i = 1; i < count; ++i) {
    sizes.push_back(std::max(1, std::atoi(words[i])));
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
      PollOptions rules;
      rules.spread = spread;
      rules.max_window = std::chrono::hours(1);
      for (const Micros back : {Micros(0), Micros(seconds(4))}) {
        const Sums sums = start(rules, routers, back);
        std::printf("| %s | %d | %s | %zu | %zu | %zu | %.1f | %zu |\n",
                    spread ? "spread, 100 calls/s" : "plain", routers,
                    back.count() == 0 ? "sound" : "refuses for 4 s", sums.calls, sums.in_100_ms,
                    sums.in_second, sums.last_s,
                    spread ? openings_in_second(routers) : static_cast<std::size_t>(routers));
      }
    }
  }
  return 0;
}
