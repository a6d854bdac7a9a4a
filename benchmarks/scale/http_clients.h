// Clients that load one server on loopback with the calls that routers make. They run in a thread of their
// own, so that the processor time of the server's thread excludes them, and parse no more of the responses
// than they need.
//
// For benchmarks only: if a client cannot connect, the program terminates.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include "protocol/http_client.h"
#include "transport/socket.h"

namespace trailcourse::scale {

// Traffic of all clients so far. Bytes include the headers of HTTP but not those of TCP and IP.
struct ClientCounts {
  std::atomic<std::uint64_t> answers{0};  // responses; of WatchingClients: reads that returned data
  std::atomic<std::uint64_t> bytes_out{0};
  std::atomic<std::uint64_t> bytes_in{0};
};

// Clients that poll a discovery server continuously. Each requests the events after its last page.
class PollingClients {
 public:
  // The server may hold each poll for up to `long_poll_ms`.
  PollingClients(const transport::Address& server, int clients, int long_poll_ms);
  ~PollingClients();
  PollingClients(const PollingClients&) = delete;
  PollingClients& operator=(const PollingClients&) = delete;

  const ClientCounts& counts() const { return counts_; }

 private:
  struct Client {
    transport::Descriptor socket;
    protocol::http::ResponseParser parser{protocol::http::Bounds()};
  };

  void run();
  void send_poll(Client& client, std::uint64_t last_event);
  void read_response(Client& client);

  transport::Address server_;
  int long_poll_ms_;
  transport::Descriptor epoll_;
  std::vector<Client> clients_;
  ClientCounts counts_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

// Clients that send one request each and then read the streamed response, as the watches of a store do.
class WatchingClients {
 public:
  WatchingClients(const transport::Address& server, int clients, std::string request);
  ~WatchingClients();
  WatchingClients(const WatchingClients&) = delete;
  WatchingClients& operator=(const WatchingClients&) = delete;

  const ClientCounts& counts() const { return counts_; }

 private:
  void run();

  transport::Address server_;
  std::string request_;
  transport::Descriptor epoll_;
  std::vector<transport::Descriptor> sockets_;
  ClientCounts counts_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

// One client that makes the same call `calls` times, one after the other.
class CallingClient {
 public:
  CallingClient(const transport::Address& server, std::string request, int calls);
  ~CallingClient();
  CallingClient(const CallingClient&) = delete;
  CallingClient& operator=(const CallingClient&) = delete;

  // Whether all calls were answered or the server has closed the connection.
  bool done() const { return done_; }
  // `answers` counts the responses with status 200.
  const ClientCounts& counts() const { return counts_; }

 private:
  void run(const transport::Address& server, int calls);

  std::string request_;
  ClientCounts counts_;
  std::atomic<bool> done_{false};
  std::thread thread_;
};

}  // namespace trailcourse::scale
