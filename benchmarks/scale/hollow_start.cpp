#include "scale/hollow_start.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <random>
#include <vector>

#include "fleet/max_count_within.h"
#include "startup/poll_scheduler.h"

namespace trailcourse::scale {

namespace {

constexpr Micros kTogether{3'000};
constexpr Micros kRefusal{500};  // from the call to its answer

struct Asked {
  Micros at{0};
  std::size_t router = 0;
  bool operator>(const Asked& other) const { return at > other.at; }
};

}  // namespace

BoardCalls measure_board(const startup::PollOptions& rules, int routers, Micros back, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<startup::PollScheduler> machines;
  std::priority_queue<Asked, std::vector<Asked>, std::greater<>> queue;
  for (int i = 0; i < routers; ++i) {
    machines.emplace_back(rules, random());
    machines.back().set_fleet_size(routers);
    const Micros begin = Micros(static_cast<Micros::rep>(random() % kTogether.count()));
    queue.push({machines.back().first_poll(begin).at, static_cast<std::size_t>(i)});
  }
  std::vector<Micros> answered;  // in the order of time
  while (!queue.empty()) {
    const Asked now = queue.top();
    queue.pop();
    if (now.at >= back) {
      answered.push_back(now.at);
      continue;
    }
    const startup::ScheduledPoll next =
        machines[now.router].next_poll(now.at, now.at + kRefusal, startup::PollResult::kRejected, Micros(0));
    queue.push({next.at, now.router});
  }
  BoardCalls out;
  out.calls = answered.size();
  out.most_in_100_ms = fleet::max_count_within(answered, Micros(100'000));
  out.most_in_second = fleet::max_count_within(answered, Micros(1'000'000));
  out.last_list_s = static_cast<double>((answered.back() - back).count()) / 1e6;
  return out;
}

}  // namespace trailcourse::scale
