// Runs blocking work outside the event loop's thread.
//
// docs/storage.md compares io_uring, POSIX AIO and a thread pool. An implementation by io_uring can replace
// the thread pool behind this interface.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace trailcourse::store {

// Runs jobs in two lanes.
class Executor {
 public:
  enum class Lane {
    kWrite,  // jobs run one after the other, in the order of submission
    kRead,   // jobs run concurrently, in any order
  };

  Executor() = default;
  Executor(const Executor&) = delete;
  Executor& operator=(const Executor&) = delete;
  virtual ~Executor() = default;

  // Runs `work` in a lane, then `done` on the event loop's thread, never from within this call. `work` must
  // not throw.
  virtual void run(Lane lane, std::function<void()> work, std::function<void()> done) = 0;
};

// A thread pool: one thread for the write lane and `readers` for the read lane. The destructor waits for jobs
// that are running and runs the queued jobs of the write lane; it drops the queued jobs of the read lane.
class IoPool : public Executor {
 public:
  // Runs a job on the event loop's thread; has to be callable from any thread.
  using Post = std::function<void(std::function<void()>)>;

  IoPool(std::size_t readers, Post post);
  ~IoPool() override;

  void run(Lane lane, std::function<void()> work, std::function<void()> done) override;

 private:
  struct Job {
    std::function<void()> work;
    std::function<void()> done;
  };
  struct Queue {
    std::deque<Job> jobs;
    std::condition_variable job_added;
  };

  // Runs jobs until the pool stops. `drain`: runs the jobs that are still queued at that time too.
  void run_jobs(Queue& queue, bool drain);

  Post post_;
  std::mutex mutex_;
  Queue writes_;
  Queue reads_;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace trailcourse::store
