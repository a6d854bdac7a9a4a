#include "transport/scheduler.h"

#include <sys/epoll.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>

#include "transport/log.h"

namespace trailcourse::transport {

namespace {

constexpr std::chrono::microseconds kBackgroundTime{500};  // of each iteration

// Logs the exception instead of passing it on, so that one failure does not affect other requests.
void log_current_exception() {
  try {
    throw;
  } catch (const std::exception& error) {
    log_line(Level::kError) << "a task or job failed: " << error.what();
  } catch (...) {
    log_line(Level::kError) << "a task or job failed with an unknown exception";
  }
}

}  // namespace

// The coroutine that a spawned task runs in. Its frame is registered with the scheduler, whose destructor
// destroys the frames that are left.
struct Scheduler::Root {
  struct promise_type {
    promise_type(Scheduler& scheduler, Task<void>&) : owner(scheduler) {
      owner.roots_.insert(std::coroutine_handle<promise_type>::from_promise(*this).address());
    }
    ~promise_type() {
      owner.roots_.erase(std::coroutine_handle<promise_type>::from_promise(*this).address());
    }
    promise_type(const promise_type&) = delete;
    promise_type& operator=(const promise_type&) = delete;

    Root get_return_object() const noexcept { return {}; }
    std::suspend_never initial_suspend() const noexcept { return {}; }
    std::suspend_never final_suspend() const noexcept { return {}; }
    void return_void() const noexcept {}
    void unhandled_exception() const noexcept { log_current_exception(); }

    Scheduler& owner;
  };

  static Root run(Scheduler&, Task<void> task) { co_await task; }
};

Scheduler::Scheduler() : epoll_(epoll_create1(EPOLL_CLOEXEC)) {
  if (!epoll_.valid()) {
    throw std::system_error(errno, std::generic_category(), "epoll_create1");
  }
}

Scheduler::~Scheduler() {
  while (!roots_.empty()) {
    std::coroutine_handle<>::from_address(*roots_.begin()).destroy();
  }
  // Destroying a job can destroy objects that close watches and post further jobs.
  while (!jobs_.empty() || !next_iteration_.empty() || !background_.empty() || !timers_.empty()) {
    const auto jobs = std::exchange(jobs_, {});
    const auto next = std::exchange(next_iteration_, {});
    const auto background = std::exchange(background_, {});
    const auto timers = std::exchange(timers_, {});
  }
}

void Scheduler::spawn(Task<void> task) { Root::run(*this, std::move(task)); }

Scheduler::TimerKey Scheduler::at(Clock::time_point when, Job job) {
  const TimerKey key{when, ++last_timer_};
  timers_.emplace(key, std::move(job));
  return key;
}

void Scheduler::run() {
  stopped_ = false;
  while (!stopped_) {
    run_iteration(std::chrono::hours(1));
  }
}

void Scheduler::run_guarded(const Job& job) {
  try {
    job();
  } catch (...) {
    log_current_exception();
  }
}

void Scheduler::run_jobs() {
  while (!jobs_.empty()) {
    const Job job = std::move(jobs_.front());
    jobs_.pop_front();
    run_guarded(job);
  }
}

void Scheduler::run_timers() {
  while (!timers_.empty() && timers_.begin()->first.first <= iteration_time_) {
    auto due = timers_.extract(timers_.begin());
    run_guarded(due.mapped());
    run_jobs();
  }
}

void Scheduler::run_background() {
  if (background_.empty()) {
    return;
  }
  const std::size_t waiting = background_.size();  // those that yield again wait for the next iteration
  const Clock::time_point until = Clock::now() + kBackgroundTime;
  for (std::size_t i = 0; i < waiting; ++i) {
    const Job job = std::move(background_.front());
    background_.pop_front();
    run_guarded(job);
    run_jobs();
    if (Clock::now() >= until) {
      break;
    }
  }
}

void Scheduler::run_iteration(Clock::duration longest) {
  run_jobs();
  std::swap(jobs_, next_iteration_);
  run_jobs();
  run_background();
  if (stopped_) {
    return;
  }
  Clock::duration wait = next_iteration_.empty() && background_.empty() ? longest : Clock::duration::zero();
  if (!timers_.empty()) {
    wait = std::clamp(timers_.begin()->first.first - Clock::now(), Clock::duration::zero(), wait);
  }
  const auto millis = std::chrono::ceil<std::chrono::milliseconds>(wait).count();
  std::array<epoll_event, 256> events{};
  const int count = epoll_wait(epoll_.get(), events.data(), static_cast<int>(events.size()),
                               static_cast<int>(std::min<std::int64_t>(millis, 3'600'000)));
  iteration_time_ = Clock::now();
  for (int i = 0; i < count; ++i) {
    const epoll_event& event = events[static_cast<std::size_t>(i)];
    const auto found = watches_.find(event.data.u64);
    if (found == watches_.end()) {
      continue;  // closed earlier in this iteration
    }
    Watch& watch = *found->second;
    const bool failed = (event.events & (EPOLLERR | EPOLLHUP)) != 0;
    watch.hung_up_ = watch.hung_up_ || failed || (event.events & EPOLLRDHUP) != 0;
    if (failed || (event.events & (EPOLLIN | EPOLLRDHUP)) != 0) {
      watch.wake(watch.read_);
    }
    if (failed || (event.events & EPOLLOUT) != 0) {
      watch.wake(watch.write_);
    }
    run_jobs();
  }
  run_timers();
}

Watch::Watch(Scheduler& scheduler, int descriptor)
    : scheduler_(scheduler), descriptor_(descriptor), id_(++scheduler.last_watch_) {
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.u64 = id_;
  if (epoll_ctl(scheduler_.epoll_.get(), EPOLL_CTL_ADD, descriptor_, &event) != 0) {
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
  }
  scheduler_.watches_.emplace(id_, this);
}

void Watch::wake(Side& side) {
  side.ready = true;
  if (const auto waiter = std::exchange(side.waiter, nullptr)) {
    scheduler_.post([waiter] { waiter.resume(); });
  }
}

void Watch::close() {
  if (closed_) {
    return;
  }
  closed_ = true;
  scheduler_.watches_.erase(id_);
  epoll_ctl(scheduler_.epoll_.get(), EPOLL_CTL_DEL, descriptor_, nullptr);
  wake(read_);
  wake(write_);
}

void Signal::notify() {
  notified_ = true;
  if (const auto waiter = std::exchange(waiter_, nullptr)) {
    scheduler_.cancel(timer_);
    scheduler_.post([waiter] { waiter.resume(); });
  }
}

void Signal::Wait::await_suspend(std::coroutine_handle<> waiter) const {
  signal.waiter_ = waiter;
  if (longest == Clock::duration::max()) {
    return;
  }
  signal.timer_ = signal.scheduler_.at(Clock::now() + longest, [&waiting = signal] {
    if (const auto late = std::exchange(waiting.waiter_, nullptr)) {
      late.resume();
    }
  });
}

}  // namespace trailcourse::transport
