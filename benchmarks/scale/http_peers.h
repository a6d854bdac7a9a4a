// Many clients of one server on loopback, in a thread of their own, so that what the server costs can be told
// apart by its thread. They make the calls that the project's routers make, and read no more of the answers
// than they need.
//
// Benchmarks only. A connection that does not come up ends the program.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include "protocol/http_client.h"
#include "transport/socket.h"

namespace trailcourse::scale {

// What passed so far: headers of HTTP are counted, those of TCP and IP are not.
struct PeerCounts {
  std::atomic<std::uint64_t> answers{0};
  std::atomic<std::uint64_t> bytes_out{0};
  std::atomic<std::uint64_t> bytes_in{0};
};

// Clients that ask a board's pages again and again, each for what is later than the last page it got.
class PollingPeers {
 public:
  // `linger_ms`: for which each call may be held.
  PollingPeers(const transport::Address& server, int peers, int linger_ms);
  ~PollingPeers();
  PollingPeers(const PollingPeers&) = delete;
  PollingPeers& operator=(const PollingPeers&) = delete;

  const PeerCounts& counts() const { return counts_; }

 private:
  struct Peer {
    transport::Descriptor socket;
    protocol::http::ResponseParser parser{protocol::http::Bounds()};
  };

  void run();
  void ask(Peer& peer, std::uint64_t last);
  void read(Peer& peer);

  transport::Address server_;
  int linger_ms_;
  transport::Descriptor epoll_;
  std::vector<Peer> peers_;
  PeerCounts counts_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

// Clients that send one request each and then take whatever comes: watches of a store.
class ListeningPeers {
 public:
  ListeningPeers(const transport::Address& server, int peers, std::string request);
  ~ListeningPeers();
  ListeningPeers(const ListeningPeers&) = delete;
  ListeningPeers& operator=(const ListeningPeers&) = delete;

  const PeerCounts& counts() const { return counts_; }

 private:
  void run();

  transport::Address server_;
  std::string request_;
  transport::Descriptor epoll_;
  std::vector<transport::Descriptor> sockets_;
  PeerCounts counts_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

// One client that makes the same call so many times, each after the answer to the one before.
class CallingPeer {
 public:
  CallingPeer(const transport::Address& server, std::string request, int calls);
  ~CallingPeer();
  CallingPeer(const CallingPeer&) = delete;
  CallingPeer& operator=(const CallingPeer&) = delete;

  bool done() const { return done_; }
  // `answers`: those with status 200.
  const PeerCounts& counts() const { return counts_; }

 private:
  void run(const transport::Address& server, int calls);

  std::string request_;
  PeerCounts counts_;
  std::atomic<bool> done_{false};
  std::thread thread_;
};

}  // namespace trailcourse::scale
