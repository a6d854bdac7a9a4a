#include <csignal>
#include <utility>

#include "store/executor.h"

namespace trailcourse::store {

IoPool::IoPool(std::size_t readers, Post post) : post_(std::move(post)) {
  // Signals are the business of the thread that decides.
  sigset_t all;
  sigset_t before;
  sigfillset(&all);
  pthread_sigmask(SIG_SETMASK, &all, &before);
  threads_.emplace_back([this] { serve(writes_, true); });
  for (std::size_t i = 0; i < readers; ++i) {
    threads_.emplace_back([this] { serve(reads_, false); });
  }
  pthread_sigmask(SIG_SETMASK, &before, nullptr);
}

IoPool::~IoPool() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  writes_.more.notify_all();
  reads_.more.notify_all();
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

void IoPool::run(Lane lane, std::function<void()> work, std::function<void()> done) {
  Queue& queue = lane == Lane::kWrite ? writes_ : reads_;
  {
    const std::lock_guard lock(mutex_);
    queue.jobs.push_back(Job{std::move(work), std::move(done)});
  }
  queue.more.notify_one();
}

void IoPool::serve(Queue& queue, bool finish) {
  for (;;) {
    std::unique_lock lock(mutex_);
    queue.more.wait(lock, [&] { return stopping_ || !queue.jobs.empty(); });
    if (queue.jobs.empty() || (stopping_ && !finish)) {
      return;
    }
    Job job = std::move(queue.jobs.front());
    queue.jobs.pop_front();
    lock.unlock();
    job.work();
    job.work = nullptr;
    post_(std::move(job.done));
  }
}

}  // namespace trailcourse::store
