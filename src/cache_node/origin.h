// A small origin for trying things out and for measurements: it serves made objects or a folder, over the
// same protocol as caches. It keeps nothing, and every copy that it gives out is new.
//
// Package `cache_node`. One thread.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "cache_node/command_server.h"
#include "cache_node/node_options.h"

namespace trailcourse::cache_node {

// The bytes of a made object: a function of its name and version alone.
std::string made_object(const std::string& item, const std::string& chunk, std::uint64_t version,
                        std::size_t size);

class Origin : public Service {
 public:
  Origin(transport::Scheduler& scheduler, const OriginOptions& options);

  void start();  // throws std::system_error
  void stop();

  void serve(Ticket ticket, protocol::ServeFields fields, std::string body) override;
  void cancel(Ticket ticket) override { open_.erase(ticket); }
  bool up() const override { return true; }
  std::string meter() const override;

  // Made objects are of this version from now on, as if all had been edited.
  void edit() { ++version_; }
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
  transport::Clock::time_point link_free_ = transport::Clock::now();
};

}  // namespace trailcourse::cache_node
