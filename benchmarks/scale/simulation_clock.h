// Virtual time: the queue of simulated events, and clocks of machines that drift apart.
//
// True time is the time in microseconds since the start of the simulation. All times are true times, except
// the readings of a DriftingClock.
#pragma once

#include <trailcourse/decider.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

namespace trailcourse::scale {

using Job = std::function<void()>;

// Runs jobs in the order of their time; jobs with the same time run in the order in which they were added.
class EventQueue {
 public:
  Micros now() const { return now_; }
  // The number of jobs run so far.
  std::uint64_t jobs_run() const { return jobs_run_; }

  // Adds a job that runs at this time, or at the current time if this time is past.
  void add_at(Micros when, Job job) {
    heap_.push_back(Event{std::max(when, now_), ++last_number_, std::move(job)});
    std::push_heap(heap_.begin(), heap_.end(), is_later);
  }
  void add_after(Micros delay, Job job) { add_at(now_ + delay, std::move(job)); }

  // Runs the next job if it is due by `until` and returns true. Otherwise advances the time to `until` and
  // returns false.
  bool run_next(Micros until) {
    if (heap_.empty() || heap_.front().at > until) {
      now_ = std::max(now_, until);
      return false;
    }
    std::pop_heap(heap_.begin(), heap_.end(), is_later);
    const Event event = std::move(heap_.back());
    heap_.pop_back();
    now_ = event.at;
    ++jobs_run_;
    event.job();
    return true;
  }

 private:
  struct Event {
    Micros at{0};
    std::uint64_t number = 0;  // counts the added events; orders those with the same time
    Job job;
  };
  static bool is_later(const Event& one, const Event& other) {
    return std::pair(one.at, one.number) > std::pair(other.at, other.number);
  }

  Micros now_{0};
  std::uint64_t last_number_ = 0;
  std::uint64_t jobs_run_ = 0;
  std::vector<Event> heap_;
};

// The steady clock of one machine. It runs at `rate` times the speed of true time and reads `offset` at true
// time 0.
struct DriftingClock {
  double rate = 1.0;
  Micros offset{0};

  Micros read(Micros true_time) const {
    return offset + Micros(static_cast<Micros::rep>(static_cast<double>(true_time.count()) * rate));
  }
  // Returns the first true time at which the clock reads `reading` or more.
  Micros true_time_at(Micros reading) const {
    const double true_time = static_cast<double>((reading - offset).count()) / rate;
    return Micros(static_cast<Micros::rep>(true_time) + 1);
  }
};

}  // namespace trailcourse::scale
