// Tests ClientConnection against a server in the same scheduler, which sends the bytes that a test sets.
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "fleet/port_allocator.h"
#include "http/client_connection.h"
#include "transport/accept_loop.h"

namespace trailcourse::http {
namespace {

using std::chrono::milliseconds;
using transport::Clock;
using transport::Connection;
using transport::ConnectionEnd;

constexpr std::string_view kResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";

class ClientConnectionTest : public testing::Test {
 protected:
  // Answers each received piece with the fixture's `answer_`; closes the connection if `close_after_answer_`
  // is set.
  class ServerHandler : public Connection::Handler {
   public:
    ServerHandler(ClientConnectionTest& fixture, const std::shared_ptr<Connection>& connection)
        : fixture_(fixture), connection_(connection) {}
    void on_bytes(std::string_view) override {
      connection_.write(fixture_.answer_);
      if (fixture_.close_after_answer_) {
        connection_.close_when_written();
      }
    }
    void on_end(ConnectionEnd) override {}

   private:
    ClientConnectionTest& fixture_;
    transport::ConnectionHandle connection_;
  };

  void listen() {
    server_.emplace(scheduler_, address_, 16, milliseconds(10), [this](transport::Descriptor socket) {
      const auto connection = Connection::adopt(scheduler_, std::move(socket), {});
      connection->start(std::make_shared<ServerHandler>(*this, connection));
    });
  }

  std::shared_ptr<ClientConnection> open() {
    return ClientConnection::open(scheduler_, address_, {}, protocol::http::Bounds());
  }

  bool until(const std::function<bool()>& done) {
    const Clock::time_point deadline = Clock::now() + std::chrono::seconds(10);
    while (!done() && Clock::now() < deadline) {
      scheduler_.run_iteration(milliseconds(5));
    }
    return done();
  }

  static transport::Task<void> receive_into(std::shared_ptr<ClientConnection> connection,
                                            Clock::duration longest, ClientConnectionTest* fixture) {
    auto receiving = ClientConnection::receive(connection, Clock::now() + longest);
    fixture->received_ = co_await receiving;
    fixture->finished_ = true;
  }
  // Writes a request and waits for its response.
  std::optional<protocol::http::Response> exchange(const std::shared_ptr<ClientConnection>& connection,
                                                   Clock::duration longest) {
    finished_ = false;
    request_ = connection->write(protocol::http::write_get("/", "host"));
    scheduler_.spawn(receive_into(connection, longest, this));
    EXPECT_TRUE(until([this] { return finished_; }));
    return received_;
  }

  fleet::PortAllocator ports_;
  transport::Address address_ = ports_.allocate();
  transport::Scheduler scheduler_;
  std::string answer_{kResponse};
  bool close_after_answer_ = false;
  std::optional<transport::AcceptLoop> server_;
  ClientConnection::WriteToken request_ = 0;
  std::optional<protocol::http::Response> received_;
  bool finished_ = false;
};

TEST_F(ClientConnectionTest, CarriesSeveralExchangesOnOneConnection) {
  listen();
  const auto connection = open();
  for (int i = 0; i < 3; ++i) {
    const auto response = exchange(connection, std::chrono::seconds(5));
    ASSERT_TRUE(response) << "exchange " << i;
    EXPECT_EQ(response->body, "hi");
    EXPECT_TRUE(connection->usable());
  }
  connection->close(ConnectionEnd::kDropped);
  EXPECT_TRUE(connection->closed());
}

TEST_F(ClientConnectionTest, StopsReceivingAtTheDeadline) {
  listen();
  answer_ = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh";
  const auto connection = open();
  EXPECT_FALSE(exchange(connection, milliseconds(50)));
  EXPECT_TRUE(connection->usable()) << "it has neither ended nor sent anything malformed";
  EXPECT_TRUE(connection->may_have_sent(request_));
  connection->close(ConnectionEnd::kSilent);
}

TEST_F(ClientConnectionTest, ReportsARefusedConnection) {
  const auto connection = open();
  EXPECT_FALSE(exchange(connection, std::chrono::seconds(5)));
  EXPECT_EQ(connection->end(), ConnectionEnd::kRefused);
  EXPECT_FALSE(connection->usable());
}

TEST_F(ClientConnectionTest, ReportsTheReasonOfAMalformedResponse) {
  listen();
  answer_ = "no HTTP at all\r\n\r\n";
  const auto connection = open();
  EXPECT_FALSE(exchange(connection, std::chrono::seconds(5)));
  EXPECT_TRUE(connection->malformed());
  EXPECT_NE(connection->parse_error(), "");
  connection->close(ConnectionEnd::kMalformed);
}

TEST_F(ClientConnectionTest, CompletesAResponseWithoutALengthWhenTheConnectionEnds) {
  listen();
  answer_ = "HTTP/1.1 200 OK\r\n\r\nall of it";
  close_after_answer_ = true;
  const auto connection = open();
  const auto response = exchange(connection, std::chrono::seconds(5));
  ASSERT_TRUE(response);
  EXPECT_EQ(response->body, "all of it");
  EXPECT_FALSE(response->keep_open);
}

}  // namespace
}  // namespace trailcourse::http
