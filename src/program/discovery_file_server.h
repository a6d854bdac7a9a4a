// A notice board that tells what stands in a file: `trailcourse board`. Which call is answered, held or sent
// away is decided in `board`; this reads the file and puts the parts together.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "discovery/discovery_server.h"
#include "discovery/event_log.h"

namespace trailcourse::program {

class DiscoveryFileServer {
 public:
  // Throws ConfigurationError where the file cannot be used. `id` names this start of the board: a file with
  // numbers of its own is another board. The file may name itself by `"board"`; else it is `id`.
  DiscoveryFileServer(transport::Scheduler& scheduler, const discovery::DiscoveryOptions& options,
                      std::uint64_t seed);
  DiscoveryFileServer(const DiscoveryFileServer&) = delete;
  DiscoveryFileServer& operator=(const DiscoveryFileServer&) = delete;

  // Throws std::system_error.
  void listen(const transport::Address& address);
  // Reads the file again; one that cannot be used changes nothing.
  void reread();
  // One line of figures.
  std::string report() const;

 private:
  transport::Task<void> watch_file();
  // A notice of owned work: kept durably before it is told.
  discovery::PublishResponse publish(const std::string& body);

  transport::Scheduler& scheduler_;
  std::string file_;
  std::string text_;
  discovery::EventLog log_;
  discovery::DiscoveryServer server_;
  std::uint64_t posted_ = 0;
  std::uint64_t refused_ = 0;
};

// Adds an event to such a file, atomically; it gets the next number, which is given. Throws
// ConfigurationError.
std::uint64_t append_event(const std::string& file, nlohmann::json event);

}  // namespace trailcourse::program
