// What a notice board does with each call: answer it, hold it until there is news, or send it away with a
// time to come back. Events go in with their time, decisions come out; no I/O, no clock.
//
// Bounds: connections, calls that wait, and calls answered in a second beside those that were held. A call
// beyond the last is given a turn in a line that the board answers at its rate, and `Retry-After` names that
// turn: it grows with the line, and those sent away do not all come back together. News is told to held calls
// spread over a stated time, in drawn order, which has to lie within the bound on purges.
//
// Package `board`. Not thread-safe.
#pragma once

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

namespace trailcourse::board {

// The section `board` of the operator's file.
struct BoardOptions {
  std::string listen;
  std::string file;
  std::int64_t connections = 4'096;
  std::int64_t waiting = 4'096;
  std::int64_t calls_per_s = 0;
  std::int64_t release_ms = 100;
  std::int64_t retry_after_most_s = 60;
  std::int64_t linger_most_ms = 5'000;
};
const config::Record<BoardOptions>& board_record();

using CallNumber = std::uint64_t;

struct CoreRules {
  std::size_t most_waiting = 4'096;
  double calls_per_s = 0.0;  // answered beside held ones; 0: as they come
  std::int64_t release_ms = 100;
  std::int64_t most_retry_after_ms = 60'000;
  std::int64_t most_linger_ms = 5'000;
};
CoreRules core_rules(const BoardOptions& options);

enum class Verdict { kAnswer, kHold, kSendAway };
struct Decision {
  Verdict verdict = Verdict::kAnswer;
  std::int64_t retry_after_ms = 0;  // of one sent away
};

struct CoreCounts {
  std::uint64_t calls = 0, answered = 0, held = 0, sent_away = 0, released = 0, in_worst_100_ms = 0,
                in_worst_second = 0;
};

class BoardCore {
 public:
  BoardCore(const CoreRules& rules, std::uint64_t seed) : rules_(rules), random_(seed) {}

  // A call for what is later than `watch`, to be held for `linger_ms` at most. `last`: the board's last
  // number.
  Decision call(std::int64_t now_ms, CallNumber call, std::uint64_t watch, std::int64_t linger_ms,
                std::uint64_t last);
  // Its connection ended.
  void gone(CallNumber call);
  // There is news: each held call gets its moment. `last` differs from before.
  void published(std::int64_t now_ms);
  // The calls to be answered now: news or the end of their linger.
  std::vector<CallNumber> due(std::int64_t now_ms);
  std::optional<std::int64_t> next_due() const;

  std::size_t waiting() const { return held_.size(); }
  const CoreCounts& counts() const { return counts_; }

 private:
  void count(std::int64_t now_ms);

  CoreRules rules_;
  std::mt19937_64 random_;
  std::map<CallNumber, std::int64_t> held_;  // when each is answered
  std::set<std::pair<std::int64_t, CallNumber>> dues_;
  double tokens_ = 0.0;
  std::int64_t tokens_at_ms_ = INT64_MIN;
  double line_ms_ = 0.0;              // the turn of the next one sent away
  std::vector<std::int64_t> recent_;  // times of calls, of the last second
  CoreCounts counts_;
};

}  // namespace trailcourse::board
