// Decides whether a discovery service answers a poll, holds it until there are updates, or rejects it with a
// Retry-After.
//
// Two numbers are bounded here: the polls held at once, and the polls accepted per second. A poll above a
// bound gets a slot in a virtual queue that is served at the configured rate, and its Retry-After is the wait
// until that slot, so that it grows with the queue and rejected clients do not all return at the same time.
// Held polls are answered in random order over a release window. It has to be shorter than the routers'
// setting
// `Settings::purge_grace`, the time after a purge from which no purged copy may be served.
//
// Library `discovery`: no I/O and no clock. Not thread-safe.
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

// The section `board` of the operator's file; each member is the key of that name.
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

// Identifies a held poll. Chosen by the caller and never reused.
using PollId = std::uint64_t;

// Options of LongPollScheduler.
struct LongPollOptions {
  std::size_t max_held = 4'096;
  double calls_per_s = 0.0;                                // maximum rate of accepted polls; 0: no limit
  std::chrono::milliseconds release_window{100};           // over which held polls are answered after updates
  std::chrono::milliseconds max_retry_after{60'000};       // longest Retry-After of a rejection
  std::chrono::milliseconds max_long_poll_timeout{5'000};  // longest time for which a poll is held
};

// Derives the options from the operator's section.
LongPollOptions long_poll_options(const DiscoveryOptions& options);

// What to do with a poll: answer it at once, hold it or reject it.
enum class PollDecisionKind { kAnswer, kHold, kReject };

// The decision on a poll.
struct PollDecision {
  PollDecisionKind kind = PollDecisionKind::kAnswer;
  std::chrono::milliseconds retry_after{0};  // set for kReject: when the client may poll again
};

// Counts since the start.
struct LongPollCounts {
  std::uint64_t calls = 0;
  std::uint64_t answered = 0;  // at once
  std::uint64_t held = 0;
  std::uint64_t rejected = 0;
  std::uint64_t released = 0;        // held polls that were answered
  std::uint64_t peak_in_100_ms = 0;  // largest number of polls in any 100 ms
  std::uint64_t peak_in_second = 0;  // largest number of polls in any second
};

// Decides on the polls of all clients of one service.
class LongPollScheduler {
 public:
  using Millis = std::chrono::milliseconds;  // of the caller's steady clock, or a duration

  LongPollScheduler(const LongPollOptions& options, std::uint64_t seed) : options_(options), random_(seed) {}

  // Decides on a poll for the events after `known_sequence`, to be held for at most `timeout`.
  // `last_sequence` is the sequence number of the last event.
  PollDecision on_poll(Millis now, PollId poll, std::uint64_t known_sequence, Millis timeout,
                       std::uint64_t last_sequence);

  // Records that the client of a held poll has disconnected.
  void on_disconnected(PollId poll);

  // Records that there are updates, and schedules the answer to each held poll within the release window.
  void on_published(Millis now);

  // Removes and returns the held polls that are to be answered now, after updates or at their timeouts.
  std::vector<PollId> step(Millis now);

  // Returns when step() next has polls to answer, or nothing where none is held.
  std::optional<Millis> next_step_at() const;

  // Returns the number of held polls.
  std::size_t held() const { return held_.size(); }
  const LongPollCounts& counts() const { return counts_; }

 private:
  void count_poll(Millis now);
  void refill_tokens(Millis now);
  bool is_rate_limited() const { return options_.calls_per_s > 0.0; }
  Millis reserve_slot(Millis now);

  LongPollOptions options_;
  std::mt19937_64 random_;
  std::map<PollId, Millis> held_;                       // with the time at which each is answered
  std::set<std::pair<Millis, PollId>> by_answer_time_;  // the same entries, ordered by time
  double tokens_ = 0.0;
  std::optional<Millis> refilled_at_;
  double next_slot_ms_ = 0.0;         // of the virtual queue
  std::vector<Millis> recent_polls_;  // times of the polls in the last second
  LongPollCounts counts_;
};

}  // namespace trailcourse::discovery
