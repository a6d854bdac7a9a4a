// One connection to an HTTP/1.1 server, for coroutines that send a request and wait for its response.
//
// Library `http`. Not thread-safe: it belongs to its scheduler's thread.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "protocol/http_client.h"
#include "transport/connection.h"
#include "transport/scheduler.h"

namespace trailcourse::http {

// Buffers the received bytes until the waiting coroutine reads them. The transport connection owns this
// handler until it has ended; the handler refers to it weakly. One coroutine waits at a time, and holds a
// shared_ptr to this object meanwhile.
class ClientConnection : public transport::Connection::Handler {
 public:
  // Identifies a request that was written, for may_have_sent().
  using WriteToken = std::uint64_t;

  // Starts to connect. Requests may be written at once; they are sent once the connection is established.
  static std::shared_ptr<ClientConnection> open(transport::Scheduler& scheduler, const transport::Address& to,
                                                const transport::Connection::Bounds& connection_bounds,
                                                const protocol::http::Bounds& response_bounds);

  ClientConnection(transport::Scheduler& scheduler, const transport::Address& to,
                   const protocol::http::Bounds& response_bounds)
      : changed_(scheduler), parser_(response_bounds), peer_(to) {}

  // Returns whether a request may be written: the connection has not ended, and no response was malformed.
  bool usable() const { return !end_ && !parser_.failed(); }
  // Returns whether the connection has ended, even if on_end() has not been called yet.
  bool closed() const;
  const transport::Address& peer() const { return peer_; }
  // Returns how the connection ended; nothing while it is open.
  const std::optional<transport::ConnectionEnd>& end() const { return end_; }
  // Returns whether a response was malformed; parse_error() is then the reason.
  bool malformed() const { return parser_.failed(); }
  const std::string& parse_error() const { return parser_.error(); }
  // Returns the status of the response that is being received; 0 before its first line.
  int status() const { return parser_.status(); }

  // Queues a complete request.
  WriteToken write(std::string request);
  // Returns whether any byte of the request may have been sent. Valid while the connection has not ended.
  bool may_have_sent(WriteToken request) const;
  void close(transport::ConnectionEnd end);

  // Waits for the next complete response, until the deadline. Returns nothing if the connection ended, a
  // response was malformed, or the deadline passed; see end() and malformed().
  static transport::Task<std::optional<protocol::http::Response>> receive(
      std::shared_ptr<ClientConnection> connection, transport::Clock::time_point deadline);

  // Awaitable: true once anything was received, the connection ended, or wake() was called; false after
  // `timeout`.
  transport::Signal::Wait wait(transport::Clock::duration timeout) { return changed_.wait(timeout); }
  // Resumes the coroutine that waits.
  void wake() { changed_.notify(); }
  // Removes and returns the bytes received so far of an incomplete body, for a body that is read as a stream.
  std::optional<std::string> take_body_part() { return parser_.take_body_part(); }

  void on_bytes(std::string_view bytes) override;
  void on_end(transport::ConnectionEnd end) override;

 private:
  transport::Signal changed_;
  protocol::http::ResponseParser parser_;
  transport::Address peer_;
  std::weak_ptr<transport::Connection> connection_;
  std::optional<transport::ConnectionEnd> end_;
};

}  // namespace trailcourse::http
