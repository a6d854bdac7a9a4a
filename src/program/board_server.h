// A small notice board for trying things out: it tells what stands in a file, and holds calls back until
// there is news.
#pragma once

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "transport/connection.h"

namespace trailcourse::program {

class BoardServer {
 public:
  // Throws ConfigurationError where the file cannot be used.
  BoardServer(transport::Scheduler& scheduler, std::string file);
  ~BoardServer();
  BoardServer(const BoardServer&) = delete;
  BoardServer& operator=(const BoardServer&) = delete;

  // Throws std::system_error.
  void listen(const transport::Address& address);
  // Reads the file again; one that cannot be used changes nothing.
  void reread();

 private:
  class Session;

  transport::Task<void> accept_loop();
  transport::Task<void> watch_file();
  nlohmann::json later_than(std::uint64_t number) const;

  transport::Scheduler& scheduler_;
  std::string file_;
  std::string text_;
  std::uint64_t last_ = 0;
  nlohmann::json notices_;
  transport::Descriptor listener_;
  std::unique_ptr<transport::Watch> watch_;
  std::set<std::shared_ptr<Session>> sessions_;
};

// Adds an event to such a file, atomically; it gets the next number, which is given. Throws
// ConfigurationError.
std::uint64_t add_notice(const std::string& file, nlohmann::json event);

}  // namespace trailcourse::program
