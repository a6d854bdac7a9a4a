#include "discovery/long_poll_scheduler.h"

#include <algorithm>

namespace trailcourse::discovery {

using config::IntegerRange;
using config::StringRule;
using std::chrono::milliseconds;

namespace {

constexpr double kBurstSeconds = 0.1;  // a burst is as many polls as the rate limit accepts in this time
constexpr milliseconds kSecond{1'000};
constexpr milliseconds kPeakWindow{100};
constexpr double kMillisPerSecond = 1e3;

}  // namespace

const config::Record<DiscoveryOptions>& discovery_record() {
  static const config::Record<DiscoveryOptions> kRecord = [] {
    config::Record<DiscoveryOptions> record("board",
                                            "A discovery service for many routers: `trailcourse board`.");
    record
        .string("listen", &DiscoveryOptions::listen, "IP:PORT", StringRule{{}, true},
                "address on which the service listens for routers and nodes")
        .string("file", &DiscoveryOptions::file, "-", StringRule{{}, true},
                "file of the published page, as {\"rev\":N,\"notices\":[...]}; a change is published at once")
        .integer("connections", &DiscoveryOptions::connections, "connections", IntegerRange{1, 1'000'000},
                 "maximum open connections; a further one gets status 503 with a Retry-After and is closed")
        .integer("waiting", &DiscoveryOptions::waiting, "calls", IntegerRange{1, 1'000'000},
                 "maximum long polls held until an update; further ones are rejected with a Retry-After")
        .integer(
            "calls_per_s", &DiscoveryOptions::calls_per_s, "calls/s", IntegerRange{0, 1'000'000},
            "maximum polls accepted per second, whether they are answered at once or held; further ones are "
            "rejected with a Retry-After that grows with their number; 0: no limit")
        .integer("release_ms", &DiscoveryOptions::release_ms, "ms", IntegerRange{0, 5'000},
                 "window over which the held long polls are answered after an update; has to be well below "
                 "the purge grace of the settings")
        .integer("retry_after_most_s", &DiscoveryOptions::retry_after_most_s, "s", IntegerRange{1, 3'600},
                 "maximum Retry-After of a rejected call")
        .integer("linger_most_ms", &DiscoveryOptions::linger_most_ms, "ms", IntegerRange{0, 60'000},
                 "maximum time for which a long poll is held; a longer requested timeout is reduced to this");
    return record;
  }();
  return kRecord;
}

LongPollOptions long_poll_options(const DiscoveryOptions& options) {
  LongPollOptions out;
  out.max_held = static_cast<std::size_t>(options.waiting);
  out.calls_per_s = static_cast<double>(options.calls_per_s);
  out.release_window = milliseconds(options.release_ms);
  out.max_retry_after = std::chrono::seconds(options.retry_after_most_s);
  out.max_long_poll_timeout = milliseconds(options.linger_most_ms);
  return out;
}

void LongPollScheduler::count_poll(Millis now) {
  ++counts_.calls;
  recent_polls_.push_back(now);
  std::erase_if(recent_polls_, [now](Millis at) { return at <= now - kSecond; });
  const auto in_peak_window = std::count_if(recent_polls_.begin(), recent_polls_.end(),
                                            [now](Millis at) { return at > now - kPeakWindow; });
  counts_.peak_in_100_ms = std::max(counts_.peak_in_100_ms, static_cast<std::uint64_t>(in_peak_window));
  counts_.peak_in_second = std::max<std::uint64_t>(counts_.peak_in_second, recent_polls_.size());
}

void LongPollScheduler::refill_tokens(Millis now) {
  if (!is_rate_limited()) {
    return;
  }
  const double rate = options_.calls_per_s;
  const double burst = std::max(1.0, rate * kBurstSeconds);
  const double earned =
      refilled_at_ ? static_cast<double>((now - *refilled_at_).count()) * rate / kMillisPerSecond : burst;
  tokens_ = std::min(burst, tokens_ + earned);
  refilled_at_ = now;
}

// Reserves the next slot of the virtual queue and returns the wait until that slot.
LongPollScheduler::Millis LongPollScheduler::reserve_slot(Millis now) {
  const double rate = is_rate_limited() ? options_.calls_per_s : static_cast<double>(options_.max_held);
  const auto now_ms = static_cast<double>(now.count());
  next_slot_ms_ = std::max(next_slot_ms_, now_ms) + kMillisPerSecond / rate;
  const Millis wait = Millis(static_cast<Millis::rep>(next_slot_ms_)) - now + Millis(1);
  const auto last_slot_ms = static_cast<double>((now + options_.max_retry_after).count());
  next_slot_ms_ = std::min(next_slot_ms_, last_slot_ms);
  return std::clamp(wait, Millis(1), options_.max_retry_after);
}

PollDecision LongPollScheduler::on_poll(Millis now, PollId poll, std::uint64_t known_sequence, Millis timeout,
                                        std::uint64_t last_sequence) {
  count_poll(now);
  refill_tokens(now);
  const Millis hold_for = std::clamp(timeout, Millis(0), options_.max_long_poll_timeout);
  const bool must_wait = known_sequence == last_sequence && hold_for > Millis(0);
  const bool no_capacity = must_wait && held_.size() >= options_.max_held;
  const bool no_token = is_rate_limited() && tokens_ < 1.0;
  if (no_capacity || no_token) {
    ++counts_.rejected;
    return {PollDecisionKind::kReject, reserve_slot(now)};
  }
  tokens_ -= is_rate_limited() ? 1.0 : 0.0;
  if (!must_wait) {
    ++counts_.answered;
    return {PollDecisionKind::kAnswer, Millis(0)};
  }
  ++counts_.held;
  held_[poll] = now + hold_for;
  by_answer_time_.emplace(now + hold_for, poll);
  return {PollDecisionKind::kHold, Millis(0)};
}

void LongPollScheduler::on_disconnected(PollId poll) {
  if (const auto found = held_.find(poll); found != held_.end()) {
    by_answer_time_.erase({found->second, poll});
    held_.erase(found);
  }
}

// Spreads the answers evenly over the release window. The order is random so that no client is always first.
void LongPollScheduler::on_published(Millis now) {
  std::vector<PollId> order;
  order.reserve(held_.size());
  for (const auto& [poll, answer_at] : held_) {
    order.push_back(poll);
  }
  std::shuffle(order.begin(), order.end(), random_);
  const auto count = static_cast<Millis::rep>(order.size());
  for (Millis::rep i = 0; i < count; ++i) {
    Millis& answer_at = held_[order[static_cast<std::size_t>(i)]];
    answer_at = std::min(answer_at, now + i * options_.release_window / count);
  }
  by_answer_time_.clear();
  for (const auto& [poll, answer_at] : held_) {
    by_answer_time_.emplace(answer_at, poll);
  }
}

std::vector<PollId> LongPollScheduler::step(Millis now) {
  std::vector<PollId> out;
  while (!by_answer_time_.empty() && by_answer_time_.begin()->first <= now) {
    const PollId poll = by_answer_time_.begin()->second;
    by_answer_time_.erase(by_answer_time_.begin());
    held_.erase(poll);
    out.push_back(poll);
    ++counts_.released;
  }
  return out;
}

std::optional<LongPollScheduler::Millis> LongPollScheduler::next_step_at() const {
  return by_answer_time_.empty() ? std::nullopt : std::optional<Millis>(by_answer_time_.begin()->first);
}

}  // namespace trailcourse::discovery
