// Starts the members of a layout, knows which are up, signals them by name, and takes all of them down with
// it.
//
// Package `fleet`, over `transport`. One thread, the same for its whole life (children end with the thread
// that started them). Waiting is done by turning the scheduler, so that proxies and load in the same process
// go on.
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

  // Writes the member's file and starts it; it may not be up yet. Nothing happens where it runs.
  void start(const std::string& name);
  // Those of a kind, one after the other without waiting.
  void start_all(Kind kind);
  // SIGKILL, and its end awaited.
  void kill(const std::string& name);
  // SIGTERM, and its end awaited; nothing where it did not end within `longest`.
  std::optional<Process::End> end(const std::string& name, std::chrono::milliseconds longest);
  void signal(const std::string& name, int number);

  bool alive(const std::string& name);
  pid_t pid(const std::string& name) const;
  std::string log(const std::string& name) const;
  // What the log says since the last start.
  std::string log_since_start(const std::string& name) const;
  // Those that have ended without being told to, with how.
  std::vector<std::string> missing();

  // Turns the scheduler until `done`, or until `longest` has passed; whether it was done.
  bool until(const std::function<bool()>& done, std::chrono::milliseconds longest);
  // Waits until it listens; false where it has ended or is not up in time.
  bool await_up(const std::string& name, std::chrono::milliseconds longest);
  // Waits until its log since the last start holds these words.
  bool await_log(const std::string& name, const std::string& words, std::chrono::milliseconds longest);

 private:
  struct Child {
    Process process;
    std::size_t log_from = 0;  // bytes of the log from starts before
  };

  transport::Scheduler& scheduler_;
  Layout& layout_;
  std::string program_;
  std::map<std::string, Child> children_;
};

}  // namespace trailcourse::fleet
