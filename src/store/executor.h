// Where blocking work runs, away from the thread that decides.
//
// Considered (docs/storage.md): io_uring, POSIX AIO, a pool of threads. Behind this one interface a ring can
// take the pool's place.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace trailcourse::store {

class Executor {
 public:
  enum class Lane {
    kWrite,  // one after the other, in the order given
    kRead,   // several at once, in any order
  };

  Executor() = default;
  Executor(const Executor&) = delete;
  Executor& operator=(const Executor&) = delete;
  virtual ~Executor() = default;

  // Runs `work` in a lane, then `done` on the thread that decides, never from within this call. `work` must
  // not throw.
  virtual void run(Lane lane, std::function<void()> work, std::function<void()> done) = 0;
};

// Threads of its own. Its destructor waits for the work in hand; work that has not begun in the read lane is
// dropped, that of the write lane is done first.
class IoPool : public Executor {
 public:
  using Post = std::function<void(std::function<void()>)>;  // to the thread that decides, from any thread

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
    std::condition_variable more;
  };

  void serve(Queue& queue, bool finish);

  Post post_;
  std::mutex mutex_;
  Queue writes_;
  Queue reads_;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace trailcourse::store
