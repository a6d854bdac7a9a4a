// Decides what a discovery service does with each poll: answer it, hold it until there are updates, or reject
// it with a Retry-After. Events go in with their time, decisions come out; no I/O, no clock.
//
// Three things are bounded: connections, held polls, and polls that are answered in a second beside the held
// ones. A poll beyond the bound gets a slot in a virtual queue that the service serves at its rate, and
// Retry-After names that slot: it grows with the queue, and rejected clients do not all return together. Held
// polls are released in random order, spread over a stated time that has to lie within the bound on purges.
//
// Package `discovery`. Not thread-safe.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "config/record.h"

namespace trailcourse::discovery {

// The section `board` of the operator's file; each member is a key of that name.
struct DiscoveryOptions {
  std::string listen;
  std::string file;
  std::int64_t connections = 4'096;
  std::int64_t waiting = 4'096;
  std::int64_t calls_per_s = 0;
  std::int64_t release_ms = 100;
  std::int64_t retry_after_most_s = 60;
  std::int64_t linger_most_ms = 5'000;
};

// Returns the declaration of the section `board`: its keys, ranges and descriptions.
const config::Record<DiscoveryOptions>& discovery_record();

// Identifies a poll while it is held; chosen by the caller, never used twice.
using CallId = std::uint64_t;

// Options of LongPollScheduler.
struct LongPollOptions {
  std::size_t max_held = 4'096;
  double calls_per_s = 0.0;                                // answered beside held ones; 0: no bound
  std::chrono::milliseconds release_window{100};           // held polls are released over so long
  std::chrono::milliseconds max_retry_after{60'000};       // longest wait that a rejection names
  std::chrono::milliseconds max_long_poll_timeout{5'000};  // a poll is held for so long at most
};

// Derives the options from the operator's section.
LongPollOptions long_poll_options(const DiscoveryOptions& options);

// Whether a poll is answered at once, held or rejected.
enum class CallDecisionKind { kAnswer, kHold, kReject };

// What to do with a poll.
struct CallDecision {
  CallDecisionKind kind = CallDecisionKind::kAnswer;
  std::chrono::milliseconds retry_after{0};  // of a rejection
};

// Counts since the start.
struct LongPollCounts {
  std::uint64_t calls = 0;
  std::uint64_t answered = 0;  // at once
  std::uint64_t held = 0;
  std::uint64_t rejected = 0;
  std::uint64_t released = 0;        // held ones that were answered
  std::uint64_t peak_in_100_ms = 0;  // most calls in any 100 ms
  std::uint64_t peak_in_second = 0;  // most calls in any second
};

// Decides on the polls of all clients of one service.
class LongPollScheduler {
 public:
  using Millis = std::chrono::milliseconds;  // of the caller's steady clock, or a duration

  LongPollScheduler(const LongPollOptions& options, std::uint64_t seed) : options_(options), random_(seed) {}

  // Decides on a poll for what is later than `known_sequence`, to be held for `timeout` at most.
  // `last_sequence` is that of the last event.
  CallDecision on_call(Millis now, CallId call, std::uint64_t known_sequence, Millis timeout,
                       std::uint64_t last_sequence);

  // Records that the client of a held poll has left.
  void on_disconnected(CallId call);

  // Records that there are updates: each held poll gets the time of its release.
  void on_published(Millis now);

  // Returns the held polls that are to be answered now, because of updates or of their timeout.
  std::vector<CallId> step(Millis now);

  // Returns when step() has polls to answer by time alone, or nothing where none is held.
  std::optional<Millis> next_step_at() const;

  // Returns the number of polls that are held.
  std::size_t held() const { return held_.size(); }
  const LongPollCounts& counts() const { return counts_; }

 private:
  void count_call(Millis now);
  void refill_tokens(Millis now);
  bool is_rate_limited() const { return options_.calls_per_s > 0.0; }
  Millis reserve_slot(Millis now);

  LongPollOptions options_;
  std::mt19937_64 random_;
  std::map<CallId, Millis> held_;                // when each is answered
  std::set<std::pair<Millis, CallId>> release_;  // the same, by time
  double tokens_ = 0.0;
  std::optional<Millis> refilled_at_;
  double next_slot_ms_ = 0.0;         // of the virtual queue
  std::vector<Millis> recent_calls_;  // of the last second
  LongPollCounts counts_;
};

}  // namespace trailcourse::discovery
