// The side of the router that answers clients, over FastCGI.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "protocol/cache_answer.h"
#include "protocol/fastcgi.h"
#include "routing/router.h"
#include "transport/connection.h"

namespace trailcourse::routing {

class Front;

// A request as its parameters describe it, or why it cannot be taken.
struct ReadRequest {
  ClientRequest request;
  std::string fault;  // empty: usable
};
ReadRequest read_request(protocol::fastcgi::RequestRead&& read,
                         const std::unordered_map<std::string, int>& class_index, const Settings& settings);

// One connection from the front.
class FrontSession : public transport::Connection::Handler,
                     public std::enable_shared_from_this<FrontSession> {
 public:
  FrontSession(Front& front, transport::Connection& connection);

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
  // Nothing is owed, nor has a part of a request come.
  bool idle() const { return quiet() && parser_.held() == 0 && !connection_.ended(); }
  transport::Connection& connection() { return connection_; }

 private:
  void take(protocol::fastcgi::RequestRead&& read);
  void take(protocol::fastcgi::RequestAborted&& aborted);
  void take(protocol::fastcgi::RequestRejected&& rejected);
  void take(protocol::fastcgi::SendBack&& back);
  void take(protocol::fastcgi::Unreadable&& unreadable);
  void pump();
  void pump_later();
  void count();

  Front& front_;
  transport::Connection& connection_;
  protocol::fastcgi::Parser parser_;
  protocol::fastcgi::AnswerQueue answers_;
  std::map<protocol::fastcgi::RequestKey, RequestId> open_;
  bool keep_ = true;
  bool ended_ = false;
  bool pumping_ = false;
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
    Micros client_lead{0};  // of a client's patience, used on the way here
    transport::Clock::duration client_idle = std::chrono::seconds(60);
    transport::Connection::Bounds connection;
    protocol::fastcgi::Bounds requests;
  };
  // Whether requests can be served; asked for each health check.
  using Ready = std::function<bool()>;
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
  // Whether nothing is owed to any client.
  bool quiet() const;
  // Of a request; health checks do not count.
  transport::Clock::time_point last_arrival() const { return last_arrival_; }
  void close_all();

 private:
  friend class FrontSession;

  bool free_descriptor();

  transport::Task<void> accept_loop();
  transport::Task<void> reap();

  transport::Scheduler& scheduler_;
  Router& router_;
  const Settings& settings_;
  const std::unordered_map<std::string, int>& class_index_;
  Bounds bounds_;
  Ready ready_;
  FreeDescriptor free_descriptor_;
  bool draining_ = false;
  transport::Clock::time_point last_arrival_ = transport::Clock::now();
  transport::Descriptor listener_;
  std::unique_ptr<transport::Watch> watch_;
  std::set<FrontSession*> sessions_;
  std::size_t waiting_ = 0;
  std::size_t partial_ = 0;
};

}  // namespace trailcourse::routing
