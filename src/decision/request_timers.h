// The timers of a request: one for the final answer before the client's deadline, and one for each attempt,
// which fires when the attempt takes longer than expected.
#pragma once

#include <trailcourse/decider.h>

#include <algorithm>
#include <cstdint>

#include "decision_context.h"
#include "latency_model.h"
#include "time_units.h"

namespace trailcourse {

enum class TimerKind : std::uint64_t { kDeadline = 0, kOverdue = 1 };

// Final answers are given this long before the client's deadline.
inline constexpr Micros kDeadlineLead = std::chrono::milliseconds(3);

// Returns whether it is too late to begin an attempt for the request.
inline bool past_deadline(const DecisionContext& context, const Request& request) {
  return context.now + kDeadlineLead >= request.arrival.deadline;
}

// A timer's token encodes the request and the kind. A negative delay counts as 0.
inline SetTimer make_timer(RequestId id, TimerKind kind, Micros delay) {
  return SetTimer{2 * id + static_cast<std::uint64_t>(kind), std::max(Micros(0), delay), id};
}
inline RequestId request_of(TimerToken token) { return token / 2; }
inline TimerKind kind_of(TimerToken token) { return static_cast<TimerKind>(token % 2); }

// Returns when an attempt sent now is overdue, if its answer is expected to take `expected_latency` seconds.
inline Micros overdue_time(Micros now, double expected_latency) {
  constexpr double kBase = 0.3;     // seconds
  constexpr double kStretch = 2.0;  // multiple of the expected latency that is added
  return now + from_seconds(kBase + kStretch * expected_latency);
}

}  // namespace trailcourse
