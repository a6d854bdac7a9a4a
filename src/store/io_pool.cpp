#include <csignal>
#include <utility>

#include "store/executor.h"

namespace trailcourse::store {

IoPool::IoPool(std::size_t readers, Post post) : post_(std::move(post)) {
  // Blocks all signals in the pool's threads, so that the event loop's thread handles them.
  sigset_t all;
  sigset_t before;
  sigfillset(&all);
  pthread_sigmask(SIG_SETMASK, &all, &before);
  threads_.emplace_back([this] { run_jobs(writes_, true); });
  for (std::size_t i = 0; i < readers; ++i) {
    threads_.emplace_back([this] { run_jobs(reads_, false); });
  }
  pthread_sigmask(SIG_SETMASK, &before, nullptr);
}

IoPool::~IoPool() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  writes_.job_added.notify_all();
  reads_.job_added.notify_all();
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
  queue.job_added.notify_one();
}

void IoPool::run_jobs(Queue& queue, bool drain) {
  for (;;) {
    std::unique_lock lock(mutex_);
    queue.job_added.wait(lock, [&] { return stopping_ || !queue.jobs.empty(); });
    if (queue.jobs.empty() || (stopping_ && !drain)) {
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
