// The server that answers clients over FastCGI.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "memory/memory_account.h"
#include "protocol/fastcgi.h"
#include "routing/call_id_registry.h"
#include "routing/router.h"
#include "transport/connection.h"

namespace trailcourse::routing {

class FastCgiServer;

// One connection from a client.
class FastCgiConnection : public transport::Connection::Handler,
                          public std::enable_shared_from_this<FastCgiConnection> {
 public:
  // `server` has to outlive this object.
  FastCgiConnection(FastCgiServer& server, transport::Connection& connection);

  void on_bytes(std::string_view bytes) override;
  bool has_backlog() const override { return backlog_start_ < backlog_.size(); }
  void on_turn() override;
  void on_drained() override { write_answers(); }
  void on_end(transport::ConnectionEnd end) override;

  // Sends a complete answer.
  void answer(protocol::fastcgi::RequestId request_id, std::string text);
  // Sends a complete answer that promises that the request had no effect.
  void refuse(protocol::fastcgi::RequestId request_id, std::string text);
  // Sends a part of an answer, which end() completes.
  void append(protocol::fastcgi::RequestId request_id, std::string bytes);
  void end(protocol::fastcgi::RequestId request_id, protocol::fastcgi::ProtocolStatus status,
           std::uint32_t application_status);
  // Returns whether the client of a request has neither closed its connection nor aborted the request.
  bool client_waits(protocol::fastcgi::RequestId request_id) const;
  // Notes that a request may be executed from now on.
  void attempt_begins(protocol::fastcgi::RequestId request_id);
  // Makes room in the memory account for this many bytes of an answer; returns false where there is none.
  bool make_room(std::size_t bytes);
  // Replaces the largest complete answer of which nothing is written by a short failure. Returns false where
  // there is none.
  bool fail_largest_answer();
  // Rejects the largest incomplete request. Where none holds any bytes, closes the connection if received
  // bytes alone exceed their limit. Returns whether it freed any.
  bool shed_input();

  // Returns whether the client has no open request and all its answers are written.
  bool idle() const {
    return open_requests_.empty() && answers_.empty() && connection_.unsent_bytes() == 0 &&
           replies_.empty() && !has_backlog();
  }

  // Returns whether closing the connection loses no valid request: it is idle, and either the last message is
  // complete or no valid request has come at all.
  bool may_close() const {
    return idle() && (!sent_valid_request_ || !parser_.has_partial_message()) && !connection_.ended();
  }

  // Closes the connection unless that could lose a request: one that is open or unread, whose answer is not
  // written, or that is probably in flight on a new connection.
  void close_if_answered();

  // Writes what the socket takes of the answers, and closes the connection. Returns whether all were written.
  bool write_and_close();

  // Returns whether the connection is idle and has waited since before `cutoff` for its first valid request
  // or for the rest of a message.
  bool timed_out(transport::Clock::time_point cutoff) const {
    return idle() && (!sent_valid_request_ || parser_.has_partial_message()) &&
           message_pending_since_ < cutoff && !connection_.ended();
  }

  // Returns the rank of the connection when one has to be closed; the lowest is closed first. Connections
  // without a valid request so far come first, then those that have received nothing for longest.
  std::pair<bool, transport::Clock::time_point> keep_priority() const {
    return {sent_valid_request_, connection_.last_received()};
  }

  // Returns whether the client has sent a valid request and then only a part of another one.
  bool has_partial_request() const {
    return sent_valid_request_ && parser_.has_partial_message() && !connection_.ended();
  }
  transport::Clock::time_point opened_at() const { return opened_at_; }
  std::size_t partial_bytes() const { return input_charge_.bytes(); }
  std::size_t answer_bytes() const { return answer_charge_.bytes(); }
  transport::Connection& connection() { return connection_; }

 private:
  struct OpenRequest {
    RequestId id = 0;  // at the router; 0 until the router has accepted the request
    std::uint64_t call_id = 0;
    bool is_safe = false;    // its class
    bool has_begun = false;  // an attempt: the request may have been executed
  };
  // How a request ends.
  enum class RequestEnd { kAnswered, kRefused, kAborted, kClientLeft };

  // Processes bytes until the work of one turn is done, and removes them.
  void process(std::string_view& bytes);
  void handle(protocol::fastcgi::RequestReceived&& received);
  void handle(protocol::fastcgi::RequestAborted&& aborted);
  void handle(protocol::fastcgi::RequestRejected&& rejected);
  void handle(protocol::fastcgi::ManagementReply&& reply);
  void handle(protocol::fastcgi::ParseError&& error);
  // Answers a complete but invalid request with status 400. No cache receives it.
  void reject_request(protocol::fastcgi::RequestId request_id, std::string_view reason);
  void write_answers();
  void schedule_write();
  void close_if_unread();
  void update_charges();
  // Closes the connection and frees its input.
  void close(transport::ConnectionEnd end);
  void answer_health_check(protocol::fastcgi::RequestId request_id, bool traced);
  // Removes a request from the open ones. Returns its id at the router; 0 if it has none.
  RequestId close_request(protocol::fastcgi::RequestId request_id, RequestEnd end);

  FastCgiServer& server_;
  transport::Connection& connection_;
  protocol::fastcgi::Parser parser_;
  protocol::fastcgi::AnswerQueue answers_;
  std::map<protocol::fastcgi::RequestId, OpenRequest> open_requests_;
  bool keep_connection_ = true;  // after the last answer
  bool ended_ = false;
  bool write_scheduled_ = false;
  bool sent_valid_request_ = false;
  transport::Clock::time_point opened_at_ = transport::Clock::now();
  transport::Clock::time_point message_pending_since_ = opened_at_;  // start of the wait for a message
  std::string backlog_;  // received bytes; those from backlog_start_ on are not processed yet
  std::size_t backlog_start_ = 0;
  std::string replies_;  // to management records, to be written
  memory::MemoryCharge connection_charge_;
  memory::MemoryCharge input_charge_;
  memory::MemoryCharge answer_charge_;
};

// Accepts connections from clients and passes their requests to the router.
class FastCgiServer {
 public:
  struct Bounds {
    int backlog = 1024;
    // Answers that clients have not read, over all connections, above which new requests are rejected.
    std::size_t max_unsent_bytes = 64U << 20U;
    // Charged for all that clients make the server hold.
    std::shared_ptr<memory::MemoryAccount> memory = std::make_shared<memory::MemoryAccount>();
    std::size_t record_bytes = 16U << 10U;  // of one FastCGI record of an answer
    Micros client_lead{0};           // part of a client's patience that passes before its request arrives
    std::size_t max_clients = 4096;  // connections
    std::size_t max_unread_answers = 1024;       // on one connection whose client reads none
    std::size_t max_unread_bytes = 256U << 10U;  // on one connection whose client reads no answers
    // A connection younger than this is not closed to free its descriptor, since its first request is
    // probably in flight.
    transport::Clock::duration client_young = std::chrono::milliseconds(100);
    transport::Clock::duration client_idle = std::chrono::seconds(15);  // after which a connection is closed
    // Time that a client has to complete a message.
    transport::Clock::duration client_request = std::chrono::seconds(2);
    transport::Connection::Bounds connection;
    protocol::fastcgi::Bounds requests;
  };
  // Returns whether requests can be served. Called for each health check.
  using Ready = std::function<bool()>;
  // Returns the body of the answer to a health check; empty: "ok". `traced`: the request has X-Trace.
  using Status = std::function<std::string(bool traced)>;
  // Closes a descriptor that another component uses. Returns false if none can be closed.
  using FreeDescriptor = std::function<bool()>;

  // All references have to outlive this object.
  FastCgiServer(transport::Scheduler& scheduler, Router& router, const Settings& settings,
                const std::unordered_map<std::string, int>& class_index, const Bounds& bounds, Ready ready,
                FreeDescriptor free_descriptor);
  ~FastCgiServer();
  FastCgiServer(const FastCgiServer&) = delete;
  FastCgiServer& operator=(const FastCgiServer&) = delete;

  // Throws std::system_error if it cannot listen on the address.
  void listen(const transport::Address& address);

  // Answers health checks with status 503 from now on. Requests are still served.
  void start_draining() { stage_ = Stage::kDraining; }

  // Rejects requests from now on, without passing them to the router, and closes each connection as soon as
  // its answers are written. Requests that the router has accepted before stay open.
  void start_closing();

  // Closes the connections on which no request is open, unread or incomplete and whose answers are written.
  // After start_closing(), to be called from time to time: a connection may have been idle all the while.
  void close_answered();

  void set_status_source(Status status) { status_ = std::move(status); }

  // Returns whether all connections are idle.
  bool idle() const;

  std::size_t client_count() const { return connections_.size(); }

  // Accepts all pending connections. Returns true if there were none and no open connection has received
  // bytes that were not read yet: then no request is waiting to be read.
  bool accept_pending();

  // Returns whether a part of a request has been received from any client that has sent a valid one before.
  bool has_partial_request() const;

  // Returns when the last request arrived. Health checks do not count.
  transport::Clock::time_point last_arrival() const { return last_arrival_; }

  // Stops listening and closes every connection, also those that are not idle, once as much as their sockets
  // take is written. To be called after start_closing().
  void close_all();

  // Returns whether any of the closed connections has not been closed by its client yet.
  bool has_lingering_connections() const {
    return bounds_.connection.lingering && bounds_.connection.lingering->count > 0;
  }

 private:
  friend class FastCgiConnection;

  enum class Stage { kServing, kDraining, kClosing };

  void add_connection(transport::Descriptor socket);
  bool close_one_client();
  // Sheds incomplete requests while they exceed the memory account, those of the connection with the most
  // bytes first.
  void limit_partial_requests();
  // As FastCgiConnection::make_room().
  bool make_room(std::size_t bytes);

  transport::Task<void> accept_loop();
  transport::Task<void> close_idle_connections();

  transport::Scheduler& scheduler_;
  Router& router_;
  const Settings& settings_;
  const std::unordered_map<std::string, int>& class_index_;
  Bounds bounds_;
  Ready ready_;
  Status status_;
  FreeDescriptor free_descriptor_;
  Stage stage_ = Stage::kServing;
  transport::Clock::time_point last_arrival_ = transport::Clock::now();
  transport::Descriptor listener_;
  std::unique_ptr<transport::Watch> watch_;
  std::set<FastCgiConnection*> connections_;
  CallIdRegistry call_ids_;
};

}  // namespace trailcourse::routing
