#include "scale/discovery_poll_simulation.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <random>
#include <vector>

#include "fleet/max_count_within.h"
#include "startup/poll_scheduler.h"

namespace trailcourse::scale {

namespace {

constexpr Micros kStartSpread{3'000};
constexpr Micros kRejectionTime{500};  // from a poll to its rejection

struct Poll {
  Micros at{0};
  std::size_t router = 0;
  bool operator>(const Poll& other) const { return at > other.at; }
};

}  // namespace

DiscoveryPolls simulate_discovery_polls(const startup::PollOptions& options, int routers, Micros available_at,
                                        std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<startup::PollScheduler> schedulers;
  std::priority_queue<Poll, std::vector<Poll>, std::greater<>> queue;
  for (int i = 0; i < routers; ++i) {
    schedulers.emplace_back(options, random());
    schedulers.back().set_fleet_size(routers);
    const Micros start = Micros(static_cast<Micros::rep>(random() % kStartSpread.count()));
    queue.push({schedulers.back().first_poll(start).at, static_cast<std::size_t>(i)});
  }
  std::vector<Micros> answered;  // times of the answered polls, in ascending order
  while (!queue.empty()) {
    const Poll poll = queue.top();
    queue.pop();
    if (poll.at >= available_at) {
      answered.push_back(poll.at);
      continue;
    }
    const startup::ScheduledPoll next = schedulers[poll.router].next_poll(
        poll.at, poll.at + kRejectionTime, startup::PollResult::kRejected, Micros(0));
    queue.push({next.at, poll.router});
  }
  DiscoveryPolls out;
  out.polls = answered.size();
  out.max_in_100_ms = fleet::max_count_within(answered, Micros(100'000));
  out.max_in_second = fleet::max_count_within(answered, Micros(1'000'000));
  out.last_poll_s = static_cast<double>((answered.back() - available_at).count()) / 1e6;
  return out;
}

}  // namespace trailcourse::scale
