// The listening side of the cache protocol: RESP commands in, answers out, in any order.
//
// Package `cache_node`, over `transport` and `protocol`. One thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "protocol/cache_command.h"
#include "protocol/resp.h"
#include "transport/connection.h"

namespace trailcourse::cache_node {

// Names one open request; never used twice.
using Ticket = std::uint64_t;

// What answers the commands.
class Service {
 public:
  Service() = default;
  Service(const Service&) = delete;
  Service& operator=(const Service&) = delete;
  virtual ~Service() = default;

  // One answer is owed under the ticket, unless it is cancelled.
  virtual void serve(Ticket ticket, protocol::ServeFields fields, std::string body) = 0;
  // Nobody waits for it any more: no answer.
  virtual void cancel(Ticket ticket) = 0;
  virtual bool up() const = 0;
  // The load report, as in "inflight:7;util:0.61".
  virtual std::string meter() const = 0;
};

class CommandServer {
 public:
  struct Bounds {
    int backlog = 1'024;
    std::size_t connections =
        256;  // beyond, the one unused for longest goes; where all are used, the new one
    std::size_t open_per_connection = 1'024;
    std::size_t body_bytes = 1U << 20U;
    transport::Clock::duration idle = std::chrono::seconds(15);
    transport::Clock::duration message = std::chrono::seconds(5);  // for the rest of a message that has begun
    transport::Connection::Bounds connection;
  };

  CommandServer(transport::Scheduler& scheduler, Service& service, const Bounds& bounds);
  ~CommandServer();
  CommandServer(const CommandServer&) = delete;
  CommandServer& operator=(const CommandServer&) = delete;

  // Throws std::system_error where the address cannot be listened on.
  void listen(const transport::Address& address);
  // The answer of an open request; nothing happens where it has left. `part` of length 0 means the whole
  // body.
  void answer(Ticket ticket, protocol::AnswerCode word, protocol::CacheAnswer fields,
              const std::shared_ptr<const std::string>& body, protocol::Span part = {});

  // Written, and not yet taken by peers.
  std::size_t waiting_bytes() const;
  std::size_t open() const { return places_.size(); }
  std::size_t connections() const { return sessions_.size(); }
  std::uint64_t spoilt() const { return spoilt_; }  // connections ended for what could not be read
  void close_all();

 private:
  class Session;
  struct Place {
    std::weak_ptr<Session> session;
    std::string id;
  };

  void take_in(transport::Descriptor socket);
  bool free_one();
  transport::Task<void> accept_loop();
  transport::Task<void> reap();

  transport::Scheduler& scheduler_;
  Service& service_;
  Bounds bounds_;
  transport::Descriptor listener_;
  std::unique_ptr<transport::Watch> watch_;
  std::set<std::shared_ptr<Session>> sessions_;
  std::unordered_map<Ticket, Place> places_;
  Ticket last_ = 0;
  std::uint64_t spoilt_ = 0;
};

}  // namespace trailcourse::cache_node
