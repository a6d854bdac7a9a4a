// The scheduler: one thread, epoll, timers, and the coroutines that wait for either.
#pragma once

#include <chrono>
#include <coroutine>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "transport/socket.h"
#include "transport/task.h"

namespace trailcourse::transport {

using Clock = std::chrono::steady_clock;

class Watch;

class Scheduler {
 public:
  using Job = std::function<void()>;
  using TimerKey = std::pair<Clock::time_point, std::uint64_t>;

  Scheduler();
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  // Runs a coroutine on its own; an exception that leaves it is logged and ends only that one.
  void spawn(Task<void> task);
  // Runs a job later in this turn, never from within the caller.
  void post(Job job) { jobs_.push_back(std::move(job)); }
  TimerKey at(Clock::time_point when, Job job);
  void cancel(const TimerKey& key) { timers_.erase(key); }

  // Turns until stop().
  void run();
  void stop() { stopped_ = true; }
  // One turn: waits for what comes first, `longest` at most.
  void turn(Clock::duration longest);

  // When this turn began: what is seen in one turn happened at one time.
  Clock::time_point turn_time() const { return turn_time_; }

  // Awaitable: goes on after `delay`.
  struct Sleep {
    Scheduler& scheduler;
    Clock::duration delay;
    bool await_ready() const noexcept { return false; }
    void await_suspend(std::coroutine_handle<> waiter) const {
      scheduler.at(Clock::now() + delay, [waiter] { waiter.resume(); });
    }
    void await_resume() const noexcept {}
  };
  Sleep sleep(Clock::duration delay) { return Sleep{*this, delay}; }

  // Awaitable: lets all others that are ready go first.
  struct Yield {
    Scheduler& scheduler;
    bool await_ready() const noexcept { return false; }
    void await_suspend(std::coroutine_handle<> waiter) const {
      scheduler.next_turn_.push_back([waiter] { waiter.resume(); });
    }
    void await_resume() const noexcept {}
  };
  Yield yield() { return Yield{*this}; }

 private:
  friend class Watch;
  struct Root;

  // Runs a job; an exception that leaves it is logged and ends only that one.
  static void guarded(const Job& job);
  void run_jobs();
  void run_timers();

  Descriptor epoll_;
  bool stopped_ = false;
  Clock::time_point turn_time_ = Clock::now();
  std::uint64_t last_timer_ = 0;
  std::uint64_t last_watch_ = 0;
  std::map<TimerKey, Job> timers_;
  std::deque<Job> jobs_;
  std::deque<Job> next_turn_;
  std::unordered_map<std::uint64_t, Watch*> watches_;
  std::unordered_set<void*> roots_;
};

// A descriptor registered with the scheduler, edge by edge. Whoever gets EAGAIN says so and waits.
class Watch {
 public:
  Watch(Scheduler& scheduler, int descriptor);
  ~Watch() { close(); }
  Watch(const Watch&) = delete;
  Watch& operator=(const Watch&) = delete;

  // Awaitable: true once there may be something to do, false once the watch is closed.
  struct Wait {
    Watch& watch;
    bool write;
    bool await_ready() const noexcept { return watch.closed_ || watch.side(write).ready; }
    void await_suspend(std::coroutine_handle<> waiter) const noexcept { watch.side(write).waiter = waiter; }
    bool await_resume() const noexcept { return !watch.closed_; }
  };
  Wait readable() { return Wait{*this, false}; }
  Wait writable() { return Wait{*this, true}; }
  void blocked_reading() { side(false).ready = false; }
  void blocked_writing() { side(true).ready = false; }
  // The other side has ended its half, or all of it; what it sent before may still be read.
  bool hung_up() const { return hung_up_; }

  // Deregisters and wakes the waiters; they run later in the turn.
  void close();

 private:
  friend class Scheduler;
  struct Side {
    bool ready = true;
    std::coroutine_handle<> waiter;
  };

  Side& side(bool write) { return write ? write_ : read_; }
  void wake(Side& side);

  Scheduler& scheduler_;
  int descriptor_;
  std::uint64_t id_;
  bool closed_ = false;
  bool hung_up_ = false;
  Side read_;
  Side write_;
};

// What a coroutine waits on for something that another part of the program does.
class Signal {
 public:
  explicit Signal(Scheduler& scheduler) : scheduler_(scheduler) {}

  void notify();

  // Awaitable: true when notified, also before the wait, false when `longest` has passed first. One waiter.
  struct Wait {
    Signal& signal;
    Clock::duration longest;
    bool await_ready() const noexcept { return signal.notified_; }
    void await_suspend(std::coroutine_handle<> waiter) const;
    bool await_resume() const noexcept { return std::exchange(signal.notified_, false); }
  };
  Wait wait(Clock::duration longest) { return Wait{*this, longest}; }
  Wait wait() { return Wait{*this, Clock::duration::max()}; }

 private:
  Scheduler& scheduler_;
  bool notified_ = false;
  std::coroutine_handle<> waiter_;
  Scheduler::TimerKey timer_;
};

}  // namespace trailcourse::transport
