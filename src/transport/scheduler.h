// The event loop: one thread, epoll, timers, and the coroutines that wait for them.
#pragma once

#include <chrono>
#include <coroutine>
#include <cstddef>
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

// Runs jobs, timers and coroutines on the thread that calls run(). Not thread-safe; other threads use a
// Mailbox.
class Scheduler {
 public:
  using Job = std::function<void()>;
  using TimerKey = std::pair<Clock::time_point, std::uint64_t>;

  // Throws std::system_error where no epoll descriptor can be created.
  Scheduler();
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  // Starts a coroutine, which runs until it first waits. An exception that leaves it is logged and ends only
  // this coroutine. Destroying the scheduler destroys the coroutines that have not ended.
  void spawn(Task<void> task);

  // Runs a job later in this iteration of the loop, never before post() returns.
  void post(Job job) { jobs_.push_back(std::move(job)); }

  // Runs a job at the given time, or in the next iteration if that time has passed. Returns the key for
  // cancel().
  TimerKey at(Clock::time_point when, Job job);

  // Cancels a timer. Has no effect if its job has already run.
  void cancel(const TimerKey& key) { timers_.erase(key); }

  // Returns the number of timers whose jobs have neither run nor been cancelled.
  std::size_t pending_timers() const { return timers_.size(); }

  // Runs iterations of the loop until stop() is called.
  void run();

  // Ends run() after the current iteration.
  void stop() { stopped_ = true; }

  // Runs one iteration: the jobs that are ready, then the events and timers that occur while it waits for at
  // most `longest`.
  void run_iteration(Clock::duration longest);

  // Returns when the events of the current iteration were received. It is the same for all of them.
  Clock::time_point iteration_time() const { return iteration_time_; }

  // Awaitable that resumes after `delay`.
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

  // Awaitable that resumes in the next iteration, after all other jobs that are ready.
  struct Yield {
    Scheduler& scheduler;
    bool await_ready() const noexcept { return false; }
    void await_suspend(std::coroutine_handle<> waiter) const {
      scheduler.next_iteration_.push_back([waiter] { waiter.resume(); });
    }
    void await_resume() const noexcept {}
  };
  Yield yield() { return Yield{*this}; }

  // Awaitable that resumes in a later iteration, in the order of the calls. All such coroutines together get
  // a limited time of each iteration, so that they never delay events and timers for longer.
  struct YieldBackground {
    Scheduler& scheduler;
    bool await_ready() const noexcept { return false; }
    void await_suspend(std::coroutine_handle<> waiter) const {
      scheduler.background_.push_back([waiter] { waiter.resume(); });
    }
    void await_resume() const noexcept {}
  };
  YieldBackground yield_background() { return YieldBackground{*this}; }

 private:
  friend class Watch;
  struct Root;

  // Runs a job. An exception that leaves it is logged and ends only this job.
  static void run_guarded(const Job& job);
  void run_jobs();
  void run_timers();
  void run_background();

  Descriptor epoll_;
  bool stopped_ = false;
  Clock::time_point iteration_time_ = Clock::now();
  std::uint64_t last_timer_ = 0;
  std::uint64_t last_watch_ = 0;
  std::map<TimerKey, Job> timers_;
  std::deque<Job> jobs_;
  std::deque<Job> next_iteration_;
  std::deque<Job> background_;
  std::unordered_map<std::uint64_t, Watch*> watches_;
  std::unordered_set<void*> roots_;
};

// Registers a descriptor with the scheduler, edge-triggered. After EAGAIN, the user of the descriptor calls
// blocked_reading() or blocked_writing() and awaits readable() or writable(). Each direction has at most one
// waiter.
class Watch {
 public:
  // Throws std::system_error where the descriptor cannot be registered. The descriptor has to stay open until
  // the watch is closed.
  Watch(Scheduler& scheduler, int descriptor);
  ~Watch() { close(); }
  Watch(const Watch&) = delete;
  Watch& operator=(const Watch&) = delete;

  // Awaitable that yields true once the descriptor may be ready, and false once the watch is closed.
  struct Wait {
    Watch& watch;
    bool write;
    bool await_ready() const noexcept { return watch.closed_ || watch.side(write).ready; }
    void await_suspend(std::coroutine_handle<> waiter) const noexcept { watch.side(write).waiter = waiter; }
    bool await_resume() const noexcept { return !watch.closed_; }
  };
  Wait readable() { return Wait{*this, false}; }
  Wait writable() { return Wait{*this, true}; }

  // Record that a read, or a write, got EAGAIN.
  void blocked_reading() { side(false).ready = false; }
  void blocked_writing() { side(true).ready = false; }

  // Returns whether the peer has closed its sending side or the connection. Bytes that it sent before may
  // still be readable.
  bool hung_up() const { return hung_up_; }

  // Deregisters the descriptor and resumes the waiters later in this iteration.
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

// Lets a coroutine wait for a notification from another part of the program.
class Signal {
 public:
  explicit Signal(Scheduler& scheduler) : scheduler_(scheduler) {}

  // Resumes the waiter in a later job; without a waiter, the next wait ends at once.
  void notify();

  // Awaitable that yields true after a notification, which may precede the wait, and false if `longest`
  // passes first. There is at most one waiter.
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
