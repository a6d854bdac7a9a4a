// Virtual time: the queue of simulated events, and clocks of machines that drift apart.
//
// All times are microseconds of simulated true time since the start of the simulation, except readings of a
// DriftingClock.
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
  std::uint64_t steps() const { return steps_; }

  void add_at(Micros when, Job job) {
    heap_.push_back(Event{std::max(when, now_), ++last_number_, std::move(job)});
    std::push_heap(heap_.begin(), heap_.end(), is_later);
  }
  void add_after(Micros delay, Job job) { add_at(now_ + delay, std::move(job)); }

  // Runs the next job if it is due by `until` and returns true. Otherwise advances the time to `until` and
  // returns false.
  bool step(Micros until) {
    if (heap_.empty() || heap_.front().at > until) {
      now_ = std::max(now_, until);
      return false;
    }
    std::pop_heap(heap_.begin(), heap_.end(), is_later);
    const Event event = std::move(heap_.back());
    heap_.pop_back();
    now_ = event.at;
    ++steps_;
    event.job();
    return true;
  }

 private:
  struct Event {
    Micros at{0};
    std::uint64_t number = 0;  // in the order of addition
    Job job;
  };
  static bool is_later(const Event& one, const Event& other) {
    return std::pair(one.at, one.number) > std::pair(other.at, other.number);
  }

  Micros now_{0};
  std::uint64_t last_number_ = 0;
  std::uint64_t steps_ = 0;
  std::vector<Event> heap_;
};

// The steady clock of one machine, which runs at `rate` times the true speed and reads `offset` at time 0.
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
