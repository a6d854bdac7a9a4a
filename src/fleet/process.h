// A child process with its own log file. It is signalled by its id, reaped, and killed when its parent ends,
// even if the parent crashes.
//
// Library `fleet`, over `transport`. Single-threaded; a child is killed when the thread that started it ends.
#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace trailcourse::fleet {

class Process {
 public:
  struct Spec {
    std::string name;                      // for messages
    std::vector<std::string> arguments;    // the path of the program and its arguments
    std::string log;                       // a file; standard output and error are appended to it
    std::vector<std::string> environment;  // NAME=VALUE, added to that of this process
  };
  struct End {
    int status = 0;  // the exit status, or the number of the signal; -1 if unknown
    bool by_signal = false;
  };

  // Starts the process. Throws std::system_error if the log cannot be opened or no process can be created.
  // A program that cannot be run ends with status 127.
  explicit Process(Spec spec);
  // Kills the process if it still runs, and waits for its end.
  ~Process();
  Process(Process&& other) noexcept;
  Process& operator=(Process&&) = delete;
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  const std::string& name() const { return spec_.name; }
  pid_t pid() const { return pid_; }
  // Returns whether the process has not ended; a stopped one is alive.
  bool alive() { return !poll(); }
  // Returns how the process ended, or nothing while it is alive. Does not block.
  const std::optional<End>& poll();
  // Blocks until the process ends.
  const End& wait();
  // Sends a signal; does nothing if the process has ended.
  void signal(int number);

  // Returns the whole log file, including the output of earlier processes with the same log.
  std::string log() const;

 private:
  Spec spec_;
  pid_t pid_ = -1;
  std::optional<End> end_;
};

// Returns for example "ended with status 1" or "killed by signal 9".
std::string to_string(const Process::End& end);

}  // namespace trailcourse::fleet
