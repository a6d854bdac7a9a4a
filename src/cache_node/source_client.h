// The side of a cache node that asks its sources, over the same protocol as routers ask it.
//
// Package `cache_node`, over `transport` and `protocol`. One thread. Each fetch has an id of its own that is
// never used again, so a late answer can never be taken for another's.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cache_node/node_core.h"
#include "protocol/resp.h"
#include "transport/connection_pool.h"

namespace trailcourse::cache_node {

class SourceClient;

class SourceLink : public transport::Connection::Handler {
 public:
  using Pool = transport::ConnectionPool<SourceLink>;

  SourceLink(SourceClient& client, const std::weak_ptr<Pool::Slot>& slot);

  void on_bytes(std::string_view bytes) override;
  void on_end(transport::ConnectionEnd end) override;

 private:
  friend class SourceClient;
  struct Call {
    FillNumber fill = 0;
    std::uint64_t token = 0;
    transport::Clock::time_point sent;
  };

  void take(const protocol::resp::ArrayHead& head);
  void take(const protocol::resp::ArrayPiece& piece);
  void take(const protocol::resp::ArrayEnd&);
  void take(const protocol::resp::ParseError& unreadable);
  void spoilt(std::string_view why);
  void finish(const std::string& id, const FetchResult& result);

  SourceClient& client_;
  std::weak_ptr<Pool::Slot> slot_;
  protocol::resp::Parser parser_;
  std::map<std::string, Call> calls_;
  std::vector<std::string> words_;
  std::string body_;
  bool wanted_ = false;
};

class SourceClient {
 public:
  struct Bounds {
    SourceLink::Pool::Bounds pool;
    std::size_t answer_bytes = 64U << 20U;
    transport::Clock::duration silent_after = std::chrono::milliseconds(400);
  };
  using Done = std::function<void(FillNumber, const FetchResult&)>;

  SourceClient(transport::Scheduler& scheduler, const Bounds& bounds, Done done);

  // `done` is told the result once, later, unless it is stopped.
  void fetch(FillNumber fill, const std::string& source, const transport::Address& address,
             const protocol::ServeFields& fields, std::string_view body);
  void stop(FillNumber fill);
  // The connections to a source that is gone, or has moved, take nothing new.
  void drop(const std::string& source) { pool_.drop(source, transport::ConnectionEnd::kDropped); }

 private:
  friend class SourceLink;
  struct Place {
    std::weak_ptr<SourceLink> link;
    std::string id;
  };

  transport::Scheduler& scheduler_;
  Bounds bounds_;
  Done done_;
  SourceLink::Pool pool_;
  std::map<FillNumber, Place> places_;
  std::uint64_t last_id_ = 0;
};

}  // namespace trailcourse::cache_node
