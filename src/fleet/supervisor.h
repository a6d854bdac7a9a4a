// Starts the members of a layout as child processes, signals them by name, and kills all of them when it is
// destroyed.
//
// Library `fleet`, over `transport`. It has to be used by one thread only, since children are killed when the
// thread that started them ends. Functions that wait run the scheduler, so that proxies and load generators
// in the same process continue to work.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet/layout.h"
#include "fleet/process.h"
#include "transport/scheduler.h"

namespace trailcourse::fleet {

class Supervisor {
 public:
  Supervisor(transport::Scheduler& scheduler, Layout& layout, std::string program)
      : scheduler_(scheduler), layout_(layout), program_(std::move(program)) {}

  // Writes the configuration of a member and starts it, without waiting until it listens. Does nothing if it
  // runs.
  void start(const std::string& name);
  // Starts all members of a kind, without waiting.
  void start_all(Kind kind);
  // Sends SIGKILL and waits for the end of the process.
  void kill(const std::string& name);
  // Sends SIGTERM and waits for the end of the process. Kills it and returns nothing after `timeout`.
  std::optional<Process::End> terminate(const std::string& name, std::chrono::milliseconds timeout);
  void signal(const std::string& name, int number);

  bool alive(const std::string& name);
  // Returns the process id of a member; -1 if it was not started.
  pid_t pid(const std::string& name) const;
  // Returns the whole log of a member; empty if it was not started.
  std::string log(const std::string& name) const;
  // Returns the log since the last start of the member.
  std::string log_since_start(const std::string& name) const;
  // Returns the members that have ended although neither kill() nor terminate() was called for them, each
  // as its name and how its process ended.
  std::vector<std::string> unexpected_exits();

  // Runs the scheduler until `done` returns true or `timeout` has passed. Returns whether `done` returned
  // true.
  bool run_until(const std::function<bool()>& done, std::chrono::milliseconds timeout);
  // Waits until the member listens; returns false if it ends or does not listen in time.
  bool await_up(const std::string& name, std::chrono::milliseconds timeout);
  // Waits until the log since the member's last start contains `text`; returns false as await_up() does.
  bool await_log(const std::string& name, const std::string& text, std::chrono::milliseconds timeout);

 private:
  struct Child {
    Process process;
    std::size_t log_from = 0;  // size of the log at the start, in bytes
  };

  transport::Scheduler& scheduler_;
  Layout& layout_;
  std::string program_;
  std::map<std::string, Child> children_;
};

}  // namespace trailcourse::fleet
