// Sends requests to routers as a web server does, and records the outcome of each.
//
// Library `fleet`, over `protocol` and `transport`. Single-threaded.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "transport/connection.h"

namespace trailcourse::fleet {

struct SentRequest {
  std::uint64_t id = 0;
  std::string router;
  std::string object;
  transport::Clock::time_point sent;
  std::optional<transport::Clock::time_point> answered;
  int answers = 0;                // complete ones; more than one is a protocol violation
  int status = 0;                 // of the first answer; 0: none yet, or it cannot be parsed
  std::string via;                // "cache/attempt/note", from X-Via
  std::string policy;             // the version from X-Policy: "7", "6+7" or "-"; empty without the header
  std::int64_t decided_us = 0;    // time of the decision by the machine's steady clock, from X-Policy
  std::string body;               // only with Options::keep_bodies
  std::size_t bytes = 0;          // of the body
  int version = 0;                // in the first line of a generated object; 0: it has none
  bool connection_ended = false;  // the connection ended before the complete answer
};

class LoadGenerator {
 public:
  struct Options {
    std::string request_class = "media";
    std::chrono::milliseconds patience{2'000};  // time that the client waits for an answer
    double size_kb = 0.0;                       // size of the object that requests state; 0: they state none
    bool keep_bodies = false;
  };

  LoadGenerator(transport::Scheduler& scheduler, Options options, std::uint64_t seed);
  ~LoadGenerator();
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;

  // Sends one request and returns its index in requests(). Opens a connection to the router if there is none.
  std::size_t send(const std::string& router, const transport::Address& address, const std::string& object);
  const std::vector<SentRequest>& requests() const { return requests_; }
  // Returns the number of requests without an answer on connections that are up.
  std::size_t open() const { return open_; }
  // Returns the number of connections that were opened so far.
  std::size_t connections() const { return connections_; }
  // Returns the number of requests without an answer at one router.
  std::size_t open_at(const std::string& router) const;

 private:
  class Link;

  transport::Scheduler& scheduler_;
  Options options_;
  std::uint64_t next_id_;
  std::vector<SentRequest> requests_;
  std::map<std::string, std::shared_ptr<Link>> links_;
  std::size_t open_ = 0;
  std::size_t connections_ = 0;
};

// Returns the name of an object: its number in sixteen hex digits.
std::string object_name(std::uint64_t number);

}  // namespace trailcourse::fleet
