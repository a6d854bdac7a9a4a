#include "http/client_connection.h"

#include <utility>

namespace trailcourse::http {

using transport::Clock;
using transport::Connection;
using transport::ConnectionEnd;

std::shared_ptr<ClientConnection> ClientConnection::open(transport::Scheduler& scheduler,
                                                         const transport::Address& to,
                                                         const Connection::Bounds& connection_bounds,
                                                         const protocol::http::Bounds& response_bounds) {
  auto client = std::make_shared<ClientConnection>(scheduler, to, response_bounds);
  const std::shared_ptr<Connection> connection = Connection::connect(scheduler, to, connection_bounds);
  client->connection_ = connection;
  connection->start(client);
  return client;
}

bool ClientConnection::closed() const {
  const std::shared_ptr<Connection> connection = connection_.lock();
  return !connection || connection->ended();
}

ClientConnection::WriteToken ClientConnection::write(std::string request) {
  const std::shared_ptr<Connection> connection = connection_.lock();
  return connection ? connection->write(std::move(request)) : 0;
}

bool ClientConnection::may_have_sent(WriteToken request) const {
  const std::shared_ptr<Connection> connection = connection_.lock();
  return !connection || connection->may_have_sent(request);
}

void ClientConnection::close(ConnectionEnd end) {
  if (const std::shared_ptr<Connection> connection = connection_.lock()) {
    connection->close(end);
  }
}

transport::Task<std::optional<protocol::http::Response>> ClientConnection::receive(
    std::shared_ptr<ClientConnection> connection, Clock::time_point deadline) {
  for (;;) {
    std::optional<protocol::http::Response> response = connection->parser_.take();
    if (response) {
      co_return response;
    }
    const Clock::duration left = deadline - Clock::now();
    if (!connection->usable() || left <= Clock::duration::zero()) {
      co_return std::nullopt;
    }
    co_await connection->changed_.wait(left);
  }
}

void ClientConnection::on_bytes(std::string_view bytes) {
  parser_.feed(bytes);
  changed_.notify();
}

void ClientConnection::on_end(ConnectionEnd end) {
  parser_.feed_end();
  end_ = end;
  changed_.notify();
}

}  // namespace trailcourse::http
