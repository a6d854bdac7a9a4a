#include "startup/poll_scheduler.h"

#include <algorithm>

namespace trailcourse::startup {
namespace {

constexpr int kMaxDoublings = 20;
constexpr double kMicrosPerSecond = 1e6;
constexpr double kWindowFactor = 2.4;  // above 1 + e/2, the factor of the bound in poll_scheduler.h

}  // namespace

Micros PollScheduler::jitter(Micros longest) {
  std::uniform_int_distribution<Micros::rep> delay(0, std::max<Micros::rep>(0, longest.count()));
  return Micros(delay(random_));
}

// Returns the length of the window from which the delay of the next poll is drawn uniformly. With `spread`: W
// for the first poll and 2W after failures (W is defined in poll_scheduler.h), at most `max_window`. Without
// `spread`: twice the backoff, so that the mean delay equals the backoff.
Micros PollScheduler::backoff_window(int doublings) const {
  if (!options_.spread) {
    const int factor = 1 << std::clamp(doublings, 0, kMaxDoublings);
    return 2 * std::min(options_.max_backoff, options_.min_backoff * factor);
  }
  const double by_fleet = kWindowFactor * routers_ / options_.calls_per_s * kMicrosPerSecond;
  const double first = std::max(by_fleet, static_cast<double>(options_.min_backoff.count()));
  const double window = first * (doublings > 0 ? 2 : 1);
  const auto longest = static_cast<double>(options_.max_window.count());
  return Micros(static_cast<Micros::rep>(std::min(window, longest)));
}

// Returns a timeout that grows with the fleet: the longer polls are held, the fewer the service gets.
Micros PollScheduler::long_poll_timeout() const {
  if (!options_.spread) {
    return options_.long_poll_timeout;
  }
  const Micros by_fleet(static_cast<Micros::rep>(routers_ / options_.calls_per_s * kMicrosPerSecond));
  return std::clamp(by_fleet, options_.long_poll_timeout, options_.max_long_poll_timeout);
}

ScheduledPoll PollScheduler::first_poll(Micros now) {
  failures_ = 0;
  const Micros wait = options_.spread ? jitter(backoff_window(0)) : Micros(0);
  return ScheduledPoll{now + wait, long_poll_timeout(), false};
}

ScheduledPoll PollScheduler::next_poll(Micros started, Micros now, PollResult result, Micros retry_after) {
  if (result == PollResult::kUpdates || result == PollResult::kNoUpdates) {
    failures_ = 0;
    // The minimum wait protects a service that answers at once instead of holding polls.
    const bool not_held = result == PollResult::kNoUpdates && now - started < options_.min_backoff;
    const Micros min_wait = not_held ? options_.min_backoff : Micros(0);
    const Micros wait = std::max(min_wait, jitter(std::max(options_.update_jitter, min_wait)));
    return ScheduledPoll{now + wait, long_poll_timeout(), false};
  }
  const int doublings = options_.spread ? 1 : failures_;
  ++failures_;
  const Micros requested = std::clamp(retry_after, Micros(0), options_.max_retry_after);
  const bool probe = options_.spread && only_probes();
  const Micros wait = requested + jitter(backoff_window(doublings));
  return ScheduledPoll{now + wait, probe ? Micros(0) : long_poll_timeout(), probe};
}

}  // namespace trailcourse::startup
