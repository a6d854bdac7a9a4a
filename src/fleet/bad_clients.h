// Clients that misuse a router: they write slowly, stop half way, flood it or leave without reading. They run
// in a thread of their own over blocking system calls with timeouts, beside the usual clients of a load
// generator.
//
// Library `fleet`.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

#include "transport/socket.h"

namespace trailcourse::fleet {

// What the clients do, again and again.
enum class Misuse {
  kEmptyFields,      // 64 heads of 8,190 empty fields on each connection, all completed in one write
  kShortFields,      // 32 heads of 5,000 short fields, completed after 0 to 2 s
  kStoppedBodies,    // requests with most of a large body, and nothing more
  kSlowWriters,      // requests with a large body, some bytes at a time
  kLongHeads,        // requests whose parameters exceed every limit, at full speed
  kManagement,       // management records without content, at full speed
  kGetValues,        // FCGI_GET_VALUES, at full speed
  kAbortedRequests,  // requests for ever new objects, each aborted, at full speed
  kNewObjects,       // requests for ever new objects, again as soon as they are answered
  kUnreadAnswers,    // requests whose answers are not read
  kCloseUnread,      // requests at full speed, then a close with a reset
  kSilent,           // connections without any request
};

// Returns the name of a misuse as in `empty-fields`, and the misuse with a name; nothing for an unknown one.
std::string_view to_string(Misuse misuse);
std::optional<Misuse> parse_misuse(std::string_view name);

class BadClients {
 public:
  struct Options {
    Misuse misuse = Misuse::kEmptyFields;
    std::size_t connections = 1;
    std::string request_class = "media";
    std::uint64_t seed = 1;
  };
  struct Counts {
    std::uint64_t connects = 0;
    std::uint64_t closes = 0;  // by the router
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t answers = 0;  // END_REQUEST records
  };

  // Starts the clients. They connect again where the router closes a connection.
  BadClients(const transport::Address& router, const Options& options);
  // Stops them and closes all connections.
  ~BadClients();
  BadClients(const BadClients&) = delete;
  BadClients& operator=(const BadClients&) = delete;

  Counts counts() const;

 private:
  class Client;
  struct Progress {
    std::atomic<std::uint64_t> connects = 0;
    std::atomic<std::uint64_t> closes = 0;
    std::atomic<std::uint64_t> bytes_sent = 0;
    std::atomic<std::uint64_t> bytes_received = 0;
    std::atomic<std::uint64_t> answers = 0;
  };

  void run(const transport::Address& router, const Options& options);

  Progress progress_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace trailcourse::fleet
