// The side of the router that answers clients, over FastCGI.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "protocol/cache_answer.h"
#include "protocol/fastcgi.h"
#include "routing/router.h"
#include "transport/connection.h"

namespace trailcourse::routing {

class Front;

// A request as its parameters describe it, or why it cannot be taken.
struct ParsedRequest {
  ClientRequest request;
  std::uint64_t call = 0;  // X-Call-Id
  std::string fault;       // empty: usable
};
ParsedRequest read_request(protocol::fastcgi::RequestReceived&& read,
                         const std::unordered_map<std::string, int>& class_index, const Settings& settings);

// One connection from the front.
class FastCgiConnection : public transport::Connection::Handler,
                     public std::enable_shared_from_this<FastCgiConnection> {
 public:
  FastCgiConnection(Front& front, transport::Connection& connection);

  void on_bytes(std::string_view bytes) override;
  void on_drained() override { pump(); }
  void on_end(transport::ConnectionEnd end) override;

  // A whole answer, or parts of one and its end.
  void answer(protocol::fastcgi::RequestKey key, std::string text);
  void append(protocol::fastcgi::RequestKey key, std::string bytes);
  void end(protocol::fastcgi::RequestKey key, protocol::fastcgi::ProtocolStatus status,
           std::uint32_t application_status);

  // Nothing is owed to the client.
  bool quiet() const { return open_.empty() && answers_.empty() && connection_.waiting() == 0; }
  // Nothing is owed, and either a whole message has come and no part of another, or none ever came that could
  // be used: closing it costs no request that could be served.
  bool closable() const { return quiet() && (!useful_ || !parser_.has_partial_message()) && !connection_.ended(); }
  // Nothing is owed, and since `before` it has neither brought its first usable request nor the rest of one.
  bool overdue(transport::Clock::time_point before) const {
    return quiet() && (!useful_ || parser_.has_partial_message()) && awaited_since_ < before && !connection_.ended();
  }
  // Those that never brought a usable request come first, then those unused for longest.
  std::pair<bool, transport::Clock::time_point> worth() const {
    return {useful_, connection_.last_received()};
  }
  // A request is on its way: some of it has come.
  bool has_partial_request() const { return useful_ && parser_.has_partial_message() && !connection_.ended(); }
  transport::Clock::time_point since() const { return since_; }
  std::size_t partial_bytes() const { return counted_partial_; }
  transport::Connection& connection() { return connection_; }

 private:
  void take(protocol::fastcgi::RequestReceived&& read);
  void take(protocol::fastcgi::RequestAborted&& aborted);
  void take(protocol::fastcgi::RequestRejected&& rejected);
  void take(protocol::fastcgi::ManagementReply&& back);
  void take(protocol::fastcgi::ParseError&& unreadable);
  // Whole, but no request as agreed: it reaches no cache.
  void turn_away(protocol::fastcgi::RequestKey key, std::string_view why);
  void pump();
  void pump_later();
  void end_if_untaken();
  void count();
  // Nothing is owed for it any more; its number for the router, 0 where it was not open.
  RequestId close_request(protocol::fastcgi::RequestKey key);

  Front& front_;
  transport::Connection& connection_;
  protocol::fastcgi::Parser parser_;
  protocol::fastcgi::AnswerQueue answers_;
  struct Open {
    RequestId id = 0;
    std::uint64_t call = 0;
  };
  std::map<protocol::fastcgi::RequestKey, Open> open_;
  bool keep_ = true;
  bool ended_ = false;
  bool pumping_ = false;
  bool useful_ = false;  // it has brought a request that could be used
  transport::Clock::time_point since_ = transport::Clock::now();
  transport::Clock::time_point awaited_since_ = since_;  // the rest of a message, or the first one
  std::size_t counted_waiting_ = 0;
  std::size_t counted_partial_ = 0;
};

// Listens and takes in what comes.
class Front {
 public:
  struct Bounds {
    int backlog = 1024;
    std::size_t most_waiting = 64U << 20U;  // bytes of answers that clients have not taken yet, in all
    std::size_t most_partial = 16U << 20U;  // bytes of requests that have not come whole yet, in all
    std::size_t record_bytes = 16U << 10U;
    Micros client_lead{0};            // of a client's patience, used on the way here
    std::size_t most_clients = 4096;  // connections
    std::size_t most_untaken = 1024;  // answers on one connection, of which the client takes none
    std::size_t most_untaken_bytes = 256U << 10U;
    transport::Clock::duration client_young = std::chrono::milliseconds(100);  // its request is on its way
    transport::Clock::duration client_idle = std::chrono::seconds(15);
    transport::Clock::duration client_request = std::chrono::seconds(2);  // for a message to come whole
    transport::Connection::Bounds connection;
    protocol::fastcgi::Bounds requests;
  };
  // Whether requests can be served; asked for each health check.
  using Ready = std::function<bool()>;
  // What a health check says beside that.
  using Status = std::function<std::string()>;
  // Frees a descriptor elsewhere; false where none can be had.
  using FreeDescriptor = std::function<bool()>;

  Front(transport::Scheduler& scheduler, Router& router, const Settings& settings,
        const std::unordered_map<std::string, int>& class_index, const Bounds& bounds, Ready ready,
        FreeDescriptor free_descriptor);
  ~Front();
  Front(const Front&) = delete;
  Front& operator=(const Front&) = delete;

  // Throws std::system_error where the address cannot be listened on.
  void listen(const transport::Address& address);
  // Health checks fail from now on; requests are served as before.
  void start_draining() { draining_ = true; }
  void set_status_source(Status status) { status_ = std::move(status); }
  // Whether nothing is owed to any client.
  bool quiet() const;
  // Takes in the connections that wait; whether there was none, and nothing lies unread in any other.
  bool settled();
  // Whether some client is in the middle of a request.
  bool has_partial_request() const;
  // Of a request; health checks do not count.
  transport::Clock::time_point last_arrival() const { return last_arrival_; }
  // Every connection is ended in order: what still comes is read, so that the last answers are not reset.
  void close_all();
  // Whether the other side of any of these has not closed yet.
  bool lingering() const { return bounds_.connection.lingering && bounds_.connection.lingering->open > 0; }

 private:
  friend class FastCgiConnection;

  void take_in(transport::Descriptor socket);
  bool free_client();
  void shed_partial();

  transport::Task<void> accept_loop();
  transport::Task<void> reap();

  transport::Scheduler& scheduler_;
  Router& router_;
  const Settings& settings_;
  const std::unordered_map<std::string, int>& class_index_;
  Bounds bounds_;
  Ready ready_;
  Status status_;
  FreeDescriptor free_descriptor_;
  bool draining_ = false;
  transport::Clock::time_point last_arrival_ = transport::Clock::now();
  transport::Descriptor listener_;
  std::unique_ptr<transport::Watch> watch_;
  std::set<FastCgiConnection*> sessions_;
  std::unordered_set<std::uint64_t> calls_;  // the ids of open requests
  std::size_t waiting_ = 0;
  std::size_t partial_ = 0;
};

}  // namespace trailcourse::routing
