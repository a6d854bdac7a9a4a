// SIGTERM, SIGINT and SIGHUP as input of a scheduler.
#pragma once

#include <sys/signalfd.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <memory>
#include <system_error>

#include "transport/scheduler.h"
#include "transport/socket.h"

namespace trailcourse::program {

// Blocks the signals and receives them through a descriptor, so that they are handled between other events of
// the scheduler. SIGPIPE is ignored: a write to a closed connection fails instead.
class Signals {
 public:
  // Throws std::system_error if the descriptor cannot be created.
  explicit Signals(transport::Scheduler& scheduler) {
    std::signal(SIGPIPE, SIG_IGN);
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    if (::sigprocmask(SIG_BLOCK, &set, nullptr) != 0) {
      throw std::system_error(errno, std::generic_category(), "sigprocmask");
    }
    descriptor_ = transport::Descriptor(::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
    if (!descriptor_.valid()) {
      throw std::system_error(errno, std::generic_category(), "signalfd");
    }
    watch_ = std::make_unique<transport::Watch>(scheduler, descriptor_.get());
  }

  // Waits for the next signal and returns its number.
  transport::Task<int> next() {
    for (;;) {
      signalfd_siginfo info{};
      if (::read(descriptor_.get(), &info, sizeof info) == sizeof info) {
        co_return static_cast<int>(info.ssi_signo);
      }
      watch_->blocked_reading();
      co_await watch_->readable();
    }
  }

 private:
  transport::Descriptor descriptor_;
  std::unique_ptr<transport::Watch> watch_;
};

}  // namespace trailcourse::program
