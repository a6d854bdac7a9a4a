#include "fleet/process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <fstream>
#include <iterator>
#include <system_error>
#include <utility>

#include "transport/socket.h"

namespace trailcourse::fleet {
namespace {

constexpr int kCannotRun = 127;  // exit status of shells for a program that cannot be run

std::vector<char*> pointers(std::vector<std::string>& strings) {
  std::vector<char*> out;
  out.reserve(strings.size() + 1);
  for (std::string& string : strings) {
    out.push_back(string.data());
  }
  out.push_back(nullptr);
  return out;
}

}  // namespace

Process::Process(Spec spec) : spec_(std::move(spec)) {
  const transport::Descriptor log(::open(spec_.log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600));
  if (!log.valid()) {
    throw std::system_error(errno, std::generic_category(), spec_.log);
  }
  std::vector<std::string> argument_strings = spec_.arguments;
  std::vector<std::string> environment = spec_.environment;
  for (char** one = environ; *one != nullptr; ++one) {
    environment.emplace_back(*one);
  }
  const std::vector<char*> arguments = pointers(argument_strings);
  const std::vector<char*> variables = pointers(environment);
  const pid_t parent = ::getpid();
  pid_ = ::fork();
  if (pid_ < 0) {
    throw std::system_error(errno, std::generic_category(), "fork");
  }
  if (pid_ == 0) {
    // Only async-signal-safe calls are allowed between fork and exec.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
      ::_exit(kCannotRun);
    }
    sigset_t none;
    sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    ::signal(SIGPIPE, SIG_DFL);
    ::dup2(log.get(), STDOUT_FILENO);
    ::dup2(log.get(), STDERR_FILENO);
    ::execve(arguments[0], arguments.data(), variables.data());
    ::_exit(kCannotRun);
  }
}

Process::Process(Process&& other) noexcept
    : spec_(std::move(other.spec_)), pid_(std::exchange(other.pid_, -1)), end_(other.end_) {}

Process::~Process() {
  if (pid_ > 0 && !end_) {
    ::kill(pid_, SIGKILL);
    wait();
  }
}

const std::optional<Process::End>& Process::poll() {
  int status = 0;
  if (!end_ && ::waitpid(pid_, &status, WNOHANG) == pid_) {
    end_ = WIFEXITED(status) ? End{WEXITSTATUS(status), false} : End{WTERMSIG(status), true};
  }
  return end_;
}

const Process::End& Process::wait() {
  int status = 0;
  while (!end_) {
    if (::waitpid(pid_, &status, 0) == pid_) {
      end_ = WIFEXITED(status) ? End{WEXITSTATUS(status), false} : End{WTERMSIG(status), true};
    } else if (errno != EINTR) {
      end_ = End{-1, false};  // the process was reaped elsewhere
    }
  }
  return *end_;
}

void Process::signal(int number) {
  if (alive()) {
    ::kill(pid_, number);
  }
}

std::string Process::log() const {
  std::ifstream file(spec_.log, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

std::string to_string(const Process::End& end) {
  return end.by_signal ? "killed by signal " + std::to_string(end.status)
                       : "ended with status " + std::to_string(end.status);
}

}  // namespace trailcourse::fleet
