// The base of simulations in virtual time: processes with their own clocks, calls between them whose requests
// and responses may be late or lost, and pauses during which messages are queued until the process resumes.
// All random choices of a run follow from one seed, so a run can be repeated.
#pragma once

#include <trailcourse/decider.h>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace trailcourse::testing_support {

// The rate of the store's clock. Together with the drift of the processes' clocks it stays within the 1% that
// leases allow for.
constexpr double kStoreClockRate = 1.009;

// A simulated process.
struct VirtualProcess {
  int incarnation = 0;  // increases with each start and each crash
  double rate = 1.0;    // of its clock
  Micros offset{0};
  bool running = true;
  bool paused = false;
  bool cut = false;                           // disconnected: its calls do not arrive
  std::vector<std::function<void()>> queued;  // messages that arrived while it was paused
  std::function<void()> run_step;             // called after each delivery
};

// Losses and delays of calls while faults occur. Requests and responses are drawn independently, so that
// calls overtake each other.
struct CallRules {
  int lost_percent = 3;  // of requests, and of responses
  int late_percent = 15;
  bool late_by_highest_draws = false;  // whether the highest draws are late; recorded seeds depend on it
  Micros usual{10'000};                // maximum delay of a message that is not late
  Micros late{3'000'000};              // maximum delay of a late message
  Micros timeout{800'000};             // after which the caller treats the call as lost
};

class VirtualWorld {
 protected:
  VirtualWorld(std::uint64_t seed, const CallRules& calls) : random_(seed), calls_(calls) {}
  ~VirtualWorld() = default;

  // Runs all events until `end` or the first failure. From `calm` on no call is lost or late, and
  // `become_calm` is called once. `check` is called after each event.
  template <typename BecomeCalm, typename Check>
  void play(Micros calm, Micros end, BecomeCalm become_calm, Check check) {
    while (!events_.empty() && events_.begin()->first <= end && failure_.empty()) {
      const auto first = events_.begin();
      now_ = first->first;
      const auto job = std::move(first->second);
      events_.erase(first);
      if (now_ >= calm && !calm_) {
        calm_ = true;
        become_calm();
      }
      job();
      ++steps_;
      check();
    }
  }

  // Schedules an event.
  void at(Micros when, std::function<void()> job) { events_.emplace(std::max(when, now_), std::move(job)); }
  // Returns a random duration from 0 to `max`.
  Micros drawn(Micros max) { return Micros(static_cast<Micros::rep>(random_() % (max.count() + 1))); }
  // Returns true with this probability.
  bool chance(int percent) { return static_cast<int>(random_() % 100) < percent; }

  // Records the first failure.
  void fail(const std::string& message) {
    if (failure_.empty()) {
      failure_ = "at " + std::to_string(now_.count() / 1'000) + " ms: " + message;
    }
  }

  // Returns the time by the process's own clock.
  Micros clock(const VirtualProcess& process) const {
    return process.offset +
           Micros(static_cast<Micros::rep>(static_cast<double>(now_.count()) * process.rate));
  }
  // Returns the time by the store's clock.
  std::chrono::milliseconds store_clock() const {
    return std::chrono::milliseconds(
        static_cast<std::int64_t>(static_cast<double>(now_.count()) * kStoreClockRate / 1e3));
  }

  // Starts a new incarnation with a random clock: its rate is wrong by up to `max_drift_ppm` parts per
  // million, and its offset is random from 1 s to 1 s + `max_offset`. Drops queued messages.
  void begin_incarnation(VirtualProcess& process, int max_drift_ppm, Micros max_offset) {
    ++process.incarnation;
    const auto drawn_ppm = static_cast<double>(random_() % (2U * max_drift_ppm + 1U));
    process.rate = 1.0 + (drawn_ppm - max_drift_ppm) * 1e-6;
    process.offset = drawn(max_offset) + std::chrono::seconds(1);
    process.running = true;
    process.paused = false;
    process.queued.clear();
  }
  void end_incarnation(VirtualProcess& process) {
    ++process.incarnation;
    process.running = false;
    process.paused = false;
    process.queued.clear();
  }

  // Returns a function that returns whether the process still runs in its present incarnation.
  static std::function<bool()> same_incarnation(const VirtualProcess& process) {
    return [&process, incarnation = process.incarnation] {
      return process.running && process.incarnation == incarnation;
    };
  }

  // Runs the job and then a step at the process. While the process is paused, the job is queued.
  void deliver(VirtualProcess& process, std::function<void()> job) {
    if (!process.running) {
      return;
    }
    if (process.paused) {
      process.queued.push_back(std::move(job));
      return;
    }
    job();
    step_process(process);
  }
  void step_process(VirtualProcess& process) {
    if (process.running && !process.paused) {
      process.run_step();
    }
  }
  // Runs a step every `period` for as long as this incarnation runs.
  void tick(VirtualProcess& process, Micros period) {
    at(now_ + period, [this, &process, period, same = same_incarnation(process)] {
      if (same()) {
        step_process(process);
        tick(process, period);
      }
    });
  }
  // Resumes a paused process, which then handles its queued messages.
  void wake(VirtualProcess& process) {
    if (!std::exchange(process.paused, false)) {
      return;
    }
    for (const auto& job : std::exchange(process.queued, {})) {
      job();
    }
    step_process(process);
  }

  // Makes a call whose request and response may be late or lost. Exactly one of `on_answer` and
  // `on_no_response` is called, unless the caller's incarnation ends. `operation` is executed at the server;
  // if it returns no value, the call is not answered. `server` is a process, or null for a server that is
  // always available. If `cut` is true, the request does not arrive.
  template <typename Value>
  void call(VirtualProcess& caller, VirtualProcess* server, bool cut,
            const std::function<std::optional<Value>()>& operation,
            const std::function<void(const Value&)>& on_answer, const std::function<void()>& on_no_response) {
    const auto finished = std::make_shared<bool>(false);
    const auto awaited = [finished, same = same_incarnation(caller)] { return same() && !*finished; };
    const bool loses_call = cut || (!calm_ && chance(calls_.lost_percent));
    const bool loses_answer = !calm_ && chance(calls_.lost_percent);
    const Micros request_delay = message_delay();
    const Micros response_delay = message_delay();
    at(now_ + calls_.timeout, [this, &caller, awaited, finished, on_no_response] {
      deliver(caller, [awaited, finished, on_no_response] {
        if (awaited()) {
          *finished = true;
          on_no_response();
        }
      });
    });
    if (loses_call) {
      return;
    }
    const auto arrive = [this, &caller, awaited, finished, operation, on_answer, loses_answer,
                         response_delay] {
      const std::optional<Value> value = operation();
      if (!value || loses_answer) {
        return;
      }
      at(now_ + response_delay, [this, &caller, awaited, finished, on_answer, value = *value] {
        deliver(caller, [awaited, finished, on_answer, value] {
          if (awaited()) {
            *finished = true;
            on_answer(value);
          }
        });
      });
    };
    at(now_ + request_delay, [this, server, arrive] {
      if (server == nullptr) {
        arrive();
      } else {
        deliver(*server, arrive);
      }
    });
  }

  std::mt19937_64 random_;
  CallRules calls_;
  Micros now_{0};  // true time
  bool calm_ = false;
  std::string failure_;  // the first one; empty: none
  std::uint64_t steps_ = 0;

 private:
  bool draws_late() {
    return calls_.late_by_highest_draws ? !chance(100 - calls_.late_percent) : chance(calls_.late_percent);
  }
  Micros message_delay() { return drawn(calm_ || !draws_late() ? calls_.usual : calls_.late); }

  std::multimap<Micros, std::function<void()>> events_;
};

// The seeds of the runs, both included.
struct SeedRange {
  std::uint64_t first = 1;
  std::uint64_t last = 1;
};
// Returns the seeds to run: seed N for TRAILCOURSE_SEED=N, the first N for TRAILCOURSE_SEEDS=N, otherwise the
// first `default_count`.
inline SeedRange seeds_to_play(std::uint64_t default_count) {
  const auto number = [](const char* name) -> std::optional<std::uint64_t> {
    const char* const text = std::getenv(name);
    return text == nullptr ? std::nullopt : std::optional<std::uint64_t>(std::strtoull(text, nullptr, 10));
  };
  if (const auto one = number("TRAILCOURSE_SEED")) {
    return {*one, *one};
  }
  return {1, number("TRAILCOURSE_SEEDS").value_or(default_count)};
}

// A failure and the seed of its run.
struct SeededFailure {
  std::string failure;
  std::uint64_t seed = 0;
};
// Runs up to `max_runs` seeds from `first` on with a seeded defect. Returns the first failure that contains
// `text`, or the last other failure if there is none.
template <typename Run>
SeededFailure find_failure(std::uint64_t first, std::uint64_t max_runs, const std::string& text, Run run) {
  SeededFailure out;
  for (std::uint64_t seed = first; seed < first + max_runs; ++seed) {
    const std::string failure = run(seed);
    if (!failure.empty()) {
      out = {failure, seed};
      if (failure.find(text) != std::string::npos) {
        break;
      }
    }
  }
  return out;
}

}  // namespace trailcourse::testing_support
