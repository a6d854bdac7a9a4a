// `trailcourse board`: a discovery service that publishes the events of a file. Library `discovery` decides
// which call is answered, waits or is rejected; this class reads and watches the file.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "discovery/discovery_server.h"
#include "discovery/event_log.h"

namespace trailcourse::program {

// Serves the events of a file, and reads the file again when it changes.
class DiscoveryFileServer {
 public:
  // Throws ConfigurationError if the file is invalid. The id of the service is the key `board` of the file,
  // or else it is derived from `seed`, so that a restart with other sequence numbers has another id.
  DiscoveryFileServer(transport::Scheduler& scheduler, const discovery::DiscoveryOptions& options,
                      std::uint64_t seed);
  DiscoveryFileServer(const DiscoveryFileServer&) = delete;
  DiscoveryFileServer& operator=(const DiscoveryFileServer&) = delete;

  // Starts to serve. Throws std::system_error if the address is not available.
  void listen(const transport::Address& address);
  // Reads the file again; an invalid one is logged and changes nothing.
  void reread();
  // Returns the counters as one line.
  std::string report() const;

 private:
  transport::Task<void> watch_file();
  // Publishes an event of owned work after it is stored durably in the file.
  discovery::PublishResponse publish(const std::string& body);

  transport::Scheduler& scheduler_;
  std::string file_;
  std::string text_;
  discovery::EventLog log_;
  discovery::DiscoveryServer server_;
  std::uint64_t fenced_accepted_ = 0;
  std::uint64_t fenced_rejected_ = 0;
};

// Appends an event to the file of a discovery service by replacing the file, and returns the sequence number
// of the event. Throws ConfigurationError if the file is invalid or cannot be replaced.
std::uint64_t append_event(const std::string& file, nlohmann::json event);

}  // namespace trailcourse::program
