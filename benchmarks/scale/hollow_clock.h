// Virtual time: what happens when, and clocks that run apart.
//
// Micros of true time since the beginning of the simulation, unless a clock's reading is named.
#pragma once

#include <trailcourse/decider.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

namespace trailcourse::scale {

using Job = std::function<void()>;

// Jobs by time; those of one moment in the order in which they were given.
class EventQueue {
 public:
  Micros now() const { return now_; }
  std::uint64_t steps() const { return steps_; }

  void at(Micros when, Job job) {
    heap_.push_back(Event{std::max(when, now_), ++last_, std::move(job)});
    std::push_heap(heap_.begin(), heap_.end(), later);
  }
  void after(Micros delay, Job job) { at(now_ + delay, std::move(job)); }

  // Does the next job that is due by `until`; false where there is none, and then it is `until`.
  bool step(Micros until) {
    if (heap_.empty() || heap_.front().at > until) {
      now_ = std::max(now_, until);
      return false;
    }
    std::pop_heap(heap_.begin(), heap_.end(), later);
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
    std::uint64_t number = 0;
    Job job;
  };
  static bool later(const Event& one, const Event& other) {
    return std::pair(one.at, one.number) > std::pair(other.at, other.number);
  }

  Micros now_{0};
  std::uint64_t last_ = 0;
  std::uint64_t steps_ = 0;
  std::vector<Event> heap_;
};

// A steady clock of one machine.
struct DriftingClock {
  double rate = 1.0;
  Micros offset{0};

  Micros read(Micros truth) const {
    return offset + Micros(static_cast<Micros::rep>(static_cast<double>(truth.count()) * rate));
  }
  // The first moment at which it reads `reading` or more.
  Micros truth_at(Micros reading) const {
    const double truth = static_cast<double>((reading - offset).count()) / rate;
    return Micros(static_cast<Micros::rep>(truth) + 1);
  }
};

}  // namespace trailcourse::scale
