// A small origin for tests and benchmarks. It serves generated objects or the files of a folder over the
// protocol of the caches, stores nothing, and sends each copy with the current time as its origin time.
//
// Library `cache_node`. Not thread-safe: it belongs to its scheduler's thread.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "cache_node/command_server.h"
#include "cache_node/node_options.h"

namespace trailcourse::cache_node {

// Returns the bytes of a generated object, which depend on its name, version and size alone.
std::string generate_object(const std::string& item, const std::string& chunk, std::uint64_t version,
                            std::size_t size);

// Serves objects with the given options.
class Origin : public CommandHandler {
 public:
  Origin(transport::Scheduler& scheduler, const OriginOptions& options);

  // Throws std::system_error if the address cannot be listened on.
  void start();
  // Closes the listener, and each connection once its answers are written.
  void stop();

  void serve(Ticket ticket, protocol::ServeFields fields, std::string body) override;
  void cancel(Ticket ticket) override { open_.erase(ticket); }
  bool accepting() const override { return true; }
  std::string load_report() const override;

  // Changes all generated objects, as if each had been edited.
  void increment_version() { ++version_; }
  // Return the number of requests for objects that exist, and the bytes of objects in the answers.
  std::uint64_t served() const { return served_; }
  std::uint64_t served_bytes() const { return served_bytes_; }

 private:
  std::optional<std::string> load(const protocol::ServeFields& fields) const;
  void respond(Ticket ticket);

  transport::Scheduler& scheduler_;
  OriginOptions options_;
  CommandServer server_;
  std::map<Ticket, protocol::ServeFields> open_;
  std::uint64_t version_ = 1;
  std::uint64_t served_ = 0;
  std::uint64_t served_bytes_ = 0;
  std::uint64_t writes_ = 0;
  transport::Clock::time_point link_free_at_ = transport::Clock::now();
};

}  // namespace trailcourse::cache_node
