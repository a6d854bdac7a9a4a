#include "discovery/long_poll_scheduler.h"

#include <algorithm>

namespace trailcourse::board {

using config::WholeRange;
using config::Words;

namespace {

constexpr double kBurstSeconds = 0.1;  // of the rate, that may come at once
constexpr std::int64_t kSecond = 1'000;

}  // namespace

const config::Record<BoardOptions>& board_record() {
  static const config::Record<BoardOptions> kRecord = [] {
    config::Record<BoardOptions> record("board",
                                        "A notice board that many routers lean on: `trailcourse board`.");
    record.text("listen", &BoardOptions::listen, "IP:PORT", Words{{}, true}, "where routers and nodes ask")
        .text("file", &BoardOptions::file, "-", Words{{}, true},
              "what it tells, as {\"rev\":N,\"notices\":[...]}; a new one is told at once")
        .whole("connections", &BoardOptions::connections, "connections", WholeRange{1, 1'000'000},
               "at once; one beyond is answered 503 with a time to come back, and closed")
        .whole("waiting", &BoardOptions::waiting, "calls", WholeRange{1, 1'000'000},
               "held at once until there is news; one beyond is sent away")
        .whole("calls_per_s", &BoardOptions::calls_per_s, "calls/s", WholeRange{0, 1'000'000},
               "answered beside those that were held; beyond it calls get a turn in a line by Retry-After; "
               "0: as "
               "they come")
        .whole("release_ms", &BoardOptions::release_ms, "ms", WholeRange{0, 5'000},
               "news is told to held calls spread over so long: well within the purge grace of the settings")
        .whole("retry_after_most_s", &BoardOptions::retry_after_most_s, "s", WholeRange{1, 3'600},
               "the longest wait that a call is sent away with")
        .whole("linger_most_ms", &BoardOptions::linger_most_ms, "ms", WholeRange{0, 60'000},
               "a call is held for so long at most, whatever it asks for");
    return record;
  }();
  return kRecord;
}

CoreRules core_rules(const BoardOptions& options) {
  CoreRules rules;
  rules.most_waiting = static_cast<std::size_t>(options.waiting);
  rules.calls_per_s = static_cast<double>(options.calls_per_s);
  rules.release_ms = options.release_ms;
  rules.most_retry_after_ms = options.retry_after_most_s * kSecond;
  rules.most_linger_ms = options.linger_most_ms;
  return rules;
}

void BoardCore::count(std::int64_t now_ms) {
  ++counts_.calls;
  recent_.push_back(now_ms);
  std::erase_if(recent_, [now_ms](std::int64_t at) { return at <= now_ms - kSecond; });
  const auto lately = std::count_if(recent_.begin(), recent_.end(),
                                    [now_ms](std::int64_t at) { return at > now_ms - kSecond / 10; });
  counts_.in_worst_100_ms = std::max(counts_.in_worst_100_ms, static_cast<std::uint64_t>(lately));
  counts_.in_worst_second = std::max<std::uint64_t>(counts_.in_worst_second, recent_.size());
}

Decision BoardCore::call(std::int64_t now_ms, CallNumber call, std::uint64_t watch, std::int64_t linger_ms,
                         std::uint64_t last) {
  count(now_ms);
  const double rate = rules_.calls_per_s;
  if (rate > 0.0) {
    const double burst = std::max(1.0, rate * kBurstSeconds);
    const double earned =
        tokens_at_ms_ == INT64_MIN ? burst : static_cast<double>(now_ms - tokens_at_ms_) * rate / kSecond;
    tokens_ = std::min(burst, tokens_ + earned);
    tokens_at_ms_ = now_ms;
  }
  const bool current = watch == last;
  const std::int64_t linger = std::clamp<std::int64_t>(linger_ms, 0, rules_.most_linger_ms);
  const bool no_room = current && linger > 0 && held_.size() >= rules_.most_waiting;
  const bool no_turn = rate > 0.0 && tokens_ < 1.0;
  if (no_room || no_turn) {
    // Its turn in the line of those sent away, at the pace that the board answers.
    const double pace = rate > 0.0 ? rate : static_cast<double>(rules_.most_waiting);
    line_ms_ = std::max(line_ms_, static_cast<double>(now_ms)) + kSecond / pace;
    const auto wait = static_cast<std::int64_t>(line_ms_) - now_ms + 1;
    ++counts_.sent_away;
    line_ms_ = std::min(line_ms_, static_cast<double>(now_ms + rules_.most_retry_after_ms));
    return {Verdict::kSendAway, std::clamp<std::int64_t>(wait, 1, rules_.most_retry_after_ms)};
  }
  tokens_ -= rate > 0.0 ? 1.0 : 0.0;
  if (!current || linger == 0) {
    ++counts_.answered;
    return {Verdict::kAnswer, 0};
  }
  ++counts_.held;
  held_[call] = now_ms + linger;
  dues_.emplace(now_ms + linger, call);
  return {Verdict::kHold, 0};
}

void BoardCore::gone(CallNumber call) {
  if (const auto found = held_.find(call); found != held_.end()) {
    dues_.erase({found->second, call});
    held_.erase(found);
  }
}

// Even over the release time, in drawn order: who asked first is not always told first.
void BoardCore::published(std::int64_t now_ms) {
  std::vector<CallNumber> order;
  for (const auto& [call, due] : held_) {
    order.push_back(call);
  }
  std::shuffle(order.begin(), order.end(), random_);
  dues_.clear();
  for (std::size_t i = 0; i < order.size(); ++i) {
    const auto share =
        static_cast<std::int64_t>(i) * rules_.release_ms / static_cast<std::int64_t>(order.size());
    std::int64_t& due = held_[order[i]];
    due = std::min(due, now_ms + share);
  }
  for (const auto& [call, due] : held_) {
    dues_.emplace(due, call);
  }
}

std::vector<CallNumber> BoardCore::due(std::int64_t now_ms) {
  std::vector<CallNumber> out;
  while (!dues_.empty() && dues_.begin()->first <= now_ms) {
    const CallNumber call = dues_.begin()->second;
    dues_.erase(dues_.begin());
    held_.erase(call);
    out.push_back(call);
    ++counts_.released;
  }
  return out;
}

std::optional<std::int64_t> BoardCore::next_due() const {
  return dues_.empty() ? std::nullopt : std::optional<std::int64_t>(dues_.begin()->first);
}

}  // namespace trailcourse::board
