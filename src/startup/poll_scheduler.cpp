#include "startup/poll_scheduler.h"

#include <algorithm>

namespace trailcourse::startup {
namespace {

constexpr int kMostDoublings = 20;
constexpr double kMicros = 1e6;
constexpr double kWindow = 2.4;  // over 1 + e/2: the density of first calls and of those after failures

}  // namespace

const char* to_string(CallEnd end) {
  switch (end) {
    case CallEnd::kNews:
      return "news";
    case CallEnd::kNothing:
      return "nothing new";
    case CallEnd::kRefused:
      return "refused";
    case CallEnd::kSilent:
      return "silent";
    case CallEnd::kBroken:
      return "broken off";
    case CallEnd::kSpoilt:
      break;
  }
  return "not usable";
}

Micros Asking::drawn(Micros longest) {
  std::uniform_int_distribution<Micros::rep> even(0, std::max<Micros::rep>(0, longest.count()));
  return Micros(even(random_));
}

// W, then 2W; for a plain router twice its pause, so that the mean is that pause.
Micros Asking::window(int doublings) const {
  if (!rules_.spread) {
    const int times = std::clamp(doublings, 0, kMostDoublings);
    return 2 * std::min(rules_.most_pause, rules_.least_pause * (1 << times));
  }
  const double first = kWindow * routers_ / rules_.calls_per_s * kMicros;
  const double whole =
      std::max(first, static_cast<double>(rules_.least_pause.count())) * (doublings > 0 ? 2 : 1);
  return Micros(static_cast<Micros::rep>(std::min(whole, static_cast<double>(rules_.most_window.count()))));
}

// Calls that are held longer cost the board fewer of them.
Micros Asking::linger() const {
  if (!rules_.spread) {
    return rules_.linger;
  }
  const Micros fair(static_cast<Micros::rep>(routers_ / rules_.calls_per_s * kMicros));
  return std::clamp(fair, rules_.linger, rules_.longest_linger);
}

Call Asking::first(Micros now) {
  failures_ = 0;
  return Call{now + (rules_.spread ? drawn(window(0)) : Micros(0)), linger(), false};
}

Call Asking::after(Micros asked, Micros now, CallEnd end, Micros retry_after) {
  if (end == CallEnd::kNews || end == CallEnd::kNothing) {
    failures_ = 0;
    // A board that does not hold calls back is not flooded.
    const bool hasty = end == CallEnd::kNothing && now - asked < rules_.least_pause;
    const Micros spread = drawn(hasty ? std::max(rules_.reask, rules_.least_pause) : rules_.reask);
    return Call{now + (hasty ? std::max(spread, rules_.least_pause) : spread), linger(), false};
  }
  const int doublings = rules_.spread ? 1 : failures_;
  ++failures_;
  const Micros asked_for = std::clamp(retry_after, Micros(0), rules_.most_retry_after);
  const bool trial = rules_.spread && lost();
  return Call{now + asked_for + drawn(window(doublings)), trial ? Micros(0) : linger(), trial};
}

}  // namespace trailcourse::startup
