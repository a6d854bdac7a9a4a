// Processes of this program as children: started with a log of their own, signalled by id, reaped, and never
// left behind, whatever becomes of the one who started them.
//
// Package `fleet`, over `transport`. One thread; a child ends with the thread that started it.
#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace trailcourse::fleet {

class Process {
 public:
  struct Spec {
    std::string name;                      // in messages
    std::vector<std::string> words;        // the program's path and its arguments
    std::string log;                       // a file; standard output and error are appended to it
    std::vector<std::string> environment;  // NAME=VALUE, beside what this process has
  };
  // How it ended.
  struct End {
    int status = 0;  // the exit status, or the signal
    bool by_signal = false;
  };

  // Starts it. Throws std::system_error where the system gives no process or no log. A program that cannot be
  // run ends with status 127.
  explicit Process(Spec spec);
  // Kills it where it still runs, and waits for its end.
  ~Process();
  Process(Process&& other) noexcept;
  Process& operator=(Process&&) = delete;
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  const std::string& name() const { return spec_.name; }
  pid_t pid() const { return pid_; }
  // Whether it has not ended; a stopped one is alive.
  bool alive() { return !look(); }
  // Its end, where it has come.
  const std::optional<End>& look();
  // Waits for its end.
  const End& wait();
  // Nothing happens where it has ended.
  void signal(int number);

  // All that its log holds, also from starts before this one.
  std::string log() const;

 private:
  Spec spec_;
  pid_t pid_ = -1;
  std::optional<End> end_;
};

// "ended with status 1", "killed by signal 9".
std::string to_string(const Process::End& end);

}  // namespace trailcourse::fleet
